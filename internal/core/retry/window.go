package retry

import "time"

const (
	// windowSlots is the number of slots that the sliding window is divided
	// into.
	windowSlots = 10
	// ratioFraction is the fraction of the ratio that routers use. The platform
	// counts requests in windows of its own, which may hold fewer requests than
	// the window in which the retries fall.
	ratioFraction = 0.75
	// slackFraction is the fraction of the slack that the routers share.
	slackFraction = 0.5
)

// WindowBudget bounds the retries of one router so that in every window the
// retries of all routers stay within a share of all requests plus a slack. It
// is not safe for concurrent use.
type WindowBudget struct {
	length  time.Duration
	ratio   float64
	slack   float64
	routers int
	// start is the time of the first use. Slots are counted from it, so that
	// they do not depend on the wall clock, which may jump.
	start time.Time
	slots [windowSlots]windowSlot
}

// windowSlot counts the requests and retries of one slot. Its index is the
// number of the slot since the start.
type windowSlot struct {
	index    int64
	requests int
	retries  int
}

// NewWindowBudget returns a budget that allows all routers together ratio x
// requests + slack retries in every window of the given length.
func NewWindowBudget(length time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{length: length, ratio: ratio, slack: slack, routers: 1}
}

// SetRouters sets the number of routers that share the slack.
func (w *WindowBudget) SetRouters(n int) { w.routers = max(n, 1) }

// slot returns the current slot, emptied if it was last used in an earlier
// window. A time before the first use counts as that one: a router may be held up after it has
// read the clock.
func (w *WindowBudget) slot(now time.Time) *windowSlot {
	if w.start.IsZero() {
		w.start = now
	}
	i := max(int64(now.Sub(w.start)/(w.length/windowSlots)), 0)
	s := &w.slots[i%windowSlots]
	if s.index < i {
		*s = windowSlot{index: i}
	}
	return s
}

// AddRequest counts the first send of a request.
func (w *WindowBudget) AddRequest(now time.Time) { w.slot(now).requests++ }

// Take reports whether a retry is allowed, and counts it.
func (w *WindowBudget) Take(now time.Time) bool {
	if !w.Allows(now) {
		return false
	}
	w.slot(now).retries++
	return true
}

// Allows reports whether a retry is allowed.
func (w *WindowBudget) Allows(now time.Time) bool {
	current := w.slot(now)
	requests, retries := 0, 0
	for _, s := range w.slots {
		if current.index-s.index < windowSlots {
			requests += s.requests
			retries += s.retries
		}
	}
	limit := ratioFraction*w.ratio*float64(requests) + slackFraction*w.slack/float64(w.routers)
	return float64(retries+1) <= limit
}
