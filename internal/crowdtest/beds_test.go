package crowdtest

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/siteclient"
)

// bed is a router process with a store and workers.
type bed struct {
	router *process
	// address is that of the interface for clients.
	address string
	// head returns the head of a request without its empty line and with a header line for
	// its length. A response to large is longer than any buffer, one to stream is such a
	// stream. The site's target of stuck neither reads nor answers.
	head func(kind, id, length string) string
	// body is one of the largest legal size.
	body string
	// small is the body of an ordinary request.
	small string
}

// Kinds of requests.
const (
	kindPlain  = "plain"
	kindLarge  = "large"
	kindStream = "stream"
	kindStuck  = "stuck"
)

// bedOf is a stack under test.
type bedOf struct {
	name  string
	start func(*testing.T) *bed
}

// beds are the stacks under test: the platform's ingress, and the project's own interface.
var beds = []bedOf{
	{"site", newSite},
	{"owners", newOwners},
}

const (
	clientKey = "crowd-key"
	siteHost  = "crowd.example"
	// responseBytes is the length of large responses and streams of the site's worker, and
	// eventBytes that of an event.
	responseBytes = 4 << 20
	eventBytes    = 1 << 10
	// slots is the number of requests that a worker takes at once.
	slots = 1000
	// stuckTime is longer than a crowd's test and than the time limit of the site's routes.
	stuckTime = 12 * time.Second
)

// siteSettings are the settings of a router of the site's stack.
const siteSettings = `
[process]
stack = "site"
%%s
[vm]
name = "%[1]s.2:7004"
data_centre = "dc1"
site = "crowd"
peer_addr = "%[1]s.2:7004"
caller_addr = "%[1]s.2:7001"
[peer]
listen = "%[1]s.2:7004"
[site]
seeds = ["%[1]s.2:7004"]
first_start = true
[site_source]
address = "%[1]s.1:7000"
[forward]
retry_ratio = 0.2
retry_slack = 58.0
[ingress]
listen = "%[1]s.2:7001"
ready = "%[1]s.2:7002"
directory = "%[1]s.2:7003"
`

// newSite starts a router of the site's stack.
func newSite(t *testing.T) *bed {
	t.Helper()
	net := network()
	store := keyedlog.New()
	serve(t, net+".1:7000", store.Handler())
	serve(t, net+".3:7000", http.HandlerFunc(serveWork))
	store.Publish(keyedlog.Config{
		Version: 2, Host: siteHost, Account: "acme", Key: clientKey,
		Routes: []keyedlog.Route{
			{Name: kindPlain, Kind: "safe", Service: "work", Attempts: 2},
			{Name: kindLarge, Kind: "safe", Service: "work", Attempts: 2},
			{Name: kindStream, Kind: "stream", Service: "work", Attempts: 2},
			{Name: kindStuck, Kind: "unsafe", Service: "work", Attempts: 1},
		},
		Plain: []string{"work"}, BodyBytes: bodyLimit, Idle: 15 * time.Second,
	})
	store.PutWorker(keyedlog.Worker{ID: "w1", Service: "work", Address: net + ".3:7000", DataCentre: "dc1", Slots: slots})
	b := &bed{
		router:  start(t, "zf-router", writeSettings(t, fmt.Sprintf(siteSettings, net))),
		address: net + ".2:7001",
		body:    strings.Repeat("x", bodyLimit),
		small:   "hello",
		head: func(kind, id, length string) string {
			return fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer %s\r\n%s",
				kind, siteHost, id, clientKey, length)
		},
	}
	client := &http.Client{Timeout: time.Second}
	poll(t, "readiness", readyLimit, func() bool { return siteclient.Ready(t.Context(), client, net+".2:7002") })
	poll(t, "an answer", readyLimit, func() bool { return b.ask(t) == http.StatusOK })
	return b
}

// serve serves a stand-in in this process until the end of the test.
func serve(t *testing.T, address string, h http.Handler) {
	t.Helper()
	s, err := httpserve.Start(context.WithoutCancel(t.Context()), kernel.SystemNetwork{}, address, h)
	must.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
}

// serveWork is the worker of the site. It reads the whole body and answers by the kind of the
// request.
func serveWork(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/"+kindStuck) {
		time.Sleep(stuckTime) // the context of an unread request does not end with its connection
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Instance-Id", "w1")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Stamp", "stamp-w1")
	piece, count := "ok", 1
	switch {
	case strings.HasPrefix(r.URL.Path, "/"+kindLarge):
		piece, count = strings.Repeat("x", eventBytes), responseBytes/eventBytes
	case strings.HasPrefix(r.URL.Path, "/"+kindStream):
		w.Header().Set("Content-Type", "text/event-stream")
		piece, count = "data: "+strings.Repeat("x", eventBytes)+"\n\n", responseBytes/eventBytes
	}
	for range count {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
	}
}

