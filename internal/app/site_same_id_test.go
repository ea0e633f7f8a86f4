package app

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// engineBorn lets an engine run a process of a software version, which wrote its entry
// before the store went away or has yet to.
func (b *siteBed) engineBorn(id, version string, born int64, writes bool) {
	opt := workerd.Options{
		ID: id, Slots: 64, Events: 6, Work: 20 * time.Millisecond, Gap: 100 * time.Millisecond, Version: version,
		Born: func() int64 { return born },
	}
	if _, ok := b.workers[id]; ok {
		b.workers[id] = workerd.New(opt)
	} else {
		b.versions[id] = version
		b.worker(id, "llm", opt)
	}
	if writes {
		b.store.PutWorker(keyedlog.Worker{
			ID: id, Service: "llm", Address: "10.1.0." + id + ":80", DataCentre: "dc1", Slots: 64, Born: born, Version: version,
		})
	}
}

// TestStreamGoesOnAtNoRestartedTarget lets engines start again under their IDs with other
// software while the store is away, so that their entries name the version before. Streams
// of the others that break off go on at none of them, and end all the same once the store
// is back.
func TestStreamGoesOnAtNoRestartedTarget(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		ids := []string{"e1", "e2", "e3", "e4"}
		for _, id := range ids {
			b.engineBorn(id, "v1", 1, true)
		}
		b.wait(3 * time.Second)
		b.store.Set(keyedlog.Faults{Status: 503})
		for _, id := range ids[:2] {
			b.engineBorn(id, "v2", 2, false)
		}
		for _, id := range ids[2:] {
			b.workers[id].Set(workerd.FaultCut)
		}
		done := make(chan answer, 40)
		for i := range 40 {
			go func() { done <- b.callOn([]string{"1", "2", "3"}[i%3], "chat", "aa", string(rune('a'+i))) }()
			b.wait(20 * time.Millisecond)
		}
		broken := 0
		for range 40 {
			if a := <-done; a.err != nil || a.status != 200 {
				broken++
			}
		}
		must.Positive(t, broken, must.Sprint("streams that could go on nowhere"))
		for _, id := range ids[:2] {
			for _, run := range b.workers[id].Runs() {
				must.Eq(t, "", run.LastEvent, must.Sprintf("engine %s of another version goes on with %s", id, run.Request))
			}
		}
		b.store.Set(keyedlog.Faults{})
		for _, id := range ids {
			b.workers[id].Set(workerd.FaultNone)
		}
		for _, id := range ids[:2] {
			b.engineBorn(id, "v2", 2, true)
		}
		b.wait(3 * time.Second)
		for range 5 {
			must.Eq(t, 200, b.call("1", "chat").status)
		}
	})
}
