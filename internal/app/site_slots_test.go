package app

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
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

// TestRequestsSurviveTheLossOfTheGrantor guards against orders that hang, fail or run twice when
// the router that grants the slots ends, falls silent, is cut off or restarts while they wait.
func TestRequestsSurviveTheLossOfTheGrantor(t *testing.T) {
	losses := map[string]func(b *siteBed, grantor string, others []string){
		"killed":  func(b *siteBed, grantor string, _ []string) { b.stop(grantor) },
		"frozen":  func(b *siteBed, grantor string, others []string) { b.cutPeers(kerneltest.CutHang, grantor, others) },
		"cut off": func(b *siteBed, grantor string, others []string) { b.cutPeers(kerneltest.CutReset, grantor, others) },
		"restarted": func(b *siteBed, grantor string, _ []string) {
			b.stop(grantor)
			b.router(grantor)
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			onQueueSite(t, func(t *testing.T, b *siteBed) {
				b.queueWorkers()
				b.clump(24, "1", "2", "3")
				b.wait(time.Second)
				grantor := b.grantor()
				others := slices.DeleteFunc([]string{"1", "2", "3"}, func(r string) bool { return r == grantor })
				ended := make(chan []orderResult, 1)
				go func() { ended <- b.clump(60, others...) }()
				b.wait(15 * time.Millisecond) // requests run and wait
				lose(b, grantor, others)
				for _, r := range <-ended {
					must.True(t, r.status == 200 || r.status == 503, must.Sprint(r.status, r.err))
					must.Less(t, time.Second, r.took, must.Sprint("of a deadline of 3 s"))
				}
				b.wait(3 * time.Second)
				served := 0
				for _, r := range b.clump(30, others...) {
					if r.status == 200 {
						served++
					}
				}
				must.Eq(t, 30, served, must.Sprint("by the next grantor"))
				b.ranOnce()
			})
		})
	}
}

// cutPeers cuts routers off from one router, in both directions.
func (b *siteBed) cutPeers(cut kerneltest.Cut, from string, routers []string) {
	var addresses []string
	for _, r := range routers {
		b.views[r].Partition(cut, "10.0.0."+from+":7000")
		addresses = append(addresses, "10.0.0."+r+":7000")
	}
	b.views[from].Partition(cut, addresses...)
}

// TestTargetThatLiesGetsLittle guards against a target that reports to be idle while it turns
// requests away: it may not take the queue away from the other one.
func TestTargetThatLiesGetsLittle(t *testing.T) {
	onQueueSite(t, func(t *testing.T, b *siteBed) {
		b.queueWorkers()
		b.restartWorker("p1", "plain", workerd.Options{Slots: 2, Work: 30 * time.Millisecond, Load: func(int) string { return "0,0,6,60" }})
		b.wait(time.Second)
		sent, served := 0, 0
		for range 20 {
			for _, r := range b.clump(12, "1", "2", "3") {
				sent++
				if r.status == 200 {
					served++
				}
			}
			b.wait(50 * time.Millisecond)
		}
		must.GreaterEq(t, sent*9/10, served, must.Sprint("of ", sent))
		b.ranOnce()
	})
}
