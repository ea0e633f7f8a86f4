package route

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/explain"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

// fixedTargets are candidates that tests set.
type fixedTargets struct {
	targets
	all   []placement.Candidate
	moved fleet.Target
}

func (f *fixedTargets) Candidates(placement.Class) []placement.Candidate { return f.all }

func (f *fixedTargets) ChatTarget(uint64) (fleet.Target, bool) { return f.moved, f.moved != "" }

// fixedOwners let one VM own everything.
type fixedOwners struct {
	owner.Ownership
	vm fleet.VM
}

func (f fixedOwners) Owner(owner.Resource) (fleet.VM, bool) { return f.vm, f.vm != "" }

// TestExplainNamesTheReason goes through the states of two targets.
func TestExplainNamesTheReason(t *testing.T) {
	free := placement.Candidate{Slots: 8, Capacity: 8, Ready: true}
	full := placement.Candidate{Slots: 8, Capacity: 8, Running: 8, Queued: 2, Ready: true}
	above := placement.Candidate{Slots: 8, Capacity: 8, Running: 7, Ready: true}
	silent := placement.Candidate{Slots: 8, Capacity: 8}
	cases := []struct {
		name          string
		first, second placement.Candidate
		vm            fleet.VM
		moved         bool
		chosen        int
		reason, why   string
	}{
		{"free", free, free, "vm-2", false, 0, "by its hash, and there is room", "has room"},
		{"first full", full, free, "vm-2", false, 1, "has no room; this is the next", "full: 8 of 8"},
		{"first above the bound", above, free, "vm-2", false, 1, "has no room", "at the bound of 1.25"},
		{"both full", full, full, "vm-2", false, 0, "the wait is shortest", "full"},
		{"silent owners", silent, silent, "vm-2", false, -1, "callers are told when", "no fresh digest"},
		{"no owners", free, free, "", false, 0, "there is room", "no VM owns it"},
		{"moved before", full, free, "vm-1", true, 1, "was sent to b before", "full"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.first.Target, c.first.Hash = "a", 1
			c.second.Target, c.second.Hash = "b", 2
			f := &fixedTargets{all: []placement.Candidate{c.first, c.second}}
			if c.moved {
				f.moved = "b"
			}
			cfg := new(servicetest.Config)
			cfg.Set(config.Defaults())
			s := &Service{
				config: cfg, targets: f, owners: fixedOwners{vm: c.vm}, self: "vm-1",
				policy: fixedOrder{}, rules: placement.Bounded{}.Rules(), random: rand.New(rand.NewPCG(1, 1)),
			}
			out, err := s.Explain(t.Context(), explain.Question{Model: "m", Chat: "chat"})
			must.NoError(t, err)
			want := fleet.Target("")
			if c.chosen >= 0 {
				want = f.all[c.chosen].Target
			}
			must.Eq(t, want, out.Chosen)
			must.StrContains(t, out.Reason, c.reason)
			must.StrContains(t, out.Steps[0].Reason, c.why)
		})
	}
}

// fixedOrder ranks candidates as they come.
type fixedOrder struct{ placement.Bounded }

func (fixedOrder) Rank(_ *placement.Request, candidates []placement.Candidate, out []int) []int {
	for i := range candidates {
		out = append(out, i)
	}
	return out
}
