package engine_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/standin/standintest"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
)

const tokens = 10

func chat(id, text string, stream bool) *call.Request {
	body := fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, text)
	return &call.Request{ID: call.ID(id), Attempt: 1, Kind: call.KindChat, Chat: text, Body: []byte(body)}
}

// wanted returns the words of the answer to a prompt.
func wanted(text string) string {
	return engined.Answer(engined.Blocks("m", []engined.Message{{Role: "user", Content: text}}), tokens)
}

// words returns the words in the events of a streamed answer.
func words(body string) string {
	var b strings.Builder
	for _, event := range strings.Split(body, "\n\n") {
		_, rest, ok := strings.Cut(event, `"content":"`)
		if word, _, closed := strings.Cut(rest, `"`); ok && closed {
			b.WriteString(word)
		}
	}
	return b.String()
}

func serve(t *testing.T, opt engined.Options, options ...engine.Option) (*standintest.Served, *engined.Server, *engine.Client) {
	t.Helper()
	return serveOn(t, kernel.SystemNetwork{}, opt, options...)
}

func serveOn(t *testing.T, network kernel.Network, opt engined.Options, options ...engine.Option) (*standintest.Served, *engined.Server, *engine.Client) {
	t.Helper()
	if opt.Tokens == 0 {
		opt.Tokens = tokens
	}
	s := engined.New(opt)
	served := standintest.Serve(t, network, s.Handler())
	t.Cleanup(s.Close)
	return served, s, engine.New("engine-1", served.URL, served.Client, options...)
}

func TestAnswersComeWhole(t *testing.T) {
	_, s, client := serve(t, engined.Options{})
	for _, stream := range []bool{true, false} {
		id := fmt.Sprintf("r-%t", stream)
		out := new(standintest.Answer)
		must.NoError(t, client.Run(t.Context(), chat(id, "hello", stream), out))
		must.Eq(t, http.StatusOK, out.Status())
		must.Eq(t, id, out.Header(target.HeaderRequestID))
		must.StrContains(t, out.Body(), id)
		must.StrContains(t, out.Body(), strings.Fields(wanted("hello"))[tokens-1])
		end, ended := out.Ended()
		must.True(t, ended)
		must.Eq(t, call.End{Attempt: 1, Length: uint64(len(out.Body())), Digest: xxhash.Sum64String(out.Body())}, end)
	}
	must.Eq(t, 2, len(s.Runs()))
}

func TestFaultsOfAnEngine(t *testing.T) {
	cases := []struct {
		name string
		opt  engined.Options
		plan fault.Plan
		stop bool
		code call.Code
		run  call.Run
		runs int
	}{
		{name: "connection refused", stop: true, code: call.CodeUnavailable, run: call.RunNot},
		{name: "outage", plan: fault.Plan{Outage: true}, code: call.CodeUnavailable, run: call.RunUnknown},
		{name: "model not loaded", opt: engined.Options{Models: []target.LoadedModel{{Model: "other"}}}, code: call.CodeNoTarget, run: call.RunNot},
		{name: "status 500", plan: fault.Plan{Refuse: 1}, code: call.CodeTargetError, run: call.RunUnknown},
		{name: "answer lost", plan: fault.Plan{LoseAnswers: 1}, code: call.CodeUnavailable, run: call.RunUnknown, runs: 1},
		{name: "answer cut", plan: fault.Plan{CutAfterBytes: 300}, code: call.CodeCut, run: call.RunUnknown, runs: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			served, s, client := serve(t, c.opt)
			served.Set(c.plan)
			if c.stop {
				served.Stop()
			}
			out := new(standintest.Answer)
			err := client.Run(t.Context(), chat("r", "hello", true), out)
			var e *call.Error
			must.True(t, errors.As(err, &e))
			must.Eq(t, c.code, e.Code)
			must.Eq(t, c.run, e.Run)
			must.Eq(t, "target", e.Step)
			must.Eq(t, "engine-1", e.Peer)
			_, ended := out.Ended()
			must.False(t, ended)
			must.LessEq(t, c.runs, len(s.Runs()))
		})
	}
}

