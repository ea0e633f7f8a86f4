// Package overhead measures what the fleet adds to the time until the first
// token.
package overhead

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Result holds the differences between requests through the fleet and those
// straight to an engine, at the same quantile.
type Result struct {
	P50, P99 time.Duration
	// Fleet and Direct count the requests compared.
	Fleet, Direct int64
}

const (
	lowest    = int64(time.Microsecond)
	highest   = int64(time.Minute)
	precision = 3
)

// Measure compares the time between a caller's sending and its first token,
// less the time that the engine itself took for it. Requests that needed more
// than one attempt are left out.
func Measure(h *history.History) Result {
	fleet := around(h.Requests, h.EngineRuns)
	direct := around(h.Direct, h.DirectRuns)
	out := Result{Fleet: fleet.TotalCount(), Direct: direct.TotalCount()}
	if out.Fleet == 0 || out.Direct == 0 {
		return out
	}
	out.P50 = difference(fleet, direct, 50)
	out.P99 = difference(fleet, direct, 99)
	return out
}

func difference(a, b *hdrhistogram.Histogram, quantile float64) time.Duration {
	return time.Duration(a.ValueAtQuantile(quantile) - b.ValueAtQuantile(quantile))
}

// around collects the time that each request spent outside its engine until
// the first token.
func around(requests []history.Request, runs []history.EngineRun) *hdrhistogram.Histogram {
	inEngine := make(map[string]time.Duration)
	for _, r := range runs {
		if !r.FirstToken.IsZero() {
			inEngine[r.Request] = r.FirstToken.Sub(r.Started)
		}
	}
	out := hdrhistogram.New(lowest, highest, precision)
	for i := range requests {
		r := &requests[i]
		own, ok := inEngine[r.ID]
		if !ok || len(r.Attempts) != 1 || r.Last().FirstByte.IsZero() {
			continue
		}
		outside := r.Last().FirstByte.Sub(r.Last().Start) - own
		_ = out.RecordValue(max(lowest, int64(outside)))
	}
	return out
}

// FirstToken returns a quantile, in percent, of the time from the intended
// start of a chat request to its first token.
func FirstToken(h *history.History, quantile float64) time.Duration {
	out := hdrhistogram.New(lowest, highest, precision)
	for i := range h.Requests {
		r := &h.Requests[i]
		if took := r.FirstByte(); r.Kind == history.KindChat && took > 0 {
			_ = out.RecordValue(max(lowest, int64(took)))
		}
	}
	return time.Duration(out.ValueAtQuantile(quantile))
}
