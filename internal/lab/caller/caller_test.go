package caller_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/caller"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
)

// router is a scripted router: each request is answered by the next step.
type router struct {
	*httptest.Server
	lifetime time.Duration

	mu       sync.Mutex
	steps    []http.HandlerFunc
	requests []*http.Request
	lookups  int
}

func newRouter(t *testing.T, lifetime time.Duration, steps ...http.HandlerFunc) *router {
	t.Helper()
	r := &router{steps: steps, lifetime: lifetime}
	r.Server = httptest.NewServer(r)
	t.Cleanup(r.Close)
	return r
}

func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/v1/entry" {
		r.mu.Lock()
		r.lookups++
		r.mu.Unlock()
		_ = json.NewEncoder(w).Encode(callerapi.EntryResponse{
			Addresses:  []callerapi.Address{{VM: "vm", URL: r.URL}},
			LifetimeMS: r.lifetime.Milliseconds(),
		})
		return
	}
	r.mu.Lock()
	n := len(r.requests)
	r.requests = append(r.requests, req)
	r.mu.Unlock()
	r.steps[min(n, len(r.steps)-1)](w, req)
}

func (r *router) client() *caller.Client {
	address := strings.TrimPrefix(r.URL, "http://")
	return caller.New(caller.Options{
		Account:   site.Account{Name: "a", Key: "k"},
		Dial:      new(net.Dialer).DialContext,
		Addresses: map[fleet.VM]string{"vm": address},
		Service:   "print",
		Seed:      1,
	})
}

func chatArrival() workload.Arrival {
	return workload.Arrival{
		ID:      "r1",
		Kind:    history.KindChat,
		Account: site.Account{Name: "a"},
		Chat:    "c",
		Prompt: engined.ChatRequest{
			Model:     "m",
			Stream:    true,
			Messages:  []engined.Message{{Role: "user", Content: "hi"}},
			MaxTokens: 3,
		},
	}
}

// words writes events of the right answer from one token up to another.
func words(w http.ResponseWriter, from, to int) {
	a := chatArrival()
	prompt := engined.Blocks(a.Prompt.Model, a.Prompt.Messages)
	for i := from; i < to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i+1, engined.Word(prompt, i))
	}
}

func done(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }

func refuse(status int, code, run, after string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if after != "" {
			w.Header().Set("Retry-After", after)
		}
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"step":"admission","run":%q}}`, code, run)
	}
}

func TestChatWhole(t *testing.T) {
	r := newRouter(t, time.Minute, func(w http.ResponseWriter, _ *http.Request) {
		words(w, 0, 2)
		_, _ = io.WriteString(w, ": waiting\n\n")
		words(w, 2, 3)
		done(w)
	})
	got := r.client().Do(t.Context(), chatArrival(), time.Now())
	must.True(t, got.Whole())
	must.Eq(t, got.Want, got.Answer)
	must.Eq(t, "c", r.requests[0].Header.Get(callerapi.HeaderChat))
}

func TestCutChatIsResumedBehindItsLastEvent(t *testing.T) {
	r := newRouter(t, time.Minute,
		func(w http.ResponseWriter, _ *http.Request) { words(w, 0, 2) },
		func(w http.ResponseWriter, _ *http.Request) { words(w, 2, 3); done(w) })
	got := r.client().Do(t.Context(), chatArrival(), time.Now())
	must.Eq(t, got.Want, got.Answer)
	must.True(t, got.Whole())
	must.Len(t, 2, got.Attempts)
	must.True(t, got.Attempts[0].Cut)
	must.Eq(t, "2", r.requests[1].Header.Get(callerapi.HeaderLastEventID))
}

func TestChatThatCannotBeResumedStartsAgain(t *testing.T) {
	r := newRouter(t, time.Minute,
		func(w http.ResponseWriter, _ *http.Request) { words(w, 0, 2) },
		func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "event: error\ndata: {\"error\":{\"code\":\"resume_impossible\"}}\n\n")
		},
		func(w http.ResponseWriter, _ *http.Request) { words(w, 0, 3); done(w) })
	got := r.client().Do(t.Context(), chatArrival(), time.Now())
	must.Eq(t, got.Want, got.Answer)
	must.Eq(t, "", r.requests[2].Header.Get(callerapi.HeaderLastEventID))
	must.Eq(t, "resume_impossible", got.Attempts[1].Code)
}

func TestRetryAfterIsHonoured(t *testing.T) {
	r := newRouter(t, time.Minute, refuse(http.StatusServiceUnavailable, "overloaded", "not_run", "1"),
		func(w http.ResponseWriter, _ *http.Request) { words(w, 0, 3); done(w) })
	got := r.client().Do(t.Context(), chatArrival(), time.Now())
	must.True(t, got.Whole())
	must.Eq(t, history.RunNot, got.Attempts[0].Run)
	must.GreaterEq(t, time.Second, got.Attempts[1].Start.Sub(got.Attempts[0].End))
}

func TestRefusalForGoodEnds(t *testing.T) {
	r := newRouter(t, time.Minute, refuse(http.StatusForbidden, "forbidden", "not_run", ""))
	got := r.client().Do(t.Context(), chatArrival(), time.Now())
	must.False(t, got.Whole())
	must.Len(t, 1, got.Attempts)
}

func TestOrderIsRepeatedWithTheSameKey(t *testing.T) {
	r := newRouter(t, time.Minute, refuse(http.StatusBadGateway, "outcome_unknown", "unknown", ""),
		func(w http.ResponseWriter, req *http.Request) {
			body, _ := io.ReadAll(req.Body)
			_ = json.NewEncoder(w).Encode(map[string]string{"key": req.Header.Get(callerapi.HeaderIdempotencyKey), "echo": string(body)})
		})
	a := workload.Arrival{ID: "o1", Kind: history.KindOrder, Account: site.Account{Name: "a"}, Order: "{}"}
	got := r.client().Do(t.Context(), a, time.Now())
	must.True(t, got.Whole())
	must.Eq(t, got.Want, got.Answer)
	must.Eq(t, got.Key, r.requests[0].Header.Get(callerapi.HeaderIdempotencyKey))
	must.Eq(t, got.Key, r.requests[1].Header.Get(callerapi.HeaderIdempotencyKey))
}

func TestOrderGoesOnWithATicketWhileTheLogIsAway(t *testing.T) {
	r := newRouter(t, time.Minute, refuse(http.StatusServiceUnavailable, "log_unavailable", "not_run", ""),
		func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"tickets":["zt1.x"]}`) },
		func(w http.ResponseWriter, req *http.Request) {
			body, _ := io.ReadAll(req.Body)
			_ = json.NewEncoder(w).Encode(map[string]string{"key": req.Header.Get(callerapi.HeaderIdempotencyKey), "echo": string(body)})
		})
	a := workload.Arrival{ID: "o1", Kind: history.KindOrder, Account: site.Account{Name: "a"}, Order: "{}"}
	got := r.client().Do(t.Context(), a, time.Now())
	must.True(t, got.Whole())
	must.Eq(t, got.Want, got.Answer)
	must.Eq(t, "/v1/tickets", r.requests[1].URL.Path)
	must.Len(t, 2, got.Keys())
	must.Eq(t, "zt1.x", got.Keys()[1])
}

func TestLookupIsKeptForItsLifetime(t *testing.T) {
	whole := func(w http.ResponseWriter, _ *http.Request) { words(w, 0, 3); done(w) }
	kept := newRouter(t, time.Minute, whole)
	expired := newRouter(t, 0, whole)
	for _, r := range []*router{kept, expired} {
		c := r.client()
		for range 3 {
			must.True(t, func() bool { got := c.Do(t.Context(), chatArrival(), time.Now()); return got.Whole() }())
		}
	}
	must.Eq(t, 1, kept.lookups)
	must.Eq(t, 3, expired.lookups)
}
