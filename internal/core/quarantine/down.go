package quarantine

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Connections that break together point to the network or to a VM, and count once against
// a part. Requests with a deadly part may come together too. What tells the two apart is
// whether the engines are down afterwards, as far as a router knows that reaches others of the
// service. An engine that it alone has lost is taken for down as well, so that this holds for
// parts only that were never served.

// processKey identifies the process of an engine.
type processKey struct {
	target fleet.Ref
	born   uint32
}

// key returns what identifies the process.
func (e Engine) key() processKey { return processKey{e.Target, e.Born} }

// EngineDown records that the process of an engine was found to be down, here or at another
// router, and lets each crash of it in the last maxCrashAge count. It reports whether there
// was one, so that other routers are told.
func (t *Tracker) EngineDown(now time.Time, e Engine) (changes []Change, crashed bool) {
	t.down[e.key()] = now
	if !t.accused[e.key()] {
		return nil, false
	}
	for _, r := range t.records {
		isOf := func(n noted) bool { return n.engine.is(e) }
		crashed = crashed || slices.ContainsFunc(r.crashes, isOf) || slices.ContainsFunc(r.together, isOf)
		if r.familiar || r.quarantined {
			continue
		}
		i := slices.IndexFunc(r.together, func(n noted) bool { return n.engine.is(e) && now.Sub(n.at) <= maxCrashAge })
		if i < 0 || len(r.crashes) >= maxEngines {
			continue
		}
		n := r.together[i]
		r.together = slices.Delete(r.together, i, i+1)
		r.crashes = append(r.crashes, n)
		if len(r.crashes) >= r.enough() {
			changes = append(changes, t.judge(now, n.request.ordered, n.engine.Service)...)
		}
	}
	return changes, crashed
}

// isDown reports whether the process of an engine was found to be down lately.
func (t *Tracker) isDown(now time.Time, e Engine) bool {
	at, ok := t.down[e.key()]
	return ok && now.Sub(at) <= maxCrashAge
}

// expireDown forgets processes that were found to be down long ago.
func (t *Tracker) expireDown(now time.Time) {
	for p, at := range t.down {
		if now.Sub(at) > maxCrashAge {
			delete(t.down, p)
		}
	}
}
