package route

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

const (
	// maxMoves limits the attempts at further targets for a request that did not
	// run.
	maxMoves = 12
	// ownerWaitMin and ownerWaitMax limit the time between two attempts at a
	// target that has no owner.
	ownerWaitMin = 20 * time.Millisecond
	ownerWaitMax = 200 * time.Millisecond
	// maxOwnerTries is the number of attempts at such a target before the next
	// target is tried.
	maxOwnerTries = 4
	// maxDoublings limits how often the time between attempts is doubled.
	maxDoublings = 8
	// defaultRetryAfter is the time after which a caller may retry if no better
	// estimate is known.
	defaultRetryAfter = time.Second
	// stepTarget is the call.Error step of failures at a target, and stepPeer that of
	// failures on the way to its owner.
	stepTarget = "target"
	stepPeer   = "peer"
)

// Run implements Router.
func (s *Service) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	d := &dispatch{
		service:   s,
		startedAt: s.clock.Now(),
		req:       *req,
		sink:      newJoinedSink(sink),
		tried:     make(map[fleet.Target]bool),
		failed:    make(map[fleet.Target]bool),
	}
	s.countRequest(req)
	err := d.run(ctx)
	if err == nil {
		return nil
	}
	if d.sink.failure != nil {
		err = d.sink.failure
	}
	if err.Run == call.RunNot {
		s.meters.refused.Inc(1)
	}
	return callerError(err)
}

// callerError returns the error that the caller gets for the last error of a
// request. Ownership is internal, so a missing owner is reported as a target that
// is unavailable.
func callerError(e *call.Error) *call.Error {
	if e.Code != call.CodeNotOwner {
		return e
	}
	out := *e
	out.Code, out.Message = call.CodeUnavailable, "no VM serves the target at the moment"
	out.RetryAfter = max(e.RetryAfter, defaultRetryAfter)
	return &out
}

// dispatch holds the state of one request until it has run or is given up.
type dispatch struct {
	service   *Service
	startedAt time.Time
	req       call.Request
	sink      *joinedSink
	ranking   *ranking
	// tried holds the targets that are not tried again before the request is
	// queued, and failed those that failed or were unavailable.
	tried  map[fleet.Target]bool
	failed map[fleet.Target]bool
	moves  int
	// ownerMisses counts the attempts at the current target that found no owner.
	ownerMisses int
	lastErr     *call.Error
	// mayHaveRun is true once an attempt has failed that may have run.
	mayHaveRun bool
	// resumeDeadline ends the attempts to resume a response that broke off. It is
	// zero if no response is being resumed.
	resumeDeadline time.Time
}

// run tries targets until the request has run or no further attempt is allowed.
func (d *dispatch) run(ctx context.Context) *call.Error {
	if d.service.config.Current() == nil {
		return &call.Error{Code: call.CodeUnavailable, Step: "config", Run: call.RunNot, Message: "no configuration yet", RetryAfter: defaultRetryAfter}
	}
	if !d.start() {
		return &call.Error{Code: call.CodeNoTarget, Step: "placement", Run: call.RunNot, Message: "no target serves this request", RetryAfter: defaultRetryAfter}
	}
	for {
		err := d.try(ctx)
		if err == nil {
			return nil
		}
		d.lastErr = err
		d.mayHaveRun = d.mayHaveRun || err.Run != call.RunNot
		if !d.prepareNext(ctx, err) {
			return d.finalError()
		}
	}
}

// finalError returns the error of the last attempt as that of the whole request.
func (d *dispatch) finalError() *call.Error {
	if d.mayHaveRun {
		return d.lastErr.WithoutNotRun()
	}
	return d.lastErr
}

// start ranks the targets and chooses the first. It reports false if there is
// none.
func (d *dispatch) start() bool {
	d.ranking = d.service.rank(&d.req)
	if len(d.ranking.order) == 0 {
		return false
	}
	d.choose(0)
	return true
}

// choose makes the target at a position of the ranking the next one to try.
func (d *dispatch) choose(pos int) {
	d.req.Target = d.ranking.target(pos)
	d.req.Place = pos
	d.req.Wait = false
	d.ownerMisses = 0
}

// try sends the request to the owner of its current target.
func (d *dispatch) try(ctx context.Context) *call.Error {
	s := d.service
	s.countAttempt(&d.req)
	vm, ok := s.owners.Owner(targetResource(d.req.Target))
	if !ok {
		return &call.Error{Code: call.CodeNotOwner, Step: "owner", Peer: string(d.req.Target), Run: call.RunNot, Message: "target has no owner"}
	}
	var err error
	if vm == s.self {
		err = d.runLocal(ctx)
	} else {
		err = s.peers.Call(ctx, vm, kindRun, &d.req, d.sink)
	}
	if err == nil {
		return nil
	}
	return call.AsError(err)
}

