package ratelimit

import (
	"time"
)

// A brittle target falls over when it has to turn away too many requests in a second for
// want of room. Load pattern: many routers that each know the load of the others as it was
// some tenths of a second ago, and all fill the last free slot. As with rates, one router
// therefore grants the slots of a target one by one, and each is given back at the end of
// its request.

const (
	// roomShare is the part of a target's slots that is granted. Health checks and
	// connections that are opened take slots too.
	roomShare = 0.9
	// slotRetry is the time after which a router that got no slot asks again.
	slotRetry = 20 * time.Millisecond
	// rejectionPause is how long nothing is granted after a target has turned a request
	// away all the same. It has less room than it tells.
	rejectionPause = 200 * time.Millisecond
	// maxSlotTime is how long a slot is granted at the most. Requests end earlier.
	maxSlotTime = time.Minute
	// ungrantedTime is how long after the first grant the requests that run without one
	// count, as far as they are known.
	ungrantedTime = 5 * time.Second
)

// SlotGranter grants the slots of the brittle targets that this router grants for. It is
// not safe for concurrent use.
type SlotGranter struct {
	rooms map[Process]*room
}

// room is what is granted of one process.
type room struct {
	// granted holds the end of each grant by its number.
	granted map[uint64]time.Time
	last    uint64
	// rejected holds the times at which the target turned requests away.
	rejected    []time.Time
	closedUntil time.Time
	since       time.Time
	askedAt     time.Time
}

// NewSlotGranter returns a granter that has granted nothing.
func NewSlotGranter() *SlotGranter { return &SlotGranter{rooms: make(map[Process]*room)} }

// Brittle describes a target's process that may fall over.
type Brittle struct {
	Process Process
	// Slots is the number of requests that it runs at once, and MaxRejected the number that
	// it may turn away in a second.
	Slots       int
	MaxRejected int
	// Running is the number of requests that are known to run, with or without a grant.
	Running int
}

// Grant grants a slot, and returns its number. Otherwise it returns after which time to ask
// again. With deputy set, only a part of the slots is granted, since another router may
// grant as well.
func (g *SlotGranter) Grant(now time.Time, b Brittle, deputy bool) (slot uint64, granted bool, wait time.Duration) {
	r, ok := g.rooms[b.Process]
	if !ok {
		r = &room{granted: make(map[uint64]time.Time), since: now}
		g.rooms[b.Process] = r
	}
	r.askedAt = now
	r.expire(now)
	if now.Before(r.closedUntil) {
		return 0, false, r.closedUntil.Sub(now)
	}
	used := len(r.granted)
	if now.Sub(r.since) < ungrantedTime {
		used = max(used, b.Running)
	}
	limit := float64(b.Slots) * roomShare
	if deputy {
		limit *= deputyShare
	}
	if used >= max(int(limit), 1) {
		return 0, false, slotRetry
	}
	r.last++
	r.granted[r.last] = now.Add(maxSlotTime)
	return r.last, true, 0
}

// expire drops grants that were not given back, and old rejections.
func (r *room) expire(now time.Time) {
	for slot, until := range r.granted {
		if !now.Before(until) {
			delete(r.granted, slot)
		}
	}
	for len(r.rejected) > 0 && now.Sub(r.rejected[0]) > time.Second {
		r.rejected = r.rejected[1:]
	}
}

// Release takes a slot back. Rejected is true if the target turned the request away; half
// of what it may turn away in a second closes it until that second is over.
func (g *SlotGranter) Release(now time.Time, b Brittle, slot uint64, rejected bool) {
	r, ok := g.rooms[b.Process]
	if !ok {
		return
	}
	delete(r.granted, slot)
	if !rejected {
		return
	}
	r.expire(now)
	r.rejected = append(r.rejected, now)
	pause := rejectionPause
	if 2*len(r.rejected) >= b.MaxRejected {
		pause = time.Second
	}
	r.closedUntil = now.Add(pause)
}

// Expire drops the state of processes that nobody has asked for in a while.
func (g *SlotGranter) Expire(now time.Time) {
	for p, r := range g.rooms {
		if now.Sub(r.askedAt) > maxSlotTime {
			delete(g.rooms, p)
		}
	}
}
