// Package workload predicts what requests cost their targets, and how fast targets work.
//
// The unit is a millisecond of a whole usual machine. Prompt tokens that are not in cache
// are read one request after the other, so their time counts whole. Output and plain
// requests share a machine with those in its other slots, so their time is divided by the
// slots. A Model learns from the responses that pass one router: the time to read a prompt
// token, the time of an event at a given batch, the output of a route's and an account's
// requests, and the pace of each target in relation to the others. What targets report of
// themselves counts only as far as responses bear it out.
package workload

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Bounds of the state that a Model keeps. The least recently used entries go first.
const (
	maxHistories = 4096
	maxRoutes    = 512
	maxServices  = 256
	maxTargets   = 2048
)

// Key identifies the requests that share a history.
type Key struct {
	Service fleet.Service
	Route   string
	Account fleet.Account
	// Engine is true for requests that read a prompt and generate events.
	Engine bool
}

// Size is what a request says of its size, zero for what it does not say.
type Size struct {
	// PromptTokens is the length of the prompt, MaxOutput the most tokens of output, and
	// OutputHint the estimated ones.
	PromptTokens int
	MaxOutput    int
	OutputHint   int
	// PrefixTokens holds the number of tokens up to the end of each shared prefix, the
	// shortest first.
	PrefixTokens []int
}

// hint returns the estimated tokens of output, at most the most tokens of it.
func (s *Size) hint() int {
	if s.MaxOutput > 0 {
		return min(s.OutputHint, s.MaxOutput)
	}
	return s.OutputHint
}

// Estimate is the expected cost of a request.
type Estimate struct {
	// Tokens is the length of the prompt and TokenMS the time to read a token of it.
	// PrefixTokens is as in Size.
	Tokens       float64
	TokenMS      float64
	PrefixTokens []int
	// Events is the expected number of events and EventMS the time of one.
	Events  float64
	EventMS float64
	// ServiceMS is the expected time of a plain request in its slot, and TailMS the time
	// that one in twenty exceeds.
	ServiceMS float64
	TailMS    float64
}

// ReadMS returns the time to read the prompt if the first prefixes of it are in cache.
func (e *Estimate) ReadMS(prefixes int) float64 {
	tokens := e.Tokens
	if prefixes = min(prefixes, len(e.PrefixTokens)); prefixes > 0 {
		tokens -= float64(e.PrefixTokens[prefixes-1])
	}
	return max(tokens, 0) * e.TokenMS
}

// SlotMS returns the time for which the request takes a slot after its prompt was read.
func (e *Estimate) SlotMS() float64 { return e.Events*e.EventMS + e.ServiceMS }

// CostMS returns the cost at a target with the given slots that has the first prefixes of
// the prompt in cache.
func (e *Estimate) CostMS(prefixes, slots int) float64 {
	return max(e.ReadMS(prefixes)+e.SlotMS()/float64(max(slots, 1)), minCostMS)
}

// minCostMS keeps the cost of a request above zero, which means unknown in digests.
const minCostMS = 0.05

// Model learns costs and paces. It is not safe for concurrent use.
type Model struct {
	accounts *simplelru.LRU[Key, *history]
	routes   *simplelru.LRU[Key, *history]
	services *simplelru.LRU[fleet.Service, *machine]
	targets  *simplelru.LRU[fleet.Ref, *target]
	// fresh holds what responses have shown since the last TakeSpeeds.
	fresh map[fleet.Ref]Speed
}

// New returns a model that has seen no responses.
func New() *Model {
	return &Model{
		accounts: newLRU[Key, *history](maxHistories),
		routes:   newLRU[Key, *history](maxRoutes),
		services: newLRU[fleet.Service, *machine](maxServices),
		targets:  newLRU[fleet.Ref, *target](maxTargets),
		fresh:    make(map[fleet.Ref]Speed),
	}
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return lru
}

// lookup returns the entry of a key, which it creates if there is none.
func lookup[K comparable, V any](lru *simplelru.LRU[K, V], key K, create func() V) V {
	v, ok := lru.Get(key)
	if !ok {
		v = create()
		lru.Add(key, v)
	}
	return v
}

// routeOf returns the key of the requests of all accounts of a route.
func routeOf(k Key) Key {
	k.Account = ""
	return k
}

// Estimate returns the expected cost of a request at targets that hold batch requests each.
func (m *Model) Estimate(k Key, size *Size, batch float64) Estimate {
	route := lookup(m.routes, routeOf(k), newHistory)
	account := lookup(m.accounts, k, newHistory)
	if !k.Engine {
		e := Estimate{}
		e.ServiceMS, e.TailMS = account.service(route)
		return e
	}
	service := lookup(m.services, k.Service, newMachine)
	tokens := float64(size.PromptTokens)
	if tokens <= 0 {
		tokens = service.promptTokens
	}
	return Estimate{
		Tokens: tokens, TokenMS: service.tokenMS, PrefixTokens: size.PrefixTokens,
		Events: account.output(route, size.hint()), EventMS: service.eventMS(batch),
	}
}

// Job is one send of a request to a target.
type Job struct {
	key      Key
	size     Size
	estimate Estimate
	target   fleet.Ref
	slots    int
	batch    float64
	readMS   float64
	// firstMS is the expected time to the first event or the whole plain response.
	firstMS float64
	// base and reported are the logarithms of the pace without and with the target's report.
	base, reported float64
	pace           float64
	startedAt      time.Time
	firstAt        time.Time
	lastAt         time.Time
	events         int
	// pacedEvents and pacedAt are the events at the last observation of the pace.
	pacedEvents int
	pacedAt     time.Time
	left        float64
	cost        float64
}

