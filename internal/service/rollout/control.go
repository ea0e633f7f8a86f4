package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/rollout"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// renewPeriod is the time after which the record of a running roll-out is written again, so
	// that a router that hears few others sees that the roll-out is driven.
	renewPeriod = 2 * time.Second
	// decidePeriod is the time between decisions.
	decidePeriod = 100 * time.Millisecond
	// announcePeriod is the time between messages to routers that do not report.
	announcePeriod = time.Second
)

// control is what a router knows as the one that drives a roll-out, or is to.
type control struct {
	// controller is nil unless this router drives the roll-out.
	controller *rollout.Controller
	// at is the end of the topic of records as this router knows it.
	at Position
	// busy is true while the log is being read or written, notBefore the time before which it is
	// left alone.
	busy      bool
	notBefore time.Time
	writtenAt time.Time
	// outranked is a later term that another router has reported, zero for none. restored is
	// true once the log was restored from a copy.
	outranked int64
	restored  bool
	// status is the last one that was written, under the term statusTerm.
	status     Status
	statusTerm int64
	// seen is the end of the topic since seenAt, for a router that may not take over yet.
	seen   Position
	seenAt time.Time
	// holder is another router that drives the roll-out, as far as the record shows.
	holder fleet.VM
	// logged is the last phase whose decision was logged.
	logged      rollout.Phase
	announcedAt time.Time
	tickedAt    time.Time
}

// tickControl starts what is due at the router that drives a roll-out. The caller holds the lock.
func (s *Service) tickControl(ctx context.Context, now time.Time, st *state) {
	k := &st.control
	order := st.tracker.Gate().Order()
	if c := k.controller; c != nil && !c.Record().Order.Same(order) {
		k.controller = nil // a new order came
	}
	c := k.controller
	if c == nil {
		if !k.busy && !now.Before(k.notBefore) && s.first(now, st.service) == s.self {
			k.busy = true
			go s.takeOver(ctx, st)
		}
		return
	}
	if now.Sub(k.tickedAt) < decidePeriod {
		return
	}
	k.tickedAt = now
	c.Tick(now, s.view(st))
	s.logDecision(now, st)
	s.announce(now, st)
	if k.busy || now.Before(k.notBefore) {
		return
	}
	if k.outranked > 0 || k.restored {
		k.busy = true
		go s.review(ctx, st, c)
		return
	}
	record, needed := c.Next(now)
	if renew := !record.Phase.Final() && now.Sub(k.writtenAt) >= renewPeriod; needed || renew {
		record.Writer = s.self
		k.busy = true
		go s.write(ctx, st, c, record)
		return
	}
	if want := statusOf(c.Record()); k.status != want || k.statusTerm != c.Record().Term {
		k.busy = true
		go s.writeStatus(ctx, st, c, want)
	}
}

// view returns what the site shows of a roll-out. The caller holds the lock.
func (s *Service) view(st *state) *rollout.View {
	gate := st.tracker.Gate()
	v := &rollout.View{Live: s.live, Withdrawn: gate.Withdrawn()}
	for _, t := range s.site.Available(st.service) {
		if t.Version == gate.Order().To {
			v.New++
		} else {
			v.Old++
		}
	}
	if table := s.site.Table(); table != nil {
		for i := range table.Config.Routes {
			r := &table.Config.Routes[i]
			for _, w := range r.Services {
				if w.Service == st.service {
					v.MaxTimeout = max(v.MaxTimeout, r.Timeout)
				}
			}
		}
	}
	return v
}

// versions returns the versions other than that of an order that serve now. The caller holds the
// lock.
func (s *Service) versions(o rollout.Order) []string {
	var out []string
	for _, t := range s.site.Available(o.Service) {
		if t.Version != o.To && !slices.Contains(out, t.Version) {
			out = append(out, t.Version)
		}
	}
	return out
}

// statusOf returns the status that a record stands for.
func statusOf(r rollout.Record) Status {
	switch r.Phase {
	case rollout.Done:
		return Status{State: stateDone, To: r.Order.To}
	case rollout.RolledBack:
		return Status{State: stateRolledBack, To: r.Order.To}
	default:
		return Status{State: stateRunning, To: r.Order.To}
	}
}

// logDecision logs each decision once, with the figures behind it. The caller holds the lock.
func (s *Service) logDecision(now time.Time, st *state) {
	c := st.control.controller
	phase, reason := c.Phase()
	if phase == st.control.logged {
		return
	}
	st.control.logged = phase
	s.count("rollout.decisions." + phase.String())
	sent, bound := c.Exposed()
	s.logger.WithFields(logrus.Fields{
		"service": st.service, "to": c.Record().Order.To, "phase": phase.String(), "reason": reason, "sent": sent,
		"exposed_at_most": bound, "left_ms": c.Left(now).Milliseconds(), "term": c.Record().Term, "base": c.Record().Base,
	}).Warn("Roll-out was decided.")
}

// announce tells routers that do not report of the order: updates that pass through a router of
// an earlier release lose it. The caller holds the lock.
func (s *Service) announce(now time.Time, st *state) {
	k := &st.control
	if now.Sub(k.announcedAt) < announcePeriod || st.tracker.Gate().Withdrawn() {
		return
	}
	k.announcedAt = now
	payload, err := wire.Marshal(st.tracker.Gate().Order())
	if err != nil {
		s.logger.WithError(err).Error("Cannot encode the order of a roll-out.")
		return
	}
	for _, vm := range k.controller.Unheard(now.Add(-2 * announcePeriod)) {
		if vm != s.self && s.asker.Usable(now)(vm) {
			_ = s.peers.Send(vm, peer.KindRollout, payload) // it is sent again
		}
	}
}

// stepDown ends the control by this router. The caller holds the lock.
func (s *Service) stepDown(st *state, why string) {
	s.logger.WithFields(logrus.Fields{"service": st.service, "reason": why, "term": st.control.controller.Record().Term}).
		Info("This router no longer drives the roll-out.")
	s.count("rollout.stepped_down")
	st.control = control{notBefore: s.clock.Now().Add(takeoverRetry), busy: st.control.busy}
}

// isCutOff reports whether this router hears no more than half of the listed ones, so that others
// may have another view of who is first. The caller holds the lock.
func (s *Service) isCutOff() bool { return 2*len(s.alive) <= len(s.site.Routers()) }

// fields returns what the log tells of a record.
func (st *state) fields(r *rollout.Record) logrus.Fields {
	return logrus.Fields{"service": st.service, "to": r.Order.To, "phase": r.Phase.String(), "term": r.Term, "granted": r.Granted}
}
