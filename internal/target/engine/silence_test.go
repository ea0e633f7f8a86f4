package engine_test

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
	"github.com/zinniafork/zinniafork/internal/standin/standintest"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
)

// TestEnginePausedDuringCheckIsNotCut pauses an engine in the middle of an answer, with
// the check that the pause brings about, and lets it go on: its report names bytes that
// were not there when the check began.
func TestEnginePausedDuringCheckIsNotCut(t *testing.T) {
	const first, rest = "data: once\n\n", "data: upon a time\n\n"
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Uint64
		resumed := make(chan struct{})
		mux := http.NewServeMux()
		mux.HandleFunc("POST "+engine.PathChat, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
			write := func(text string) {
				_, _ = io.WriteString(w, text)
				_ = http.NewResponseController(w).Flush()
				sent.Add(uint64(len(text)))
			}
			write(first)
			<-resumed
			write(rest)
			time.Sleep(time.Second)
		})
		mux.HandleFunc("GET "+engine.PathRequests+"{id}", func(w http.ResponseWriter, _ *http.Request) {
			<-resumed
			time.Sleep(time.Millisecond)
			_ = json.NewEncoder(w).Encode(engine.Progress{Running: true, Bytes: sent.Load()})
		})
		served := standintest.Serve(t, kerneltest.NewNetwork(), mux)
		client := engine.New("engine-1", served.URL, served.Client, engine.WithProgress(kernel.SystemClock{}, progress))
		go func() {
			time.Sleep(progress + progress/2) // within the time that the check may take
			close(resumed)
		}()
		out := new(standintest.Answer)
		must.NoError(t, client.Run(t.Context(), chat("r", "hello", true), out))
		must.Eq(t, first+rest, out.Body())
	})
}

// TestFailedCheckDoesNotCutAnswer fails one check of an engine that works on the answer.
func TestFailedCheckDoesNotCutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := engined.New(engined.Options{Tokens: tokens, PerToken: 3 * progress})
		t.Cleanup(s.Close)
		var checks atomic.Int32
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet && checks.Add(1) == 1 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.Handler().ServeHTTP(w, r)
		})
		served := standintest.Serve(t, kerneltest.NewNetwork(), handler)
		client := engine.New("engine-1", served.URL, served.Client, engine.WithProgress(kernel.SystemClock{}, progress))
		out := new(standintest.Answer)
		must.NoError(t, client.Run(t.Context(), chat("r", "hello", true), out))
		must.Eq(t, wanted("hello"), words(out.Body()))
	})
}

// TestRequestInQueueOfEngineIsNotCut lets a request wait in the queue of an engine for
// longer than the progress time.
func TestRequestInQueueOfEngineIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, client := serveOn(t, kerneltest.NewNetwork(), engined.Options{Slots: 1, Queue: 4, Prefill: 3 * progress},
			engine.WithProgress(kernel.SystemClock{}, progress))
		done := make(chan error, 2)
		for _, id := range []string{"r1", "r2"} {
			go func() { done <- client.Run(t.Context(), chat(id, "hello", true), new(standintest.Answer)) }()
			synctest.Wait()
		}
		must.NoError(t, <-done)
		must.NoError(t, <-done)
	})
}
