package app

import (
	"bufio"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// release starts engines of a software version.
func (b *siteBed) release(version string, ids ...string) {
	for _, id := range ids {
		b.versions[id] = version
		opt := workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond, Gap: 200 * time.Millisecond, Version: version}
		if _, ok := b.workers[id]; ok {
			opt.ID = id
			b.workers[id] = workerd.New(opt)
			b.entry(id, "llm", false)
			continue
		}
		b.worker(id, "llm", opt)
	}
	b.wait(2 * time.Second)
}

// retire lets engines leave and then removes their entries.
func (b *siteBed) retire(ids ...string) {
	for _, id := range ids {
		b.entry(id, "llm", true)
	}
	b.wait(2 * time.Second)
	for _, id := range ids {
		b.store.Put("keyed.servers", id, nil)
	}
	b.wait(time.Second)
}

// twoVersions replaces the engines by three of version v1 and three of v2.
func (b *siteBed) twoVersions() {
	b.release("v1", "e1", "e2", "e3")
	b.release("v2", "e4", "e5", "e6")
}

// openStream is a stream of which its caller has read some events.
type openStream struct {
	id, last string
	// cancel closes the caller's connection.
	cancel context.CancelFunc
}

// begin begins a stream at a router and reads two of its events.
func (b *siteBed) begin(router string) openStream {
	request := b.request("chat", "aa", fmt.Sprint("a", b.serial.Load()))
	ctx, cancel := context.WithCancel(b.t.Context())
	out := openStream{id: request.ID, cancel: cancel}
	r, err := request.HTTP(ctx, "10.0.0."+router+":80")
	must.NoError(b.t, err)
	resp, err := b.client.Do(r)
	must.NoError(b.t, err)
	must.Eq(b.t, 200, resp.StatusCode)
	b.t.Cleanup(func() { _ = resp.Body.Close() })
	for lines := bufio.NewScanner(resp.Body); out.last != "2" && lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			out.last = id
		}
	}
	must.Eq(b.t, "2", out.last)
	return out
}

// beginMany begins streams at all routers.
func (b *siteBed) beginMany(n int) []openStream { return b.beginAt(n, "1", "2", "3") }

// beginAt begins streams at some routers.
func (b *siteBed) beginAt(n int, routers ...string) []openStream {
	out := make([]openStream, n)
	done := make(chan struct{})
	for i := range out {
		go func() {
			defer func() { done <- struct{}{} }()
			out[i] = b.begin(routers[i%len(routers)])
		}()
		b.wait(5 * time.Millisecond)
	}
	for range out {
		<-done
	}
	return out
}

// takeUp lets callers whose connections are gone take their streams up at other routers,
// and returns how many of them go on to their end. All others must be refused.
func (b *siteBed) takeUp(streams []openStream, routers ...string) (whole int) {
	b.t.Helper()
	for i, one := range streams {
		one.cancel()
		request := b.request("chat", "aa", fmt.Sprint("b", i))
		request.LastEvent, request.Resumes = one.last, one.id
		a := b.do(routers[i%len(routers)], request)
		if a.status == 200 && a.err == nil && strings.HasSuffix(wholeStream(6), a.body) {
			whole++
			continue
		}
		must.Eq(b.t, 503, a.status, must.Sprintf("%+v", a))
	}
	return whole
}

// joined returns the streams that hold events of two versions, over all attempts of their
// callers.
func (b *siteBed) joined() (out []string) {
	versions := make(map[string]string)
	for _, w := range b.workers {
		for _, r := range w.Runs() {
			if r.LastEvent == "" && r.Fault == workerd.FaultNone {
				versions[r.Request] = r.Version
			}
		}
	}
	for _, w := range b.workers {
		for _, r := range w.Runs() {
			began := r.Request
			if r.Resumes != "" {
				began = r.Resumes
			}
			if r.LastEvent != "" && versions[began] != "" && versions[began] != r.Version {
				out = append(out, fmt.Sprintf("%s of %s at %s", began, versions[began], r.Version))
			}
		}
	}
	return out
}

