// Package membudget is a ledger of the memory that a process holds for others, by kind and by
// owner. A reservation precedes each read, and the sum of all reservations never exceeds the
// budget. When there is no room, the ledger names the hold that gives way: the incomplete one that
// has gone longest without progress, or one of the owner that holds most. Complete requests never
// give way.
package membudget

import "time"

// Kind is what memory is held for.
type Kind uint8

// Kinds.
const (
	// Head is the head of a request.
	Head Kind = iota
	// Body is the body of a request, also as the copy for a retry or a hedge.
	Body
	// Response is a part of a response that waits for its reader.
	Response
	// Relayed is a request or a response of another router.
	Relayed
	// Kinds is the number of kinds.
	Kinds
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"head", "body", "response", "relayed"}[k]
}

// Owner is a client account or an address that memory is held for.
type Owner string

// Limits of a ledger, in bytes.
type Limits struct {
	// Total bounds all holds together.
	Total int64
	// Reserve is the part of Total that only holds of up to SmallBytes use.
	Reserve    int64
	SmallBytes int64
	// Responses bounds the holds of the kind Response together, zero for Total.
	Responses int64
	// StallTime is the time without progress after which an incomplete hold gives way before
	// those of the owner that holds most.
	StallTime time.Duration
}

// Hold is the memory held for one request, response or head.
type Hold struct {
	// Data is the caller's.
	Data any

	kind  Kind
	owner Owner
	bytes int64
	// progressAt is the time of the last progress.
	progressAt time.Time
	// complete holds don't give way; leaving ones were asked to.
	complete, leaving, closed bool
	// index is the place in Ledger.holds.
	index int
}

// Bytes returns the number of bytes held.
func (h *Hold) Bytes() int64 { return h.bytes }

// Kind returns the kind of the hold.
func (h *Hold) Kind() Kind { return h.kind }

// Ledger is the budget and what is held of it.
type Ledger struct {
	limits Limits
	used   int64
	byKind [Kinds]int64
	// byOwner holds the bytes of owners that hold some.
	byOwner map[Owner]int64
	holds   []*Hold
}

// New returns a ledger without holds.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits, byOwner: make(map[Owner]int64)}
}

// Used returns the number of bytes held.
func (l *Ledger) Used() int64 { return l.used }

// UsedBy returns the number of bytes held of a kind.
func (l *Ledger) UsedBy(k Kind) int64 { return l.byKind[k] }

// Open begins a hold of no bytes.
func (l *Ledger) Open(now time.Time, kind Kind, owner Owner) *Hold {
	h := &Hold{kind: kind, owner: owner, progressAt: now, index: len(l.holds)}
	l.holds = append(l.holds, h)
	return h
}

// Grow adds n bytes to a hold and reports whether there was room. If not, it names the hold that
// gives way, which may be h itself: the caller ends it and tries again once it is closed. It
// names none if room will come without that, or can't.
func (l *Ledger) Grow(now time.Time, h *Hold, n int64) (ok bool, victim *Hold) {
	if h.closed {
		return false, nil
	}
	if h.kind == Response && l.limits.Responses > 0 && l.byKind[Response]+n > l.limits.Responses {
		return false, h
	}
	limit := l.limits.Total
	if h.bytes+n > l.limits.SmallBytes {
		limit -= l.limits.Reserve
	}
	if l.used+n <= limit {
		l.add(h, n)
		h.progressAt = now
		return true, nil
	}
	if h.bytes+n > limit || h.leaving {
		return false, h
	}
	return false, l.victim(now, h)
}

// victim returns the hold that gives way for another one. Holds that are already leaving suffice
// if nothing else may leave.
func (l *Ledger) victim(now time.Time, wanting *Hold) *Hold {
	slowest := l.slowest(wanting, func(*Hold) bool { return true })
	if slowest != nil && now.Sub(slowest.progressAt) < l.limits.StallTime {
		top := l.topOwner(wanting)
		slowest = l.slowest(wanting, func(h *Hold) bool { return h.owner == top })
	}
	if slowest != nil {
		slowest.leaving = true
		return slowest
	}
	for _, h := range l.holds {
		if h.leaving {
			return nil
		}
	}
	return wanting
}

// mayLeave reports whether a hold may give way for another one.
func (h *Hold) mayLeave(wanting *Hold) bool {
	return !h.complete && !h.leaving && h != wanting && h.bytes > 0
}

// slowest returns the hold that has gone longest without progress among those that may leave and
// are eligible, nil if there is none.
func (l *Ledger) slowest(wanting *Hold, eligible func(*Hold) bool) *Hold {
	var out *Hold
	for _, h := range l.holds {
		if h.mayLeave(wanting) && eligible(h) && (out == nil || h.progressAt.Before(out.progressAt)) {
			out = h
		}
	}
	return out
}

// topOwner returns the owner that holds most among those with holds that may leave, or that of the
// wanting hold if it holds as much.
func (l *Ledger) topOwner(wanting *Hold) Owner {
	top := wanting.owner
	for _, h := range l.holds {
		if h.mayLeave(wanting) && l.byOwner[h.owner] > l.byOwner[top] {
			top = h.owner
		}
	}
	return top
}

// Shrink takes n bytes from a hold.
func (l *Ledger) Shrink(h *Hold, n int64) {
	if !h.closed {
		l.add(h, -min(n, h.bytes))
	}
}

// Progress records that a hold makes progress without growing.
func (l *Ledger) Progress(now time.Time, h *Hold) { h.progressAt = now }

// SetComplete sets whether a hold is that of a complete request, which does not give way.
func (l *Ledger) SetComplete(h *Hold, complete bool) { h.complete = complete }

// Leaving reports whether a hold has to give way.
func (l *Ledger) Leaving(h *Hold) bool { return h.leaving }

// Close ends a hold. It may be called again.
func (l *Ledger) Close(h *Hold) {
	if h.closed {
		return
	}
	l.add(h, -h.bytes)
	h.closed = true
	last := l.holds[len(l.holds)-1]
	l.holds[h.index], last.index = last, h.index
	l.holds[len(l.holds)-1] = nil
	l.holds = l.holds[:len(l.holds)-1]
}

// add adds n bytes, which may be below zero, to a hold and to the sums.
func (l *Ledger) add(h *Hold, n int64) {
	h.bytes += n
	l.used += n
	l.byKind[h.kind] += n
	if l.byOwner[h.owner] += n; l.byOwner[h.owner] == 0 {
		delete(l.byOwner, h.owner)
	}
}
