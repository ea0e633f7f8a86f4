package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/rollout"
	"github.com/zinniafork/zinniafork/internal/service/slots"
)

const (
	// remotePenalty is what a target in another data centre counts more, in requests per slot.
	remotePenalty = 0.1
	// maxPlaceQueries is the number of times that a request asks for a slot, when the named
	// target may get no request any more.
	maxPlaceQueries = 2
	// queueRefused is the reason when the queue of the service refused the request.
	queueRefused balance.Reason = "queue_refused"
	// slotGranted is the reason for a target that was granted.
	slotGranted balance.Reason = "slot_granted"
)

// picker chooses among targets, see balance.Request.Pick.
type picker func(eligible []*sitestate.AvailableTarget) int

// errQueueRefused is the error when the queue of the service refused the request.
type errQueueRefused struct{ reason slotqueue.Reason }

// Error tells why the request was refused.
func (e errQueueRefused) Error() string {
	return "wait for a slot: refused, " + string(e.reason)
}

// queuesPlain reports whether requests for a service are placed by slots.
func (s *Service) queuesPlain(service *routing.Service) bool {
	return !service.Engine && s.placer.Places(service.Name)
}

// loadOf returns the known load of a target.
func (s *Service) loadOf(ref fleet.Ref) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Load(ref)
}

// choosePlain asks for a slot of a plain service and chooses the target that it names. Without an
// answer it chooses with what this router knows. The send has no target if the request is refused.
func (r *request) choosePlain(ctx context.Context, now time.Time, versions *rollout.Rule) (*send, int) {
	var placed *slots.Placement
	for range maxPlaceQueries {
		targets := r.placeable(now, versions)
		waiting, cancel := r.untilCallerLeaves(ctx)
		p := r.s.placer.Place(waiting, r.placeQuery(targets))
		cancel()
		placed = &p
		r.s.site.AwaitCurrent(ctx)
		now = r.s.clock.Now()
		if p.Outcome == slots.ChooseSelf {
			break
		}
		if p.Outcome == slots.Refused {
			return &send{choice: balance.Choice{Reason: queueRefused}, startedAt: now, placed: placed}, len(targets)
		}
		if now.After(p.UsableUntil) {
			// The process was paused with the grant.
			r.s.placer.Return(&p, slots.Result{})
			continue
		}
		s, available, needsGrant := r.tryChoose(now, limitRule{}, pickTarget(p.Target), versions)
		if s.target() != "" && !needsGrant {
			s.choice.Reason, s.placed = slotGranted, placed
			return s, available
		}
		// The target may get no request any more.
		r.s.placer.Return(&p, slots.Result{})
	}
	s, available := r.chooseHere(ctx, now, func(eligible []*sitestate.AvailableTarget) int {
		return r.s.pickPlain(now, eligible)
	}, versions)
	if placed.Outcome == slots.ChooseSelf {
		s.placed = placed
	}
	return s, available
}

