package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
)

// TestReportedSlotsDoNotRaiseTheLimit guards against a target that reports a huge load of huge
// slots: the excess counts in the mean load, and so in the limit of all targets of its service.
func TestReportedSlotsDoNotRaiseTheLimit(t *testing.T) {
	s := &Service{work: newWorkState(true, metrics.NewRegistry()), balancer: balance.New("dc", rand.New(rand.NewPCG(1, 1)))}
	target := sitestate.AvailableTarget{ID: "t", Target: sitestate.Target{Slots: 64}}
	now := time.Unix(1, 0)
	s.takeLoad(now, &target, &TargetLoad{Running: 1 << 20, Slots: 1 << 20})
	_, excess := s.work.model.Speed(now, target.ID.Ref())
	must.LessEq(t, 64, excess)
	must.Positive(t, excess)
}
