package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// blockUntilCanceled starts an answer, waits until nobody wants it, and ends
// it with an error that says run.
func blockUntilCanceled(canceled chan<- error, run call.Run) CallHandler {
	return func(ctx context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
		if err := sink.Head(call.Head{Attempt: req.Attempt, Status: 200}); err != nil {
			return err
		}
		if err := sink.Chunk(call.Chunk{Attempt: req.Attempt, Data: []byte("part")}); err != nil {
			return err
		}
		<-ctx.Done()
		canceled <- context.Cause(ctx)
		return &call.Error{Code: call.CodeCanceled, Step: "owner", Message: "canceled in the queue", Run: run}
	}
}

func TestCancelReachesTheHandler(t *testing.T) {
	canceled := make(chan error, 1)
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) { s.HandleCall(KindRun, blockUntilCanceled(canceled, call.RunNot)) })
	introduceAll(t, a, b)

	ctx, cancel := context.WithCancel(t.Context())
	err := a.Call(ctx, "b", KindRun, &call.Request{ID: "r", Attempt: 1}, &recorded{onGet: cancel})
	must.ErrorIs(t, <-canceled, errCanceledThere)
	var e *call.Error
	must.True(t, errors.As(err, &e))
	must.Eq(t, call.RunNot, e.Run, must.Sprint("the other router knows that the call did not run"))
	must.Eq(t, "owner", e.Step)
}

func TestStoppedRouterCutsItsAnswers(t *testing.T) {
	canceled := make(chan error, 1)
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) { s.HandleCall(KindRun, blockUntilCanceled(canceled, call.RunUnknown)) })
	introduceAll(t, a, b)

	var once sync.Once
	out := &recorded{onGet: func() { once.Do(func() { go func() { _ = b.Stop(context.Background()) }() }) }}
	err := a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r", Attempt: 1}, out)
	var e *call.Error
	must.True(t, errors.As(err, &e))
	must.Eq(t, call.RunUnknown, e.Run)
	must.False(t, out.ended)

	err = a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r2", Attempt: 1}, new(recorded))
	must.True(t, errors.As(err, &e))
	must.Eq(t, call.RunNot, e.Run, must.Sprint("nothing can be sent to a router that is gone"))
}

// TestLostRouterIsNoErrorOfASocket loses the other router in the middle of an answer. The error
// must not pass for that of a connection which the other router had to somebody else.
func TestLostRouterIsNoErrorOfASocket(t *testing.T) {
	for name, cause := range map[string]error{
		"end": io.EOF, "end in a frame": io.ErrUnexpectedEOF, "reset": syscall.ECONNRESET, "broken pipe": syscall.EPIPE,
	} {
		t.Run(name, func(t *testing.T) {
			a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
			b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) {
				s.HandleCall(KindRun, blockUntilCanceled(make(chan error, 1), call.RunUnknown))
			})
			introduceAll(t, a, b)
			out := &recorded{onGet: func() {
				for _, c := range a.links.all() {
					c.close(fmt.Errorf("read frame: %w", cause))
				}
			}}
			err := a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r", Attempt: 1}, out)
			must.StrContains(t, err.Error(), cause.Error())
			must.False(t, errors.Is(err, cause), must.Sprint(err))
			must.Eq(t, call.RunUnknown, call.AsError(err).Run)
		})
	}
}

func TestWrongAnswersAreCutOff(t *testing.T) {
	head := func(req *call.Request, sink call.Sink) error {
		return sink.Head(call.Head{Attempt: req.Attempt, Status: 200})
	}
	cases := []struct {
		name   string
		answer func(req *call.Request, sink call.Sink) error
	}{
		{"digest differs", func(req *call.Request, sink call.Sink) error {
			return errors.Join(head(req, sink),
				sink.Chunk(call.Chunk{Attempt: 1, Data: []byte("abc")}),
				sink.End(call.End{Attempt: 1, Length: 3, Digest: 1}))
		}},
		{"length differs", func(req *call.Request, sink call.Sink) error {
			return errors.Join(head(req, sink),
				sink.Chunk(call.Chunk{Attempt: 1, Data: []byte("abc")}),
				sink.End(call.End{Attempt: 1, Length: 4}))
		}},
		{"a part is missing", func(req *call.Request, sink call.Sink) error {
			return errors.Join(head(req, sink),
				sink.Chunk(call.Chunk{Attempt: 1, Data: []byte("abc")}),
				sink.Chunk(call.Chunk{Attempt: 1, Offset: 7, Data: []byte("abc")}))
		}},
		{"no head", func(_ *call.Request, sink call.Sink) error {
			return sink.End(call.End{Attempt: 1})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
			b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) {
				s.HandleCall(KindRun, func(_ context.Context, _ fleet.VM, req *call.Request, sink call.Sink) error {
					return c.answer(req, sink)
				})
			})
			introduceAll(t, a, b)
			out := new(recorded)
			err := a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r", Attempt: 1}, out)
			var e *call.Error
			must.True(t, errors.As(err, &e))
			must.Eq(t, call.CodeCut, e.Code)
			must.Eq(t, call.RunUnknown, e.Run)
			must.False(t, out.ended)
		})
	}
}

