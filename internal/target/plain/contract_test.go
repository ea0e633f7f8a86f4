package plain_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/standin/plaind"
	"github.com/zinniafork/zinniafork/internal/standin/standintest"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

func order(key, body string) *call.Request {
	return &call.Request{
		ID:      call.ID("r-" + key),
		Attempt: 1,
		Kind:    call.KindService,
		Method:  http.MethodPost,
		Path:    "/orders?rush=1",
		Header:  http.Header{"X-Shop": {"gent-7"}},
		Key:     key,
		Body:    []byte(body),
	}
}

func serve(t *testing.T, opt plaind.Options) (*standintest.Served, *plaind.Server, *plain.Client) {
	t.Helper()
	s := plaind.NewWith(opt)
	served := standintest.Serve(t, kernel.SystemNetwork{}, s.Handler())
	return served, s, plain.New("print-1", served.URL, served.Client)
}

func TestCallsPassThrough(t *testing.T) {
	_, s, client := serve(t, plaind.Options{Name: "print-1"})
	out := new(standintest.Answer)
	must.NoError(t, client.Run(t.Context(), order("k1", "two plates"), out))
	must.Eq(t, http.StatusOK, out.Status())
	must.StrContains(t, out.Body(), "two plates")
	run := s.Runs()[0]
	must.Eq(t, "k1", run.Key)
	must.Eq(t, "r-k1", run.RequestID)
	must.Eq(t, http.MethodPost, run.Method)
	must.Eq(t, "/orders", run.Path)
	must.Eq(t, "two plates", run.Body)
}

func TestFaultsOfAWorker(t *testing.T) {
	cases := []struct {
		name  string
		plan  fault.Plan
		stop  bool
		run   call.Run
		runs  int
		state plain.State
	}{
		{"connection refused", fault.Plan{}, true, call.RunNot, 0, ""},
		{"outage", fault.Plan{Outage: true}, false, call.RunUnknown, 0, plain.StateUnknown},
		{"answer lost", fault.Plan{LoseAnswers: 1}, false, call.RunUnknown, 1, plain.StateDone},
		{"answer cut", fault.Plan{CutAfterBytes: 5}, false, call.RunUnknown, 1, plain.StateDone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			served, s, client := serve(t, plaind.Options{StatusLookup: true})
			served.Set(c.plan)
			if c.stop {
				served.Stop()
			}
			err := client.Run(t.Context(), order("k1", "plate"), new(standintest.Answer))
			e := call.AsError(err)
			must.Eq(t, c.run, e.Run)
			must.Eq(t, "print-1", e.Peer)
			must.Eq(t, c.runs, len(s.Runs()))
			if c.state == "" {
				return
			}
			served.Set(fault.Plan{})
			outcome, err := client.Status(t.Context(), plaind.StatusPath, "k1")
			must.NoError(t, err)
			must.Eq(t, c.state, outcome.State)
		})
	}
}

func TestStatusLookup(t *testing.T) {
	_, _, with := serve(t, plaind.Options{StatusLookup: true})
	must.NoError(t, with.Run(t.Context(), order("k 1/2", "plate"), new(standintest.Answer)))
	outcome, err := with.Status(t.Context(), plaind.StatusPath, "k 1/2")
	must.NoError(t, err)
	must.Eq(t, plain.StateDone, outcome.State)
	must.Eq(t, http.StatusOK, outcome.Status)
	must.StrContains(t, string(outcome.Body), "plate")
	outcome, err = with.Status(t.Context(), plaind.StatusPath, "other")
	must.NoError(t, err)
	must.Eq(t, plain.StateUnknown, outcome.State)

	_, _, without := serve(t, plaind.Options{})
	_, err = without.Status(t.Context(), plaind.StatusPath, "k1")
	must.Error(t, err, must.Sprint("a worker without status lookup does not say that nothing ran"))
}

func TestBusyWorkerAnswersItself(t *testing.T) {
	_, s, client := serve(t, plaind.Options{Slots: 1, Work: time.Hour})
	go func() { _ = client.Run(t.Context(), order("k1", "plate"), new(standintest.Answer)) }()
	for running := 0; running == 0; {
		r, err := client.Report(t.Context())
		must.NoError(t, err)
		running = r.Running
	}
	out := new(standintest.Answer)
	must.NoError(t, client.Run(t.Context(), order("k2", "plate"), out))
	must.Eq(t, http.StatusServiceUnavailable, out.Status())
	must.Eq(t, 1, s.Refused())
}

// TestNothingIsSentTwice serves two requests on one connection and breaks it
// on the second, when net/http may repeat what it takes to be idempotent.
func TestNothingIsSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, body := range []string{"", "plate"} {
			t.Run(method+" "+body, func(t *testing.T) {
				var hits atomic.Int32
				served := standintest.Serve(t, kernel.SystemNetwork{}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					if hits.Add(1) > 1 {
						panic(http.ErrAbortHandler)
					}
				}))
				client := plain.New("print-1", served.URL, served.Client)
				req := order("k1", body)
				req.Method = method
				must.NoError(t, client.Run(t.Context(), req, new(standintest.Answer)))
				err := client.Run(t.Context(), req, new(standintest.Answer))
				must.Eq(t, call.RunUnknown, call.AsError(err).Run)
				must.Eq(t, 2, hits.Load())
			})
		}
	}
}

func TestRedirectsAreAnswers(t *testing.T) {
	var hits atomic.Int32
	served := standintest.Serve(t, kernel.SystemNetwork{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
	}))
	out := new(standintest.Answer)
	must.NoError(t, plain.New("print-1", served.URL, served.Client).Run(t.Context(), order("k1", "plate"), out))
	must.Eq(t, http.StatusSeeOther, out.Status())
	must.Eq(t, 1, hits.Load())
}

// TestSilentConnectionDoesNotSwallowACall silences every open connection
// between two calls: the second has a connection of its own.
func TestSilentConnectionDoesNotSwallowACall(t *testing.T) {
	served, s, client := serve(t, plaind.Options{})
	for i := range 5 {
		must.NoError(t, client.Run(t.Context(), order("k1", "plate"), new(standintest.Answer)))
		must.Eq(t, i+1, len(s.Runs()))
		_, err := client.Report(t.Context())
		must.NoError(t, err)
		served.SilenceOpen()
		served.Client.CloseIdleConnections()
	}
}
