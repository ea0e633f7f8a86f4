package forward

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/overload"
	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/reach"
	"github.com/zinniafork/zinniafork/internal/core/selfreport"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/site"
)

// sixEngines is a site of six engines.
type sixEngines struct{ site.View }

// Lookup knows no target, so that none is probed.
func (sixEngines) Lookup(fleet.Target) (sitestate.Target, bool) { return sitestate.Target{}, false }

// Available returns the engines.
func (sixEngines) Available(fleet.Service) []sitestate.AvailableTarget {
	var out []sitestate.AvailableTarget
	for i := range 6 {
		out = append(out, sitestate.AvailableTarget{ID: engineID(i)})
	}
	return out
}

func engineID(i int) fleet.Target { return fleet.Target(fmt.Sprint("e", i)) }

// brokenRouter is a router at which requests with a part broke off at three engines in the same
// moment.
func brokenRouter(part uint64) *Service {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &Service{
		clock: kernel.SystemClock{}, logger: logrus.NewEntry(logger), metrics: newRequestMetrics(metrics.NewRegistry()), site: sixEngines{},
		balancer: balance.New("dc", rand.New(rand.NewPCG(1, 1))), outliers: outlier.New(), reports: selfreport.New(),
		limits: ratelimit.New(), granter: ratelimit.NewGranter(), asker: ratelimit.NewAsker(), brittle: ratelimit.New(),
		slots: ratelimit.NewSlotGranter(), slotAsker: ratelimit.NewAsker(), quarantine: quarantine.New(), partLog: newPartLog(),
		paths: reach.New(rand.New(rand.NewPCG(1, 1))), limiters: make(map[fleet.Service]*overload.Limiter),
		doubted: make(map[fleet.Target]bool), waiting: make(map[*send]struct{}), born: make(map[fleet.Target]int64),
		targetNames: make(map[fleet.Ref]fleet.Target), targetServices: make(map[fleet.Ref]fleet.Service),
	}
	s.siteChanged(bornAt(1))
	for i := range 3 {
		e := engineOf(engineID(i), 1, "llm")
		s.logParts(s.quarantine.Crashed(time.Now(), quarantine.Crash{Engine: e, Parts: []uint64{part}, Content: uint64(100 + i)}), s.self)
	}
	return s
}

// bornAt is a change of all engines to processes that started at a time.
func bornAt(born int64) sitestate.Changes {
	var out sitestate.Changes
	for i := range 6 {
		out.Targets = append(out.Targets, sitestate.Record[sitestate.Target]{
			Key: string(engineID(i)), Value: sitestate.Target{Service: "llm", Born: born, Usable: true},
		})
	}
	return out
}

// TestOnlyTargetsThatAreDownCountAsCrashed covers what follows when requests with a new part break
// off together. Connections that can't be opened show that the targets are down only while others
// can be, and that they have crashed is shown by their next processes.
func TestOnlyTargetsThatAreDownCountAsCrashed(t *testing.T) {
	for _, c := range []struct {
		name           string
		lost, reached  []int
		restarted, bad bool
	}{
		{name: "no other connection"},
		{name: "one is down", lost: []int{0}, reached: []int{5}},
		{name: "all that broke off are down", lost: []int{0, 1, 2}, reached: []int{3, 4, 5}, bad: true},
		{name: "all that broke off are down, none is reached", lost: []int{0, 1, 2}},
		{name: "no target is reached", lost: []int{0, 1, 2, 3, 4, 5}},
		{name: "no target is reached, until the path is restored", lost: []int{0, 1, 2, 3, 4, 5}, reached: []int{3, 4, 5, 0, 1, 2}},
		{name: "they are back as new processes", restarted: true, bad: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const part = 7
				s := brokenRouter(part)
				if c.bad {
					for _, i := range c.reached {
						s.pathReached("llm", engineID(i)) // others respond all the while
					}
				}
				time.Sleep(time.Millisecond)
				for _, i := range c.lost {
					s.pathLost("llm", engineID(i))
				}
				time.Sleep(time.Millisecond)
				for _, i := range c.reached {
					s.pathReached("llm", engineID(i))
				}
				if c.restarted {
					s.siteChanged(bornAt(2))
				}
				time.Sleep(time.Millisecond)
				s.quarantine.Served(time.Now(), []uint64{8}, engineOf("other", 1, "llm"), time.Now())
				s.releaseHeld(time.Now())
				_, refused := s.quarantine.Refuses(time.Now(), []uint64{part}, func(uint64) bool { return false })
				must.Eq(t, c.bad, refused)
			})
		})
	}
}
