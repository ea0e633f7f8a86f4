package retry

import "time"

const (
	// windowSlots divide the window, so that it slides.
	windowSlots = 10
	// ratioShare is the part of the ratio that routers use: requests count in
	// windows that may hold fewer of them than the repeats'.
	ratioShare = 0.75
	// slackShare is the part of the slack that routers share out among them.
	slackShare = 0.5
)

// WindowBudget bounds the repeats of one router so that those of all routers stay
// within a share of all requests plus a slack in every window. It is not safe
// for concurrent use.
type WindowBudget struct {
	length  time.Duration
	ratio   float64
	slack   float64
	routers int
	// begin is the time of the first use. Slots count from it, so that the time
	// of day may jump.
	begin time.Time
	slots [windowSlots]windowSlot
}

type windowSlot struct {
	index    int64
	requests int
	repeats  int
}

// NewWindowBudget returns a window of a length in which repeats are at most ratio x
// requests + slack for all routers together.
func NewWindowBudget(length time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{length: length, ratio: ratio, slack: slack, routers: 1}
}

// SetRouters takes the number of routers that share the slack.
func (w *WindowBudget) SetRouters(n int) { w.routers = max(n, 1) }

func (w *WindowBudget) slot(now time.Time) *windowSlot {
	if w.begin.IsZero() {
		w.begin = now
	}
	i := int64(now.Sub(w.begin) / (w.length / windowSlots))
	s := &w.slots[i%windowSlots]
	if s.index != i {
		*s = windowSlot{index: i}
	}
	return s
}

// AddRequest notes a first send.
func (w *WindowBudget) AddRequest(now time.Time) { w.slot(now).requests++ }

// Take reports whether a repeat is allowed, and counts it.
func (w *WindowBudget) Take(now time.Time) bool {
	current := w.slot(now)
	requests, repeats := 0, 0
	for _, s := range w.slots {
		if current.index-s.index < windowSlots {
			requests += s.requests
			repeats += s.repeats
		}
	}
	allowed := ratioShare*w.ratio*float64(requests) + slackShare*w.slack/float64(w.routers)
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}