// untilCallerLeaves returns a context that ends with ctx or when the caller leaves. A request that
// may have side effects is completed for a caller that has left only once it was sent.
func (r *request) untilCallerLeaves(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.caller, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// pickTarget picks one target.
func pickTarget(ref fleet.Ref) picker {
	return func(eligible []*sitestate.AvailableTarget) int {
		for i, t := range eligible {
			if t.ID.Ref() == ref {
				return i
			}
		}
		return -1
	}
}

// placeQuery returns the query for a slot at one of some targets.
func (r *request) placeQuery(targets []slotqueue.Target) *slots.Query {
	q := &slots.Query{
		Service: r.service.Name, Priority: r.route.PriorityFor(r.account), Returning: r.returning(), Repeatable: r.route.Idempotent(),
		Objective: r.deadline, Deadline: r.deadline, Targets: targets,
	}
	if r.route.Objective > 0 {
		q.Objective = r.Received.Add(r.route.Objective)
	}
	if r.account != nil {
		q.Account = r.account.Name
	}
	return q
}

// placeable returns the targets that the request may be sent to with a granted slot. Those that
// name a limit and those that are brittle have grants of their own.
func (r *request) placeable(now time.Time, versions *rollout.Rule) []slotqueue.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.s
	targets := s.site.Available(r.service.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	targets = s.withoutLeaving(now, targets)
	g := &targetGate{s: s, service: r.service, rule: targetRule{version: r.pinned, versions: versions}, skipCold: s.enoughWarm(now, targets)}
	g.ignoreOutliers = !outlier.MayEject(s.countNotInUse(now, targets), len(targets))
	out := make([]slotqueue.Target, 0, len(targets))
	for i := range targets {
		t := &targets[i]
		if r.tried[t.ID] || t.Slots <= 0 || s.isLimited(t) || s.isBrittle(t) || !g.Allow(now, t) {
			continue
		}
		out = append(out, slotqueue.Target{Ref: t.ID.Ref(), Slots: t.Slots, Known: s.balancer.Load(t.ID.Ref())})
	}
	return out
}

// returnPlaced returns the grant of a send that has ended, which the target has failed or not.
func (s *Service) returnPlaced(now time.Time, ended *send, failed bool) {
	if ended.placed == nil {
		return
	}
	result := slots.Result{Broken: failed}
	if resp := ended.resp; resp != nil {
		result.Rejected = resp.NotRun
		// An error that the target wrote is a sign of life. A 503 may have run or not.
		isAnswer := resp.Stamped && resp.Status >= http.StatusInternalServerError && resp.Status != http.StatusServiceUnavailable
		result.Broken = failed && !isAnswer && !resp.NotRun
		if !resp.NotRun && !resp.Misdirected {
			result.Took = now.Sub(ended.startedAt)
		}
		if resp.Load != nil {
			f := figuresOf(resp.Load)
			result.Figures = &f
		}
	}
	s.learnPicked(now, ended.target().Ref(), result)
	s.placer.Return(ended.placed, result)
}

// learnPicked records the outcome of a request, for choices with what this router knows.
func (s *Service) learnPicked(now time.Time, ref fleet.Ref, result slots.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Broken {
		s.picker.Failed(now, ref)
	}
	if result.Figures != nil {
		s.picker.Reported(now, ref, *result.Figures, s.balancer.LocalLoad(ref))
	}
}

// saysFull reports whether a target of a plain service that turned a request away says that its
// slots are taken, so that the refusal is no failure. A target that always says so is bounded by
// the router that grants its slots.
func (s *send) saysFull() bool {
	load := s.resp.Load
	return s.placed != nil && load != nil && load.Slots > 0 && load.Running+load.Waiting >= load.Slots
}

// figuresOf returns the load that a target reports.
func figuresOf(l *TargetLoad) slotqueue.Figures {
	return slotqueue.Figures{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Slowdown: l.Slowdown}
}

// noTargetError returns the error of a send without a target, given the number of available ones.
func (s *send) noTargetError(available int) error {
	if s.placed != nil && s.placed.Outcome == slots.Refused {
		return errQueueRefused{reason: s.placed.Reason}
	}
	return errNoTarget{targets: available, reason: s.choice.Reason}
}

// addPlacement adds to the fields of a log line who granted or refused a slot and after how long.
func (s *send) addPlacement(fields logrus.Fields) {
	if s.placed == nil || s.placed.Grantor == "" {
		return
	}
	fields["grantor"], fields["waited_ms"] = s.placed.Grantor, s.placed.Waited.Milliseconds()
	if s.placed.Outcome == slots.Refused {
		fields["ahead"], fields["predicted_ms"] = s.placed.Position, s.placed.Predicted.Milliseconds()
	}
}

// pickPlain chooses a target of a plain service with what this router knows. The caller
// holds the lock.
func (s *Service) pickPlain(now time.Time, eligible []*sitestate.AvailableTarget) int {
	candidates := make([]slotqueue.Candidate, len(eligible))
	for i, t := range eligible {
		own := s.balancer.LocalLoad(t.ID.Ref())
		c := slotqueue.Candidate{Target: t.ID.Ref(), Slots: t.Slots, Own: own, Others: s.balancer.Load(t.ID.Ref()) - own}
		if t.DataCentre != s.dataCentre {
			c.Penalty = remotePenalty
		}
		candidates[i] = c
	}
	return s.picker.Pick(now, candidates)
}