func TestOverloadedEngineDidNotRun(t *testing.T) {
	_, s, client := serve(t, engined.Options{Slots: 1, Prefill: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() { first <- client.Run(ctx, chat("r1", "hello", true), new(standintest.Answer)) }()
	waitFor(t, func() bool {
		r, err := client.Report(t.Context())
		return err == nil && r.Running == 1
	})
	err := client.Run(t.Context(), chat("r2", "hello", true), new(standintest.Answer))
	must.Eq(t, call.CodeOverloaded, call.AsError(err).Code)
	must.Eq(t, call.RunNot, call.AsError(err).Run)
	cancel()
	must.Eq(t, call.CodeCanceled, call.AsError(<-first).Code)
	waitFor(t, func() bool { return len(s.Runs()) == 2 })
	must.True(t, s.Runs()[0].Refused)
	must.False(t, s.Runs()[1].Whole, must.Sprint("a canceled request ends"))
}

// waitFor polls until ok.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("did not happen in time")
}

func TestCutAnswerIsResumed(t *testing.T) {
	served, s, client := serve(t, engined.Options{ResumeGrace: 10 * time.Second}, engine.WithResume())
	served.Set(fault.Plan{CutAfterBytes: 300, Cuts: 2})
	out := new(standintest.Answer)
	must.NoError(t, client.Run(t.Context(), chat("r", "hello", true), out))
	must.Eq(t, wanted("hello"), words(out.Body()))
	end, _ := out.Ended()
	must.Eq(t, xxhash.Sum64String(out.Body()), end.Digest)
	must.Eq(t, 1, len(s.Runs()), must.Sprint("the engine ran the request once"))
}

func TestResumeFromAnOffset(t *testing.T) {
	_, _, client := serve(t, engined.Options{ResumeGrace: 10 * time.Second}, engine.WithResume())
	whole := new(standintest.Answer)
	must.NoError(t, client.Run(t.Context(), chat("r", "hello", true), whole))
	req := chat("r", "hello", true)
	req.ResumeFrom = 100
	rest := new(tail)
	must.NoError(t, client.Run(t.Context(), req, rest))
	must.Eq(t, whole.Body()[100:], string(rest.body))
	must.Eq(t, 100, rest.first)

	req.ID = "unknown"
	err := client.Run(t.Context(), req, new(tail))
	must.Eq(t, call.CodeResumeImpossible, call.AsError(err).Code)
}

// An engine that does not know how to resume would begin the answer again, and
// its start would be taken for the rest.
func TestEngineThatDoesNotResumeIsNotAsked(t *testing.T) {
	_, s, client := serve(t, engined.Options{})
	req := chat("r", "hello", true)
	req.ResumeFrom = 100
	err := client.Run(t.Context(), req, new(tail))
	must.Eq(t, call.CodeResumeImpossible, call.AsError(err).Code)
	must.Eq(t, call.RunNot, call.AsError(err).Run)
	must.Len(t, 0, s.Runs())
}

// tail collects an answer that begins at any offset.
type tail struct {
	first uint64
	body  []byte
}

func (*tail) Head(call.Head) error { return nil }
func (*tail) End(call.End) error   { return nil }
func (r *tail) Chunk(c call.Chunk) error {
	if r.body == nil {
		r.first = c.Offset
	}
	r.body = append(r.body, c.Data...)
	return nil
}

func TestAnswerOfAnotherRequestIsRefused(t *testing.T) {
	crossed := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(target.HeaderRequestID, "another")
		_, _ = w.Write([]byte("not yours"))
	})
	served := standintest.Serve(t, kernel.SystemNetwork{}, crossed)
	out := new(standintest.Answer)
	err := engine.New("engine-1", served.URL, served.Client).Run(t.Context(), chat("r", "hello", true), out)
	must.ErrorIs(t, err, target.ErrCrossed)
	must.Eq(t, "", out.Body())
}

const progress = 2 * time.Second

func TestSilentStreamIsNoticed(t *testing.T) {
	for _, resumes := range []bool{false, true} {
		t.Run(fmt.Sprintf("resumes %t", resumes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				options := []engine.Option{engine.WithProgress(kernel.SystemClock{}, progress)}
				opt := engined.Options{PerToken: time.Second, ResumeGrace: time.Minute}
				if resumes {
					options = append(options, engine.WithResume())
				}
				served, _, client := serveOn(t, kerneltest.NewNetwork(), opt, options...)
				parts := 0
				var silent time.Time
				out := &standintest.Answer{}
				out.OnChunk = func() {
					if parts++; parts == 3 {
						silent = time.Now()
						served.SilenceOpen()
					}
				}
				err := client.Run(t.Context(), chat("r", "hello", true), out)
				if resumes {
					must.NoError(t, err)
					must.Eq(t, wanted("hello"), words(out.Body()))
					return
				}
				must.ErrorIs(t, err, target.ErrSilent)
				must.Eq(t, call.RunUnknown, call.AsError(err).Run)
				must.LessEq(t, 2*progress, time.Since(silent))
			})
		})
	}
}

func TestSilentConnectionBeforeTheAnswerIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served, _, client := serveOn(t, kerneltest.NewNetwork(), engined.Options{},
			engine.WithProgress(kernel.SystemClock{}, progress))
		must.NoError(t, client.Run(t.Context(), chat("r1", "hello", true), new(standintest.Answer)))
		synctest.Wait()
		served.SilenceOpen()
		start := time.Now()
		err := client.Run(t.Context(), chat("r2", "hello", true), new(standintest.Answer))
		must.ErrorIs(t, err, target.ErrSilent)
		must.LessEq(t, 2*progress, time.Since(start))
		must.NoError(t, client.Run(t.Context(), chat("r3", "hello", true), new(standintest.Answer)))
	})
}

func TestSlowButAliveAnswerIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, client := serveOn(t, kerneltest.NewNetwork(), engined.Options{Prefill: time.Minute, PerToken: 10 * time.Second},
			engine.WithProgress(kernel.SystemClock{}, progress))
		for _, stream := range []bool{true, false} {
			out := new(standintest.Answer)
			must.NoError(t, client.Run(t.Context(), chat("r", "hello", stream), out))
		}
	})
}

func TestDeadlineAtTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, client := serveOn(t, kerneltest.NewNetwork(), engined.Options{Prefill: time.Hour})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := client.Run(ctx, chat("r", "hello", true), new(standintest.Answer))
		must.Eq(t, call.CodeDeadline, call.AsError(err).Code)
		must.Eq(t, call.RunUnknown, call.AsError(err).Run)
		synctest.Wait()
	})
}

func TestPrioritiesOrderTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s, client := serveOn(t, kerneltest.NewNetwork(), engined.Options{Slots: 1, Queue: 4, Prefill: time.Second})
		done := make(chan error, 4)
		for i, p := range []call.Priority{call.PriorityNormal, call.PriorityLow, call.PriorityNormal, call.PriorityHigh} {
			req := chat(fmt.Sprintf("r%d", i), "hello", true)
			req.Priority = p
			go func() { done <- client.Run(t.Context(), req, new(standintest.Answer)) }()
			synctest.Wait()
		}
		for range 4 {
			must.NoError(t, <-done)
		}
		var order []string
		for _, r := range s.Runs() {
			order = append(order, r.RequestID)
		}
		must.Eq(t, []string{"r0", "r3", "r2", "r1"}, order)
	})
}

func TestCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s, client := serveOn(t, kerneltest.NewNetwork(), engined.Options{EventDelay: time.Second, CacheTokens: 100})
		req := chat("r", strings.Repeat("x", 240), true)
		must.NoError(t, client.Run(t.Context(), req, new(standintest.Answer)))
		start := time.Now()
		page, err := client.CacheEvents(t.Context(), 0, 10*time.Second)
		must.NoError(t, err)
		must.Eq(t, time.Second, time.Since(start), must.Sprint("events come late"))
		must.Eq(t, engine.EventStored, page.Events[0].Kind)
		must.Eq(t, engine.CacheKey(req), page.Events[0].Key)

		must.NoError(t, client.Run(t.Context(), chat("r2", strings.Repeat("y", 240), true), new(standintest.Answer)))
		time.Sleep(time.Second)
		page, err = client.CacheEvents(t.Context(), page.Next, time.Second)
		must.NoError(t, err)
		evicted := func(e engine.Event) bool { return e.Kind == engine.EventEvicted && e.Key == engine.CacheKey(req) }
		must.SliceContainsFunc(t, page.Events, true, func(e engine.Event, _ bool) bool { return evicted(e) })

		s.TurnCold()
		time.Sleep(time.Second)
		again, err := client.CacheEvents(t.Context(), 0, time.Second)
		must.NoError(t, err)
		must.NotEq(t, page.Incarnation, again.Incarnation)
		must.Eq(t, engine.EventCleared, again.Events[0].Kind)
	})
}

