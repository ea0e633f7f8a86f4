package app

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// isolate cuts a router off from the store and from the other routers, or ends that.
func (b *siteBed) isolate(router string, cut kerneltest.Cut) {
	own := []string{storeAddress}
	for other := range b.routers {
		if other == router {
			continue
		}
		own = append(own, "10.0.0."+other+":7000")
		b.views[other].Partition(cut, "10.0.0."+router+":7000")
	}
	b.views[router].Partition(cut, own...)
}

// TestRouterOutOfStepTakesUpNoStreamOfANewVersion covers a release during which one router
// is cut off from the store and from the others. Streams that begin at new targets of
// another version through the others break, and are taken up there before it could notice
// that it is cut off: they may go on at their version only.
func TestRouterOutOfStepTakesUpNoStreamOfANewVersion(t *testing.T) {
	for _, cut := range []kerneltest.Cut{kerneltest.CutReset, kerneltest.CutHang} {
		takeUpOutOfStep(t, cut)
	}
}

func takeUpOutOfStep(t *testing.T, cut kerneltest.Cut) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.release("v1", "e1", "e2", "e3")
		b.wait(origin.HistoryTime) // the service has had one version for that long
		b.isolate("1", cut)
		for _, id := range []string{"e4", "e5", "e6"} {
			b.versions[id] = "v2"
			b.worker(id, "llm", workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond, Gap: 200 * time.Millisecond, Version: "v2"})
		}
		b.wait(900 * time.Millisecond)
		streams := b.beginAt(24, "2", "3")
		began := 0
		for _, id := range []string{"e4", "e5", "e6"} {
			began += len(b.workers[id].Runs())
		}
		must.Positive(t, began, must.Sprint("streams at the new version"))
		var taken sync.WaitGroup
		for _, one := range streams {
			taken.Go(func() { b.takeUp([]openStream{one}, "1") })
		}
		taken.Wait()
		must.SliceEmpty(t, b.joined(), must.Sprint(cut))

		b.isolate("1", kerneltest.CutNone)
		b.wait(8 * time.Second)
		streams = b.beginAt(12, "2", "3")
		must.Eq(t, len(streams), b.takeUp(streams, "1"), must.Sprint("once it is in step again"))
		must.SliceEmpty(t, b.joined())
	})
}

// TestStreamOfTheOnlyVersionIsTakenUpWhileTheStoreIsAway covers an outage of the store for
// all routers, in which no target of another version can be known: streams go on.
func TestStreamOfTheOnlyVersionIsTakenUpWhileTheStoreIsAway(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.release("v1", "e1", "e2", "e3")
		b.wait(origin.HistoryTime)
		for _, router := range []string{"1", "2", "3"} {
			b.views[router].Partition(kerneltest.CutRefuse, storeAddress)
		}
		b.wait(5 * time.Second)
		streams := b.beginMany(12)
		must.Eq(t, len(streams), b.takeUp(streams, "2", "3", "1"))
		must.SliceEmpty(t, b.joined())
	})
}
