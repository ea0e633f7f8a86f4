package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// slotQuery asks for a slot of a brittle target, with what the sender knows of it.
type slotQuery struct {
	Target fleet.Ref `msgpack:"t"`
	Born   uint32    `msgpack:"b"`
	// MaxRejected is the number of requests that the target may turn away in a second,
	// AgeMS the age of that in milliseconds.
	MaxRejected float64 `msgpack:"r"`
	AgeMS       uint32  `msgpack:"a"`
	Slots       int     `msgpack:"s"`
}

// slotReply answers a slotQuery.
type slotReply struct {
	Granted bool   `msgpack:"g,omitempty"`
	Slot    uint64 `msgpack:"i,omitempty"`
	// WaitMS is the time in milliseconds before which it is of no use to ask again.
	WaitMS uint32 `msgpack:"w,omitempty"`
	// Ended is true if the target is not brittle any more, known for EndedMS milliseconds.
	Ended   bool   `msgpack:"e,omitempty"`
	EndedMS uint32 `msgpack:"m,omitempty"`
}

// slotRelease gives a slot back to the router that granted it.
type slotRelease struct {
	Target      fleet.Ref `msgpack:"t"`
	Born        uint32    `msgpack:"b"`
	Slot        uint64    `msgpack:"i"`
	MaxRejected float64   `msgpack:"r"`
	// Rejected is true if the target turned the request away.
	Rejected bool `msgpack:"x,omitempty"`
}

// slotGrant is a slot that a send has taken.
type slotGrant struct {
	process     ratelimit.Process
	by          fleet.VM
	slot        uint64
	maxRejected float64
}

// isBrittle reports whether a target falls over when it has to turn requests away. The
// caller holds the lock.
func (s *Service) isBrittle(t *sitestate.AvailableTarget) bool {
	_, brittle := s.brittle.Limit(processOf(t))
	return brittle && t.Slots > 0
}

// obtain asks for what a request to a target needs before it is sent: a grant if the target
// names a limit, and a slot if it is brittle, which it returns. It returns false if there
// is none now; the target is then not asked for until there may be one.
func (s *Service) obtain(ctx context.Context, t *sitestate.AvailableTarget) (*slotGrant, bool) {
	s.mu.Lock()
	limited, brittle := s.isLimited(t), s.isBrittle(t)
	s.mu.Unlock()
	if limited && !s.obtainGrant(ctx, t) {
		return nil, false
	}
	if !brittle {
		return nil, true
	}
	return s.obtainSlot(ctx, t)
}

// obtainSlot asks for a slot of a brittle target.
func (s *Service) obtainSlot(ctx context.Context, t *sitestate.AvailableTarget) (*slotGrant, bool) {
	p := processOf(t)
	s.mu.Lock()
	asked := s.clock.Now()
	report, ok := s.brittle.Report(p)
	if !ok || !report.Limited {
		s.mu.Unlock()
		return nil, true // it has ended since
	}
	grant := &slotGrant{process: p, by: s.self, maxRejected: report.Rate}
	first := ratelimit.First(p.Target, s.grantRouters, s.slotAsker.Usable(asked))
	if first == s.self || first == "" {
		reply := s.grantSlot(asked, report, t.Slots)
		s.mu.Unlock()
		return s.takeSlotReply(asked, grant, reply)
	}
	s.mu.Unlock()
	grant.by = first
	reply, err := s.querySlot(ctx, first, slotQuery{
		Target: p.Target, Born: p.Born, MaxRejected: report.Rate, AgeMS: milliseconds(asked.Sub(report.At)), Slots: t.Slots,
	})
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, false // the caller has left, or its deadline has passed
	case err != nil:
		s.grantFailed(s.slotAsker, first, p, err)
		return nil, false
	}
	return s.takeSlotReply(asked, grant, reply)
}

// querySlot asks another router.
func (s *Service) querySlot(ctx context.Context, to fleet.VM, q slotQuery) (slotReply, error) {
	var reply slotReply
	payload, err := wire.Marshal(&q)
	if err != nil {
		return reply, fmt.Errorf("encode slot query: %w", err)
	}
	data, err := s.queryGranter(ctx, to, peer.KindSlot, payload)
	if err != nil {
		return reply, fmt.Errorf("query slot of %s: %w", to, err)
	}
	if err := wire.Unmarshal(data, &reply); err != nil {
		return reply, fmt.Errorf("decode slot of %s: %w", to, err)
	}
	return reply, nil
}

// takeSlotReply records an answer, and returns the slot if there is one. A slot whose
// answer took long is given back: the process may have been paused since.
func (s *Service) takeSlotReply(asked time.Time, grant *slotGrant, reply slotReply) (*slotGrant, bool) {
	s.mu.Lock()
	now := s.clock.Now()
	late := reply.Granted && now.Sub(asked) > ratelimit.MaxGrantAge
	switch {
	case reply.Ended:
		s.brittle.Reported(now, ratelimit.Report{Process: grant.process, At: asked.Add(-time.Duration(reply.EndedMS) * time.Millisecond)})
		s.metrics.slotQueried("ended")
	case !reply.Granted:
		s.slotAsker.Denied(now, grant.process, time.Duration(reply.WaitMS)*time.Millisecond)
		s.metrics.slotQueried("denied")
	case late:
		s.metrics.slotQueried("expired")
	default:
		s.metrics.slotQueried("granted")
	}
	s.mu.Unlock()
	grant.slot = reply.Slot
	if late {
		s.releaseSlot(grant, false)
	}
	if reply.Ended {
		return nil, true
	}
	return grant, reply.Granted && !late
}

