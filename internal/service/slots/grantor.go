package slots

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// refreshPeriod is how often the grantor looks at the targets of a service and the loads
	// that other routers report.
	refreshPeriod = 250 * time.Millisecond
	// maxHold bounds how long a query is held.
	maxHold = time.Second
	// maxTargets bounds the targets that one query may name.
	maxTargets = 1024
	// maxDeadline bounds the time to the deadline of a query, and so the life of a grant that is
	// not returned.
	maxDeadline = 2 * time.Minute
)

// queue is the queue of one service, at its grantor.
type queue struct {
	service fleet.Service
	host    *Service

	mu      sync.Mutex
	grantor *slotqueue.Grantor
	// answers holds the channel of each query that waits.
	answers map[uint64]chan slotqueue.Decision
	// refreshed is the time at which the targets were last looked at.
	refreshed time.Time
	// waiting and granted are the numbers that the metrics hold.
	waiting, granted int
	// checking is true while a check is scheduled.
	checking bool
}

// queueOf returns the queue of a service, nil if it has no targets. A queue is kept for as long
// as the process runs.
func (s *Service) queueOf(service fleet.Service) *queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[service]
	if !ok && len(s.site.Available(service)) > 0 {
		q = &queue{service: service, host: s, grantor: slotqueue.NewGrantor(), answers: make(map[uint64]chan slotqueue.Decision)}
		s.queues[service] = q
	}
	return q
}

// ask decides on a query, and waits for a slot if there is none.
func (s *Service) ask(ctx context.Context, from fleet.VM, m *placeQuery) placeReply {
	q := s.queueOf(m.Service)
	if q == nil {
		return placeReply{State: slotqueue.Refused, Reason: slotqueue.NoTarget}
	}
	return q.ask(ctx, from, m)
}

// release takes a grant back.
func (s *Service) release(m *placeRelease) {
	if q := s.queueOf(m.Service); q != nil {
		q.release(m)
	}
}

// handlePlace answers another router's query. It is held until there is a slot.
func (s *Service) handlePlace(ctx context.Context, from fleet.VM, payload []byte) ([]byte, error) {
	var m placeQuery
	err := wire.Unmarshal(payload, &m)
	if err == nil && (len(m.Targets) == 0 || len(m.Targets) > maxTargets || m.Hold < 0) {
		err = fmt.Errorf("%d targets, hold %d ms", len(m.Targets), m.Hold)
	}
	if err != nil {
		return nil, &call.Error{Code: call.CodeBadRequest, Step: Name, Peer: string(from), Run: call.RunNot, Message: "decode query: " + err.Error()}
	}
	reply := s.ask(ctx, from, &m)
	return wire.Marshal(&reply)
}

// handleRelease takes back a grant.
func (s *Service) handleRelease(from fleet.VM, payload []byte) {
	var m placeRelease
	if err := wire.Unmarshal(payload, &m); err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Failed to decode the release of a grant.")
		return
	}
	s.release(&m)
}

// ask decides on a query and waits for a slot. A query that is held for too long is answered
// that it waits, and keeps its place for a moment.
func (q *queue) ask(ctx context.Context, from fleet.VM, m *placeQuery) placeReply {
	asked := q.host.clock.Now()
	d, answer := q.begin(ctx, asked, from, m)
	if answer == nil {
		return newReply(d, 0)
	}
	held := make(chan struct{})
	stop := q.host.clock.AfterFunc(min(duration(m.Hold), maxHold), func() { close(held) })
	defer stop()
	select {
	case d = <-answer:
	case <-held:
		d = q.end(m.ID, answer, false)
	case <-ctx.Done():
		d = q.end(m.ID, answer, true)
	}
	return newReply(d, q.host.clock.Now().Sub(asked))
}

