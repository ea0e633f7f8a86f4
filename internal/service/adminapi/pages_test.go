package adminapi_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"testing"

	"github.com/shoenig/test/must"
)

// TestStatusPage logs in as a viewer, reads the page and leaves again.
func TestStatusPage(t *testing.T) {
	r := newRig(t)
	r.install()
	jar, err := cookiejar.New(nil)
	must.NoError(t, err)
	browser := &http.Client{Jar: jar}
	read := func(resp *http.Response, err error) (int, string) {
		must.NoError(t, err)
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.StrContains(t, resp.Header.Get("Content-Security-Policy"), "default-src 'none'")
		return resp.StatusCode, string(data)
	}
	status, page := read(browser.Get(r.base + "/"))
	must.Eq(t, http.StatusUnauthorized, status)
	must.StrContains(t, page, "Your key")
	status, page = read(browser.PostForm(r.base+"/login", url.Values{"key": {"<script>"}}))
	must.Eq(t, http.StatusUnauthorized, status)
	must.StrContains(t, page, "the key is not known here")

	r.eventually(func() error {
		status, page = read(browser.PostForm(r.base+"/login", url.Values{"key": {"sample-gent-viewer"}}))
		if status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		return nil
	})
	for _, want := range []string{"gent-dc3", "gent-vm1", "design-9", "antwerpen", "site/trinidad", "consortium-admin"} {
		must.StrContains(t, page, want)
	}
	must.StrNotContains(t, page, "sample-gent-viewer")
	_, page = read(browser.Get(r.base + "/?dc=gent-dc1&state=unknown"))
	must.StrContains(t, page, "design-1")
	must.StrNotContains(t, page, "design-2<")

	status, _ = read(browser.PostForm(r.base+"/logout", nil))
	must.Eq(t, http.StatusUnauthorized, status)
}
