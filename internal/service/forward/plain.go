package forward

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
)

// remotePenalty is what a target in another data centre counts more, in requests per slot.
const remotePenalty = 0.1

// queuesPlain reports whether requests for a service are placed by slots.
func (s *Service) queuesPlain(service *routing.Service) bool {
	return !service.Engine && s.features.QueuePlain()
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

// takeLoad records the load that a target of a plain service reports. The caller holds the
// lock.
func (s *Service) takeLoad(now time.Time, t *sitestate.AvailableTarget, resp *Response) {
	if resp.Load == nil || !s.features.QueuePlain() {
		return
	}
	f := slotqueue.Figures{
		Running: resp.Load.Running, Waiting: resp.Load.Waiting, Slots: resp.Load.Slots, Slowdown: resp.Load.Slowdown,
	}
	s.picker.Reported(now, t.ID.Ref(), f, s.balancer.LocalLoad(t.ID.Ref()))
}
