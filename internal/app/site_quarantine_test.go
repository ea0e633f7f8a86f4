package app

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// crashingEngines replaces the engines of the site by six that a prompt part crashes.
// They are back after four seconds, as new processes. With head set, they send the head
// of a response first.
func (b *siteBed) crashingEngines(part string, head bool) {
	b.crashingWorkers("llm", []string{"e1", "e2", "e3", "e4", "e5", "e6"}, workerd.Options{
		Slots: 64, Events: 6, Work: 20 * time.Millisecond, CrashParts: []string{part}, CrashHead: head,
	})
}

// crashingWorkers starts workers of a service, or replaces those that are there. After a
// crash each is back after four seconds, as a new process.
func (b *siteBed) crashingWorkers(service string, ids []string, opt workerd.Options) {
	started := int64(1_800_000_000_000)
	opt.Restart = 4 * time.Second
	for _, id := range ids {
		var server atomic.Pointer[httpserve.Server]
		opt.Crashed = func() { _ = server.Load().Close() }
		opt.Restarted = func() {
			server.Store(b.serveWorker(id))
			b.store.PutWorker(keyedlog.Worker{
				ID: id, Service: service, Address: "10.1.0." + id + ":80", DataCentre: "dc1", Slots: 6,
				Born: started + time.Now().UnixMilli(),
			})
		}
		if _, ok := b.workers[id]; ok {
			b.restartWorker(id, service, opt)
		} else {
			b.worker(id, service, opt)
		}
		server.Store(b.servers[id])
	}
	b.wait(2 * time.Second)
}

// sendsWith returns the times of the requests with a prompt part that reached engines.
func (b *siteBed) sendsWith(part string) []time.Time {
	var at []time.Time
	for _, w := range b.workers {
		for _, r := range w.Runs() {
			if strings.Contains(r.Prompt, part+":") {
				at = append(at, r.At)
			}
		}
	}
	return at
}

// crashes returns the number of crashes of all engines.
func (b *siteBed) crashes() int {
	n := 0
	for _, w := range b.workers {
		n += w.Crashes()
	}
	return n
}

// playCrashingPart lets requests with a crashing part come to all routers, two a
// second, among sound ones with the same key and the same other parts. It returns when
// the fifth engine crashed, zero if fewer did, and how many of the sound requests
// were served from twice the window after the last crash that counts.
func (b *siteBed) playCrashingPart(length time.Duration) (fifth time.Time, served, sound int) {
	began, calmAt := time.Now(), time.Now()
	for i := 0; time.Since(began) < length; i++ {
		router := fmt.Sprint(i%3 + 1)
		go b.callOn(router, "chat", "aa", "dead", "bb")
		before := b.crashes()
		for range 5 {
			b.wait(100 * time.Millisecond)
			a := b.callOn(router, "chat", "aa", "bb")
			if time.Since(calmAt) < 2*spreadWindow {
				continue
			}
			sound++
			if a.status == 200 && a.body == wholeStream(6) {
				served++
			}
		}
		if n := b.crashes(); n > before && fifth.IsZero() {
			calmAt = time.Now()
			if n >= 5 {
				fifth = time.Now()
			}
		}
	}
	return fifth, served, sound
}

// spreadWindow is the time after the fifth crash from which no more than three requests
// with the part may reach engines.
const spreadWindow = 3 * time.Second

// TestPromptPartThatCrashesEnginesIsNotSentOn plays a prompt part that crashes each
// engine that begins to write an answer on it, with and without a head of its response.
func TestPromptPartThatCrashesEnginesIsNotSentOn(t *testing.T) {
	for _, head := range []bool{false, true} {
		t.Run(fmt.Sprint("head ", head), func(t *testing.T) { crashAndCheck(t, head) })
	}
}

func crashAndCheck(t *testing.T, head bool) {
	t.Helper()
	onSite(t, func(t *testing.T, b *siteBed) {
		b.crashingEngines("dead", head)
		fifth, served, sound := b.playCrashingPart(30 * time.Second)
		late := 0
		for _, at := range b.sendsWith("dead") {
			if !fifth.IsZero() && at.Sub(fifth) > spreadWindow {
				late++
			}
		}
		must.LessEq(t, 3, late, must.Sprintf("%d crashes", b.crashes()))
		must.LessEq(t, 8, b.crashes())
		must.Greater(t, 20, sound)
		must.Greater(t, sound*9/10, served, must.Sprintf("of %d sound requests", sound))
		must.Eq(t, 503, b.callOn("1", "chat", "aa", "dead", "cc").status, must.Sprint("whatever else the prompt holds"))
	})
}

