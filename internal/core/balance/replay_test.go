package balance_test

import (
	"math/rand/v2"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// A replay sends a fixed load through some routers to model engines, in steps of
// replayStep. Digests reach the other routers relayDelay after they were made, every
// digestPeriod.
const (
	replayStep   = 5 * time.Millisecond
	digestPeriod = 250 * time.Millisecond
	relayDelay   = 200 * time.Millisecond
	// The engines of the model: tokens read in a millisecond, the time of a step and what
	// each request in the batch adds to it, tokens of an event, tokens of the cache, and
	// the share of the time that reading may take.
	readPerMS, stepMS, stepPerRequest, tokensPerEvent = 56.0, 2.6, 0.025, 8.5
	cacheTokens, readShare                            = 250_000, 0.7
	// reuseTime is the time since the last use of a prefix within which reading it again
	// is priced.
	reuseTime = 10 * time.Second
)

// kind is a kind of requests.
type kind struct {
	name                string
	shared, own         int
	events, eventSpread int
	objective           time.Duration
	prompts             int
	weight              float64
	account             fleet.Account
	// hotShare is the share of the requests that use one prompt.
	hotShare float64
	// common is the number of shared tokens that all prompts of the kind begin with.
	common int
}

// pattern is a load and its engines.
type pattern struct {
	kinds     []kind
	perSecond func(second float64) float64
	duration  time.Duration
	engines   int
	routers   int
	speed     func(engine int, second float64) float64
	report    func(engine int, e *modelEngine) (workload.Report, bool)
	hintNoise float64
	// mesh delivers the digest of each router at once to all others.
	mesh bool
	// kindAt and routerAt replace the random draw of a kind and a router, nil for none.
	kindAt   func(second float64) int
	routerAt func(second float64, draw int) int
	// failing returns the share of requests that an engine fails at once.
	failing func(engine int) float64
	// away excludes engines from choices, such as cold ones.
	away func(engine int) bool
}

// modelJob is a request at a model engine.
type modelJob struct {
	kind     *kind
	router   int
	engine   int
	prompt   uint64
	readLeft float64
	tokens   float64
	total    float64
	sentAt   time.Time
	seen     int
	job      *workload.Job
}

// modelEngine reads prompts one after the other and generates for up to 64 requests.
type modelEngine struct {
	running, queue []*modelJob
	cache          map[uint64]time.Time
	cached         int
	sizes          map[uint64]int
}

// result is what a replay measures.
type result struct {
	sent, inTime        map[string]int
	byEngine            []int
	reread              float64
	overLimit, arrivals int
}

// total returns the share over all kinds.
func (r *result) total() float64 {
	sent, ok := 0, 0
	for name := range r.sent {
		sent, ok = sent+r.sent[name], ok+r.inTime[name]
	}
	return float64(ok) / float64(max(sent, 1))
}

// replayRouter is one router of a replay.
type replayRouter struct {
	balancer *balance.Balancer
	model    *workload.Model
	batch    float64
}

// replay runs a pattern with loads compared in requests or as work.
func replay(p pattern, byWork bool, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 7))
	out := result{sent: map[string]int{}, inTime: map[string]int{}, byEngine: make([]int, p.engines)}
	targets := engines(p.engines)
	models := make([]*modelEngine, p.engines)
	for i := range models {
		models[i] = &modelEngine{cache: map[uint64]time.Time{}, sizes: map[uint64]int{}}
	}
	var routers []*replayRouter
	for i := range p.routers {
		r := &replayRouter{balancer: balance.New(fleet.DataCentre([]string{"dc0", "dc1", "dc2"}[i%3]), rand.New(rand.NewPCG(seed, uint64(i)))), model: workload.New()}
		r.balancer.SetSpeeds(r.model)
		r.balancer.SetRelayed(!p.mesh)
		routers = append(routers, r)
	}
	lastUse := map[uint64]time.Time{}
	type delivery struct {
		at         time.Time
		loads      []balance.Load
		placements []balance.Placement
		speeds     []workload.Speed
	}
	var deliveries []delivery
	due := 0.0
	for step := time.Duration(0); step < p.duration; step += replayStep {
		now := start.Add(step)
		if step%digestPeriod == 0 {
			var d delivery
			d.at = now.Add(relayDelay)
			sums := map[fleet.Ref]balance.Load{}
			for _, r := range routers {
				for _, l := range r.balancer.LocalLoads(now) {
					s := sums[l.Target]
					sums[l.Target] = balance.Load{Target: l.Target, Running: s.Running + l.Running, WorkMS: s.WorkMS + l.WorkMS}
				}
				d.speeds = workload.MergeSpeeds(d.speeds, r.model.TakeSpeeds())
				d.placements = append(d.placements, r.balancer.TakePlacements()...)
			}
			for _, t := range targets {
				if l, ok := sums[t.ID.Ref()]; ok {
					d.loads = append(d.loads, l)
				}
			}
			deliveries = append(deliveries, d)
		}
		for len(deliveries) > 0 && !now.Before(deliveries[0].at) {
			for _, r := range routers {
				r.balancer.SetTotalLoads(now, "hub", deliveries[0].loads)
				r.model.LearnSpeeds(now, deliveries[0].speeds)
				r.balancer.AddPlacements(now, deliveries[0].placements)
			}
			deliveries = deliveries[1:]
		}
		second := step.Seconds()
		for due += p.perSecond(second) * replayStep.Seconds() * (0.5 + rng.Float64()); due >= 1; due-- {
			send(&p, &out, rng, second, now, routers, models, targets, lastUse, byWork)
		}
		for i, e := range models {
			speed := 1.0
			if p.speed != nil {
				speed = p.speed(i, second)
			}
			e.step(&p, &out, now, i, speed, routers, targets)
		}
	}
	return out
}

