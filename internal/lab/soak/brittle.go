package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// brittleSettled is the time from which workers that say that they are brittle may fall
	// over brittleFalls + one in brittlePart times in all.
	brittleSettled = 3 * time.Second
	brittleFalls   = 2
	brittlePart    = 10
	// maxRejected is the most that such a worker may turn away in a second.
	maxRejected = 4
)

// brittleTime is a time in which all workers of a service were brittle.
type brittleTime struct {
	service  string
	workers  []*worker
	from, to time.Time
}

// toggleBrittle lets all workers of a service say that they are brittle from now on, or
// none any more. It lasts longer than other faults, and ends with them all.
func toggleBrittle(b *bed, random *rand.Rand) (string, func()) {
	service, limit := pick(random, []string{"llm", "plain"}), 1+random.IntN(maxRejected)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endBrittle(service) {
		return service + ": no more", func() {}
	}
	one := &brittleTime{service: service, from: time.Now()}
	for _, w := range b.workers {
		if w.service == service {
			w.SetBrittle(limit)
			one.workers = append(one.workers, w)
		}
	}
	b.brittle = append(b.brittle, one)
	return fmt.Sprintf("%s: %d a second", service, limit), func() {}
}

// endBrittle ends the brittle time of a service, and reports whether there was one. The
// caller holds the lock.
func (b *bed) endBrittle(service string) bool {
	for _, one := range b.brittle {
		if one.service != service || !one.to.IsZero() {
			continue
		}
		one.to = time.Now()
		for _, w := range one.workers {
			w.SetSturdy()
		}
		return true
	}
	return false
}

// checkBrittle returns in which times workers fell over too often while no router was
// paused or killed.
func checkBrittle(times []*brittleTime, routers map[int]*spans) (found []string) {
	for _, one := range times {
		disturbed := false
		for _, s := range routers {
			disturbed = disturbed || s.meet(one.from.Add(-brittleSettled), one.to)
		}
		falls := 0
		for _, w := range one.workers {
			for _, at := range w.Falls() {
				if at.After(one.from.Add(brittleSettled)) && at.Before(one.to) {
					falls++
				}
			}
		}
		if allowed := brittleFalls + len(one.workers)/brittlePart; !disturbed && falls > allowed {
			found = append(found, fmt.Sprintf("%d brittle workers fell over %d times, %d allowed", len(one.workers), falls, allowed))
		}
	}
	return found
}

// oddEntries are entries of another writer among those of the workers.
var oddEntries = []string{
	`{"Service":"plain","Addr":"127.0.0.1:99999","Zone":"dc1","Slots":4,"State":"ready"}`,
	`{"Service":"plain","Addr":"127.0.0.1:1","Zone":"dc1","Slots":-4,"State":"ready"}`,
	`{"Service":"llm","Addr":"127.0.0.1:1","Zone":"dc1","Slots":1e300,"State":"ready"}`,
	`{"Service":"llm","Addr":"127.0.0.1:1","Zone":"dc1","Slots":4,"State":"ready","ColdLeftMs":1e300}`,
	`[[[[[[[[[[`, "\xff\xfe\x00",
}

// leaveOddEntry leaves an odd entry among those of the workers, until it is healed.
func leaveOddEntry(b *bed, random *rand.Rand) (string, func()) {
	text := pick(random, oddEntries)
	id := fmt.Sprintf("odd-%d", random.IntN(3))
	b.store.Put("keyed.servers", id, []byte(text))
	return text, func() { b.store.Put("keyed.servers", id, nil) }
}

// repeatRefusals lets a worker refuse, and write each refusal once more on its connection.
func repeatRefusals(b *bed, random *rand.Rand) (string, func()) {
	w := pick(random, b.workers)
	w.Set(workerd.FaultRefusedTwice)
	return w.id, func() { w.Set(workerd.FaultNone) }
}
