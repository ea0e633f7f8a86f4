package route

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

const (
	// maxMoves limits how often a request that did not run is sent on.
	maxMoves = 12
	// Times between tries at a target that has no owner just now.
	ownerWaitMin = 20 * time.Millisecond
	ownerWaitMax = 200 * time.Millisecond
	// ownerTries is the number of tries at such a target before the next one.
	ownerTries = 4
	// maxDoublings limits the growth of that time.
	maxDoublings = 8
	// defaultRetryAfter is what a caller is told when nothing better is known.
	defaultRetryAfter = time.Second
	// stepTarget is the step of errors that arose at a target.
	stepTarget = "target"
)

// Run places and runs the request.
func (s *Service) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	j := &journey{
		service: s,
		began:   s.clock.Now(),
		req:     *req,
		sink:    newJoinedSink(sink),
		tried:   make(map[fleet.Target]bool),
		failed:  make(map[fleet.Target]bool),
	}
	s.countRequest(req)
	err := j.run(ctx)
	if err == nil {
		return nil
	}
	if j.sink.broken != nil {
		err = j.sink.broken
	}
	if err.Run == call.RunNot {
		s.meters.refused.Inc(1)
	}
	return final(err)
}

// final turns the last error of a journey into what callers see. Who owns what
// is no concern of theirs.
func final(e *call.Error) *call.Error {
	if e.Code != call.CodeNotOwner {
		return e
	}
	out := *e
	out.Code, out.Message = call.CodeUnavailable, "no VM serves the target just now"
	out.RetryAfter = max(e.RetryAfter, defaultRetryAfter)
	return &out
}

// journey is one request on its way to a target.
type journey struct {
	service *Service
	began   time.Time
	req     call.Request
	sink    *joinedSink
	ranking *ranking
	// tried are the targets that had no room, failed those that gave no answer.
	tried  map[fleet.Target]bool
	failed map[fleet.Target]bool
	moves  int
	// misses counts tries at the present target that found no owner.
	misses int
	last   *call.Error
	// resumeUntil ends the wait for a target's next owner while an answer that
	// has begun waits for its rest; zero when none does.
	resumeUntil time.Time
}

func (j *journey) run(ctx context.Context) *call.Error {
	if j.service.config.Current() == nil {
		return &call.Error{Code: call.CodeUnavailable, Step: "config", Run: call.RunNot, Message: "no configuration yet", RetryAfter: defaultRetryAfter}
	}
	if !j.begin() {
		return &call.Error{Code: call.CodeNoTarget, Step: "placement", Run: call.RunNot, Message: "no target serves this request", RetryAfter: defaultRetryAfter}
	}
	for {
		err := j.try(ctx)
		if err == nil {
			return nil
		}
		j.last = err
		if !j.next(ctx, err) {
			return j.last
		}
	}
}

// begin ranks the targets and chooses the first.
func (j *journey) begin() bool {
	j.ranking = j.service.rank(&j.req)
	if len(j.ranking.order) == 0 {
		return false
	}
	j.choose(0)
	return true
}

// choose makes the target at a place the next to try.
func (j *journey) choose(place int) {
	j.req.Target = j.ranking.place(place)
	j.req.Place = place
	j.req.Wait = false
	j.misses = 0
}

// try sends the request to the owner of its target.
func (j *journey) try(ctx context.Context) *call.Error {
	s := j.service
	s.countTry(&j.req)
	vm, ok := s.owners.Owner(targetResource(j.req.Target))
	if !ok {
		return &call.Error{Code: call.CodeNotOwner, Step: "owner", Peer: string(j.req.Target), Run: call.RunNot, Message: "target has no owner"}
	}
	var err error
	if vm == s.self {
		err = j.runHere(ctx)
	} else {
		err = s.peers.Call(ctx, vm, kindRun, &j.req, j.sink)
	}
	if err == nil {
		return nil
	}
	return call.AsError(err)
}

