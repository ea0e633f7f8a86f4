package explore

import (
	"testing"

	"github.com/shoenig/test/must"
)

const (
	// searchDepth is the number of events to which all interleavings are
	// visited here; zf-lab explore goes deeper.
	searchDepth = 4
	// randomSteps and randomSeeds shape the random schedules of each world.
	randomSteps = 200
	randomSeeds = 150
)

func TestEveryInterleaving(t *testing.T) {
	for _, w := range namedWorlds() {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			opt := w.opt
			opt.Routers, opt.Keys, opt.Budget = 2, 1, SearchBudget()
			r := Search(opt, searchDepth)
			t.Logf("depth %d: %s", searchDepth, r.String())
			must.NoError(t, r.Violation)
			must.Greater(t, 1000, r.States)
		})
	}
}

func TestRandomSchedules(t *testing.T) {
	for _, w := range namedWorlds() {
		opt := w.opt
		opt.Routers, opt.Keys, opt.Budget = 3, 3, RandomBudget()
		var counts Counts
		for seed := range uint64(randomSeeds) {
			opt.Delays = seed%2 == 0
			r := Random(opt, seed, randomSteps)
			if r.Violation != nil {
				t.Fatalf("%s, seed %d: %s", w.name, seed, r.String())
			}
			counts.Add(r.Counts)
		}
		t.Logf("%s: %+v", w.name, counts)
		must.Positive(t, counts.Executed)
		must.Positive(t, counts.NotRun)
	}
}

// TestBrokenRules breaks one rule at a time and requires that some schedule
// shows it.
func TestBrokenRules(t *testing.T) {
	cases := map[string]struct {
		sabotage Sabotage
		opt      Options
	}{
		"offset not checked":       {SabotageOffset, Options{Start: StartCold, TwoOwners: true}},
		"nonce not compared":       {SabotageNonce, Options{Start: StartCold, TwoOwners: true}},
		"ticket of another claim":  {SabotageTicket, Options{Start: StartOwned}},
		"owner not confirmed":      {SabotageConfirm, Options{Start: StartCold}},
		"dropped records ignored":  {SabotageDrop, Options{Start: StartCold, TwoOwners: true}},
		"sent order given as free": {SabotageRelease, Options{Start: StartOwned}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			opt := c.opt
			opt.Routers, opt.Keys, opt.Budget, opt.Sabotage = 3, 3, RandomBudget(), c.sabotage
			for seed := range uint64(10_000) {
				if r := Random(opt, seed, randomSteps); r.Violation != nil {
					t.Logf("seed %d: %v", seed, r.Violation)
					return
				}
			}
			t.Fatal("no schedule showed the broken rule")
		})
	}
}

func TestSearchIsDeterministic(t *testing.T) {
	opt := Options{Routers: 2, Keys: 1, Start: StartOwned, Budget: SearchBudget()}
	must.Eq(t, Search(opt, 4).States, Search(opt, 4).States)
	must.Eq(t, Random(opt, 7, 50).Counts, Random(opt, 7, 50).Counts)
}