// send draws a request and sends it to the engine that a random router chooses.
func send(p *pattern, out *result, rng *rand.Rand, second float64, now time.Time, routers []*replayRouter, models []*modelEngine, targets []sitestate.AvailableTarget, lastUse map[uint64]time.Time, byWork bool) {
	draw, k := rng.Float64(), 0
	for ; k < len(p.kinds)-1 && draw >= p.kinds[k].weight; k++ {
		draw -= p.kinds[k].weight
	}
	if p.kindAt != nil {
		k = p.kindAt(second)
	}
	kd := &p.kinds[k]
	n := rng.IntN(kd.prompts)
	if rng.Float64() < kd.hotShare {
		n = 0
	}
	prompt := uint64(k)<<32 | uint64(n) + 1
	events := kd.events + rng.IntN(kd.eventSpread+1)
	router := rng.IntN(len(routers))
	if p.routerAt != nil {
		router = p.routerAt(second, router)
	}
	r := routers[router]
	size := workload.Size{PromptTokens: kd.shared + kd.own, PrefixTokens: []int{kd.shared}}
	prefixes := []uint64{prompt}
	if kd.common > 0 {
		size.PrefixTokens, prefixes = []int{kd.common, kd.shared}, []uint64{uint64(k+1) << 48, prompt}
	}
	size.OutputHint = max(int(float64(events)*tokensPerEvent*(1+p.hintNoise*(2*rng.Float64()-1))), 1)
	key := workload.Key{Service: "s", Route: kd.name, Account: kd.account, Engine: true}
	estimate := r.model.Estimate(key, &size, r.batch)
	q := &balance.Request{Prefixes: prefixes}
	if byWork {
		q.Estimate = &estimate
	}
	c := r.balancer.Choose(now, q, targets, &awayGate{p.away, targets})
	r.batch = c.Mean
	engine := 0
	total, inUse := 0, 0
	for i := range targets {
		if targets[i].ID == c.Target.ID {
			engine = i
		}
		// A half of the engines that bears all requests is at twice the mean of all of them
		// however even it is, so only engines in use count.
		if p.away == nil || !p.away(i) {
			inUse++
		}
		total += len(models[i].running) + len(models[i].queue)
	}
	e := models[engine]
	out.arrivals++
	out.byEngine[engine]++
	if float64(len(e.running)+len(e.queue)) > 2*float64(total)/float64(inUse)+3 {
		out.overLimit++
	}
	r.balancer.RequestStarted(now, c.Target.ID, q.Prefixes)
	j := &modelJob{kind: kd, router: router, engine: engine, prompt: prompt, tokens: float64(events) * tokensPerEvent, sentAt: now}
	j.total, j.readLeft = j.tokens, float64(kd.own)
	cached, tokens := true, 0
	for i, prefix := range prefixes {
		part := size.PrefixTokens[i] - tokens
		tokens = size.PrefixTokens[i]
		// A part that is cached is read again unless all before it are cached too.
		if hit := e.use(now, prefix, part); !hit || !cached {
			cached = false
			j.readLeft += float64(part)
			if used, ok := lastUse[prefix]; ok && now.Sub(used) < reuseTime {
				out.reread += float64(part)
			}
		}
		lastUse[prefix] = now
	}
	j.job = r.model.Start(now, workload.Start{
		Key: key, Size: size, Estimate: estimate, Target: c.Target.ID.Ref(), Slots: 64, Batch: c.Load,
		WaitMS: c.Work.WaitMS, Prefixes: c.Work.Prefixes,
	})
	r.balancer.AddWork(c.Target.ID, j.job.Left())
	if p.failing != nil && rng.Float64() < p.failing(engine) {
		r.balancer.AddWork(c.Target.ID, -j.job.Left())
		r.balancer.RequestEnded(c.Target.ID)
		return
	}
	e.queue = append(e.queue, j)
	out.sent[kd.name]++
}

