package route

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/core/retry"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

const (
	body      = "data: once\n\ndata: upon\n\ndata: a time\n\n"
	otherBody = "data: once\n\ndata: below\n\ndata: a time\n\n"
)

// scriptedCall describes one call to an owner: the target and resume offset that it
// must have, the response that it sends up to the offset end, and the error with
// which it ends.
type scriptedCall struct {
	target     fleet.Target
	resumeFrom uint64
	response   string
	end        int
	err        *call.Error
}

// scriptedPeers is a peer transport that carries out calls in order. Each call must
// be the next one of the list.
type scriptedPeers struct {
	peer.Peers
	t     *testing.T
	calls []scriptedCall
}

func (s *scriptedPeers) Call(_ context.Context, _ fleet.VM, _ peer.Kind, req *call.Request, sink call.Sink) error {
	must.SliceNotEmpty(s.t, s.calls)
	next := s.calls[0]
	s.calls = s.calls[1:]
	must.Eq(s.t, next.target, req.Target)
	must.Eq(s.t, next.resumeFrom, req.ResumeFrom)
	if next.err != nil && next.err.Run == call.RunNot {
		return next.err
	}
	if err := sink.Head(call.Head{Attempt: req.Attempt, Status: 200}); err != nil {
		return canceled(err)
	}
	for at := int(next.resumeFrom); at < next.end; at += 5 {
		end := min(at+5, next.end)
		part := call.Chunk{Attempt: req.Attempt, Offset: uint64(at), Data: []byte(next.response[at:end])}
		if err := sink.Chunk(part); err != nil {
			return canceled(err)
		}
	}
	if next.err != nil {
		return next.err
	}
	end := call.End{Attempt: req.Attempt, Length: uint64(len(next.response)), Digest: xxhash.Sum64String(next.response[next.resumeFrom:])}
	if err := sink.End(end); err != nil {
		return canceled(err)
	}
	return nil
}

// canceled returns the error of a call whose sink returned err.
func canceled(err error) error {
	return &call.Error{Code: call.CodeCanceled, Step: "target", Run: call.RunUnknown, Cause: err}
}

// checkedResponse collects a response and requires that its parts are contiguous
// and that its end has their length and digest.
type checkedResponse struct {
	body  string
	heads int
	ended bool
}

func (w *checkedResponse) Head(call.Head) error { w.heads++; return nil }

func (w *checkedResponse) Chunk(c call.Chunk) error {
	if int(c.Offset) != len(w.body) {
		return io.ErrUnexpectedEOF
	}
	w.body += string(c.Data)
	return nil
}

func (w *checkedResponse) End(e call.End) error {
	if int(e.Length) != len(w.body) || e.Digest != xxhash.Sum64String(w.body) {
		return io.ErrUnexpectedEOF
	}
	w.ended = true
	return nil
}

// newScriptedService returns a service with the free targets a and b, whose owner
// vm-2 responds as calls says.
func newScriptedService(t *testing.T, calls []scriptedCall) (*Service, *scriptedPeers) {
	t.Helper()
	cfg := new(servicetest.Config)
	cfg.Set(config.Defaults())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	peers := &scriptedPeers{t: t, calls: calls}
	free := placement.Candidate{Slots: 8, Capacity: 8, Ready: true}
	a, b := free, free
	a.Target, b.Target = "a", "b"
	return &Service{
		config: cfg, targets: &fixedTargets{all: []placement.Candidate{a, b}}, owners: fixedOwners{vm: "vm-2"},
		peers: peers, clock: kernel.SystemClock{}, self: "vm-1", logger: logrus.NewEntry(logger),
		meters: newMeters(metrics.NewRegistry()),
		policy: fixedOrder{}, rules: placement.Bounded{}.Rules(), random: rand.New(rand.NewPCG(1, 1)),
		accountBudgets: retry.NewBudgets[fleet.Account](1), targetBudgets: retry.NewBudgets[fleet.Target](1),
	}, peers
}