// ownersSettings are the settings of a router of the owners' stack.
const ownersSettings = `
[process]
stack = "owners"
%%s
[vm]
name = "vm1"
data_centre = "pos-1"
site = "trinidad"
[platform]
log_url = "http://%[1]s.1:7100"
vm_list_url = "http://%[1]s.1:7101"
[caller]
listen = "%[1]s.2:7001"
max_body_bytes = %[2]d
entry_lifetime = "1s"
[peer]
listen = "%[1]s.2:7002"
[admin]
listen = "%[1]s.2:7003"
`

// ownersConfig is the configuration of the owners' stack.
const ownersConfig = `
site = "trinidad"
[[members]]
name = "trinidad"
weight = 1.0
[[sites]]
name = "trinidad"
member = "trinidad"
[[data_centres]]
name = "pos-1"
region = "pos"
[[models]]
name = "copydesk"
[[services]]
name = "print"
order_methods = ["POST"]
[[accounts]]
name = "stores"
member = "trinidad"
weight = 1.0
key_hashes = ["%[2]s"]
[[targets]]
name = "engine-1"
data_centre = "pos-1"
url = "http://%[1]s.1:7110"
models = ["copydesk"]
slots = %[3]d
cold_slots = %[3]d
[[targets]]
name = "print-1"
data_centre = "pos-1"
url = "http://%[1]s.1:7150"
service = "print"
slots = %[3]d
cold_slots = %[3]d
`

// newOwners starts a router of the owners' stack whose engine answers with a few tokens.
func newOwners(t *testing.T) *bed {
	t.Helper()
	return newOwnersWith(t, 20)
}

// newOwnersWith starts a router of the owners' stack whose engine answers with so many tokens.
func newOwnersWith(t *testing.T, tokens int) *bed {
	t.Helper()
	net := network()
	hash := fmt.Sprintf("%x", sha256.Sum256([]byte(clientKey)))
	config := filepath.Join(t.TempDir(), "config.toml")
	must.NoError(t, os.WriteFile(config, fmt.Appendf(nil, ownersConfig, net, hash, slots), 0o600))
	start(t, "zf-standin", "all", "--host", net+".1", "--port", "7100", "--engines", "1", "--workers", "1",
		"--engine-slots", fmt.Sprint(slots), "--engine-tokens", fmt.Sprint(tokens), "--engine-per-token", "1us",
		"--engine-prefill-per-token", "1ns", "--log-config", config)
	vm := fmt.Sprintf(`{"data_centre":"pos-1","site":"trinidad","peer_addr":"%[1]s.2:7002","caller_addr":"%[1]s.2:7001","admin_addr":"%[1]s.2:7003"}`, net)
	client := &http.Client{Timeout: time.Second}
	poll(t, "the list of VMs", readyLimit, func() bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+net+".1:7101/admin/vms/vm1", strings.NewReader(vm))
		must.NoError(t, err)
		return do(client, r)/100 == 2
	})
	b := &bed{
		router:  start(t, "zf-router", writeSettings(t, fmt.Sprintf(ownersSettings, net, bodyLimit))),
		address: net + ".2:7001",
		small:   chat(false, "Hello"),
		head: func(kind, id, length string) string {
			head := "POST /v1/chat/completions HTTP/1.1\r\n"
			if kind == kindLarge {
				head = "GET /v1/services/print/echo HTTP/1.1\r\n" // the worker echoes the body
			}
			return head + fmt.Sprintf("Host: %s\r\nAuthorization: Bearer %s\r\nX-Chat-Id: %s\r\n%s", siteHost, clientKey, id, length)
		},
	}
	b.body = chat(false, strings.Repeat("x", bodyLimit-len(chat(false, ""))))
	poll(t, "an answer", readyLimit, func() bool { return b.ask(t) == http.StatusOK })
	return b
}

// chat returns the body of a chat.
func chat(stream bool, content string) string {
	return fmt.Sprintf(`{"model":"copydesk","stream":%t,"messages":[{"role":"user","content":"%s"}]}`, stream, content)
}

// do sends a request and returns the status of a complete response, zero if there is none.
func do(client *http.Client, r *http.Request) int {
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
