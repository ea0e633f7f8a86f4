package balance

import (
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// A holder of the whole prompt gets it without further comparison while the waiting there is at
	// most holderWaitFactor x mean + waitSlackMS. A new prompt goes to the first engine in
	// its ranking with at most newPromptWaitFactor x mean + waitSlackMS.
	holderWaitFactor    = 1.6
	newPromptWaitFactor = 1.15
	waitSlackMS         = 10.0
	// A holder that is slower than usual keeps a prompt while its first event comes at most
	// slowSlackMS later than from an engine that reads the prompt again.
	slowSlackMS = 100.0
	// rereadFactor weights the time to read a prompt again at another engine: it delays this
	// request and those behind it, the more the fewer slots are free. maxUsedRatio bounds
	// the ratio of used slots in that.
	rereadFactor = 8.0
	maxUsedRatio = 0.9
	// fullBatchSlowdown is what a full batch adds to the time of a step, as a ratio of it.
	fullBatchSlowdown = 0.5
	// While other targets may get the request, one gets it only up to boundLoadFactor x mean +
	// boundLoadSlack requests, with a margin below the platform's limit of 2 x mean + 3 for
	// loads that are old. All targets of the service count in that mean, also those that may
	// not get the request.
	boundLoadFactor = 1.7
	boundLoadSlack  = 2.0
	// A holder's limit rises by rereadLoadFactor x mean + rereadLoadSlack requests with the time
	// to read the prompt again elsewhere, by half of that at rereadScaleMS: what is moved
	// away from a holder is better a cheap prompt.
	rereadLoadFactor = 0.2
	rereadLoadSlack  = 0.5
	rereadScaleMS    = 50.0
	// minWeight and maxWeight bound the mean work of a target's requests in relation to that
	// of the service, where a load is compared with a limit in requests.
	minWeight = 0.75
	maxWeight = 1.33
)

// Speeds tells how fast targets work.
type Speeds interface {
	// Speed returns the pace of a target in relation to the usual one, and the number of
	// requests that it reported lately beyond those that were known.
	Speed(now time.Time, ref fleet.Ref) (pace, excess float64)
}

// SetSpeeds makes the balancer compare requests with an estimate by work.
func (b *Balancer) SetSpeeds(speeds Speeds) { b.speeds = speeds }

// Work is what the balancer expects of a request at the chosen target.
type Work struct {
	// Prefixes is the number of shared prefixes that the target has in cache.
	Prefixes int
	// WaitMS is the expected time until work on the request begins.
	WaitMS float64
	// LoadPerSlot is the load of the target as it is compared with Request.MaxLoadPerSlot.
	LoadPerSlot float64
}

// candidate is a target that may get a request.
type candidate struct {
	target *sitestate.AvailableTarget
	ref    fleet.Ref
	// count is the number of requests at the target, and unknown those whose work isn't
	// known.
	count, unknown float64
	// workMS is the work that remains, pace the speed at which it is done, at most the usual
	// one.
	workMS, pace float64
	// used is the ratio of slots in use, waitMS the expected waiting, and weighted the load in
	// requests of mean work.
	used, waitMS, weighted float64
	// prefixes is the number of prefixes in cache.
	prefixes int
	// excluded is set for targets that count only for the means.
	excluded bool
}

// costMS returns the time that the request itself takes at the target.
func (c *candidate) costMS(e *workload.Estimate) float64 {
	return (e.ReadMS(c.prefixes) + e.SlotMS()/float64(max(c.target.Slots, 1))) / c.pace
}

// timeMS returns the time until the request has its response, as far as it depends on the
// target: waiting, its own cost, and what the others in the batch add to each of its steps.
func (c *candidate) timeMS(e *workload.Estimate) float64 {
	return c.waitMS + c.costMS(e) + (e.EventMS+e.ServiceMS+fullBatchSlowdown*c.used*e.SlotMS())/c.pace
}

// slowMS returns what a target slower than usual adds to the time to the first event.
func (c *candidate) slowMS(e *workload.Estimate) float64 {
	return max(1/c.pace-1, 0) * (e.ReadMS(c.prefixes) + e.EventMS + e.ServiceMS)
}

