package orders

import (
	"maps"
	"slices"

	"golang.org/x/time/rate"
)

// Clone returns an independent copy, for a search over many futures. The copy
// starts with a full append budget.
func (m *Machine) Clone() *Machine {
	c := *m
	c.ledger = m.ledger.Clone()
	c.limiter = rate.NewLimiter(m.limiter.Limit(), m.limiter.Burst())
	c.out = nil
	c.log.segments = slices.Clone(m.log.segments)
	c.outbox = m.outbox.clone()
	c.claim.own = maps.Clone(m.claim.own)
	c.local = clonePointers(m.local)
	c.tickets = clonePointers(m.tickets)
	c.waiting = make(map[Key][]Submit, len(m.waiting))
	for k, waiters := range m.waiting {
		c.waiting[k] = slices.Clone(waiters)
	}
	c.parked = slices.Clone(m.parked)
	c.refusals = slices.Clone(m.refusals)
	c.settles = maps.Clone(m.settles)
	c.lookups = maps.Clone(m.lookups)
	c.answers = newAnswers()
	for _, k := range m.answers.Keys() {
		body, _ := m.answers.Peek(k)
		c.answers.Add(k, body)
	}
	return &c
}

func clonePointers[K comparable, V any](in map[K]*V) map[K]*V {
	out := make(map[K]*V, len(in))
	for k, v := range in {
		copied := *v
		out[k] = &copied
	}
	return out
}