// begin asks the grantor. It returns a channel if the query has to wait. A query that was canceled
// takes no slot: its release may have come before, if this process was paused.
func (q *queue) begin(ctx context.Context, now time.Time, from fleet.VM, m *placeQuery) (slotqueue.Decision, chan slotqueue.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ctx.Err() != nil {
		return slotqueue.Decision{Request: m.ID}, nil
	}
	q.refresh(now)
	d := q.grantor.Ask(now, slotqueue.Request{
		ID: m.ID, From: from, Account: m.Account, Priority: m.Priority, Returning: m.Returning, Repeatable: m.Repeatable,
		Objective: now.Add(duration(m.Objective)), Deadline: now.Add(min(duration(m.Deadline), maxDeadline)), Targets: m.Targets,
	})
	q.changed(now)
	if d.State != slotqueue.Waiting {
		q.host.metrics.decided(&d)
		return d, nil
	}
	answer := make(chan slotqueue.Decision, 1)
	q.answers[m.ID] = answer
	return d, answer
}

// end takes a query that was not answered out of the queue, or parks it. An answer that came
// meanwhile is returned, or taken back if nobody waits for it any more.
func (q *queue) end(id uint64, answer chan slotqueue.Decision, left bool) slotqueue.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.host.clock.Now()
	d := slotqueue.Decision{Request: id}
	if q.answers[id] == answer {
		delete(q.answers, id)
	}
	select {
	case d = <-answer:
	default:
	}
	switch {
	case left:
		q.act(q.grantor.Release(now, slotqueue.Release{Request: id}))
		q.changed(now)
	case d.State == slotqueue.Waiting:
		q.grantor.Park(now, id)
	}
	return d
}

// release takes a grant back.
func (q *queue) release(m *placeRelease) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.host.clock.Now()
	q.act(q.grantor.Release(now, m.release()))
	q.changed(now)
}

// check expires grants and refuses requests that would start too late.
func (q *queue) check() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.checking = false
	now := q.host.clock.Now()
	q.refresh(now)
	q.act(q.grantor.Check(now))
	q.changed(now)
}

// act answers queries that waited. The caller holds the lock.
func (q *queue) act(decisions []slotqueue.Decision) {
	for _, d := range decisions {
		q.host.metrics.decided(&d)
		if answer, ok := q.answers[d.Request]; ok {
			delete(q.answers, d.Request)
			answer <- d
		}
	}
}

// changed schedules the next check and updates the metrics. The caller holds the lock.
func (q *queue) changed(now time.Time) {
	waiting, granted := q.grantor.Waiting(), q.grantor.Outstanding()
	q.host.metrics.queueChanged(waiting-q.waiting, granted-q.granted)
	q.waiting, q.granted = waiting, granted
	if q.checking {
		return
	}
	if wait, ok := q.grantor.NextCheck(now); ok {
		q.checking = true
		q.host.clock.AfterFunc(wait, q.check)
	}
}

// refresh looks at the targets of the service and at the loads that are known. The caller holds
// the lock.
func (q *queue) refresh(now time.Time) {
	if !q.refreshed.IsZero() && now.Sub(q.refreshed) < refreshPeriod {
		return
	}
	q.refreshed = now
	available := q.host.site.Available(q.service)
	targets := make([]slotqueue.Target, 0, len(available))
	for i := range available {
		ref := available[i].ID.Ref()
		targets = append(targets, slotqueue.Target{Ref: ref, Slots: available[i].Slots, Known: q.host.load(ref)})
	}
	q.grantor.SetTargets(now, targets)
	for _, t := range targets {
		q.grantor.Known(now, t.Ref, t.Known)
	}
}

// newReply encodes a decision.
func newReply(d slotqueue.Decision, held time.Duration) placeReply {
	return placeReply{
		State: d.State, Target: d.Target, Reason: d.Reason, RetryAfter: milliseconds(d.RetryAfter),
		Held: milliseconds(held), Position: d.Position, Predicted: milliseconds(d.Predicted),
	}
}

// Interface guards.
var (
	_ peer.QueryHandler   = (*Service)(nil).handlePlace
	_ peer.ControlHandler = (*Service)(nil).handleRelease
)
