package app

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestBrittleTargetsStayUp sends bursts of twice what the targets of a service have room
// for, through three routers, while the targets say that they are brittle. From three
// seconds on they may fall over two times in all, and still serve what they have room for.
func TestBrittleTargetsStayUp(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, id := range []string{"p1", "p2"} {
			b.restartWorker(id, "plain", workerd.Options{Slots: 6, Work: 30 * time.Millisecond, Restart: 2 * time.Second})
		}
		b.wait(2 * time.Second)
		burst := func(length time.Duration) (answered, sent int) {
			ended := make(chan bool, 10000)
			for range int(length / (100 * time.Millisecond)) {
				for _, router := range []string{"1", "2", "3"} {
					for range 8 {
						sent++
						go func() { ended <- b.call(router, "status").status == 200 }()
					}
				}
				b.wait(100 * time.Millisecond)
			}
			for range sent {
				if <-ended {
					answered++
				}
			}
			return answered, sent
		}
		burst(time.Second)
		for _, id := range []string{"p1", "p2"} {
			b.workers[id].SetBrittle(3)
		}
		burst(3 * time.Second)
		from := time.Now()
		answered, sent := burst(10 * time.Second)
		falls := 0
		for _, id := range []string{"p1", "p2"} {
			for _, at := range b.workers[id].Falls() {
				if at.After(from) {
					falls++
				}
			}
		}
		must.LessEq(t, 2, falls, must.Sprint("times that targets fell over"))
		// Room is for half of a burst, and five of six slots are granted: 41 in 100.
		t.Logf("%d answered, fell over %d times", answered, falls)
		must.GreaterEq(t, sent*40/100, answered, must.Sprint("of ", sent, " requests"))

		for _, id := range []string{"p1", "p2"} {
			b.workers[id].SetSturdy()
		}
		burst(2 * time.Second)
		answered, _ = burst(2 * time.Second)
		must.GreaterEq(t, sent/5*40/100, answered, must.Sprint("after that time"))
	})
}
