package peer

import (
	"sync"
	"sync/atomic"
)

// trafficCounter counts bytes by kind.
type trafficCounter struct {
	kinds sync.Map // Kind to *counts
}

type counts struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

func (t *trafficCounter) of(kind Kind) *counts {
	if c, ok := t.kinds.Load(kind); ok {
		return c.(*counts)
	}
	c, _ := t.kinds.LoadOrStore(kind, new(counts))
	return c.(*counts)
}

func (t *trafficCounter) snapshot() map[Kind]Traffic {
	out := make(map[Kind]Traffic)
	t.kinds.Range(func(k, v any) bool {
		c := v.(*counts)
		out[k.(Kind)] = Traffic{Sent: c.sent.Load(), Received: c.received.Load()}
		return true
	})
	return out
}
