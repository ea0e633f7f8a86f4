package orders

import (
	"maps"
	"slices"

	"golang.org/x/time/rate"
)

// Clone returns an independent copy, for searches that explore several
// continuations of one state. The copy starts with a full append budget.
func (m *Machine) Clone() *Machine {
	c := *m
	c.ledger = m.ledger.Clone()
	c.limiter = rate.NewLimiter(m.limiter.Limit(), m.limiter.Burst())
	c.actions = nil
	c.log.segments = slices.Clone(m.log.segments)
	c.outbox = m.outbox.clone()
	c.claim.offsets = maps.Clone(m.claim.offsets)
	c.localOrders = clonePointers(m.localOrders)
	c.finishedTickets = clonePointers(m.finishedTickets)
	c.waiters = make(map[Key][]Submit, len(m.waiters))
	for k, waiters := range m.waiters {
		c.waiters[k] = slices.Clone(waiters)
	}
	c.awaitingClaim = slices.Clone(m.awaitingClaim)
	c.refusals = slices.Clone(m.refusals)
	c.settlements = maps.Clone(m.settlements)
	c.lookups = maps.Clone(m.lookups)
	c.responses = newResponseCache()
	for _, k := range m.responses.Keys() {
		body, _ := m.responses.Peek(k)
		c.responses.Add(k, body)
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
