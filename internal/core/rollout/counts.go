package rollout

import (
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// bucketGrowth is the ratio of the bounds of successive latency buckets: a latency that
	// doubles moves by five of them.
	bucketGrowth = 1.15
	// buckets is the number of latency buckets. The last one begins at about a minute.
	buckets = 80
)

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) uint8 {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return uint8(min(math.Log(ms)/math.Log(bucketGrowth), buckets-1))
}

// Cell counts responses of one class. Old versions share a cell; a target of the new version
// has its own, so that one failing target can be told from a failing version.
type Cell struct {
	// Class is the route, with a suffix for what its latency measures.
	Class string `msgpack:"c"`
	// Target is zero for the old versions.
	Target fleet.Ref `msgpack:"t,omitempty"`
	// Ended and Failed count responses, Latencies those with a latency by bucket.
	Ended     uint32           `msgpack:"n,omitempty"`
	Failed    uint32           `msgpack:"f,omitempty"`
	Latencies map[uint8]uint32 `msgpack:"l,omitempty"`
}

// cellKey identifies a cell.
type cellKey struct {
	class  string
	target fleet.Ref
}

// cells collects responses.
type cells map[cellKey]*Cell

// at returns the cell of a key.
func (c cells) at(key cellKey) *Cell {
	out, ok := c[key]
	if !ok {
		out = &Cell{Class: key.class, Target: key.target, Latencies: make(map[uint8]uint32)}
		c[key] = out
	}
	return out
}

// add adds the counts of a cell.
func (c cells) add(from *Cell) {
	to := c.at(cellKey{from.Class, from.Target})
	to.Ended += from.Ended
	to.Failed += from.Failed
	for b, n := range from.Latencies {
		to.Latencies[min(b, buckets-1)] += n
	}
}

// merge adds all counts of other cells.
func (c cells) merge(from cells) {
	for _, cell := range from {
		c.add(cell)
	}
}

// list returns the cells.
func (c cells) list() []Cell {
	out := make([]Cell, 0, len(c))
	for _, cell := range c {
		out = append(out, *cell)
	}
	return out
}

// histogram counts latencies by bucket.
type histogram struct {
	count [buckets]float64
	total float64
}

// add adds the latencies of a cell.
func (h *histogram) add(c *Cell) {
	for b, n := range c.Latencies {
		h.count[min(b, buckets-1)] += float64(n)
		h.total += float64(n)
	}
}

// quantile returns the bucket below or in which a share of the latencies lies.
func (h *histogram) quantile(q float64) int {
	sum := 0.0
	for b, n := range h.count {
		if sum += n; sum >= q*h.total {
			return b
		}
	}
	return buckets - 1
}

// tail counts the latencies of a cell above a bucket, and all of them.
func (c *Cell) tail(bucket int) (above, total float64) {
	for b, n := range c.Latencies {
		total += float64(n)
		if int(b) > bucket {
			above += float64(n)
		}
	}
	return above, total
}
