package slots

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// A grantor holds a query for holdShare of the time to the objective, at most for
	// mostHold, and answers that the request waits if there is no slot by then. So a long
	// queue is told from a grantor that is gone.
	holdShare = 0.3
	minHold   = 10 * time.Millisecond
	mostHold  = 80 * time.Millisecond
	// answerMargin is the time beyond the hold in which the answer has to arrive. A router of
	// 0.2 cores may not be scheduled for some tens of milliseconds.
	answerMargin = 40 * time.Millisecond
	// maxGrantAge is the age from which a grant is not used: the process may have been paused
	// since, and the slot be taken by another request.
	maxGrantAge = 150 * time.Millisecond
	// maxGrantors is the number of routers that one request asks. After one that did not answer
	// in time, the next is asked only within nextShare of the time to the objective: without
	// any grantor, waiting requests would all choose at once by the same old loads.
	maxGrantors = 2
	nextShare   = 0.6
	// retrySpread times the advised time is added at random, so that callers that were refused
	// do not return all at once.
	retrySpread = 1.0
	// maxRetryShare of the time to the deadline is the longest advice: callers come back once,
	// and a request that comes back late is of no use.
	maxRetryShare = 0.33
)

// Place returns where a request may be sent. It waits for a slot while the grantor says that the
// request waits.
func (s *Service) Place(ctx context.Context, q *Query) Placement {
	begun := s.clock.Now()
	s.mu.Lock()
	asks := len(q.Targets) > 0 && s.asker.Asks(begun, q.Service, loadPerSlot(q.Targets))
	id := s.random.Uint64()
	s.mu.Unlock()
	if !asks {
		s.metrics.placed("calm")
		return Placement{service: q.Service}
	}
	p, decided := Placement{service: q.Service, id: id}, false
	for range maxGrantors {
		s.mu.Lock()
		p.Grantor = s.grantorOf(q.Service)
		s.mu.Unlock()
		if p.Grantor == "" {
			break
		}
		if decided = s.askGrantor(ctx, q, &p); decided {
			break
		}
	}
	if !decided {
		s.metrics.placed("no_grantor")
	}
	p.Waited = s.clock.Now().Sub(begun)
	s.metrics.waited(p.Waited)
	return p
}

// loadPerSlot returns the known load of targets in relation to their slots.
func loadPerSlot(targets []slotqueue.Target) float64 {
	load, slots := 0.0, 0
	for _, t := range targets {
		load += t.Known
		slots += t.Slots
	}
	return load / float64(max(slots, 1))
}

// askGrantor asks a router until it decides. It returns false if another one may be asked.
func (s *Service) askGrantor(ctx context.Context, q *Query, p *Placement) bool {
	for {
		asked := s.clock.Now()
		m := newQuery(asked, q, p.id)
		reply, err := s.query(ctx, p.Grantor, m)
		if ctx.Err() != nil {
			s.giveUp(p)
			p.Outcome, p.Reason = Refused, slotqueue.TooLate
			s.metrics.placed("left")
			return true
		}
		now := s.clock.Now()
		if err != nil {
			return s.failed(asked, q, p, err)
		}
		s.mu.Lock()
		s.asker.Answered(p.Grantor)
		if reply.Held > 0 || reply.State != slotqueue.Granted {
			s.asker.Contended(now, q.Service)
		}
		s.mu.Unlock()
		if reply.State != slotqueue.Waiting {
			s.decided(now, asked, q, p, reply)
			return true
		}
	}
}

// newQuery encodes a query.
func newQuery(now time.Time, q *Query, id uint64) *placeQuery {
	hold := time.Duration(holdShare * float64(q.Objective.Sub(now)))
	if q.Objective.Before(now) {
		hold = mostHold
	}
	m := &placeQuery{
		ID: id, Service: q.Service, Account: q.Account, Priority: q.Priority, Returning: q.Returning, Repeatable: q.Repeatable,
		Objective: milliseconds(q.Objective.Sub(now)), Deadline: milliseconds(q.Deadline.Sub(now)),
		Targets: make([]fleet.Ref, len(q.Targets)), Hold: milliseconds(min(max(hold, minHold), mostHold)),
	}
	for i, t := range q.Targets {
		m.Targets[i] = t.Ref
	}
	return m
}