// runLocal runs the request at a target that this VM owns.
func (d *dispatch) runLocal(ctx context.Context) error {
	ctx, span := tracing.Start(ctx, "owner")
	defer span.End()
	return d.service.runOwned(ctx, &d.req, d.sink)
}

// prepareNext prepares the next attempt after an error and reports whether there
// is one.
func (d *dispatch) prepareNext(ctx context.Context, e *call.Error) bool {
	if ctx.Err() != nil || d.moves >= maxMoves {
		return false
	}
	if e.Step == stepTarget || e.Code == call.CodeUnavailable && e.Run == call.RunNot {
		// A lost owner says nothing of its target, which may have another one soon.
		d.failed[d.req.Target] = true
	}
	if e.Run != call.RunNot {
		return d.retryRun(e)
	}
	if d.resuming() {
		return d.retryResume(ctx, e)
	}
	d.moves++
	switch e.Code {
	case call.CodeNotOwner:
		return d.waitForOwner(ctx)
	case call.CodeOverloaded:
		if e.Step == stepTarget {
			return d.service.takeRetry(&d.req, e) && d.nextTarget()
		}
		return d.handleRefusal(e)
	case call.CodeUnavailable, call.CodeDraining, call.CodeNoTarget:
		if e.Step == stepTarget && !d.service.takeRetry(&d.req, e) {
			return false
		}
		return d.nextTarget()
	}
	return false
}

// waitForOwner waits for a target whose owner is changing, with a delay that
// doubles, and goes to the next target after maxOwnerTries attempts. It gives up
// after the configured queue wait.
func (d *dispatch) waitForOwner(ctx context.Context) bool {
	s := d.service
	d.ownerMisses++
	if d.ownerMisses > maxOwnerTries && d.nextTarget() {
		return true
	}
	if s.clock.Now().Sub(d.startedAt) > s.config.Current().Load.QueueWait.Std() {
		return false
	}
	d.moves--
	wait := min(ownerWaitMin<<min(d.ownerMisses-1, maxDoublings), ownerWaitMax)
	return s.clock.Sleep(ctx, s.jitter(wait)) == nil
}

// handleRefusal goes to the target that the owner named, else to the next one with
// room, else queues the request where the wait is shortest.
func (d *dispatch) handleRefusal(e *call.Error) bool {
	d.service.meters.moved.Inc(1)
	if d.req.Wait {
		// The request waited too long at the target, or the queue there is full.
		return false
	}
	if e.Step == stepPlacement && !d.req.Recalled {
		return d.goToChatTarget(e.Next)
	}
	if d.req.Recalled && d.req.Place > 0 {
		// The target to which the chat was redirected is full. The owner of the
		// first-ranked target chooses another one.
		d.tried[d.req.Target] = true
		d.choose(0)
		return true
	}
	d.tried[d.req.Target] = true
	if pos := d.ranking.indexOf(e.Next); pos >= 0 && !d.tried[e.Next] {
		d.choose(pos)
		d.req.Place = max(pos, 1)
		d.req.Recalled = false
		return true
	}
	if pos := d.ranking.firstWithRoom(0, d.tried); pos >= 0 && len(d.tried) < maxRoomTries {
		d.choose(pos)
		d.req.Place = max(pos, 1)
		d.req.Recalled = false
		return true
	}
	return d.queue()
}

// goToChatTarget goes to the target to which the chat was redirected earlier. If
// that target can no longer run the request, the first-ranked target is tried again
// and its owner places the chat anew.
func (d *dispatch) goToChatTarget(target fleet.Target) bool {
	d.req.Recalled = true
	if pos := d.ranking.indexOf(target); pos > 0 {
		d.choose(pos)
	}
	return true
}

// maxRoomTries is the number of targets that may refuse a request before it is
// queued.
const maxRoomTries = 4

// queue lets the request wait at the target with the shortest wait among those that
// did not fail. It reports false if there is none.
func (d *dispatch) queue() bool {
	d.ranking = d.service.rank(&d.req)
	pos := d.ranking.shortestWait(d.failed)
	if pos < 0 {
		return false
	}
	d.service.meters.waited.Inc(1)
	d.choose(pos)
	d.req.Wait, d.req.Recalled = true, false
	return true
}

// nextTarget goes to the next target that was not tried, preferably one with room.
// If all were tried, it queues the request.
func (d *dispatch) nextTarget() bool {
	d.tried[d.req.Target] = true
	d.ranking = d.service.rank(&d.req)
	pos := d.ranking.firstWithRoom(0, d.tried)
	if pos < 0 {
		pos = d.ranking.shortestWait(d.tried)
	}
	if pos < 0 {
		return d.queue()
	}
	d.choose(pos)
	d.req.Place, d.req.Recalled = max(pos, 1), false
	return true
}