func (b *siteBed) stopAll() {
	for _, name := range []string{"1", "2", "3"} {
		b.stop(name)
	}
}

func (b *siteBed) startAll() {
	for _, name := range []string{"1", "2", "3"} {
		b.router(name)
	}
	b.wait(4 * time.Second)
}

// TestStreamThatBreaksOffGoesOnAtItsVersion lets engines of two versions break off streams,
// which their router resumes.
func TestStreamThatBreaksOffGoesOnAtItsVersion(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.twoVersions()
		resumed := 0
		for i := range 30 {
			done := make(chan answer)
			go func() { done <- b.callOn(fmt.Sprint(i%3+1), "chat", "aa", fmt.Sprint("a", i)) }()
			b.wait(300 * time.Millisecond)
			for _, w := range b.workers {
				w.BreakOff()
			}
			if a := <-done; a.body == wholeStream(6) {
				resumed++
			}
			b.wait(time.Second) // for the retry budget
		}
		must.SliceEmpty(t, b.joined())
		must.Greater(t, 25, resumed)
	})
}

// TestStreamIsTakenUpAtItsVersion kills one router, whose callers take their streams up at
// the others, with the store and without it.
func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	for name, faults := range map[string]keyedlog.Faults{"with the store": {}, "without the store": {Status: 503}} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.twoVersions()
				b.store.Set(faults)
				streams := b.beginMany(30)
				b.stop("1")
				whole := b.takeUp(streams, "2", "3")
				must.SliceEmpty(t, b.joined())
				must.Greater(t, 25, whole)
			})
		})
	}
}

// TestStreamsAreTakenUpAfterALossOfAllRouters kills all routers while two versions serve.
func TestStreamsAreTakenUpAfterALossOfAllRouters(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.twoVersions()
		streams := b.beginMany(30)
		b.stopAll()
		b.startAll()
		whole := b.takeUp(streams, "1", "2", "3")
		must.SliceEmpty(t, b.joined())
		must.Greater(t, 25, whole)
	})
}

// TestStreamsOfAVersionThatIsGoneAreRefused kills all routers during a release, and lets
// the targets of the former version leave before they are back. The store has lost its
// history.
func TestStreamsOfAVersionThatIsGoneAreRefused(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.release("v1", "e1", "e2", "e3")
		former := b.beginMany(6)
		b.release("v2", "e4", "e5", "e6")
		streams := slices.Concat(former, b.beginMany(30))
		b.stopAll()
		b.retire("e1", "e2", "e3")
		b.store.ForgetAll()
		b.startAll()
		began := make(map[string]bool)
		for _, id := range []string{"e4", "e5", "e6"} {
			for _, r := range b.workers[id].Runs() {
				began[r.Request] = true
			}
		}
		want := 0
		for _, one := range streams {
			if began[one.id] {
				want++
			}
		}
		must.Between(t, 5, want, 25)
		must.Eq(t, want, b.takeUp(streams, "1", "2", "3"))
		must.SliceEmpty(t, b.joined())
	})
}

// TestStreamsBegunBeforeAReleaseAreTakenUp kills all routers soon after the first target of
// another version has started.
func TestStreamsBegunBeforeAReleaseAreTakenUp(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.release("v1", "e1", "e2", "e3")
		streams := b.beginMany(30)
		b.release("v2", "e4", "e5", "e6")
		b.stopAll()
		b.startAll()
		whole := b.takeUp(streams, "1", "2", "3")
		must.SliceEmpty(t, b.joined())
		must.Greater(t, 25, whole)
	})
}

// TestStreamsOfALostRouterAreTakenUpOnceAReleaseStarts kills each router in turn, the
// recorder included, shortly before the first target of another version starts.
func TestStreamsOfALostRouterAreTakenUpOnceAReleaseStarts(t *testing.T) {
	for _, lost := range []string{"1", "2", "3"} {
		t.Run("router "+lost, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.release("v1", "e1", "e2", "e3")
				streams := b.beginAt(12, lost)
				b.wait(500 * time.Millisecond)
				b.stop(lost)
				b.release("v2", "e4")
				others := slices.DeleteFunc([]string{"1", "2", "3"}, func(name string) bool { return name == lost })
				must.Eq(t, 12, b.takeUp(streams, others...))
				must.SliceEmpty(t, b.joined())
			})
		})
	}
}

