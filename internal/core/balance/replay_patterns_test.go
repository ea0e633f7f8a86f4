package balance_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/workload"
)

var (
	longKind  = kind{name: "long", shared: 10512, own: 1300, events: 38, eventSpread: 17, objective: 2 * time.Second, prompts: 40, weight: 0.3}
	shortKind = kind{name: "short", shared: 699, own: 130, events: 29, eventSpread: 13, objective: 800 * time.Millisecond, prompts: 60, weight: 0.4}
	briefKind = kind{name: "brief", shared: 2041, own: 360, events: 2, eventSpread: 1, objective: 800 * time.Millisecond, prompts: 60, weight: 0.3}
)

func steady(perSecond float64) func(float64) float64 {
	return func(float64) float64 { return perSecond }
}

// mixed is the load that the patterns below change.
func mixed() pattern {
	return pattern{
		kinds: []kind{longKind, shortKind, briefKind}, perSecond: steady(350), duration: 9 * time.Second,
		engines: 12, routers: 8, hintNoise: 0.5,
	}
}

// patterns are loads whose requests, engines or reports mislead a count of requests.
var patterns = map[string]func(p *pattern){
	"long and short prompts alike by count": func(*pattern) {},
	"hot prompt": func(p *pattern) {
		p.kinds[0].hotShare, p.kinds[1].hotShare = 0.6, 0.6
	},
	"hot account": func(p *pattern) {
		hot := longKind
		hot.name, hot.account, hot.events, hot.prompts = "hot", "hot", 250, 4
		p.kinds[0].weight, p.kinds[1].weight = 0.2, 0.35
		p.kinds = append(p.kinds, hot)
		p.perSecond = steady(250)
	},
	"clients move between data centres": func(p *pattern) {
		p.routerAt = func(second float64, draw int) int { return draw/3*3%6 + int(second/3)%3%2 }
	},
	"bursts of one kind": func(p *pattern) {
		p.kindAt = func(second float64) int { return int(second*2) % 3 }
		p.perSecond = func(second float64) float64 { return []float64{200, 500, 500}[int(second*2)%3] }
	},
	"mixed speeds": func(p *pattern) {
		p.speed = func(engine int, _ float64) float64 { return []float64{1, 1, 1.3}[engine%3] }
	},
	"slow machines": func(p *pattern) {
		p.perSecond = steady(280)
		p.speed = func(engine int, second float64) float64 {
			if engine < 2 && second > 3 {
				return 0.4
			}
			return 1
		}
	},
	"partly failing machine": func(p *pattern) {
		p.failing = func(engine int) float64 { return []float64{0.3, 0}[min(engine, 1)] }
	},
	"slow machine that says it is idle": func(p *pattern) {
		p.perSecond = steady(280)
		p.speed = func(engine int, _ float64) float64 { return []float64{0.4, 1}[min(engine, 1)] }
		calls := 0
		p.report = func(engine int, e *modelEngine) (workload.Report, bool) {
			if engine > 0 {
				return workload.Report{Requests: len(e.running) + len(e.queue), Slots: 64, Slowdown: 1}, true
			}
			calls++
			return workload.Report{Slots: 64, Slowdown: []float64{0.2, 1}[calls%2]}, true
		}
	},
	"prompts with a common beginning": func(p *pattern) {
		p.kinds[0].common, p.kinds[0].prompts = 2041, 250
		p.perSecond = steady(250)
	},
	"many routers and hot prompts": func(p *pattern) {
		p.engines, p.routers = 60, 61
		p.kinds[0].weight, p.kinds[1].weight = 0.1, 0.65
		for i := range p.kinds {
			p.kinds[i].hotShare, p.kinds[i].prompts = 0.3, 24
		}
		p.perSecond = func(second float64) float64 { return 260 * (1 + 0.4*math.Sin(second*2*math.Pi/11)) }
	},
	"many routers and a few very slow engines": func(p *pattern) {
		p.engines, p.routers = 60, 61
		p.kinds[0].weight, p.kinds[1].weight = 0.1, 0.65
		for i := range p.kinds {
			p.kinds[i].hotShare, p.kinds[i].prompts = 0.3, 24
		}
		p.perSecond = steady(600)
		p.speed = func(engine int, second float64) float64 {
			if second > 3 && engine%8 == 0 {
				return 0.1
			}
			return 1
		}
	},
	"half of the engines cold": func(p *pattern) {
		p.perSecond = steady(170)
		p.away = func(engine int) bool { return engine%2 == 0 }
	},
	"some engines cold": func(p *pattern) {
		p.perSecond = steady(230)
		p.away = func(engine int) bool { return engine%4 == 0 }
	},
	"few engines left": func(p *pattern) {
		p.perSecond = steady(110)
		p.away = func(engine int) bool { return engine >= 4 }
	},
}

// TestWorkServesCallersBetter guards against a measure of load that serves callers worse than
// the count of requests, reads more of the prompts again, or exceeds the platform's limit on
// requests at one target (3 in 100).
func TestWorkServesCallersBetter(t *testing.T) {
	for name, change := range patterns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var inTime, reread, over [2]float64
			for seed := range uint64(2) {
				for i, byWork := range []bool{false, true} {
					p := mixed()
					change(&p)
					r := replay(p, byWork, seed+1)
					inTime[i] += r.total() / 2
					reread[i] += r.reread / 2000
					over[i] += float64(r.overLimit) / float64(r.arrivals) / 2
				}
			}
			t.Logf("in time %.3f -> %.3f, read again %.0fk -> %.0fk, over the limit %.4f -> %.4f", inTime[0], inTime[1], reread[0], reread[1], over[0], over[1])
			must.GreaterEq(t, inTime[0]-0.005, inTime[1])
			must.LessEq(t, reread[0], reread[1])
			must.LessEq(t, max(0.03, over[0]), over[1])
		})
	}
}