// TestRestartedRouterKnowsQuarantinedParts restarts a router after a part was quarantined.
// It learns of the quarantine from the others, before it sends a request with the part.
func TestRestartedRouterKnowsQuarantinedParts(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.crashingEngines("dead", false)
		b.playCrashingPart(10 * time.Second)
		before := b.crashes()
		must.Between(t, 3, before, 8)
		b.stop("2")
		b.wait(4 * time.Second)
		b.router("2")
		b.wait(2 * time.Second)
		must.Eq(t, 200, b.callOn("2", "chat", "aa", "bb").status)
		must.Eq(t, 503, b.callOn("2", "chat", "aa", "dead", "bb").status)
		must.Eq(t, before, b.crashes())
	})
}

// TestRequestThatCrashedAnEngineIsNotSentAgain checks that a request is not resumed once
// a part of its prompt has crashed engines before.
func TestRequestThatCrashedAnEngineIsNotSentAgain(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.crashingEngines("dead", false)
		must.Eq(t, 502, b.callOn("1", "chat", "aa", "dead").status)
		must.Eq(t, 2, b.crashes(), must.Sprint("a single crash shows nothing"))
		b.wait(time.Second)
		must.Eq(t, 502, b.callOn("1", "chat", "bb", "dead").status)
		must.Eq(t, 3, b.crashes())
	})
}

// TestQuarantineSurvivesALossOfAllRouters ends all routers at once after a part was
// quarantined, and starts them again while the log is away at first.
func TestQuarantineSurvivesALossOfAllRouters(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.crashingEngines("dead", false)
		b.playCrashingPart(10 * time.Second)
		before := b.crashes()
		for _, name := range []string{"1", "2", "3"} {
			b.stop(name)
		}
		b.store.Set(keyedlog.Faults{Status: 503})
		for _, name := range []string{"1", "2", "3"} {
			b.router(name)
		}
		b.wait(3 * time.Second)
		b.store.Set(keyedlog.Faults{})
		b.wait(3 * time.Second)
		for _, name := range []string{"1", "2", "3"} {
			must.Eq(t, 200, b.callOn(name, "chat", "aa", "bb").status)
			must.Eq(t, 503, b.callOn(name, "chat", "aa", "dead", "bb").status)
		}
		must.Eq(t, before, b.crashes())
	})
}

// TestFirstPartOfALongChatIsNotSentOn lets the first part of chats of many turns crash each
// engine. No two chats share a turn, and their headers are as long as they may be.
func TestFirstPartOfALongChatIsNotSentOn(t *testing.T) {
	for _, turns := range []int{18, 256, 1500} {
		t.Run(fmt.Sprint(turns, " turns"), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.crashingEngines("dead", false)
				var fifth time.Time
				for i := range 60 {
					parts := []string{"dead"}
					for turn := range turns {
						parts = append(parts, strconv.FormatInt(int64(0x100000+i*2048+turn), 36))
					}
					go b.callOn(fmt.Sprint(i%3+1), "chat", append(parts, fmt.Sprint("z", i))...)
					for range 5 {
						b.wait(100 * time.Millisecond)
						go b.callOn(fmt.Sprint(i%3+1), "chat", "aa", fmt.Sprint("y", i))
					}
					if fifth.IsZero() && b.crashes() >= 5 {
						fifth = time.Now()
					}
				}
				late := 0
				for _, at := range b.sendsWith("dead") {
					if !fifth.IsZero() && at.Sub(fifth) > spreadWindow {
						late++
					}
				}
				must.LessEq(t, 3, late, must.Sprintf("%d crashes", b.crashes()))
				must.Greater(t, 2, b.crashes())
				must.Eq(t, 200, b.callOn("1", "chat", "aa", "bb").status)
			})
		})
	}
}