// workChoice is one choice by work. Its slices are reused by the next one.
type workChoice struct {
	b       *Balancer
	now     time.Time
	request *Request
	// all holds the targets that may get the request.
	all []candidate
	// meanLoad is the mean load of the targets of the service. allowedLoad and meanWait are
	// means over those that may get the request, requestMS that of the work of a request.
	meanLoad, allowedLoad, meanWait, requestMS float64
	// loadLimit is the load up to which a target may get the request, bound the most that it
	// may rise to.
	loadLimit, bound float64
	// known is set if the prompt is in the cache of any target.
	known bool
	picks []int
}

// chooseByWork returns the target for a request with an estimate.
func (b *Balancer) chooseByWork(now time.Time, r *Request, targets []sitestate.AvailableTarget, gate Gate) Choice {
	w := &b.choice
	w.b, w.now, w.request, w.known = b, now, r, false
	if !w.measure(targets, gate) {
		return Choice{Reason: None}
	}
	w.findPrefixes()
	if !w.dropOverLimit() {
		w.setLoadLimit()
		return w.chosen(w.leastLoaded(), Overloaded)
	}
	w.setLoadLimit()
	if len(r.Prefixes) == 0 {
		return w.chosen(w.leastLoaded(), LeastLoaded)
	}
	other := w.withoutCache()
	if i := w.holder(other); i >= 0 {
		return w.chosen(i, w.reasonFor(i))
	}
	return w.chosen(other, w.reasonFor(other))
}

// reasonFor returns the reason for the choice of a target for a prompt.
func (w *workChoice) reasonFor(i int) Reason {
	if w.all[i].prefixes == len(w.request.Prefixes) {
		return Cached
	}
	return Ranked
}

// chosen returns the choice of a candidate.
func (w *workChoice) chosen(i int, reason Reason) Choice {
	c := &w.all[i]
	out := Choice{Reason: reason, Load: c.count, Mean: w.meanLoad}
	if reason == Overloaded {
		return out
	}
	out.Target = *c.target
	out.Work = Work{Prefixes: c.prefixes, WaitMS: c.waitMS, LoadPerSlot: c.weighted / float64(max(c.target.Slots, 1))}
	if reason == Ranked {
		out.Sources = w.b.prompts.sources(w.now, w.request.Prefixes, c.ref)
	}
	return out
}

// measure collects the targets with their loads and returns false if none may get the
// request. As in meanLoad, targets that get only what they have in cache don't count for the
// means.
func (w *workChoice) measure(targets []sitestate.AvailableTarget, gate Gate) bool {
	w.all = w.all[:0]
	var count, known, workMS float64
	counted, allowed := 0, 0
	for i := range targets {
		c := candidate{target: &targets[i], ref: targets[i].ID.Ref()}
		var excess float64
		c.count, c.unknown, c.workMS = w.b.loads.work(c.ref)
		c.pace, excess = w.b.speeds.Speed(w.now, c.ref)
		// Routers that agree on the fastest target would all choose it.
		c.pace = min(c.pace, 1)
		c.excluded = w.request.Avoid[targets[i].ID] || !gate.Allow(w.now, &targets[i])
		if !c.excluded {
			allowed++
		}
		if w.request.CachedOnly == nil || !w.request.CachedOnly(&targets[i]) {
			count += c.count
			known += c.count - c.unknown
			workMS += c.workMS
			counted++
		}
		c.count += excess
		c.unknown += excess
		w.all = append(w.all, c)
	}
	w.meanLoad = count / float64(max(counted, 1))
	w.requestMS = w.request.Estimate.CostMS(len(w.request.Prefixes), w.slots())
	if known > 0 && workMS > 0 {
		w.requestMS = workMS / known
	}
	w.predict()
	return allowed > 0
}

// slots returns the number of slots of the first target.
func (w *workChoice) slots() int {
	if len(w.all) == 0 {
		return 1
	}
	return w.all[0].target.Slots
}

