package slots

import (
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/slotqueue"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// placeQuery asks for a slot. Times are in milliseconds from now. A router that asks again with
// the same ID keeps its place in the queue.
type placeQuery struct {
	ID        uint64        `msgpack:"i"`
	Service   fleet.Service `msgpack:"s"`
	Account   fleet.Account `msgpack:"a,omitempty"`
	Priority  int           `msgpack:"p,omitempty"`
	Returning bool          `msgpack:"r,omitempty"`
	// Repeatable is true if the request may be sent again after a failure.
	Repeatable bool        `msgpack:"e,omitempty"`
	Objective  int32       `msgpack:"o"`
	Deadline   int32       `msgpack:"d"`
	Targets    []fleet.Ref `msgpack:"t"`
	// Hold is the time within which an answer is needed.
	Hold int32 `msgpack:"h"`
}

// placeReply answers a placeQuery.
type placeReply struct {
	State slotqueue.State `msgpack:"s"`
	// Target is that of a grant.
	Target fleet.Ref `msgpack:"t,omitempty"`
	// Reason and RetryAfter are those of a refusal.
	Reason     slotqueue.Reason `msgpack:"y,omitempty"`
	RetryAfter int32            `msgpack:"r,omitempty"`
	// Held is the time that the query waited here.
	Held      int32 `msgpack:"w,omitempty"`
	Position  int   `msgpack:"p,omitempty"`
	Predicted int32 `msgpack:"e,omitempty"`
}

// placeRelease returns a grant, or ends the wait of a query whose answer did not come.
type placeRelease struct {
	ID      uint64        `msgpack:"i"`
	Service fleet.Service `msgpack:"s"`
	// TookMicros is the time that the target took in microseconds.
	TookMicros int64    `msgpack:"m,omitempty"`
	Rejected   bool     `msgpack:"x,omitempty"`
	Broken     bool     `msgpack:"b,omitempty"`
	Figures    *figures `msgpack:"f,omitempty"`
}

// figures are the load that a target reported. Slowdown is in hundredths.
type figures struct {
	Running  int `msgpack:"r,omitempty"`
	Waiting  int `msgpack:"w,omitempty"`
	Slots    int `msgpack:"s,omitempty"`
	Slowdown int `msgpack:"p,omitempty"`
}

// newRelease encodes the result of a request.
func newRelease(service fleet.Service, id uint64, r Result) placeRelease {
	m := placeRelease{ID: id, Service: service, TookMicros: r.Took.Microseconds(), Rejected: r.Rejected, Broken: r.Broken}
	if f := r.Figures; f != nil {
		m.Figures = &figures{Running: f.Running, Waiting: f.Waiting, Slots: f.Slots, Slowdown: int(math.Round(100 * f.Slowdown))}
	}
	return m
}

// release decodes the result of a request.
func (m *placeRelease) release() slotqueue.Release {
	r := slotqueue.Release{Request: m.ID, Took: time.Duration(m.TookMicros) * time.Microsecond, Rejected: m.Rejected, Broken: m.Broken}
	if f := m.Figures; f != nil {
		r.Figures = &slotqueue.Figures{Running: f.Running, Waiting: f.Waiting, Slots: f.Slots, Slowdown: float64(f.Slowdown) / 100}
	}
	return r
}

// milliseconds returns a time in whole milliseconds.
func milliseconds(d time.Duration) int32 {
	return int32(min(max(d.Milliseconds(), math.MinInt32), math.MaxInt32))
}

// duration returns the time of a number of milliseconds.
func duration(ms int32) time.Duration { return time.Duration(ms) * time.Millisecond }