// query asks a router, or the queue of this one.
func (s *Service) query(ctx context.Context, grantor fleet.VM, m *placeQuery) (placeReply, error) {
	if grantor == s.self {
		return s.ask(ctx, s.self, m), nil
	}
	var reply placeReply
	payload, err := wire.Marshal(m)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(duration(m.Hold)+answerMargin, cancel)
	defer stop()
	data, err := s.peers.Query(ctx, grantor, peer.KindPlace, payload)
	if err != nil {
		return reply, err
	}
	return reply, wire.Unmarshal(data, &reply)
}

// failed records that a router did not answer. It returns false if there is time to ask the next
// one.
func (s *Service) failed(asked time.Time, q *Query, p *Placement, err error) bool {
	now, e := s.clock.Now(), call.AsError(err)
	unsupported := e.Code == call.CodeNotFound
	s.mu.Lock()
	isNew := s.asker.Failed(now, asked, p.Grantor, unsupported)
	s.mu.Unlock()
	if isNew {
		s.logger.WithError(err).WithField("peer", p.Grantor).Warn("Router grants no slots.")
	}
	s.metrics.failed(string(e.Code))
	timedOut := e.Code == call.CodeCanceled || e.Code == call.CodeDeadline
	if timedOut || e.Run != call.RunNot {
		s.giveUp(p)
	}
	if left := q.Objective.Sub(now); !timedOut || left > time.Duration((1-nextShare)*float64(q.Objective.Sub(asked))) {
		return false
	}
	s.metrics.placed("no_answer")
	return true
}

// giveUp tells the grantor that nobody waits for its answer any more. A grant that is on its way,
// or whose answer was lost, is so returned.
func (s *Service) giveUp(p *Placement) { s.sendRelease(p, Result{}) }

// decided takes the decision of a grantor. A grant that is too old is returned, and a grantor that
// does not know the targets yet decides nothing.
func (s *Service) decided(now, asked time.Time, q *Query, p *Placement, reply placeReply) {
	p.Position, p.Predicted = reply.Position, duration(reply.Predicted)
	held := min(max(duration(reply.Held), 0), now.Sub(asked))
	usableUntil := asked.Add(held + maxGrantAge)
	switch {
	case reply.State == slotqueue.Granted && now.After(usableUntil):
		s.giveUp(p)
		s.metrics.placed("late_grant")
	case reply.State == slotqueue.Granted:
		p.Outcome, p.Target, p.UsableUntil = Granted, reply.Target, usableUntil
		s.metrics.placed("granted")
	case reply.Reason == slotqueue.NoTarget:
		s.metrics.placed("unknown_target")
	default:
		p.Outcome, p.Reason = Refused, reply.Reason
		s.mu.Lock()
		spread := 1 + retrySpread*s.random.Float64()
		s.mu.Unlock()
		after := time.Duration(spread * float64(duration(reply.RetryAfter)))
		p.RetryAfter = min(after, time.Duration(maxRetryShare*float64(q.Deadline.Sub(now))))
		s.metrics.placed("refused")
	}
}

// Return gives the grant of a placement back.
func (s *Service) Return(p *Placement, r Result) {
	if p.Outcome == Granted {
		s.sendRelease(p, r)
	}
	if r.Rejected || r.Broken {
		s.mu.Lock()
		s.asker.Contended(s.clock.Now(), p.service)
		s.mu.Unlock()
	}
}

// sendRelease returns a grant. One whose release is lost expires.
func (s *Service) sendRelease(p *Placement, r Result) {
	m := newRelease(p.service, p.id, r)
	if p.Grantor == s.self {
		s.release(&m)
		return
	}
	payload, err := wire.Marshal(&m)
	if err != nil {
		s.logger.WithError(err).Error("Failed to encode the release of a grant.")
		return
	}
	if err := s.peers.Send(p.Grantor, peer.KindPlaceRelease, payload); err != nil {
		s.logger.WithError(err).WithField("peer", p.Grantor).Debug("Failed to send the release of a grant.")
	}
}
