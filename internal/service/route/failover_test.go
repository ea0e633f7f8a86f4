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
	story = "data: once\n\ndata: upon\n\ndata: a time\n\n"
	other = "data: once\n\ndata: below\n\ndata: a time\n\n"
)

// turn is what one call to an owner does: it must be for target and resume
// from an offset, sends a part of an answer, and ends with an error.
type turn struct {
	target fleet.Target
	from   uint64
	answer string
	to     int
	err    *call.Error
}

// script is a transport whose calls follow turns.
type script struct {
	peer.Peers
	t     *testing.T
	turns []turn
}

func (s *script) Call(_ context.Context, _ fleet.VM, _ peer.Kind, req *call.Request, sink call.Sink) error {
	must.SliceNotEmpty(s.t, s.turns)
	now := s.turns[0]
	s.turns = s.turns[1:]
	must.Eq(s.t, now.target, req.Target)
	must.Eq(s.t, now.from, req.ResumeFrom)
	if now.err != nil && now.err.Run == call.RunNot {
		return now.err
	}
	if err := sink.Head(call.Head{Attempt: req.Attempt, Status: 200}); err != nil {
		return canceled(err)
	}
	for at := int(now.from); at < now.to; at += 5 {
		end := min(at+5, now.to)
		part := call.Chunk{Attempt: req.Attempt, Offset: uint64(at), Data: []byte(now.answer[at:end])}
		if err := sink.Chunk(part); err != nil {
			return canceled(err)
		}
	}
	if now.err != nil {
		return now.err
	}
	end := call.End{Attempt: req.Attempt, Length: uint64(len(now.answer)), Digest: xxhash.Sum64String(now.answer[now.from:])}
	if err := sink.End(end); err != nil {
		return canceled(err)
	}
	return nil
}

func canceled(err error) error {
	return &call.Error{Code: call.CodeCanceled, Step: "target", Run: call.RunUnknown, Cause: err}
}

// whole collects an answer and checks its parts.
type whole struct {
	body  string
	heads int
	ended bool
}

func (w *whole) Head(call.Head) error { w.heads++; return nil }

func (w *whole) Chunk(c call.Chunk) error {
	if int(c.Offset) != len(w.body) {
		return io.ErrUnexpectedEOF
	}
	w.body += string(c.Data)
	return nil
}

func (w *whole) End(e call.End) error {
	if int(e.Length) != len(w.body) || e.Digest != xxhash.Sum64String(w.body) {
		return io.ErrUnexpectedEOF
	}
	w.ended = true
	return nil
}

func newScripted(t *testing.T, turns []turn) (*Service, *script) {
	t.Helper()
	cfg := new(servicetest.Config)
	cfg.Set(config.Defaults())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	peers := &script{t: t, turns: turns}
	free := placement.Candidate{Slots: 8, Capacity: 8, Ready: true}
	a, b := free, free
	a.Target, b.Target = "a", "b"
	return &Service{
		config: cfg, targets: &fixedTargets{all: []placement.Candidate{a, b}}, owners: fixedOwners{vm: "vm-2"},
		peers: peers, clock: kernel.SystemClock{}, self: "vm-1", logger: logrus.NewEntry(logger),
		meters: newMeters(metrics.NewRegistry()),
		policy: fixedOrder{}, rules: placement.Bounded{}.Rules(), random: rand.New(rand.NewPCG(1, 1)),
		accounts: retry.NewBudgets[fleet.Account](1), byTarget: retry.NewBudgets[fleet.Target](1),
	}, peers
}

// TestAnswerGoesOn breaks an answer off in different ways. The caller must get
// the whole of one answer or an error that says so.
func TestAnswerGoesOn(t *testing.T) {
	ownerLost := &call.Error{Code: call.CodeUnavailable, Step: "peer", Run: call.RunUnknown}
	targetLost := &call.Error{Code: call.CodeCut, Step: stepTarget, Run: call.RunUnknown}
	noOwner := &call.Error{Code: call.CodeNotOwner, Step: "owner", Run: call.RunNot}
	gone := &call.Error{Code: call.CodeResumeImpossible, Step: stepTarget, Run: call.RunNot}
	cases := map[string]struct {
		turns []turn
		code  call.Code
		body  string
	}{
		"owner lost, next one resumes": {[]turn{
			{"a", 0, story, 17, ownerLost}, {"a", 17, story, 0, noOwner}, {"a", 17, story, len(story), nil},
		}, "", story},
		"owner lost before the first byte": {[]turn{
			{"a", 0, story, 0, ownerLost}, {"b", 0, story, len(story), nil},
		}, "", story},
		"owner lost, target has nothing": {[]turn{
			{"a", 0, story, 17, ownerLost}, {"a", 17, story, 0, gone}, {"b", 0, story, len(story), nil},
		}, "", story},
		"target lost, another runs it again": {[]turn{
			{"a", 0, story, 17, targetLost}, {"b", 0, story, len(story), nil},
		}, "", story},
		"target lost twice": {[]turn{
			{"a", 0, story, 17, targetLost}, {"b", 0, story, 12, targetLost}, {"a", 0, story, len(story), nil},
		}, "", story},
		"another run gives another answer": {[]turn{
			{"a", 0, story, 20, targetLost}, {"b", 0, other, len(other), nil},
		}, call.CodeResumeImpossible, story[:20]},
		"another run gives a shorter answer": {[]turn{
			{"a", 0, story, 20, targetLost}, {"b", 0, story[:12], 12, nil},
		}, call.CodeResumeImpossible, story[:20]},
		"too many attempts": {[]turn{
			{"a", 0, story, 5, targetLost}, {"b", 0, story, 10, targetLost}, {"a", 0, story, 15, targetLost},
		}, call.CodeCut, story[:15]},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, peers := newScripted(t, c.turns)
				w := &whole{}
				req := &call.Request{ID: "r", Attempt: 1, Kind: call.KindChat, Model: "m", Repeatable: true, Deadline: time.Now().Add(time.Minute)}
				err := s.Run(t.Context(), req, w)
				must.Len(t, 0, peers.turns)
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

// TestOrderIsSentToOneTarget requires that a call that can't be repeated is
// given up when its target or owner may have it.
func TestOrderIsSentToOneTarget(t *testing.T) {
	for _, e := range []*call.Error{
		{Code: call.CodeUnavailable, Step: "peer", Run: call.RunUnknown},
		{Code: call.CodeUnavailable, Step: stepTarget, Run: call.RunUnknown},
		{Code: call.CodeCut, Step: stepTarget, Run: call.RunUnknown},
	} {
		for _, to := range []int{0, 10} {
			s, peers := newScripted(t, []turn{{"a", 0, story, to, e}})
			req := &call.Request{ID: "r", Attempt: 1, Kind: call.KindChat, Model: "m", Deadline: time.Now().Add(time.Minute)}
			err := s.Run(t.Context(), req, &whole{})
			must.Eq(t, call.RunUnknown, call.AsError(err).Run)
			must.Len(t, 0, peers.turns)
		}
	}
}
