package explore

import (
	"context"
	"fmt"
	"time"
)

// progressEvery is the number of schedules between two progress messages.
const progressEvery = 10_000

// Plan tells what Run should search.
type Plan struct {
	// Seed is the first seed, Runs the number of schedules, one seed each.
	Seed uint64
	Runs uint64
	// Steps is the number of events in one random schedule.
	Steps int
	// Depth is the depth of the full search; zero leaves it out.
	Depth   int
	Routers int
	Keys    int
	// Progress is called now and then with the schedules done.
	Progress func(done uint64, elapsed time.Duration)
}

// Broken is one schedule that broke a rule.
type Broken struct {
	World string   `json:"world"`
	Seed  uint64   `json:"seed,omitempty"`
	Rule  string   `json:"rule"`
	Trace []string `json:"trace"`
}

// Report is what Run has found.
type Report struct {
	Pass bool `json:"pass"`
	// States and SearchSteps count the full search, Schedules and Steps the
	// random one.
	States      int            `json:"states"`
	SearchSteps int            `json:"search_steps"`
	Schedules   uint64         `json:"schedules"`
	Steps       uint64         `json:"steps"`
	Counts      Counts         `json:"counts"`
	StatesBy    map[string]int `json:"states_by_world,omitempty"`
	Broken      []Broken       `json:"broken,omitempty"`
	Seconds     float64        `json:"seconds"`
}

// namedWorld is one kind of world to search.
type namedWorld struct {
	name string
	opt  Options
}

func namedWorlds() []namedWorld {
	return []namedWorld{
		{"cold", Options{Start: StartCold}},
		{"owned", Options{Start: StartOwned}},
		{"running", Options{Start: StartRunning}},
		{"outage", Options{Start: StartOutage}},
		{"two owners", Options{Start: StartOwned, TwoOwners: true}},
		{"two owners, cold", Options{Start: StartCold, TwoOwners: true}},
	}
}

// Run carries out the plan. The seed of a random schedule chooses its world,
// and whether answers are delayed in it.
func Run(ctx context.Context, p Plan) (*Report, error) {
	begin := time.Now()
	report := &Report{Pass: true, StatesBy: make(map[string]int)}
	for _, w := range namedWorlds() {
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("explore: %w", err)
		}
		if p.Depth > 0 {
			report.search(w, p.Depth)
		}
	}
	for i := range p.Runs {
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("explore: %w", err)
		}
		seed := p.Seed + i
		worlds := namedWorlds()
		w := worlds[seed%uint64(len(worlds))]
		w.opt.Routers, w.opt.Keys, w.opt.Budget = p.Routers, p.Keys, RandomBudget()
		w.opt.Delays = (seed/uint64(len(worlds)))%2 == 0
		report.follow(w, seed, p.Steps)
		if p.Progress != nil && (i+1)%progressEvery == 0 {
			p.Progress(i+1, time.Since(begin))
		}
	}
	report.Seconds = time.Since(begin).Seconds()
	return report, nil
}

func (r *Report) search(w namedWorld, depth int) {
	w.opt.Routers, w.opt.Keys, w.opt.Budget = 2, 1, SearchBudget()
	result := Search(w.opt, depth)
	r.States += result.States
	r.SearchSteps += result.Steps
	r.StatesBy[w.name] = result.States
	r.note(w, 0, result)
}

func (r *Report) follow(w namedWorld, seed uint64, steps int) {
	result := Random(w.opt, seed, steps)
	r.Schedules++
	r.Steps += uint64(result.Steps)
	r.Counts.Add(result.Counts)
	r.note(w, seed, result)
}

func (r *Report) note(w namedWorld, seed uint64, result Result) {
	if result.Violation == nil {
		return
	}
	r.Pass = false
	r.Broken = append(r.Broken, Broken{
		World: w.name, Seed: seed, Rule: result.Violation.Error(), Trace: result.Trace,
	})
}