// runHere runs the request on a target that this VM owns.
func (j *journey) runHere(ctx context.Context) error {
	ctx, span := tracing.Start(ctx, "owner")
	defer span.End()
	return j.service.runOwned(ctx, &j.req, j.sink)
}

// next prepares the next try and reports whether there is one.
func (j *journey) next(ctx context.Context, e *call.Error) bool {
	if ctx.Err() != nil || j.moves >= maxMoves {
		return false
	}
	if e.Step == stepTarget || e.Code == call.CodeUnavailable {
		j.failed[j.req.Target] = true
	}
	if e.Run != call.RunNot {
		return j.again(e)
	}
	if j.resuming() {
		return j.afterResume(ctx, e)
	}
	j.moves++
	switch e.Code {
	case call.CodeNotOwner:
		return j.waitForOwner(ctx)
	case call.CodeOverloaded:
		if e.Step == stepTarget {
			return j.service.mayRetry(&j.req) && j.elsewhere()
		}
		return j.afterRefusal(e)
	case call.CodeUnavailable, call.CodeDraining, call.CodeNoTarget:
		if e.Step == stepTarget && !j.service.mayRetry(&j.req) {
			return false
		}
		return j.elsewhere()
	}
	return false
}

// waitForOwner gives a target whose owner is changing a little time.
func (j *journey) waitForOwner(ctx context.Context) bool {
	s := j.service
	j.misses++
	if j.misses > ownerTries && j.elsewhere() {
		return true
	}
	if s.clock.Now().Sub(j.began) > s.config.Current().Load.QueueWait.Std() {
		return false
	}
	j.moves--
	wait := min(ownerWaitMin<<min(j.misses-1, maxDoublings), ownerWaitMax)
	return s.clock.Sleep(ctx, s.jitter(wait)) == nil
}

// afterRefusal follows the owner's advice, or goes to the next target with
// room, or waits where the wait is shortest.
func (j *journey) afterRefusal(e *call.Error) bool {
	j.service.meters.moved.Inc(1)
	if j.req.Wait {
		// The target let it wait in vain, or has too many waiting.
		return false
	}
	if e.Step == stepPlacement && !j.req.Recalled {
		return j.recall(e.Next)
	}
	if j.req.Recalled && j.req.Place > 0 {
		// The chat's target is full: back to the first, which finds another.
		j.tried[j.req.Target] = true
		j.choose(0)
		return true
	}
	j.tried[j.req.Target] = true
	if place := j.ranking.find(e.Next); place >= 0 && !j.tried[e.Next] {
		j.choose(place)
		j.req.Place = max(place, 1)
		j.req.Recalled = false
		return true
	}
	if place := j.ranking.roomAfter(0, j.tried); place >= 0 && len(j.tried) < maxRoomTries {
		j.choose(place)
		j.req.Place = max(place, 1)
		j.req.Recalled = false
		return true
	}
	return j.wait()
}

// recall goes to the target that the chat went to last. When that one is not
// among the targets any more, the first one places the chat anew.
func (j *journey) recall(home fleet.Target) bool {
	j.req.Recalled = true
	if place := j.ranking.find(home); place > 0 {
		j.choose(place)
	}
	return true
}

// maxRoomTries is the number of targets that are asked for room before the
// request waits.
const maxRoomTries = 4

// wait lets the request wait at the target with the shortest wait.
func (j *journey) wait() bool {
	j.ranking = j.service.rank(&j.req)
	place := j.ranking.shortestWait(j.failed)
	if place < 0 {
		return false
	}
	j.service.meters.waited.Inc(1)
	j.choose(place)
	j.req.Wait, j.req.Recalled = true, false
	return true
}

// elsewhere goes to the next target that was not tried.
func (j *journey) elsewhere() bool {
	j.tried[j.req.Target] = true
	j.ranking = j.service.rank(&j.req)
	place := j.ranking.roomAfter(0, j.tried)
	if place < 0 {
		place = j.ranking.shortestWait(j.tried)
	}
	if place < 0 {
		return j.wait()
	}
	j.choose(place)
	j.req.Place, j.req.Recalled = max(place, 1), false
	return true
}
