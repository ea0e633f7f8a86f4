package peer

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// echo answers a request with its own body.
func echo(_ context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
	if err := sink.Head(call.Head{Attempt: req.Attempt, Status: 200, Target: "echo"}); err != nil {
		return err
	}
	if err := sink.Chunk(call.Chunk{Attempt: req.Attempt, Data: req.Body}); err != nil {
		return err
	}
	return sink.End(call.End{Attempt: req.Attempt, Length: uint64(len(req.Body)), Digest: xxhash.Sum64(req.Body)})
}

func TestCallBringsTheWholeAnswer(t *testing.T) {
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) { s.HandleCall(KindRun, echo) })
	introduceAll(t, a, b)

	body := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	out := new(recorded)
	err := a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r1", Attempt: 2, Body: body}, out)
	must.NoError(t, err)
	must.True(t, out.ended)
	must.Eq(t, call.Attempt(2), out.head.Attempt)
	must.Eq(t, xxhash.Sum64(body), xxhash.Sum64(out.body))
	must.Greater(t, uint64(len(body)), a.Traffic()[KindRun].Sent)
	must.Greater(t, uint64(len(body)), a.Traffic()[KindRun].Received)
	eventually(t, "that each byte sent is counted as received", func() bool {
		return a.total().Sent == b.total().Received && a.total().Received == b.total().Sent
	})
}

func TestQueryAndControl(t *testing.T) {
	got := make(chan string, 1)
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) {
		s.HandleQuery(KindLease, func(_ context.Context, from fleet.VM, payload []byte) ([]byte, error) {
			return append([]byte(from+":"), payload...), nil
		})
		s.HandleControl(KindHeartbeat, func(from fleet.VM, payload []byte) { got <- string(from) + ":" + string(payload) })
	})
	introduceAll(t, a, b)

	reply, err := a.Query(t.Context(), "b", KindLease, []byte("x"))
	must.NoError(t, err)
	must.Eq(t, "a:x", string(reply))
	must.NoError(t, a.Send("b", KindHeartbeat, []byte("y")))
	must.Eq(t, "a:y", <-got)
}

// TestFailedControlHandlerKeepsTheRouter sends a control message whose handler panics:
// the router and the connection must go on.
func TestFailedControlHandlerKeepsTheRouter(t *testing.T) {
	got := make(chan string, 1)
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) {
		s.HandleControl(KindHeartbeat, func(_ fleet.VM, payload []byte) {
			if len(payload) == 0 {
				panic("malformed")
			}
			got <- string(payload)
		})
	})
	introduceAll(t, a, b)
	eventually(t, "a connection", func() bool { return a.Send("b", KindHeartbeat, nil) == nil })
	must.NoError(t, a.Send("b", KindHeartbeat, []byte("y")))
	must.Eq(t, "y", <-got)
	must.Eq(t, 1, b.count("handlers_failed"))
}

func TestErrorsOfCalls(t *testing.T) {
	refusal := &call.Error{Code: call.CodeOverloaded, Step: "admission", Peer: "engine-1", Message: "full", Run: call.RunNot}
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) {
		s.HandleCall(KindRun, func(context.Context, fleet.VM, *call.Request, call.Sink) error { return refusal })
		s.HandleCall("none", func(context.Context, fleet.VM, *call.Request, call.Sink) error { return nil })
		s.HandleCall("panic", func(context.Context, fleet.VM, *call.Request, call.Sink) error { panic("broken") })
	})
	introduceAll(t, a, b)
	cases := []struct {
		name string
		to   fleet.VM
		kind Kind
		body int
		code call.Code
		run  call.Run
	}{
		{"the other router's error comes whole", "b", KindRun, 0, call.CodeOverloaded, call.RunNot},
		{"unknown router", "nobody", KindRun, 0, call.CodeUnavailable, call.RunNot},
		{"no handler", "b", "other", 0, call.CodeNotFound, call.RunNot},
		{"no end", "b", "none", 0, call.CodeInternal, call.RunUnknown},
		{"panic", "b", "panic", 0, call.CodeInternal, call.RunUnknown},
		{"too large", "b", KindRun, 9 << 20, call.CodeTooLarge, call.RunNot},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := &call.Request{ID: "r", Attempt: 1, Body: make([]byte, c.body)}
			err := a.Call(t.Context(), c.to, c.kind, req, new(recorded))
			var e *call.Error
			must.True(t, errors.As(err, &e))
			must.Eq(t, c.code, e.Code)
			must.Eq(t, c.run, e.Run)
			must.NotEq(t, "", e.Step)
		})
	}
}
