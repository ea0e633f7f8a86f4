package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/figures"
	"github.com/zinniafork/zinniafork/internal/service/journal"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/route"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// key is the API key of account shop.
const key = "key-of-shop"

// fakeRouter runs requests with the function run and records them.
type fakeRouter struct {
	mu    sync.Mutex
	run   func(ctx context.Context, req *call.Request, sink call.Sink) error
	owner fleet.VM
	seen  []call.Request
	// exhausted is true if the retry budget is spent.
	exhausted bool
}

func (*fakeRouter) Name() string { return route.Name }

func (f *fakeRouter) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	f.mu.Lock()
	f.seen = append(f.seen, *req)
	f.mu.Unlock()
	return f.run(ctx, req, sink)
}

func (f *fakeRouter) AllowResume(fleet.Account) bool { return !f.exhausted }

func (f *fakeRouter) FirstOwner(*call.Request) (fleet.VM, bool) { return f.owner, f.owner != "" }

func (f *fakeRouter) last() call.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[len(f.seen)-1]
}

// fakeMembers is a membership with the members that a test sets.
type fakeMembers struct {
	members.Membership
	rows []members.Member
	left atomic.Bool
}

func (*fakeMembers) Name() string                  { return members.Name }
func (f *fakeMembers) Leave()                      { f.left.Store(true) }
func (f *fakeMembers) Snapshot() *members.Snapshot { return &members.Snapshot{Members: f.rows} }

// fakeFigures records samples.
type fakeFigures struct {
	mu      sync.Mutex
	samples []figures.Sample
}

func (*fakeFigures) Name() string { return figures.Name }

func (f *fakeFigures) Record(s figures.Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.samples = append(f.samples, s)
}

func (f *fakeFigures) last() figures.Sample {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.samples[len(f.samples)-1]
}

// fakeOrders runs orders at the router. It has the state of one order.
type fakeOrders struct {
	journal.Orders
	router *fakeRouter
	known  journal.Order
}

func (*fakeOrders) Name() string { return journal.Name }

func (f *fakeOrders) Submit(ctx context.Context, req *call.Request, sink call.Sink) error {
	return f.router.Run(ctx, req, sink)
}

func (f *fakeOrders) Status(_ context.Context, account fleet.Account, key string) (journal.Order, error) {
	if key != f.known.Key || account != f.known.Account {
		return journal.Order{}, &call.Error{Code: call.CodeNotFound, Step: "orders", Run: call.RunUnknown, Message: "no order with this key"}
	}
	return f.known, nil
}

func (*fakeOrders) Tickets(_ context.Context, _ fleet.Account, n int) ([]string, error) {
	return slices.Repeat([]string{"zt1.x"}, n), nil
}

// harness runs a caller interface with fakes of the services that it uses.
type harness struct {
	*Service
	journal *fakeOrders
	kernel  *kernel.Kernel
	router  *fakeRouter
	members *fakeMembers
	figures *fakeFigures
	config  *servicetest.Config
	client  *http.Client
}

// testConfig has two client accounts, one model, and one service whose PUT requests
// are orders.
func testConfig() *config.Config {
	c := config.Defaults()
	sum := sha256.Sum256([]byte(key))
	other := sha256.Sum256([]byte("other"))
	c.Accounts = []config.Account{
		{Name: "shop", Member: "gent", KeyHashes: []string{hex.EncodeToString(sum[:])}, MaxConcurrent: 2},
		{Name: "other", Member: "gent", KeyHashes: []string{hex.EncodeToString(other[:])}},
	}
	c.Models = []config.Model{{Name: "m"}}
	c.Services = []config.Service{{Name: "print", OrderMethods: []string{http.MethodPut}}}
	return c
}

// newHarness starts a caller interface with the given settings on network.
func newHarness(t testing.TB, network kernel.Network, callerSettings string) *harness {
	t.Helper()
	file, err := settings.Parse("test", []byte("[caller]\n"+callerSettings))
	must.NoError(t, err)
	h := &harness{
		router:  &fakeRouter{run: respondWith("text/event-stream", stream)},
		members: &fakeMembers{},
		figures: &fakeFigures{},
		config:  &servicetest.Config{},
	}
	h.config.Set(testConfig())
	h.journal = &fakeOrders{router: h.router, known: journal.Order{Key: "known", Account: "shop", Run: call.RunDone}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h.kernel = kernel.New(kernel.Env{Log: logger, Net: network, Seed: 1, Metrics: metrics.NewRegistry()}, file, nil)
	for _, s := range []kernel.Service{h.router, h.journal, h.members, h.figures, h.config, servicetest.NewIdentity("dc1a")} {
		must.NoError(t, h.kernel.Use(s))
	}
	must.NoError(t, h.kernel.Provision(Name))
	h.Service, err = kernel.Find[*Service](h.kernel, Name)
	must.NoError(t, err)
	must.NoError(t, h.kernel.Start(t.Context()))
	h.client = &http.Client{Transport: &http.Transport{DialContext: network.DialContext}}
	t.Cleanup(func() {
		h.client.CloseIdleConnections()
		must.NoError(t, h.kernel.Stop(context.Background()))
	})
	return h
}

// stream is the body of a streamed response with three events.
const stream = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\ndata: [DONE]\n\n"

// respondWith returns a run function that responds with a complete body, from the
// resume offset of the request on.
func respondWith(contentType, body string) func(context.Context, *call.Request, call.Sink) error {
	return func(_ context.Context, req *call.Request, sink call.Sink) error {
		if err := sink.Head(call.Head{Status: 200, Header: http.Header{"Content-Type": {contentType}, "X-Worker": {"w1"}}}); err != nil {
			return err
		}
		if err := sink.Chunk(call.Chunk{Offset: req.ResumeFrom, Data: []byte(body[req.ResumeFrom:])}); err != nil {
			return err
		}
		return sink.End(call.End{Length: uint64(len(body)), Digest: xxhash.Sum64String(body)})
	}
}

// failWith returns a run function that fails with e.
func failWith(e *call.Error) func(context.Context, *call.Request, call.Sink) error {
	return func(context.Context, *call.Request, call.Sink) error { return e }
}

// send sends a request with the key of account shop and returns the response with
// its body.
func (h *harness) send(t *testing.T, method, path, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	resp := h.open(t, method, path, body, header)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(data)
}

// open sends a request and returns the response with its body unread.
func (h *harness) open(t testing.TB, method, path, body string, header map[string]string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, h.URL()+path, strings.NewReader(body))
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := h.client.Do(r)
	must.NoError(t, err)
	return resp
}

// decodeError decodes an error response.
func decodeError(t *testing.T, body string) (out struct {
	Code         call.Code `json:"code"`
	Message      string    `json:"message"`
	Step         string    `json:"step"`
	Peer         string    `json:"peer"`
	Run          call.Run  `json:"run"`
	Type         string    `json:"type"`
	RetryAfterMS int64     `json:"retry_after_ms"`
}) {
	t.Helper()
	var wrapped struct {
		Error json.RawMessage `json:"error"`
	}
	must.NoError(t, json.Unmarshal([]byte(body), &wrapped))
	must.NoError(t, json.Unmarshal(wrapped.Error, &out))
	return out
}

const chatPath = "/v1/chat/completions"

const chatText = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`
