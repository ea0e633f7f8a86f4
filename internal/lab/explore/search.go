package explore

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// Result is the outcome of a search.
type Result struct {
	// States is the number of different states visited, Steps the number of
	// events carried out.
	States int
	Steps  int
	// Violation is the first rule broken, nil for none, and Trace the events
	// that led to it.
	Violation error
	Trace     []string
	Counts    Counts
}

// Counts tells what happened in random schedules.
type Counts struct {
	Submitted int `json:"submitted"`
	Executed  int `json:"executed"`
	Ran       int `json:"answered_ran"`
	NotRun    int `json:"answered_not_run"`
	Unknown   int `json:"answered_unknown"`
}

// Add adds the counts of another schedule.
func (c *Counts) Add(o Counts) {
	c.Submitted += o.Submitted
	c.Executed += o.Executed
	c.Ran += o.Ran
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
}

func (w *world) counts() Counts {
	c := Counts{Submitted: len(w.attempts)}
	for i := range w.orders {
		c.Executed += w.orders[i].executed
	}
	for _, a := range w.attempts {
		switch a.run {
		case orders.RunDone:
			c.Ran++
		case orders.RunNot:
			c.NotRun++
		default:
			c.Unknown++
		}
	}
	return c
}

// String describes the result, with the trace of a violation.
func (r *Result) String() string {
	text := fmt.Sprintf("%d states, %d steps", r.States, r.Steps)
	if r.Violation != nil {
		text += fmt.Sprintf("; violation: %v\n  %s", r.Violation, strings.Join(r.Trace, "\n  "))
	}
	return text
}

// search is a depth-first search over the states of a world.
type search struct {
	// seen holds the largest number of steps that were left at each state.
	seen   map[uint64]uint8
	trace  []step
	result Result
}

// Search visits every state that the world reaches in at most depth steps.
func Search(opt Options, depth int) Result {
	s := &search{seen: make(map[uint64]uint8)}
	w := newWorld(opt)
	s.visit(w, depth)
	s.result.States = len(s.seen)
	return s.result
}

// visit explores the futures of w and reports whether a rule was broken.
func (s *search) visit(w *world, left int) bool {
	if w.violation != nil {
		s.result.Violation = w.violation
		s.result.Trace = traceText(s.trace)
		return true
	}
	print := w.fingerprint()
	if before, ok := s.seen[print]; ok && int(before) >= left {
		return false
	}
	s.seen[print] = uint8(left)
	if left == 0 {
		return false
	}
	for _, next := range w.steps() {
		child := w.clone()
		child.do(next)
		s.result.Steps++
		s.trace = append(s.trace, next)
		if s.visit(child, left-1) {
			return true
		}
		s.trace = s.trace[:len(s.trace)-1]
	}
	return false
}

func traceText(steps []step) []string {
	out := make([]string, len(steps))
	for i, s := range steps {
		out[i] = s.String()
	}
	return out
}

// Random follows one schedule of at most steps events drawn from seed, then
// ends all faults and checks that the world comes to rest.
func Random(opt Options, seed uint64, steps int) (result Result) {
	rng := rand.New(rand.NewPCG(seed, seed))
	w := newWorld(opt)
	defer func() { result.Counts = w.counts() }()
	var trace []step
	for range steps {
		choices := w.steps()
		if len(choices) == 0 || w.violation != nil {
			break
		}
		next := w.draw(rng, choices)
		trace = append(trace, next)
		w.do(next)
		result.Steps++
	}
	if w.violation == nil {
		w.healAll()
	}
	result.Violation = w.violation
	if w.violation != nil {
		result.Trace = traceText(trace)
	}
	return result
}

// Weights of events in random schedules.
const (
	weightProgress = 24
	weightUsual    = 6
	weightFault    = 1
)

// weight makes faults rarer than progress, and submissions rare at routers
// that do not serve the partition.
func (w *world) weight(s step) int {
	switch s.kind {
	case appendAnswered, readAnswered, confirmAnswered, dispatchRuns, tell, tick:
		return weightProgress
	case submit:
		if w.routers[s.router].machine.IsActiveOwner() || w.orders[s.index].key.Ticket != nil {
			return weightUsual
		}
		return weightFault
	case pass, heal, lateArrives, lookupAnswered, mint, appendServed, readServed, confirmServed:
		return weightUsual
	default:
		return weightFault
	}
}

func (w *world) draw(rng *rand.Rand, choices []step) step {
	total := 0
	for _, c := range choices {
		total += w.weight(c)
	}
	n := rng.IntN(total)
	for _, c := range choices {
		n -= w.weight(c)
		if n < 0 {
			return c
		}
	}
	return choices[len(choices)-1]
}

// healRounds is enough time for all deadlines, probes and lookups to pass.
const healRounds = 80

// healAll ends all faults, lets time pass and serves everybody.
func (w *world) healAll() {
	for i := range w.routers {
		w.mutable(i).cut = false
		w.tell(i)
	}
	for range healRounds {
		w.now = w.now.Add(advance)
		for i := range w.routers {
			w.mutable(i).ticked = w.now
			w.do(step{tick, i, 0})
			for w.violation == nil && w.serveAll(i) {
			}
			w.serveLongPoll(i)
		}
	}
	if w.violation == nil {
		w.checkHealed()
	}
}

// serveLongPoll ends a read that waits for other routers.
func (w *world) serveLongPoll(i int) {
	if w.routers[i].read != nil {
		w.do(step{readAnswered, i, 0})
	}
}

// SearchBudget allows two submissions and one or two of each fault.
func SearchBudget() Budget {
	return Budget{
		Submits: 2, Crashes: 1, Takeovers: 1, Cuts: 1, Losses: 2,
		Advances: 2, Unsure: 1, Refused: 1, Drops: 1, Closes: 1,
	}
}

// RandomBudget is the budget of faults in one random schedule.
func RandomBudget() Budget {
	return Budget{
		Submits: 14, Mints: 2, Crashes: 2, Takeovers: 3, Cuts: 3, Losses: 6,
		Advances: 14, Closes: 1, Drops: 2, Unsure: 2, Refused: 2,
	}
}
