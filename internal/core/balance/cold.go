package balance

import (
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// coldShare is the part of a cold target's rate that the routers hand out
// together. The rest covers routers that disagree about who is there.
const coldShare = 0.7

// ColdLimit bounds the requests that all routers together send to cold
// targets. Each target is served by a few routers, those that rank first for
// it, and each of them by a rate of its own: with n routers and a burst of one
// each, a second sees at most n + rate requests.
type ColdLimit struct {
	self    fleet.VM
	routers []fleet.VM
	next    map[fleet.Target]time.Time
	// places holds this router's ranks among the routers.
	places map[fleet.Target]int
}

// NewColdLimit returns the limit of one router.
func NewColdLimit(self fleet.VM) *ColdLimit {
	return &ColdLimit{
		self:    self,
		routers: []fleet.VM{self},
		next:    make(map[fleet.Target]time.Time),
		places:  make(map[fleet.Target]int),
	}
}

// SetRouters takes the routers that may send requests now, this one included.
func (c *ColdLimit) SetRouters(vms []fleet.VM) {
	c.routers = vms
	clear(c.places)
}

// Allow reports whether this router may send a request to a cold target that
// bears perSecond requests.
func (c *ColdLimit) Allow(now time.Time, id fleet.Target, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	share := c.share(id, perSecond)
	return share > 0 && !now.Before(c.next[id])
}

// Take notes that a request is sent.
func (c *ColdLimit) Take(now time.Time, id fleet.Target, perSecond float64) {
	share := c.share(id, perSecond)
	if share <= 0 {
		return
	}
	c.next[id] = now.Add(time.Duration(float64(time.Second) / share))
}

// share is this router's rate at a target.
func (c *ColdLimit) share(id fleet.Target, perSecond float64) float64 {
	total := perSecond * coldShare
	senders := min(len(c.routers), max(1, int(math.Floor(total))))
	if c.place(id) >= senders {
		return 0
	}
	return total / float64(senders)
}

// place is this router's rank among all routers for a target.
func (c *ColdLimit) place(id fleet.Target) int {
	place, ok := c.places[id]
	if !ok {
		place = c.rank(id)
		c.places[id] = place
	}
	return place
}

func (c *ColdLimit) rank(id fleet.Target) int {
	hash := placement.HashTarget(id)
	own := placement.Score(hash, placement.HashTarget(fleet.Target(c.self)), 1)
	place := 0
	for _, vm := range c.routers {
		if vm != c.self && placement.Score(hash, placement.HashTarget(fleet.Target(vm)), 1) > own {
			place++
		}
	}
	return place
}
