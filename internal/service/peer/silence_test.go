package peer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
)

// slowly answers with one part each period.
func slowly(period time.Duration, parts int) CallHandler {
	return func(ctx context.Context, from fleet.VM, req *call.Request, sink call.Sink) error {
		for range parts {
			select {
			case <-time.After(period):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return echo(ctx, from, req, sink)
	}
}

// bubblePair starts two routers that know each other on a network of their
// own; setUp adds handlers to the second.
func bubblePair(t *testing.T, setUp func(*Service)) (network *kerneltest.Network, a, b *router) {
	t.Helper()
	network = kerneltest.NewNetwork()
	a = startRouter(t, "a", network, "", nil)
	b = startRouter(t, "b", network, "", setUp)
	introduceAll(t, a, b)
	return network, a, b
}

// startCall calls router b in the background and waits until it works on the
// request.
func startCall(t *testing.T, a *router) <-chan error {
	t.Helper()
	answer := make(chan error, 1)
	go func() {
		answer <- a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r", Attempt: 1}, new(recorded))
	}()
	synctest.Wait()
	return answer
}

func TestSilentConnectionIsNoticedAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _ := bubblePair(t, func(s *Service) {
			s.HandleCall(KindRun, slowly(time.Minute, 1))
			s.HandleCall(KindSubmit, echo)
		})
		answer := startCall(t, a)
		start := time.Now()
		network.SilenceOpen()
		var e *call.Error
		must.True(t, errors.As(<-answer, &e))
		must.Eq(t, call.RunUnknown, e.Run)
		must.ErrorIs(t, e, errSilent)
		limit := a.settings.Ping.Std()/2 + 2*a.settings.Suspect.Std() + 3*tickPeriod
		must.Between(t, 2*a.settings.Suspect.Std(), time.Since(start), limit)

		must.NoError(t, a.Call(t.Context(), "b", KindSubmit, &call.Request{ID: "r2"}, new(recorded)))
	})
}

// TestControlMessagesMoveToANewConnection silences a connection that carries
// control messages only. They must get through again well within a lease.
func TestControlMessagesMoveToANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan time.Time, 1000)
		network, a, _ := bubblePair(t, func(s *Service) {
			s.HandleControl(KindLease, func(fleet.VM, []byte) { got <- time.Now() })
		})
		period := 100 * time.Millisecond
		beat := func(n int) {
			for range n {
				_ = a.Send("b", KindLease, []byte("renewal"))
				time.Sleep(period)
			}
		}
		beat(20)
		network.SilenceOpen()
		silent := time.Now()
		beat(20)
		var longest time.Duration
		last := silent
		for len(got) > 0 {
			if at := <-got; at.After(silent) {
				longest = max(longest, at.Sub(last))
				last = at
			}
		}
		limit := a.settings.Ping.Std() + a.settings.Suspect.Std() + 3*tickPeriod
		must.Between(t, period, longest, limit)
	})
}

// TestUnreachableRouterIsGivenUpLater takes the router away behind the silent
// connection: nothing shows that it is alive, so its answers get the whole
// time.
func TestUnreachableRouterIsGivenUpLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, b := bubblePair(t, func(s *Service) { s.HandleCall(KindRun, slowly(time.Minute, 1)) })
		answer := startCall(t, a)
		start := time.Now()
		network.SilenceOpen()
		must.NoError(t, a.listener.Close())
		must.NoError(t, b.listener.Close())
		must.ErrorIs(t, <-answer, errSilent)
		must.Between(t, a.settings.Silence.Std(), time.Since(start), a.settings.Silence.Std()+a.settings.Ping.Std()+3*tickPeriod)
	})
}

// TestOwnPauseIsNoSilence pauses a router while a probe of its own is under
// way: it must read what has come before it blames the other side.
func TestOwnPauseIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _ := bubblePair(t, func(s *Service) { s.HandleCall(KindRun, slowly(time.Second, 1)) })
		answer := make(chan error, 1)
		go func() {
			answer <- a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r", Attempt: 1}, new(recorded))
		}()
		time.Sleep(2 * tickPeriod)
		synctest.Wait()
		for _, c := range a.links.all() {
			c.pinged.Store(time.Now().UnixNano())
		}
		a.tick(time.Now().Add(time.Minute))
		must.Eq(t, 0, a.count("connections_silent"))
		must.NoError(t, <-answer)
	})
}

func TestSlowButAliveAnswerIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := bubblePair(t, func(s *Service) { s.HandleCall(KindRun, slowly(time.Second, 100)) })
		must.NoError(t, a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r", Attempt: 1}, new(recorded)))
		must.Eq(t, 0, a.count("connections_silent")+b.count("connections_silent"))
	})
}

func TestIdleConnectionCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _ := bubblePair(t, func(s *Service) { s.HandleCall(KindRun, echo) })
		must.NoError(t, a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r"}, new(recorded)))
		time.Sleep(10 * time.Second)
		before := a.total()
		time.Sleep(time.Hour)
		must.Eq(t, before, a.total())
	})
}

func TestIdleSilentConnectionIsProbedBeforeUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _ := bubblePair(t, func(s *Service) { s.HandleCall(KindRun, echo) })
		must.NoError(t, a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r"}, new(recorded)))
		time.Sleep(time.Hour)
		network.SilenceOpen()
		start := time.Now()
		err := a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r2"}, new(recorded))
		must.ErrorIs(t, err, errSilent)
		must.Between(t, 0, time.Since(start), a.settings.Silence.Std()+2*tickPeriod)
	})
}

func TestDeadlineTravelsAsTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left := make(chan time.Duration, 1)
		_, a, _ := bubblePair(t, func(s *Service) {
			s.HandleCall(KindRun, func(ctx context.Context, _ fleet.VM, req *call.Request, _ call.Sink) error {
				left <- time.Until(req.Deadline)
				<-ctx.Done()
				return &call.Error{Code: call.CodeDeadline, Step: "queue", Run: call.RunNot, Message: "deadline passed in the queue"}
			})
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		req := &call.Request{ID: "r", Deadline: time.Now().Add(3 * time.Second)}
		err := a.Call(ctx, "b", KindRun, req, new(recorded))
		must.Eq(t, 3*time.Second, <-left)
		var e *call.Error
		must.True(t, errors.As(err, &e))
		must.Eq(t, call.RunNot, e.Run, must.Sprint("the other router's word counts, also at the deadline"))
	})
}

func TestUnlistedRouterIsLeftAfterTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := bubblePair(t, func(s *Service) { s.HandleCall(KindRun, slowly(time.Minute, 1)) })
		answer := startCall(t, a)
		a.SetPeers(nil)
		time.Sleep(40 * time.Second)
		must.Eq(t, 1, len(a.links.all()), must.Sprint("the running answer keeps its connection"))
		must.NoError(t, <-answer)
		time.Sleep(time.Second)
		must.Eq(t, 0, len(a.links.all()))
		must.Eq(t, 0, len(b.links.all()))
	})
}