func TestRepeatedChunksAreDropped(t *testing.T) {
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) {
		s.HandleCall(KindRun, func(ctx context.Context, from fleet.VM, req *call.Request, sink call.Sink) error {
			_ = sink.Head(call.Head{Attempt: 1, Status: 200})
			_ = sink.Chunk(call.Chunk{Attempt: 1, Data: req.Body})
			_ = sink.Chunk(call.Chunk{Attempt: 2, Offset: uint64(len(req.Body)), Data: []byte("other attempt")})
			return echo(ctx, from, req, sink)
		})
	})
	introduceAll(t, a, b)
	out := new(recorded)
	must.NoError(t, a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r", Attempt: 1, Body: []byte("abc")}, out))
	must.Eq(t, "abc", string(out.body))
	must.Eq(t, 2, a.count("frames_repeated"), must.Sprint("a head and a chunk"))
	must.Eq(t, 1, a.count("frames_crossed"))
}

func TestSlowReaderHoldsUpOnlyItself(t *testing.T) {
	release := make(chan struct{})
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) { s.HandleCall(KindRun, echo) })
	introduceAll(t, a, b)

	body := bytes.Repeat([]byte("x"), 4<<20)
	slow := make(chan error, 1)
	go func() {
		out := &recorded{onGet: func() { <-release }}
		slow <- a.Call(t.Context(), "b", KindRun, &call.Request{ID: "slow", Attempt: 1, Body: body}, out)
	}()
	for range 20 {
		must.NoError(t, a.Call(t.Context(), "b", KindRun, &call.Request{ID: "fast", Attempt: 1, Body: []byte("y")}, new(recorded)))
	}
	close(release)
	must.NoError(t, <-slow)
}

func TestSimultaneousDialsLeaveOneConnection(t *testing.T) {
	for range 20 {
		a := startRouter(t, "a", kernel.SystemNetwork{}, "", func(s *Service) { s.HandleCall(KindRun, echo) })
		b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) { s.HandleCall(KindRun, echo) })
		introduceAll(t, a, b)
		var wg sync.WaitGroup
		errs := make(chan error, 2)
		call := func(from *router, to fleet.VM) {
			wg.Go(func() {
				errs <- from.Call(t.Context(), to, KindRun, &call.Request{ID: call.ID(to), Attempt: 1, Body: []byte("x")}, new(recorded))
			})
		}
		call(a, "b")
		call(b, "a")
		wg.Wait()
		must.NoError(t, <-errs)
		must.NoError(t, <-errs)
		eventually(t, "one connection", func() bool { return len(a.links.all()) == 1 && len(b.links.all()) == 1 })
		must.Eq(t, a.links.all()[0].number, b.links.all()[0].number)
	}
}

func TestPreferIsTheSameOnBothSides(t *testing.T) {
	byA := origin{dialer: "a", number: 1}
	byB := origin{dialer: "b", number: 2}
	must.False(t, prefer(byA, byB))
	must.True(t, prefer(byB, byA))

	again := origin{dialer: "b", number: 3, previous: 1}
	must.True(t, prefer(byA, again), must.Sprint("b knew of a's connection and gave it up"))
	must.False(t, prefer(again, byA), must.Sprint("the older one arrives late"))
	must.True(t, prefer(byA, origin{dialer: "a", number: 4}), must.Sprint("a has dialed anew"))
}

// rawDial opens a connection to r and sends the frames as they are.
func rawDial(t *testing.T, r *router, hello *wire.Hello, frames ...[]byte) (net.Conn, *wire.Reader) {
	t.Helper()
	raw, err := net.Dial("tcp", r.Addr())
	must.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	if hello != nil {
		must.NoError(t, r.writeHello(raw, *hello))
	}
	for _, f := range frames {
		_, err := raw.Write(f)
		must.NoError(t, err)
	}
	return raw, wire.NewReader(raw, wire.DefaultMaxFrameBytes)
}

func encodeFrame(t *testing.T, f *wire.Frame) []byte {
	t.Helper()
	data, err := wire.Append(nil, f)
	must.NoError(t, err)
	return data
}