// predict computes the waiting at each target, and drops those that may not get the request.
func (w *workChoice) predict() {
	load, wait, counted := 0.0, 0.0, 0
	kept := w.all[:0]
	for i := range w.all {
		c := w.all[i]
		c.workMS += c.unknown * w.requestMS
		c.used = min(c.count/float64(max(c.target.Slots, 1)), 1)
		// An engine with free slots begins at once, next to the others.
		c.waitMS = c.workMS / c.pace * c.used * c.used
		c.weighted = min(max(c.workMS/c.pace/w.requestMS, minWeight*c.count), maxWeight*c.count)
		if c.excluded {
			continue
		}
		kept = append(kept, c)
		if w.request.CachedOnly == nil || !w.request.CachedOnly(c.target) {
			load += c.count
			wait += c.waitMS
			counted++
		}
	}
	w.all = kept
	w.allowedLoad, w.meanWait = load/float64(max(counted, 1)), wait/float64(max(counted, 1))
}

// setLoadLimit sets the load up to which a target may get the request. Where much of the
// service gets no requests, the others can't stay below a bound that counts it. They share
// the load by their own mean then: prompts would be read again wherever a target happens to
// be below the bound.
func (w *workChoice) setLoadLimit() {
	w.bound = boundLoadFactor*w.meanLoad + boundLoadSlack
	if w.bound < newPromptLoadFactor*w.allowedLoad+newPromptLoadSlack {
		w.bound = boundLoadFactor*w.allowedLoad + boundLoadSlack
	}
	w.loadLimit = min(w.b.holderLoadLimit(w.allowedLoad), w.bound)
}

// findPrefixes finds how many leading prefixes of the prompt each target has in cache.
func (w *workChoice) findPrefixes() {
	for i, prefix := range w.request.Prefixes {
		holders, _ := w.b.prompts.holders.Get(prefix)
		for _, h := range holders {
			if w.now.Sub(h.lastUsed) >= promptTTL {
				continue
			}
			w.known = w.known || i == len(w.request.Prefixes)-1
			for j := range w.all {
				if w.all[j].ref == h.target {
					// Prefixes are used together, the shorter ones with the longer.
					w.all[j].prefixes = i + 1
					break
				}
			}
		}
	}
}

// dropOverLimit drops the targets whose load is at the limit of the request. It keeps all
// and returns false if no other is left.
func (w *workChoice) dropOverLimit() bool {
	limit := w.request.MaxLoadPerSlot
	if limit <= 0 {
		return true
	}
	kept := 0
	for i := range w.all {
		if c := &w.all[i]; c.target.Slots <= 0 || c.weighted < limit*float64(c.target.Slots) {
			w.all[kept], w.all[i] = w.all[i], w.all[kept]
			kept++
		}
	}
	if kept == 0 {
		return false
	}
	w.all = w.all[:kept]
	return true
}

// pick collects the candidates that a condition admits.
func (w *workChoice) pick(admits func(c *candidate) bool) []int {
	w.picks = w.picks[:0]
	for i := range w.all {
		if admits(&w.all[i]) {
			w.picks = append(w.picks, i)
		}
	}
	return w.picks
}

// best returns the pick with the lowest value, and -1 if there is none. While loads are
// relayed it compares two random ones only, as sample does.
func (w *workChoice) best(picks []int, value func(c *candidate) float64) int {
	if w.b.relayed && len(picks) > sampleSize {
		first := w.b.random.IntN(len(picks))
		second := w.b.random.IntN(len(picks) - 1)
		if second >= first {
			second++
		}
		picks[0], picks[1] = picks[first], picks[second]
		picks = picks[:sampleSize]
	}
	best, bestValue := -1, math.Inf(1)
	for _, i := range picks {
		if v := value(&w.all[i]); v < bestValue {
			best, bestValue = i, v
		}
	}
	return best
}

// withinLoad returns the candidates whose number of requests is near the mean, or the one
// with the fewest if there are none.
func (w *workChoice) withinLoad(also func(c *candidate) bool) []int {
	if picks := w.pick(func(c *candidate) bool { return c.count <= w.loadLimit && also(c) }); len(picks) > 0 {
		return picks
	}
	fewest := -1
	for i := range w.all {
		if also(&w.all[i]) && (fewest < 0 || w.all[i].count < w.all[fewest].count) {
			fewest = i
		}
	}
	if fewest < 0 {
		return w.picks[:0]
	}
	return append(w.picks[:0], fewest)
}

// anyTarget admits all candidates.
func anyTarget(*candidate) bool { return true }

