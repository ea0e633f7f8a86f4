package balance

import (
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// coldShare is the part of a cold target's rate that the routers use together. The
// rest allows for routers that disagree about which routers are alive.
const coldShare = 0.7

// ColdLimit limits the rate of requests that all routers together send to a cold
// target, without any message between them. Only the routers that rank first for a
// target send to it, each at an equal share of the rate. With n such routers, which
// may all send their first request at once, a second sees at most n + rate requests.
type ColdLimit struct {
	self    fleet.VM
	routers []fleet.VM
	// nextAllowed is the earliest time of this router's next request.
	nextAllowed map[fleet.Target]time.Time
	// ranks caches this router's rank for each target.
	ranks map[fleet.Target]int
}

// NewColdLimit returns the limit of the router self, which counts as the only
// router until SetRouters is called.
func NewColdLimit(self fleet.VM) *ColdLimit {
	return &ColdLimit{
		self:        self,
		routers:     []fleet.VM{self},
		nextAllowed: make(map[fleet.Target]time.Time),
		ranks:       make(map[fleet.Target]int),
	}
}

// SetRouters sets the routers that may send requests now, including this one.
func (c *ColdLimit) SetRouters(vms []fleet.VM) {
	c.routers = vms
	clear(c.ranks)
}

// Allow reports whether this router may now send a request to a cold target that
// can take perSecond requests per second. A rate of zero or less means no limit.
func (c *ColdLimit) Allow(now time.Time, id fleet.Target, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	share := c.share(id, perSecond)
	return share > 0 && !now.Before(c.nextAllowed[id])
}

// Take records that a request is sent at now.
func (c *ColdLimit) Take(now time.Time, id fleet.Target, perSecond float64) {
	share := c.share(id, perSecond)
	if share <= 0 {
		return
	}
	c.nextAllowed[id] = now.Add(time.Duration(float64(time.Second) / share))
}

// share returns this router's rate at a target in requests per second.
func (c *ColdLimit) share(id fleet.Target, perSecond float64) float64 {
	total := perSecond * coldShare
	senders := min(len(c.routers), max(1, int(math.Floor(total))))
	if c.rankFor(id) >= senders {
		return 0
	}
	return total / float64(senders)
}

// rankFor returns this router's cached rank among all routers for a target.
func (c *ColdLimit) rankFor(id fleet.Target) int {
	rank, ok := c.ranks[id]
	if !ok {
		rank = c.computeRank(id)
		c.ranks[id] = rank
	}
	return rank
}

// computeRank counts the routers that score higher than this one for a target.
func (c *ColdLimit) computeRank(id fleet.Target) int {
	hash := placement.HashTarget(id)
	own := placement.Score(hash, placement.HashTarget(fleet.Target(c.self)), 1)
	rank := 0
	for _, vm := range c.routers {
		if vm != c.self && placement.Score(hash, placement.HashTarget(fleet.Target(vm)), 1) > own {
			rank++
		}
	}
	return rank
}