func TestBadBytesCloseOnlyTheirConnection(t *testing.T) {
	hello := &wire.Hello{MinVersion: 1, MaxVersion: 9, VM: "raw", Incarnation: 1, Connection: 5, WindowBytes: 1 << 20}
	garbage := append(binary.BigEndian.AppendUint32(nil, 3), 0xc1, 0xc1, 0xc1)
	cases := []struct {
		name  string
		hello *wire.Hello
		bytes []byte
	}{
		{"no hello", nil, encodeFrame(t, &wire.Frame{Type: wire.TypePing})},
		{"garbage for a hello", nil, garbage},
		{"versions without overlap", &wire.Hello{MinVersion: 7, MaxVersion: 9, VM: "raw"}, nil},
		{"the router's own name", &wire.Hello{MinVersion: 1, MaxVersion: 1, VM: "b"}, nil},
		{"garbage", hello, garbage},
		{"too large", hello, binary.BigEndian.AppendUint32(nil, 1<<30)},
		{"unknown type", hello, encodeFrame(t, &wire.Frame{Type: 99})},
		{"second hello", hello, encodeFrame(t, &wire.Frame{Type: wire.TypeHello})},
		{"call without a request", hello, encodeFrame(t, &wire.Frame{Type: wire.TypeCall, Stream: 1, Kind: "run"})},
		{"stream of the wrong side", hello, encodeFrame(t, &wire.Frame{Type: wire.TypeQuery, Stream: 2, Kind: "lease"})},
	}
	a := startRouter(t, "a", kernel.SystemNetwork{}, "", nil)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) { s.HandleCall(KindRun, echo) })
	introduceAll(t, a, b)
	must.NoError(t, a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r"}, new(recorded)))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, in := rawDial(t, b, c.hello, c.bytes)
			var types []wire.Type
			for {
				f, _, err := in.Read()
				if err != nil {
					break
				}
				types = append(types, f.Type)
			}
			must.SliceContains(t, types, wire.TypeGoAway, must.Sprint("the reason is told before the close"))
		})
	}
	must.Eq(t, 1, len(a.links.all()))
	must.NoError(t, a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r"}, new(recorded)))
}

func TestRepeatedStreamRunsOnce(t *testing.T) {
	ran := make(chan call.ID, 3)
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", func(s *Service) {
		s.HandleCall(KindRun, func(ctx context.Context, from fleet.VM, req *call.Request, sink call.Sink) error {
			ran <- req.ID
			return echo(ctx, from, req, sink)
		})
	})
	body, err := wire.Marshal(wire.Call{Request: &call.Request{ID: "r", Attempt: 1}})
	must.NoError(t, err)
	open := encodeFrame(t, &wire.Frame{Type: wire.TypeCall, Stream: 1, Kind: "run", Request: "r", Attempt: 1, Body: body})
	crossed := encodeFrame(t, &wire.Frame{Type: wire.TypeCall, Stream: 3, Kind: "run", Request: "other", Attempt: 1, Body: body})
	hello := &wire.Hello{MinVersion: 1, MaxVersion: 1, VM: "raw", Incarnation: 1, Connection: 5, WindowBytes: 1 << 20}
	rawDial(t, b, hello, open, open, crossed)
	must.Eq(t, "r", <-ran)
	eventually(t, "the count of dropped frames", func() bool {
		return b.count("frames_repeated") == 1 && b.count("frames_crossed") == 1
	})
	must.Eq(t, 0, len(ran))
}

func TestOldIncarnationIsRefused(t *testing.T) {
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", nil)
	hello := wire.Hello{MinVersion: 1, MaxVersion: 1, VM: "raw", Incarnation: 7, Connection: 5}
	_, in := rawDial(t, b, &hello)
	_, _, err := in.Read()
	must.NoError(t, err)
	eventually(t, "the first connection", func() bool { return len(b.links.all()) == 1 })
	hello.Incarnation, hello.Connection = 6, 6
	_, in = rawDial(t, b, &hello)
	for err == nil {
		_, _, err = in.Read()
	}
	must.Eq(t, 1, len(b.links.all()))
	must.Eq(t, 5, b.links.all()[0].number)
}

// TestRestartWithAnEarlierClockIsLetIn lets a router start anew whose clock went
// back, once its old process is gone.
func TestRestartWithAnEarlierClockIsLetIn(t *testing.T) {
	b := startRouter(t, "b", kernel.SystemNetwork{}, "", nil)
	hello := wire.Hello{MinVersion: 1, MaxVersion: 1, VM: "raw", Incarnation: 7, Connection: 5}
	raw, in := rawDial(t, b, &hello)
	_, _, err := in.Read()
	must.NoError(t, err)
	eventually(t, "the first connection", func() bool { return len(b.links.all()) == 1 })
	must.NoError(t, raw.Close())
	eventually(t, "its end", func() bool { return len(b.links.all()) == 0 })
	hello.Incarnation, hello.Connection = 6, 6
	_, in = rawDial(t, b, &hello)
	_, _, err = in.Read()
	must.NoError(t, err)
	eventually(t, "the second connection", func() bool { return len(b.links.all()) == 1 && b.links.all()[0].number == 6 })
}
