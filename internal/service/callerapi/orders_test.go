package callerapi

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

func TestOrderStatusAndTickets(t *testing.T) {
	h := newHarness(t, kernel.SystemNetwork{}, "")
	cases := map[string]struct {
		method, path, body string
		status             int
		want               string
	}{
		"known order":               {http.MethodGet, "/v1/orders/known", "", 200, `"run":"ran"`},
		"unknown order":             {http.MethodGet, "/v1/orders/other", "", 404, `"run":"unknown"`},
		"one ticket":                {http.MethodPost, "/v1/tickets", "", 200, `{"tickets":["zt1.x"]}`},
		"two tickets":               {http.MethodPost, "/v1/tickets", `{"count":2}`, 200, `{"tickets":["zt1.x","zt1.x"]}`},
		"ticket count not a number": {http.MethodPost, "/v1/tickets", `{"count":"many"}`, 400, `"code":"bad_request"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, body := h.send(t, c.method, c.path, c.body, nil)
			must.Eq(t, c.status, resp.StatusCode)
			must.StrContains(t, body, c.want)
		})
	}
}