// TestResponseFailover breaks a response off when its owner or target fails. The
// caller must get one complete response, resumed or joined with that of another
// run, or an error that tells why it was cut.
func TestResponseFailover(t *testing.T) {
	ownerLost := &call.Error{Code: call.CodeUnavailable, Step: stepPeer, Run: call.RunUnknown}
	targetLost := &call.Error{Code: call.CodeCut, Step: stepTarget, Run: call.RunUnknown}
	noOwner := &call.Error{Code: call.CodeNotOwner, Step: "owner", Run: call.RunNot}
	noResponse := &call.Error{Code: call.CodeResumeImpossible, Step: stepTarget, Run: call.RunNot}
	cases := map[string]struct {
		calls []scriptedCall
		code  call.Code
		body  string
	}{
		"owner lost, next owner resumes": {[]scriptedCall{
			{"a", 0, body, 17, ownerLost}, {"a", 17, body, 0, noOwner}, {"a", 17, body, len(body), nil},
		}, "", body},
		"owner lost before the first byte": {[]scriptedCall{
			{"a", 0, body, 0, ownerLost}, {"b", 0, body, len(body), nil},
		}, "", body},
		"owner lost, target cannot resume": {[]scriptedCall{
			{"a", 0, body, 17, ownerLost}, {"a", 17, body, 0, noResponse}, {"b", 0, body, len(body), nil},
		}, "", body},
		"target lost, another target runs the request": {[]scriptedCall{
			{"a", 0, body, 17, targetLost}, {"b", 0, body, len(body), nil},
		}, "", body},
		"target lost twice": {[]scriptedCall{
			{"a", 0, body, 17, targetLost}, {"b", 0, body, 12, targetLost}, {"a", 0, body, len(body), nil},
		}, "", body},
		"another run gives a different response": {[]scriptedCall{
			{"a", 0, body, 20, targetLost}, {"b", 0, otherBody, len(otherBody), nil},
		}, call.CodeResumeImpossible, body[:20]},
		"another run gives a shorter response": {[]scriptedCall{
			{"a", 0, body, 20, targetLost}, {"b", 0, body[:12], 12, nil},
		}, call.CodeResumeImpossible, body[:20]},
		"too many attempts": {[]scriptedCall{
			{"a", 0, body, 5, targetLost}, {"b", 0, body, 10, targetLost}, {"a", 0, body, 15, targetLost},
		}, call.CodeCut, body[:15]},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, peers := newScriptedService(t, c.calls)
				w := &checkedResponse{}
				req := &call.Request{ID: "r", Attempt: 1, Kind: call.KindChat, Model: "m", Repeatable: true, Deadline: time.Now().Add(time.Minute)}
				err := s.Run(t.Context(), req, w)
				must.Len(t, 0, peers.calls)
				must.Eq(t, c.body, w.body)
				must.LessEq(t, 1, w.heads)
				if c.code == "" {
					must.NoError(t, err)
					must.True(t, w.ended)
					return
				}
				must.Eq(t, c.code, call.AsError(err).Code)
				must.False(t, w.ended)
			})
		})
	}
}

// TestNonRepeatableSentOnce requires that a request that is not repeatable fails
// with an unknown outcome, and is not retried, if its owner or target is lost after
// the request may have reached it.
func TestNonRepeatableSentOnce(t *testing.T) {
	for _, e := range []*call.Error{
		{Code: call.CodeUnavailable, Step: stepPeer, Run: call.RunUnknown},
		{Code: call.CodeUnavailable, Step: stepTarget, Run: call.RunUnknown},
		{Code: call.CodeCut, Step: stepTarget, Run: call.RunUnknown},
	} {
		for _, end := range []int{0, 10} {
			s, peers := newScriptedService(t, []scriptedCall{{"a", 0, body, end, e}})
			req := &call.Request{ID: "r", Attempt: 1, Kind: call.KindChat, Model: "m", Deadline: time.Now().Add(time.Minute)}
			err := s.Run(t.Context(), req, &checkedResponse{})
			must.Eq(t, call.RunUnknown, call.AsError(err).Run)
			must.Len(t, 0, peers.calls)
		}
	}
}

// TestLaterRefusalIsNotCalledNotRun lets the owner or the target of a request be lost after the
// request was sent, and the next attempt be refused. The error must not say that the request did
// not run.
func TestLaterRefusalIsNotCalledNotRun(t *testing.T) {
	for _, first := range []*call.Error{
		{Code: call.CodeUnavailable, Step: stepPeer, Run: call.RunUnknown},
		{Code: call.CodeUnavailable, Step: stepTarget, Run: call.RunUnknown},
		{Code: call.CodeCut, Step: stepTarget, Run: call.RunUnknown},
	} {
		for _, refusal := range []*call.Error{
			{Code: call.CodeDeadline, Step: "admission", Run: call.RunNot},
			{Code: call.CodeBadRequest, Step: stepTarget, Run: call.RunNot},
		} {
			s, peers := newScriptedService(t, []scriptedCall{{"a", 0, body, 0, first}, {"b", 0, body, 0, refusal}})
			req := &call.Request{ID: "r", Attempt: 1, Kind: call.KindChat, Model: "m", Repeatable: true, Deadline: time.Now().Add(time.Minute)}
			err := call.AsError(s.Run(t.Context(), req, &checkedResponse{}))
			must.Len(t, 0, peers.calls)
			must.Eq(t, refusal.Code, err.Code)
			must.Eq(t, call.RunUnknown, err.Run, must.Sprint(err))
		}
	}
}