// use takes a prefix from the cache or puts it there, and reports whether it was there.
func (e *modelEngine) use(now time.Time, prompt uint64, tokens int) bool {
	_, hit := e.cache[prompt]
	e.cache[prompt] = now
	if hit {
		return true
	}
	e.sizes[prompt] = tokens
	for e.cached += tokens; e.cached > cacheTokens; {
		oldest := prompt
		for other, used := range e.cache {
			if used.Before(e.cache[oldest]) || used.Equal(e.cache[oldest]) && other < oldest {
				oldest = other
			}
		}
		e.cached -= e.sizes[oldest]
		delete(e.cache, oldest)
	}
	return false
}

// step lets an engine work for replayStep.
func (e *modelEngine) step(p *pattern, out *result, now time.Time, engine int, speed float64, routers []*replayRouter, targets []sitestate.AvailableTarget) {
	for len(e.running) < 64 && len(e.queue) > 0 {
		e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
	}
	left := float64(replayStep.Milliseconds()) * speed
	reading := left * readShare
	generating := 0.0
	for _, j := range e.running {
		if j.readLeft > 0 {
			done := min(j.readLeft, reading*readPerMS)
			j.readLeft -= done
			reading -= done / readPerMS
			left -= done / readPerMS
		} else {
			generating++
		}
	}
	tokens := left / (stepMS + stepPerRequest*generating)
	kept := e.running[:0]
	for _, j := range e.running {
		if j.readLeft <= 0 {
			j.tokens -= tokens
			e.progress(p, out, now, j, engine, routers[j.router], targets)
		}
		if j.tokens > 0 {
			kept = append(kept, j)
		}
	}
	e.running = kept
}

// progress tells the router of a request of the events that have arrived.
func (e *modelEngine) progress(p *pattern, out *result, now time.Time, j *modelJob, engine int, r *replayRouter, targets []sitestate.AvailableTarget) {
	id := targets[engine].ID
	before := j.job.Left()
	events := int((j.total - max(j.tokens, 0)) / tokensPerEvent)
	if events > j.seen {
		if j.seen == 0 {
			if now.Sub(j.sentAt) <= j.kind.objective {
				out.inTime[j.kind.name]++
			}
			if p.report != nil {
				if report, ok := p.report(engine, e); ok {
					r.model.Reported(now, id.Ref(), report, r.balancer.Load(id.Ref()))
				}
			}
		}
		r.model.Events(now, j.job, events-j.seen)
		j.seen = events
	}
	if j.tokens <= 0 {
		r.model.Complete(now, j.job, false)
	}
	r.balancer.AddWork(id, j.job.Left()-before)
	if j.tokens <= 0 {
		r.balancer.RequestEnded(id)
	}
}

// awayGate excludes engines.
type awayGate struct {
	away    func(engine int) bool
	targets []sitestate.AvailableTarget
}

func (g *awayGate) Allow(_ time.Time, t *sitestate.AvailableTarget) bool {
	if g.away == nil {
		return true
	}
	for i := range g.targets {
		if g.targets[i].ID == t.ID {
			return !g.away(i)
		}
	}
	return true
}
