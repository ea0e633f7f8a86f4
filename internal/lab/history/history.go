// Package history holds what an experiment observed: what callers sent and
// received, what the stand-ins of targets recorded, and what operators and
// faults did when. Checkers judge from it alone.
package history

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Kind tells what a request asked for.
type Kind string

// Kinds of requests.
const (
	KindChat  Kind = "chat"
	KindOrder Kind = "order"
)

// Run is what a refusal claims about the effect of a call.
type Run string

// Claims of a refusal; RunNone means that the answer made none.
const (
	RunNone    Run = ""
	RunNot     Run = "not_run"
	RunDone    Run = "ran"
	RunUnknown Run = "unknown"
)

// Attempt is one try of a request at one router.
type Attempt struct {
	VM fleet.VM
	// Key is the idempotency key of an order's attempt.
	Key   string
	Start time.Time
	// FirstByte is the arrival of the first part of the answer's content.
	FirstByte time.Time
	End       time.Time
	Status    int
	// Code, Step and Run are those of the router's error answer.
	Code string
	Step string
	Run  Run
	// Whole is true when the answer came to its proper end.
	Whole bool
	// Cut is true when an answer began and then broke off.
	Cut bool
	// Err is what the caller's own side reported.
	Err string
}

// Request is one request of a caller with all its attempts.
type Request struct {
	// ID is unique in the experiment and stands in the request's body.
	ID      string
	Kind    Kind
	Account fleet.Account
	Chat    string
	// Key is the last idempotency key of an order.
	Key string
	// Intended is the time at which the load wanted the request to start.
	Intended time.Time
	// Limit is the time within which the answer should be whole.
	Limit    time.Duration
	Attempts []Attempt
	// Answer is what the caller received of the last attempt or attempts that
	// it put together, and Want the right answer.
	Answer string
	Want   string
	// Prompt is the chain of the chat's prompt, for the reuse oracle.
	Prompt []Block
	// Reply is the block that the right answer adds to the chat's prompt.
	Reply Block
}

// Block is one part of a prompt: the hash of the prompt up to its end and its
// own length in tokens.
type Block struct {
	Hash   uint64
	Tokens int
}

// Last returns the last attempt, the zero value when there is none.
func (r *Request) Last() Attempt {
	if len(r.Attempts) == 0 {
		return Attempt{}
	}
	return r.Attempts[len(r.Attempts)-1]
}

// Keys returns the idempotency keys that an order was sent under, in order.
func (r *Request) Keys() []string {
	var out []string
	for _, a := range r.Attempts {
		if a.Key != "" && !slices.Contains(out, a.Key) {
			out = append(out, a.Key)
		}
	}
	return out
}

// Whole reports whether the caller got a whole answer.
func (r *Request) Whole() bool { return r.Last().Whole }

// Latency returns the time from the intended start to the end of the last
// attempt.
func (r *Request) Latency() time.Duration { return r.Last().End.Sub(r.Intended) }

// FirstByte returns the time from the intended start to the first content
// that the caller received, zero when none came.
func (r *Request) FirstByte() time.Duration {
	for _, a := range r.Attempts {
		if !a.FirstByte.IsZero() {
			return a.FirstByte.Sub(r.Intended)
		}
	}
	return 0
}

// EngineRun is one entry of an engine's own record.
type EngineRun struct {
	Target     fleet.Target
	DataCentre fleet.DataCentre
	// Request is the ID that the caller put into the body.
	Request    string
	Started    time.Time
	FirstToken time.Time
	Ended      time.Time
	Whole      bool
	// Refused is true when the engine ran nothing.
	Refused bool
	// PromptTokens counts the prompt, CachedTokens its part found in cache.
	PromptTokens int
	CachedTokens int
	// Running is the number of requests in progress at the start, this one
	// included; Limit is the number that the engine could bear then.
	Running int
	Limit   int
	Cold    bool
}

// WorkerRun is one entry of a worker's own record.
type WorkerRun struct {
	Target     fleet.Target
	DataCentre fleet.DataCentre
	Key        string
	Body       string
	At         time.Time
}

// Mark is a drain mark that operators published, or a target or VM that the
// platform's list called leaving.
type Mark struct {
	// One of the three is set.
	DataCentre fleet.DataCentre
	VM         fleet.VM
	Target     fleet.Target
	// Accepted is the time at which the mark was published.
	Accepted time.Time
	// Lifted is the time at which its removal was sent; zero means never.
	Lifted time.Time
}

// Stop is a planned stop of a router.
type Stop struct {
	VM       fleet.VM
	From, To time.Time
	// Err is set when the router did not end by itself.
	Err string
}

// Covers reports whether the mark was on the target at time t.
func (m Mark) Covers(t fleet.Target, dc fleet.DataCentre, at time.Time) bool {
	if m.Target != t && (m.DataCentre == "" || m.DataCentre != dc) {
		return false
	}
	return Span{From: m.Accepted, To: m.Lifted}.Covers(at)
}

// Span is a time in which something was the case.
type Span struct{ From, To time.Time }

// Covers reports whether the span contains t. A span without end goes on.
func (s Span) Covers(t time.Time) bool {
	return !t.Before(s.From) && (s.To.IsZero() || t.Before(s.To))
}

// Engine is one engine of the site with the spans in which it was in service
// and able to take work.
type Engine struct {
	Target     fleet.Target
	DataCentre fleet.DataCentre
	Slots      int
	ColdSlots  int
	Up         []Span
	// TurnedCold holds the times at which it turned cold without warning.
	TurnedCold []time.Time
}

// ConfigView is the version of the configuration that a router reported.
type ConfigView struct {
	VM     fleet.VM
	At     time.Time
	Offset uint64
	Hash   string
	// Boot tells apart the successive processes on one VM.
	Boot int
}

// Publish is a change of the configuration that the system accepted.
type Publish struct {
	Offset uint64
	Hash   string
	At     time.Time
}

// Event is a fault or an operator's act, for reports.
type Event struct {
	At   time.Time
	Text string
}

// ControlSample is the control traffic of one router over a short time.
type ControlSample struct {
	VM    fleet.VM
	At    time.Time
	Bytes float64 // a second
}

// History is all that an experiment observed.
type History struct {
	Start, End time.Time
	Requests   []Request
	Direct     []Request
	EngineRuns []EngineRun
	DirectRuns []EngineRun
	WorkerRuns []WorkerRun
	// WorkerRefusals counts the calls above what a worker could bear.
	WorkerRefusals int

	Engines   []Engine
	Marks     []Mark
	Stops     []Stop
	Faults    []Span // unplanned faults of any kind
	Views     []ConfigView
	Published []Publish
	// UpVMs holds the spans in which each router was up and reachable.
	UpVMs   map[fleet.VM][]Span
	Events  []Event
	Control []ControlSample
}