// leastLoaded returns the target at which the work is done first, with a penalty for other
// data centres.
func (w *workChoice) leastLoaded() int {
	e := w.request.Estimate
	return w.best(w.withinLoad(anyTarget), func(c *candidate) float64 {
		ms := c.workMS/c.pace + c.costMS(e)
		if c.target.DataCentre != w.b.self {
			ms += remotePenalty * w.requestMS * float64(max(c.target.Slots, 1))
		}
		return ms
	})
}

// holderLimit returns the load up to which a holder gets a prompt that takes the given time
// to read elsewhere.
func (w *workChoice) holderLimit(savedMS float64) float64 {
	more := savedMS / (savedMS + rereadScaleMS)
	return min(w.loadLimit+more*(rereadLoadFactor*w.allowedLoad+rereadLoadSlack), w.bound)
}

// holder returns the engine that gets the request since it has the prompt or the longest part
// of it in cache, and -1 if it is better read again at another one.
func (w *workChoice) holder(other int) int {
	near := holderWaitFactor*w.meanWait + waitSlackMS
	e := w.request.Estimate
	elsewhere := &w.all[other]
	factor := rereadFactor / (1 - min(w.allowedLoad/float64(max(elsewhere.target.Slots, 1)), maxUsedRatio))
	for prefixes := len(w.request.Prefixes); prefixes >= max(elsewhere.prefixes, 1); prefixes-- {
		saved := e.ReadMS(elsewhere.prefixes) - e.ReadMS(prefixes)
		if rest := e.ReadMS(prefixes); prefixes < len(w.request.Prefixes) && saved < rest {
			// Few engines have a short part that many prompts begin with. If it drew these
			// prompts, the caches of those engines would not hold them.
			break
		}
		limit := w.holderLimit(saved)
		picks := w.pick(func(c *candidate) bool { return c.prefixes == prefixes })
		// Two random holders are compared regardless of the limit: if all routers chose among
		// those that appear to be below it, old loads would send them all to the same one.
		i := w.best(picks, func(c *candidate) float64 {
			if c.count > limit {
				return math.Inf(1)
			}
			return c.timeMS(e)
		})
		if i < 0 {
			continue
		}
		c := &w.all[i]
		whole := prefixes == len(w.request.Prefixes)
		if c.slowMS(e) > elsewhere.slowMS(e)+saved+slowSlackMS {
			continue // it takes longer here than to read the prompt again
		}
		if whole && c.waitMS <= near || c.waitMS <= elsewhere.waitMS+factor*saved/elsewhere.pace {
			return i
		}
	}
	return -1
}

// withoutCache returns an engine for a prompt regardless of caches: the first one in the
// prompt's ranking whose load is near the mean. If some engine has the prompt and loads are
// relayed, routers choose between random engines, as in selectWithoutCache.
func (w *workChoice) withoutCache() int {
	e := w.request.Estimate
	admits := anyTarget
	if r := w.request; r.CachedOnly != nil {
		admits = func(c *candidate) bool { return !r.CachedOnly(c.target) }
	}
	picks := w.withinLoad(admits)
	if len(picks) == 0 {
		picks = w.withinLoad(anyTarget)
	}
	value := func(c *candidate) float64 { return c.timeMS(e) }
	if w.b.relayed && w.known {
		return w.best(picks, value)
	}
	loadLimit := newPromptLoadFactor*w.allowedLoad + newPromptLoadSlack
	waitLimit := newPromptWaitFactor*w.meanWait + waitSlackMS
	ranked, rankedScore := -1, math.Inf(-1)
	lowest, lowestValue := -1, math.Inf(1)
	prompt := w.request.prompt()
	for _, i := range picks {
		c := &w.all[i]
		if v := value(c); v < lowestValue {
			lowest, lowestValue = i, v
		}
		if c.count > loadLimit || c.waitMS+c.slowMS(e) > waitLimit {
			continue
		}
		if score := placement.Score(prompt, placement.HashTarget(c.target.ID), 1); score > rankedScore {
			ranked, rankedScore = i, score
		}
	}
	if ranked >= 0 {
		return ranked
	}
	return lowest
}

// AddWork adds work to the remaining work of this router's requests at a target. A negative
// amount is work that was done.
func (b *Balancer) AddWork(id fleet.Target, ms float64) {
	if t, ok := b.loads.targets[id.Ref()]; ok {
		t.localMS = max(t.localMS+ms, 0)
	}
}
