package reuse

import (
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/check/load"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Oracle returns the share that a placement would have found which knows the
// cache and the load of every engine at each moment. It keeps the load bound
// and runs each request at the time and for as long as it ran in the history.
// It takes the allowed engine that holds most of the prompt, the one with the
// lowest load among equals. Caches are lost when their engine was.
func Oracle(h *history.History, cacheTokens int, bound float64) float64 {
	o := newOracle(h, cacheTokens, bound)
	cached, prompt := 0, 0
	for _, s := range o.steps() {
		switch {
		case s.lost != "":
			o.engines[s.lost].cache = newCache(cacheTokens)
		case s.begin:
			cached += o.begin(s)
			prompt += tokens(s.request.Prompt)
		default:
			o.end(s)
		}
	}
	if prompt == 0 {
		return 0
	}
	return float64(cached) / float64(prompt)
}

type oracle struct {
	h       *history.History
	bound   float64
	engines map[fleet.Target]*oracleEngine
	// placed holds the engine of each request that runs.
	placed map[string]*oracleEngine
}

type oracleEngine struct {
	history.Engine
	cache   *cache
	running int
}

func newOracle(h *history.History, cacheTokens int, bound float64) *oracle {
	o := &oracle{
		h:       h,
		bound:   bound,
		engines: make(map[fleet.Target]*oracleEngine),
		placed:  make(map[string]*oracleEngine),
	}
	for _, e := range h.Engines {
		o.engines[e.Target] = &oracleEngine{Engine: e, cache: newCache(cacheTokens)}
	}
	return o
}

// oracleStep is the beginning or the end of a request, or the loss of the
// cache of an engine.
type oracleStep struct {
	at      time.Time
	request *history.Request
	begin   bool
	lost    fleet.Target
}

// steps lists what happened, with the first run of each request.
func (o *oracle) steps() []oracleStep {
	byID := make(map[string]*history.Request)
	for i := range o.h.Requests {
		byID[o.h.Requests[i].ID] = &o.h.Requests[i]
	}
	var out []oracleStep
	runs := slices.Clone(o.h.EngineRuns)
	slices.SortStableFunc(runs, func(a, b history.EngineRun) int { return a.Started.Compare(b.Started) })
	for _, run := range runs {
		r, ok := byID[run.Request]
		if !ok || run.Refused {
			continue
		}
		delete(byID, run.Request)
		out = append(out, oracleStep{at: run.Started, request: r, begin: true}, oracleStep{at: run.Ended, request: r})
	}
	for _, e := range o.h.Engines {
		for _, at := range e.TurnedCold {
			out = append(out, oracleStep{at: at, lost: e.Target})
		}
		for _, up := range e.Up[min(1, len(e.Up)):] {
			out = append(out, oracleStep{at: up.From, lost: e.Target})
		}
	}
	slices.SortStableFunc(out, func(a, b oracleStep) int { return a.at.Compare(b.at) })
	return out
}

// begin places a request and returns the tokens found in cache.
func (o *oracle) begin(s oracleStep) int {
	serving := o.serving(s.at)
	running, slots := 1, 0
	for _, e := range serving {
		running += e.running
		slots += e.Slots
	}
	var best *oracleEngine
	found := -1
	for _, e := range serving {
		allowed := load.Allowed(o.bound, float64(running)/float64(slots), e.Slots)
		if e.running+1 > min(allowed, e.Slots) {
			continue
		}
		cached := e.cache.find(s.request.Prompt)
		if cached > found || cached == found && e.running < best.running {
			best, found = e, cached
		}
	}
	if best == nil {
		return 0
	}
	best.running++
	o.placed[s.request.ID] = best
	return best.cache.use(s.request.Prompt)
}

// serving lists the engines that may receive work, in a fixed order.
func (o *oracle) serving(at time.Time) []*oracleEngine {
	var out []*oracleEngine
	for _, e := range o.h.Engines {
		up := slices.ContainsFunc(e.Up, func(s history.Span) bool { return s.Covers(at) })
		marked := slices.ContainsFunc(o.h.Marks, func(m history.Mark) bool { return m.Covers(e.Target, e.DataCentre, at) })
		if up && !marked {
			out = append(out, o.engines[e.Target])
		}
	}
	return out
}

func (o *oracle) end(s oracleStep) {
	e, ok := o.placed[s.request.ID]
	if !ok {
		return
	}
	delete(o.placed, s.request.ID)
	e.running--
	e.cache.add(s.request.Reply)
}
