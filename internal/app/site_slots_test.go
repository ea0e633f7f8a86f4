package app

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// orderResult is what came of an order.
type orderResult struct {
	answer
	took time.Duration
}

// clump sends orders through some routers at once and returns what came of them.
func (b *siteBed) clump(orders int, routers ...string) []orderResult {
	ended := make(chan orderResult, orders)
	for i := range orders {
		go func() {
			begun := time.Now()
			a := b.call(routers[i%len(routers)], "order")
			ended <- orderResult{answer: a, took: time.Since(begun)}
		}()
	}
	out := make([]orderResult, 0, orders)
	for range orders {
		out = append(out, <-ended)
	}
	return out
}

// grantor returns the router that grants the slots of the plain service.
func (b *siteBed) grantor() string {
	for name := range b.routers {
		if metricOf(b.get("10.0.0."+name+":83", "/metrics").body, "slots_grants") > 0 {
			return name
		}
	}
	b.t.Fatal("no router grants slots")
	return ""
}

// metricOf returns the sum of the values of a metric.
func metricOf(page, name string) float64 {
	sum := 0.0
	for line := range strings.Lines(page) {
		fields := strings.Fields(line)
		if len(fields) == 2 && !strings.HasPrefix(line, "#") && strings.Contains(fields[0], name) {
			var value float64
			_, _ = fmt.Sscan(fields[1], &value)
			sum += value
		}
	}
	return sum
}

// queueWorkers gives the plain workers room beyond the slots of their entries, as real targets
// have.
func (b *siteBed) queueWorkers() {
	for _, id := range []string{"p1", "p2"} {
		b.restartWorker(id, "plain", workerd.Options{
			Slots: 8, Work: 30 * time.Millisecond,
			Load: func(running int) string { return fmt.Sprintf("%d,0,6,100", running) },
		})
	}
	b.wait(time.Second)
}

// TestClumpWaitsAtOneRouter guards against targets rejecting what one router could have let
// wait: a clump of five times the slots comes through three routers at once.
func TestClumpWaitsAtOneRouter(t *testing.T) {
	onQueueSite(t, func(t *testing.T, b *siteBed) {
		b.queueWorkers()
		b.clump(24, "1", "2", "3") // shows the routers that requests compete
		b.wait(time.Second)
		before := len(b.workers["p1"].Refused()) + len(b.workers["p2"].Refused())
		results := b.clump(60, "1", "2", "3")
		for _, r := range results {
			must.Eq(t, 200, r.status)
			// Five rounds of 30 ms.
			must.Less(t, 250*time.Millisecond, r.took)
		}
		must.Eq(t, before, len(b.workers["p1"].Refused())+len(b.workers["p2"].Refused()), must.Sprint("rejected by targets"))
		b.ranOnce()
		b.grantor()
	})
}
