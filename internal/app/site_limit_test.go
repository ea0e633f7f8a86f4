package app

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// limitWindow is the time over which the platform counts requests to a target that
	// names a limit. Requests count from half a second after their router has passed on
	// such an answer; limitKnown is the time until each router has.
	limitWindow = 4 * time.Second
	limitKnown  = time.Second
)

// allowedIn returns how many requests a target with a limit may get in limitWindow.
func allowedIn(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds() + 5) }

// mostInWindow returns the largest number of runs in any limitWindow from a time on.
func mostInWindow(runs []workerd.Run, from time.Time) int {
	most := 0
	for i := range runs {
		if runs[i].At.Before(from) {
			continue
		}
		n := 0
		for j := i; j < len(runs) && runs[j].At.Sub(runs[i].At) < limitWindow; j++ {
			n++
		}
		most = max(most, n)
	}
	return most
}

// loadSite sends a request each interval to each of three routers for a time, and returns
// the answers and how long they took.
func loadSite(b *siteBed, route string, interval, duration time.Duration) (answers []answer, took []time.Duration) {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		for _, router := range []string{"1", "2", "3"} {
			wg.Go(func() {
				began := time.Now()
				a := b.call(router, route)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
				took = append(took, time.Since(began))
			})
		}
	}
	wg.Wait()
	return answers, took
}

// TestTargetGetsNoMoreThanTheLimitThatItNames lets one of two targets name a limit that
// three routers together exceed. It gets no more, the other one serves the rest, and once
// it names no limit any more it is used as before.
func TestTargetGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	for _, c := range []struct {
		route, limited string
		perSecond      float64
	}{{"chat", "e2", 2}, {"chat", "e2", 5}, {"order", "p1", 2}} {
		t.Run(fmt.Sprint(c.route, " ", c.perSecond), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				w := b.workers[c.limited]
				loadSite(b, c.route, 100*time.Millisecond, 4*time.Second)
				w.SetLimit(c.perSecond)
				named := time.Now()
				answers, _ := loadSite(b, c.route, 100*time.Millisecond, 12*time.Second)
				for _, a := range answers {
					must.Eq(t, http.StatusOK, a.status)
				}
				must.LessEq(t, allowedIn(c.perSecond), mostInWindow(w.Runs(), named.Add(limitKnown)))
				w.SetLimit(0)
				ended := len(w.Runs())
				loadSite(b, c.route, 100*time.Millisecond, 8*time.Second)
				must.Greater(t, 2*allowedIn(c.perSecond), len(w.Runs())-ended, must.Sprint("used again beyond the limit"))
			})
		})
	}
}

// TestLimitsOfAllTargetsAreUsed lets both targets of a service name limits below the
// load. They are used to the full, and the rest is refused at once.
func TestLimitsOfAllTargetsAreUsed(t *testing.T) {
	const perSecond, seconds = 3, 12
	for _, c := range []struct {
		route   string
		targets []string
	}{{"chat", []string{"e1", "e2"}}, {"order", []string{"p1", "p2"}}} {
		t.Run(c.route, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				for _, id := range c.targets {
					b.workers[id].SetLimit(perSecond)
				}
				loadSite(b, c.route, 100*time.Millisecond, limitKnown)
				from := time.Now()
				answers, took := loadSite(b, c.route, 100*time.Millisecond, seconds*time.Second)
				served := 0
				for i, a := range answers {
					if a.status == http.StatusOK {
						served++
						continue
					}
					must.Eq(t, http.StatusServiceUnavailable, a.status)
					must.NotEq(t, "", a.header.Get("Retry-After"))
					must.Less(t, 200*time.Millisecond, took[i])
				}
				for _, id := range c.targets {
					must.LessEq(t, allowedIn(perSecond), mostInWindow(b.workers[id].Runs(), from))
				}
				must.GreaterEq(t, 9*perSecond*seconds*len(c.targets)/10, served)
			})
		})
	}
}