// releaseSlot gives a slot back, if there is one. Rejected is true if the target turned the
// request away. A slot whose release is lost expires.
func (s *Service) releaseSlot(grant *slotGrant, rejected bool) {
	if grant == nil {
		return
	}
	m := slotRelease{
		Target: grant.process.Target, Born: grant.process.Born, Slot: grant.slot, MaxRejected: grant.maxRejected, Rejected: rejected,
	}
	if grant.by == s.self {
		s.takeRelease(&m)
		return
	}
	payload, err := wire.Marshal(&m)
	if err != nil {
		s.logger.WithError(err).Error("Failed to encode the release of a slot.")
		return
	}
	if err := s.peers.Send(grant.by, peer.KindSlotRelease, payload); err != nil {
		s.logger.WithError(err).WithField("peer", grant.by).Debug("Failed to send the release of a slot.")
	}
}

// handleSlot answers another router's question for a slot.
func (s *Service) handleSlot(_ context.Context, from fleet.VM, payload []byte) ([]byte, error) {
	var q slotQuery
	err := wire.Unmarshal(payload, &q)
	if err == nil && (!ratelimit.IsRate(q.MaxRejected) || q.Slots <= 0) {
		err = fmt.Errorf("%v rejections, %d slots", q.MaxRejected, q.Slots)
	}
	if err != nil {
		return nil, &call.Error{Code: call.CodeBadRequest, Step: Name, Peer: string(from), Run: call.RunNot, Message: "decode slot query: " + err.Error()}
	}
	s.mu.Lock()
	now := s.clock.Now()
	r := ratelimit.Report{
		Process: ratelimit.Process{Target: q.Target, Born: q.Born}, Limited: true, Rate: q.MaxRejected,
		At: now.Add(-time.Duration(q.AgeMS) * time.Millisecond),
	}
	s.applyBrittle(now, from, []ratelimit.Report{r})
	reply := s.grantSlot(now, r, q.Slots)
	s.mu.Unlock()
	return wire.Marshal(&reply)
}

// handleSlotRelease takes back a slot that this router granted to another one.
func (s *Service) handleSlotRelease(from fleet.VM, payload []byte) {
	var m slotRelease
	if err := wire.Unmarshal(payload, &m); err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Failed to decode the release of a slot.")
		return
	}
	s.takeRelease(&m)
}

// takeRelease takes back a slot that this router granted.
func (s *Service) takeRelease(m *slotRelease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := ratelimit.Brittle{Process: ratelimit.Process{Target: m.Target, Born: m.Born}, MaxRejected: int(m.MaxRejected)}
	s.slots.Release(s.clock.Now(), b, m.Slot, m.Rejected)
}

// grantSlot decides on one slot of a target. A later report than that of the router that
// asks holds. The caller holds the lock.
func (s *Service) grantSlot(now time.Time, asked ratelimit.Report, slots int) slotReply {
	r, ok := s.brittle.Report(asked.Process)
	if ok && !r.Limited {
		return slotReply{Ended: true, EndedMS: milliseconds(now.Sub(r.At))}
	}
	if !ok {
		r = asked
	}
	b := ratelimit.Brittle{
		Process: r.Process, Slots: slots, MaxRejected: int(r.Rate), Running: int(s.balancer.Load(r.Process.Target)),
	}
	slot, granted, wait := s.slots.Grant(now, b, s.isDeputy(r.Process.Target))
	return slotReply{Granted: granted, Slot: slot, WaitMS: milliseconds(wait)}
}

// applyBrittle records what another router reports of brittle targets. The caller holds the
// lock.
func (s *Service) applyBrittle(now time.Time, from fleet.VM, reports []ratelimit.Report) {
	for _, r := range reports {
		if s.brittle.Reported(now, r) {
			logBrittle(s.logger.WithFields(logrus.Fields{"target": s.targetNames[r.Process.Target], "from": from}), r.Limited, r.Rate)
		}
	}
}

// takeBrittle records whether a response says that its target is brittle, and reports
// whether that is new. The caller holds the lock.
func (s *Service) takeBrittle(now time.Time, t *sitestate.AvailableTarget, resp *Response, sentAt time.Time) bool {
	switch {
	case !resp.NamesRequest:
		return false
	case resp.Brittle:
		return s.brittle.Named(now, processOf(t), float64(resp.MaxRejected))
	default:
		return s.brittle.NotNamed(now, processOf(t), sentAt)
	}
}

// logBrittle logs that a target says that it is brittle, or not any more.
func logBrittle(entry *logrus.Entry, brittle bool, maxRejected float64) {
	if brittle {
		entry.WithField("max_rejected", maxRejected).Info("Target says that it is brittle.")
	} else {
		entry.Info("Target is not brittle any more.")
	}
}