// Start describes a send that begins.
type Start struct {
	Key      Key
	Size     Size
	Estimate Estimate
	Target   fleet.Ref
	Slots    int
	// Batch is the number of requests at the target, and WaitMS the expected waiting there.
	Batch  float64
	WaitMS float64
	// Prefixes is the number of prefixes that the target has in cache.
	Prefixes int
}

// Start records the start of a send.
func (m *Model) Start(now time.Time, s Start) *Job {
	j := &Job{
		key: s.Key, size: s.Size, estimate: s.Estimate, target: s.Target, slots: max(s.Slots, 1), batch: s.Batch,
		readMS: s.Estimate.ReadMS(s.Prefixes), cost: s.Estimate.CostMS(s.Prefixes, s.Slots), startedAt: now,
	}
	j.left = j.cost
	t := m.target(s.Target)
	j.base, j.reported = t.logPaces(now)
	j.pace, _ = m.Speed(now, s.Target)
	j.firstMS = s.WaitMS + (j.readMS+j.estimate.EventMS+j.estimate.ServiceMS)/j.pace
	return j
}

// Left returns the part of the cost that remains.
func (j *Job) Left() float64 { return j.left }

// CostMS returns the expected cost.
func (j *Job) CostMS() float64 { return j.cost }

// FirstMS returns the expected time to the first event, or to the response of a plain
// request.
func (j *Job) FirstMS() float64 { return j.firstMS }

// TotalMS returns the expected time to the end.
func (j *Job) TotalMS() float64 {
	return j.firstMS + max(j.estimate.Events-1, 0)*j.estimate.EventMS/j.pace
}

// ActualMS returns what a send that is complete now has cost: for an engine by the number of
// events, at the usual time of one, otherwise by the time that it took.
func (j *Job) ActualMS(now time.Time) float64 {
	slotMS := float64(j.events) * j.estimate.EventMS
	if !j.key.Engine {
		slotMS = milliseconds(now.Sub(j.startedAt))
	}
	return j.readMS + slotMS/float64(j.slots)
}

// Events records events of a response that have arrived.
func (m *Model) Events(now time.Time, j *Job, n int) {
	if n <= 0 {
		return
	}
	if j.events == 0 {
		j.firstAt, j.pacedAt, j.pacedEvents = now, now, n
		m.firstByte(now, j)
	}
	j.events += n
	j.lastAt = now
	m.observeStream(now, j)
	// A response longer than expected still has an event to come.
	events := max(j.estimate.Events-float64(j.events), 1)
	j.left = min(j.left, max(events*j.estimate.EventMS/float64(j.slots), minCostMS))
}

// firstByte records that a response has begun.
func (m *Model) firstByte(now time.Time, j *Job) {
	if !j.key.Engine {
		return
	}
	actual := milliseconds(now.Sub(j.startedAt))
	service := lookup(m.services, j.key.Service, newMachine)
	service.learnRead(actual, j.readMS/j.estimate.TokenMS, j.batch)
	m.learnPace(now, j, service.firstBias.sample(j.firstError(actual))-math.Log(j.pace), firstByteWeight)
}

// firstError returns the logarithm of the actual over the expected time to the first event at
// the pace of the target.
func (j *Job) firstError(actualMS float64) float64 {
	return math.Log(max(actualMS, minSampleMS) / max(j.firstMS, minSampleMS))
}

// Silent records that a response has not begun yet, although it should have.
func (m *Model) Silent(now time.Time, j *Job) {
	if slow := j.firstError(milliseconds(now.Sub(j.startedAt))); slow > 0 {
		m.learnPace(now, j, slow-math.Log(j.pace), firstByteWeight)
	}
}

// Drop records that the send ended without a complete response.
func (j *Job) Drop() { j.left = 0 }

// ExpectedEvents returns the expected number of events.
func (j *Job) ExpectedEvents() float64 { return j.estimate.Events }

// Complete records the end of a complete response. Targets serve one in part when the caller
// takes up a stream, which teaches only their pace.
func (m *Model) Complete(now time.Time, j *Job, partial bool) {
	j.left = 0
	if !j.key.Engine {
		m.completePlain(now, j)
		return
	}
	service := lookup(m.services, j.key.Service, newMachine)
	if !partial && j.events > 0 {
		service.learnPrompt(j.size.PromptTokens)
		lookup(m.routes, routeOf(j.key), newHistory).learnOutput(j.size.hint(), j.events)
		lookup(m.accounts, j.key, newHistory).learnOutput(j.size.hint(), j.events)
	}
	if j.events >= minPacedEvents {
		service.learnEvent(j.batch, milliseconds(j.lastAt.Sub(j.firstAt))/float64(j.events-1))
	}
}

// observeStream learns the pace of a target from the time since the last observation.
func (m *Model) observeStream(now time.Time, j *Job) {
	n := j.events - j.pacedEvents
	if !j.key.Engine || n < minPacedEvents {
		return
	}
	actual := milliseconds(now.Sub(j.pacedAt)) / float64(n)
	j.pacedEvents, j.pacedAt = j.events, now
	expected := lookup(m.services, j.key.Service, newMachine).eventMS(j.batch)
	m.learnPace(now, j, math.Log(max(actual, minSampleMS)/expected), streamWeight)
}

// completePlain learns from the end of a plain response. Time in a target's queue is no
// service time.
func (m *Model) completePlain(now time.Time, j *Job) {
	actual := milliseconds(now.Sub(j.startedAt))
	if j.batch < float64(j.slots) {
		lookup(m.routes, routeOf(j.key), newHistory).learnService(actual)
		lookup(m.accounts, j.key, newHistory).learnService(actual)
		m.learnPace(now, j, math.Log(max(actual, minSampleMS)/max(j.estimate.ServiceMS, minSampleMS)), plainWeight)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
