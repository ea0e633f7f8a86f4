package app

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

func TestPromptGoesToItsEngineThroughEveryRouter(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for range 3 {
			for _, router := range []string{"1", "2", "3"} {
				must.Eq(t, 200, b.call(router, "chat").status)
			}
		}
		must.Eq(t, 0, len(b.workers["e1"].Runs())*len(b.workers["e2"].Runs()))
	})
}

// TestMovedPromptIsFetched takes the engine that has a prompt out and expects
// the other one to be told where the prompt is.
func TestMovedPromptIsFetched(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.call("1", "chat")
		from, to := "e1", "e2"
		if len(b.workers["e2"].Runs()) > 0 {
			from, to = "e2", "e1"
		}
		b.entry(from, "llm", true)
		b.wait(2 * time.Second)
		must.Eq(t, wholeStream(6), b.call("2", "chat").body)
		must.Eq(t, "10.1.0."+from+":80", b.workers[to].Runs()[0].CacheFrom)
	})
}

// TestRestartedRoutersKnowTheCaches restarts all routers and expects prompts to
// go where they are cached.
func TestRestartedRoutersKnowTheCaches(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, name := range []string{"1", "2", "3"} {
			b.stop(name)
		}
		b.workers["e1"].Cache("bb")
		before := b.lists()
		for _, name := range []string{"1", "2", "3"} {
			b.router(name)
		}
		b.wait(2 * time.Second)
		for _, name := range []string{"1", "2", "3"} {
			must.Eq(t, wholeStream(6), b.call(name, "chat").body)
		}
		must.SliceEmpty(t, b.workers["e2"].Runs())
		must.Eq(t, before+2, b.lists(), must.Sprint("one router asks each engine"))
	})
}

// TestRefusingEngineHandsItsPromptOver makes the engine that has a prompt refuse
// and expects the other one to be told where the prompt is.
func TestRefusingEngineHandsItsPromptOver(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.call("1", "chat")
		from, to := "e1", "e2"
		if len(b.workers["e2"].Runs()) > 0 {
			from, to = "e2", "e1"
		}
		b.workers[from].Set(workerd.FaultRefuse)
		must.Eq(t, wholeStream(6), b.call("1", "chat").body)
		must.Eq(t, "10.1.0."+from+":80", b.workers[to].Runs()[0].CacheFrom)
	})
}

// TestEnginesAreAskedDespiteEarlyRequests restarts all routers and sends
// requests before any engine was asked for its cache.
func TestEnginesAreAskedDespiteEarlyRequests(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, name := range []string{"1", "2", "3"} {
			b.stop(name)
		}
		before := b.lists()
		for _, name := range []string{"1", "2", "3"} {
			b.router(name)
		}
		for b.get("10.0.0.1:81", "/-/ready").status != http.StatusOK {
			b.wait(time.Millisecond)
		}
		must.Eq(t, wholeStream(6), b.call("1", "chat").body)
		b.wait(2 * time.Second)
		must.Eq(t, before+2, b.lists())
	})
}

// TestEnginesAreAskedOnceTheStoreIsBack starts all routers while the store is
// away for longer than routers look for unknown caches.
func TestEnginesAreAskedOnceTheStoreIsBack(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, name := range []string{"1", "2", "3"} {
			b.stop(name)
		}
		b.store.Set(keyedlog.Faults{Status: 503})
		before := b.lists()
		for _, name := range []string{"1", "2", "3"} {
			b.router(name)
		}
		b.wait(8 * time.Second)
		b.store.Set(keyedlog.Faults{})
		b.wait(3 * time.Second)
		must.Eq(t, before+2, b.lists())
	})
}