// TestStreamOfTheOnlyVersionIsTakenUp kills all routers while one version serves: nothing
// need be known of a stream, and the store is not written to.
func TestStreamOfTheOnlyVersionIsTakenUp(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.release("v1", "e1", "e2", "e3")
		before := b.store.Calls()["/-/log-append"]
		streams := b.beginMany(12)
		must.Eq(t, before, b.store.Calls()["/-/log-append"])
		b.stopAll()
		b.startAll()
		must.Eq(t, 12, b.takeUp(streams, "1", "2", "3"))
	})
}

// TestStreamGoesOnAtAnEjectedTarget takes up a stream whose version only a target has that
// was ejected after failures.
func TestStreamGoesOnAtAnEjectedTarget(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.release("v1", "e1")
		one := b.begin("1")
		b.release("v2", "e2", "e3", "e4")
		b.fault(workerd.FaultFail)
		for i := range 9 {
			b.callOn(fmt.Sprint(i%3+1), "draft", "aa", fmt.Sprint("c", i))
		}
		b.fault(workerd.FaultNone)
		must.Eq(t, 1, b.takeUp([]openStream{one}, "2"))
		must.SliceEmpty(t, b.joined())
	})
}

// TestStreamOfAVersionThatLeftMeanwhileIsRefused lets all targets be replaced while no
// router runs. One version served before, and nothing was recorded of its streams.
func TestStreamOfAVersionThatLeftMeanwhileIsRefused(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.release("v1", "e1", "e2", "e3")
		streams := b.beginMany(6)
		b.stopAll()
		b.release("v2", "e4", "e5", "e6")
		b.retire("e1", "e2", "e3")
		b.store.ForgetAll()
		b.startAll()
		must.Eq(t, 0, b.takeUp(streams, "1", "2", "3"))
		must.Eq(t, 200, b.callOn("1", "chat", "aa", "bb").status)
	})
}

// TestStreamsOfRoutersLostTogetherAreTakenUp kills several routers at once, just after they
// have begun streams, so that whoever holds these may be lost too. The first target of another
// version starts before their callers are back.
func TestStreamsOfRoutersLostTogetherAreTakenUp(t *testing.T) {
	for name, lost := range map[string][]string{
		"1 and 2": {"1", "2"}, "1 and 3": {"1", "3"}, "2 and 3": {"2", "3"}, "all": {"1", "2", "3"},
	} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.release("v1", "e1", "e2", "e3")
				streams := b.beginAt(24, lost...)
				for _, router := range lost {
					b.stop(router)
				}
				b.release("v2", "e4")
				left := slices.DeleteFunc([]string{"1", "2", "3"}, func(name string) bool { return slices.Contains(lost, name) })
				if len(left) == 0 {
					b.startAll()
					left = lost
				}
				must.Eq(t, 24, b.takeUp(streams, left...))
				must.SliceEmpty(t, b.joined())
			})
		})
	}
}

// TestStreamsAreInferredOnlyFromALogThatAnswers takes up streams of lost routers while the store
// fails, and once it is back. Streams of the new version that the routers left have begun go on
// there all the while.
func TestStreamsAreInferredOnlyFromALogThatAnswers(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.release("v1", "e1", "e2", "e3")
		streams := b.beginAt(12, "1", "2")
		b.stop("1")
		b.stop("2")
		b.release("v2", "e4", "e5", "e6")
		b.store.Set(keyedlog.Faults{Status: 503})
		must.Eq(t, 0, b.takeUp(streams, "3"))
		later := b.beginAt(12, "3")
		must.Eq(t, 12, b.takeUp(later, "3"))
		b.store.Set(keyedlog.Faults{})
		b.wait(2 * time.Second)
		must.Eq(t, 12, b.takeUp(streams, "3"))
		must.SliceEmpty(t, b.joined())
	})
}
