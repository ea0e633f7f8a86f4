package app

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestStoreRestoredFromCopy plays a store that comes back from a copy which lacks the
// newest configuration, the entry of one worker, the leaving of another and the rows
// of the routers. Callers must see the newest configuration and no failure, and
// nothing may reach the worker that leaves.
func TestStoreRestoredFromCopy(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.store.Copy()
		b.worker("p3", "plain", workerd.Options{Slots: 6, Work: 30 * time.Millisecond})
		b.entry("p1", "plain", true)
		b.publish(2, "plain")
		b.store.Put("keyed.op", "evacuate/elsewhere", []byte("{}"))
		b.router("4")
		b.wait(3 * time.Second)

		b.store.Set(keyedlog.Faults{Status: 503})
		b.wait(time.Second)
		before := len(b.workers["p1"].Runs())
		b.store.Restore()
		b.store.Set(keyedlog.Faults{})
		calls := total(b.store.Calls())
		serve := func() {
			for _, router := range []string{"1", "2", "3", "4"} {
				for _, route := range []string{"order", "status", "chat"} {
					must.Eq(t, 200, b.call(router, route).status, must.Sprint(router, route))
				}
			}
		}
		for range 5 {
			serve()
			b.wait(200 * time.Millisecond)
		}
		// Workers that live write their entries again.
		for _, id := range []string{"p2", "p3"} {
			b.entry(id, "plain", false)
		}
		for _, id := range []string{"e1", "e2"} {
			b.entry(id, "llm", false)
		}
		b.entry("p1", "plain", true)
		b.wait(2 * time.Second)
		serve()
		must.Eq(t, before, len(b.workers["p1"].Runs()), must.Sprint("the worker had said that it leaves"))
		must.Less(t, 60, total(b.store.Calls())-calls, must.Sprint("calls for four routers in eight seconds"))
		for _, router := range []string{"1", "2", "3", "4"} {
			b.wait(time.Second) // loads that other routers saw are forgotten
			must.Eq(t, []string{"answer of p2", "answer of p3"}, b.pair(router, "order"),
				must.Sprint(router, ": the entry of p3 was lost for a while only"))
		}

		// A router that starts now reads an old configuration from the store.
		b.stop("2")
		b.router("2")
		b.wait(3 * time.Second)
		b.publish(1, "llm")
		b.wait(2 * time.Second)
		must.StrHasPrefix(t, "answer of p", b.call("2", "order").body)
		must.Len(t, 4, b.addresses("2"))
	})
}

// pair sends a second request to a router while the first one runs, and returns whose
// answers came.
func (b *siteBed) pair(router, route string) []string {
	first := make(chan answer, 1)
	go func() { first <- b.call(router, route) }()
	b.wait(10 * time.Millisecond)
	var from []string
	for _, a := range []answer{b.call(router, route), <-first} {
		worker, _, _ := strings.Cut(a.body, " to ")
		from = append(from, worker)
	}
	slices.Sort(from)
	return from
}

// total adds up the calls of all paths.
func total(calls map[string]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}
