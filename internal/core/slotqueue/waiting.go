package slotqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// objectiveMargin times the mean time of a request is the time that one needs which is still to
// meet its objective: times spread by half of the mean.
const objectiveMargin = 1.4

// item is a request that waits.
type item struct {
	Request
	arrived time.Time
	// parkedAt is the time since which nobody waits for the answer, zero if somebody does.
	parkedAt time.Time
}

// meets reports whether a request that takes work on average and starts at a time is likely to
// meet its objective.
func (i *item) meets(start time.Time, work time.Duration) bool {
	need := time.Duration(objectiveMargin * float64(work))
	return !start.Add(need).After(i.Objective)
}

// waitingList holds the requests that wait. The order of internal/core/fairness does not fit:
// here, what goes first depends on the time and on the target that is free, priorities stand
// above the shares of accounts, and requests may be passed over.
type waitingList struct {
	items []*item
	// served is the virtual time of each account that competes: the number of slots that it
	// was granted, beginning with that of the account that then had the least.
	served map[fleet.Account]float64
}

func newWaitingList() waitingList {
	return waitingList{served: make(map[fleet.Account]float64)}
}

// add appends a request. An account that has waited for nothing begins with the virtual time of
// the one that was served least: it saves no credit while it is idle.
func (w *waitingList) add(i *item) {
	if _, ok := w.served[i.Account]; !ok {
		w.served[i.Account] = w.leastServed()
	}
	w.items = append(w.items, i)
}

// leastServed returns the lowest virtual time of the accounts that wait.
func (w *waitingList) leastServed() float64 {
	least, found := 0.0, false
	for _, s := range w.served {
		if !found || s < least {
			least, found = s, true
		}
	}
	return least
}

// find returns the request with an ID, nil if it does not wait.
func (w *waitingList) find(id uint64) *item {
	if n := slices.IndexFunc(w.items, func(i *item) bool { return i.ID == id }); n >= 0 {
		return w.items[n]
	}
	return nil
}

// remove removes a request. An account without requests is forgotten.
func (w *waitingList) remove(i *item) {
	w.items = slices.DeleteFunc(w.items, func(other *item) bool { return other == i })
	if !slices.ContainsFunc(w.items, func(other *item) bool { return other.Account == i.Account }) {
		delete(w.served, i.Account)
	}
}

// offer is a free slot of a target.
type offer struct {
	target fleet.Ref
	// work is the time that the target takes for a request, and reliable are the targets that
	// do not fail.
	work     time.Duration
	reliable []*targetState
	// unreliable is true if the target fails some requests, doubtful if it fails most, and
	// repeatable if it gets only requests that may be repeated.
	unreliable, doubtful, repeatable bool
}

// suits reports whether a request may take an offer. It waits for another target if it would miss
// its objective at this one, or may fail there, and there is still time.
func (o *offer) suits(now time.Time, i *item) bool {
	if !i.parkedAt.IsZero() || !slices.Contains(i.Targets, o.target) || now.Add(o.work).After(i.Deadline) {
		return false
	}
	switch {
	case !o.unreliable && i.meets(now, o.work):
		return true
	case o.repeatable:
		return i.Repeatable
	}
	return !slices.ContainsFunc(o.reliable, func(t *targetState) bool {
		waits := o.doubtful && !i.Repeatable || i.meets(now, t.estimate(now))
		return waits && slices.Contains(i.Targets, t.ref)
	})
}

// next returns the request that gets an offer, nil if there is none.
func (w *waitingList) next(now time.Time, o *offer) *item {
	var best *item
	for _, i := range w.items {
		if o.suits(now, i) && (best == nil || w.before(now, o.work, i, best)) {
			best = i
		}
	}
	return best
}

// granted records that an account was granted a slot.
func (w *waitingList) granted(a fleet.Account) {
	if _, ok := w.served[a]; ok {
		w.served[a]++
	}
}

// before reports whether request a goes before b.
func (w *waitingList) before(now time.Time, work time.Duration, a, b *item) bool {
	if am, bm := a.meets(now, work), b.meets(now, work); am != bm {
		return am
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Account != b.Account {
		if as, bs := w.served[a.Account], w.served[b.Account]; as != bs {
			return as < bs
		}
	} else if a.Returning != b.Returning {
		return a.Returning
	}
	return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID)) < 0
}

// ahead returns the number of requests that go before a request, of those that can meet their
// objective (late false) or of all.
func (w *waitingList) ahead(now time.Time, work time.Duration, of *item, late bool) int {
	n, own := 0, 0
	others := make(map[fleet.Account]int)
	for _, i := range w.items {
		if i == of {
			continue
		}
		meets := i.meets(now, work)
		switch {
		case !meets && !late, meets == !late && i.Priority > of.Priority:
			// It goes behind.
		case meets && late, i.Priority < of.Priority:
			n++
		case i.Account != of.Account:
			others[i.Account]++
		case i.Returning || !of.Returning:
			own++
		}
	}
	for _, count := range others {
		n += min(count, own+1)
	}
	return n + own
}
