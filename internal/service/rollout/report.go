package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/rollout"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// reportTimeout limits the time for a reply, retryTime is the time after a report
	// without one.
	reportTimeout = 400 * time.Millisecond
	retryTime     = 150 * time.Millisecond
)

// errNotController is the error of a report to a router that does not drive the roll-out.
var errNotController = errors.New("this router does not drive the roll-out")

// report reports to the router that drives the roll-out, and takes its reply.
func (s *Service) report(ctx context.Context, st *state) {
	s.mu.Lock()
	now := s.clock.Now()
	if st.tracker.Gate() == nil {
		st.reporting = false
		s.mu.Unlock()
		return
	}
	to := st.holder
	if to == "" || !slices.Contains(s.alive, to) {
		to = s.first(now, st.service)
	}
	report := st.tracker.Report(now, s.process)
	s.mu.Unlock()
	reply, err := s.send(ctx, to, &report)
	s.mu.Lock()
	defer s.mu.Unlock()
	st.reporting = false
	if err == nil && reply.Holder != "" {
		err = errNotController
	}
	if err != nil {
		st.holder = ""
		if reply != nil {
			st.holder = reply.Holder
		}
		s.reportFailed(st, to, &report, err)
		return
	}
	st.holder = to
	s.count("rollout.reports.answered")
	before := rollout.Canary
	gate := st.tracker.Gate()
	if gate != nil {
		known, _ := gate.Reply()
		before = known.Phase
	}
	// The jitter keeps routers that started together from reporting together.
	st.reportAt = now.Add(time.Duration((0.9 + 0.2*s.rng.Float64()) * float64(reply.IntervalMs) * float64(time.Millisecond)))
	if gate == nil || !gate.Take(now, reply) {
		return
	}
	close(st.replied)
	st.replied = make(chan struct{})
	if reply.Phase != before {
		s.logger.WithFields(logrus.Fields{
			"service": st.service, "to": reply.Order.To, "phase": reply.Phase.String(), "term": reply.Term, "peer": to,
			"left_ms": reply.LeftMs,
		}).Info("Roll-out has another phase.")
	}
}

// reportFailed handles a report without a reply. What it held is reported again unless it may have
// arrived. The caller holds the lock.
func (s *Service) reportFailed(st *state, to fleet.VM, report *rollout.Report, err error) {
	s.count("rollout.reports.failed")
	now := s.clock.Now()
	st.reportAt = now.Add(retryTime)
	var failure *call.Error
	if errors.Is(err, errNotController) || errors.As(err, &failure) && failure.Run == call.RunNot {
		st.tracker.Restore(report)
	}
	if failure != nil && failure.Code == call.CodeNotFound && s.asker.Failed(now, to, true) {
		s.logger.WithField("peer", to).Warn("Router knows nothing of roll-outs.")
	}
}

// send sends a report to a router, which may be this one.
func (s *Service) send(ctx context.Context, to fleet.VM, report *rollout.Report) (*rollout.Reply, error) {
	if to == s.self || to == "" {
		return s.answer(s.self, report)
	}
	payload, err := wire.Marshal(report)
	if err != nil {
		return nil, fmt.Errorf("encode report: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(reportTimeout, cancel)
	defer stop()
	data, err := s.peers.Query(ctx, to, peer.KindRollout, payload)
	if err != nil {
		return nil, err
	}
	reply := new(rollout.Reply)
	if err := wire.Unmarshal(data, reply); err != nil {
		return nil, fmt.Errorf("decode reply of %s: %w", to, err)
	}
	return reply, nil
}

// handleReport answers the report of another router.
func (s *Service) handleReport(_ context.Context, from fleet.VM, payload []byte) ([]byte, error) {
	report := new(rollout.Report)
	if err := wire.Unmarshal(payload, report); err != nil {
		return nil, fmt.Errorf("decode report: %w", err)
	}
	reply, err := s.answer(from, report)
	if err != nil {
		return nil, &call.Error{Code: call.CodeNotOwner, Message: err.Error(), Step: Name, Peer: string(s.self), Run: call.RunNot}
	}
	return wire.Marshal(reply)
}

// answer takes a report, which is this router's own or that of another one. An order that this
// router does not know may have been lost on its way through a router of an earlier release.
func (s *Service) answer(from fleet.VM, report *rollout.Report) (*rollout.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	st := s.state(report.Order.Service)
	if st.tracker.Gate() == nil {
		s.takeOrder(st, report.Order)
		if report.Withdrawn || st.forgotten == report.Order {
			st.tracker.Gate().Withdraw()
		}
	}
	c := st.control.controller
	if c == nil || !c.Record().Order.Same(report.Order) {
		if st.control.holder != "" {
			return &rollout.Reply{Order: report.Order, Holder: st.control.holder}, nil
		}
		return nil, errNotController
	}
	if report.Term > c.Record().Term {
		st.control.outranked = max(st.control.outranked, report.Term)
		return nil, errNotController
	}
	s.count("rollout.served")
	reply := c.Report(now, from, report)
	return &reply, nil
}

// handleOrder takes an order that another router knows.
func (s *Service) handleOrder(_ fleet.VM, payload []byte) {
	var o rollout.Order
	if err := wire.Unmarshal(payload, &o); err != nil {
		s.logger.WithError(err).Warn("Ignored an order of a roll-out that can't be decoded.")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.state(o.Service); st.tracker.Gate() == nil && st.forgotten != o {
		s.takeOrder(st, o)
	}
}