func TestLostCacheEventsLeaveGaps(t *testing.T) {
	_, _, client := serve(t, engined.Options{EventLoss: 0.5, Seed: 1})
	for i := range 20 {
		must.NoError(t, client.Run(t.Context(), chat(fmt.Sprint(i), fmt.Sprint(i), true), new(standintest.Answer)))
	}
	page, err := client.CacheEvents(t.Context(), 0, 0)
	must.NoError(t, err)
	must.Greater(t, len(page.Events), int(page.Next), must.Sprint("numbers are missing"))
}

func TestCacheMovesToAnotherEngine(t *testing.T) {
	_, _, from := serve(t, engined.Options{CacheBytesPerToken: 64})
	_, s, to := serve(t, engined.Options{})
	req := chat("r", strings.Repeat("x", 400), true)
	must.NoError(t, from.Run(t.Context(), req, new(standintest.Answer)))
	key := engine.CacheKey(req)
	data, err := from.ExportCache(t.Context(), key)
	must.NoError(t, err)
	must.Greater(t, 64*100, len(data))
	must.NoError(t, to.ImportCache(t.Context(), key, data))
	must.NoError(t, to.Run(t.Context(), req, new(standintest.Answer)))
	must.Eq(t, s.Runs()[0].PromptTokens, s.Runs()[0].CachedTokens)

	_, err = from.ExportCache(t.Context(), "missing")
	must.ErrorIs(t, err, target.ErrRefused)
	must.ErrorIs(t, to.ImportCache(t.Context(), key, []byte("{}")), target.ErrRefused)
}

func TestOrdersAndFencing(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignores fencing %t", ignores), func(t *testing.T) {
			_, s, client := serve(t, engined.Options{IgnoresFencing: ignores})
			load := engine.Order{Kind: engine.OrderLoadModel, Model: "m2", Version: "v1", Fencing: 7}
			out, err := client.Order(t.Context(), load)
			must.NoError(t, err)
			must.Eq(t, engine.OrderResult{Applied: true, Fencing: 7}, out)
			adapter := engine.Order{Kind: engine.OrderLoadAdapter, Model: "m2", Adapter: "a", Fencing: 8}
			_, err = client.Order(t.Context(), adapter)
			must.NoError(t, err)

			stale := engine.Order{Kind: engine.OrderSetRole, Role: "prefill", Fencing: 6}
			_, err = client.Order(t.Context(), stale)
			must.Eq(t, ignores, err == nil)
			if !ignores {
				must.ErrorIs(t, err, target.ErrRefused)
				must.True(t, target.HasStatus(err, http.StatusConflict))
			}
			_, err = client.Order(t.Context(), engine.Order{Kind: engine.OrderLoadAdapter, Model: "no", Fencing: 9})
			must.ErrorIs(t, err, target.ErrRefused)

			report, err := client.Report(t.Context())
			must.NoError(t, err)
			must.Eq(t, []target.LoadedModel{{Model: "m2", Version: "v1", Adapters: []string{"a"}}}, report.Models)
			must.Eq(t, 4, len(s.Orders()))
			must.Eq(t, ignores, s.Orders()[2].Applied)
		})
	}
}

func TestReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, client := serveOn(t, kerneltest.NewNetwork(), engined.Options{ReportLag: 3 * time.Second, Prefill: time.Minute, ColdSlots: 2})
		done := make(chan error, 1)
		go func() { done <- client.Run(t.Context(), chat("r", "hello", true), new(standintest.Answer)) }()
		running := func() int {
			r, err := client.Report(t.Context())
			must.NoError(t, err)
			return r.Running
		}
		time.Sleep(2 * time.Second)
		must.Eq(t, 0, running())
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, running())
		must.NoError(t, <-done)
		must.Eq(t, 1, running())
		time.Sleep(4 * time.Second)
		must.Eq(t, 0, running())
	})
}

func TestFlappingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		served, _, client := serveOn(t, kerneltest.NewNetwork(), engined.Options{})
		served.Set(fault.Plan{FlapUp: config.Duration(time.Second), FlapDown: config.Duration(time.Second)})
		var up []bool
		for range 4 {
			_, err := client.Report(t.Context())
			up = append(up, err == nil)
			time.Sleep(time.Second)
		}
		must.Eq(t, []bool{true, false, true, false}, up)
	})
}
