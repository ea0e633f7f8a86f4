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

// fixedTargets is an owner service with a fixed list of candidates. It reports
// redirected, if set, as the target of every chat.
type fixedTargets struct {
	targets
	all        []placement.Candidate
	redirected fleet.Target
}

func (f *fixedTargets) Candidates(placement.Class) []placement.Candidate { return f.all }

func (f *fixedTargets) ChatTarget(uint64) (fleet.Target, bool) {
	return f.redirected, f.redirected != ""
}

// fixedOwners reports vm as the owner of every resource, or no owner if vm is
// empty.
type fixedOwners struct {
	owner.Ownership
	vm fleet.VM
}

func (f fixedOwners) Owner(owner.Resource) (fleet.VM, bool) { return f.vm, f.vm != "" }

// TestExplainReasons checks the chosen target and the reasons that Explain gives
// for the loads and owners of two targets.
func TestExplainReasons(t *testing.T) {
	free := placement.Candidate{Slots: 8, Capacity: 8, Ready: true}
	full := placement.Candidate{Slots: 8, Capacity: 8, Running: 8, Queued: 2, Ready: true}
	atBound := placement.Candidate{Slots: 8, Capacity: 8, Running: 7, Ready: true}
	notReady := placement.Candidate{Slots: 8, Capacity: 8}
	cases := []struct {
		name          string
		first, second placement.Candidate
		vm            fleet.VM
		redirected    bool
		chosen        int
		reason, step  string
	}{
		{"free", free, free, "vm-2", false, 0, "hashes to this target, and it has room", "has room"},
		{"first full", full, free, "vm-2", false, 1, "has no room; this is the next target", "full: 8 of 8"},
		{"first at the bound", atBound, free, "vm-2", false, 1, "has no room", "at the bound of 1.25"},
		{"both full", full, full, "vm-2", false, 0, "this one has the shortest wait", "full"},
		{"no digests", notReady, notReady, "vm-2", false, -1, "refused with a time to retry after", "no recent digest"},
		{"no owners", free, free, "", false, 0, "it has room", "no VM owns it"},
		{"redirected earlier", full, free, "vm-1", true, 1, "was redirected to b earlier", "full"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.first.Target, c.first.Hash = "a", 1
			c.second.Target, c.second.Hash = "b", 2
			f := &fixedTargets{all: []placement.Candidate{c.first, c.second}}
			if c.redirected {
				f.redirected = "b"
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
			must.StrContains(t, out.Steps[0].Reason, c.step)
		})
	}
}

// fixedOrder is a policy that ranks candidates in the given order.
type fixedOrder struct{ placement.Bounded }

func (fixedOrder) Rank(_ *placement.Request, candidates []placement.Candidate, out []int) []int {
	for i := range candidates {
		out = append(out, i)
	}
	return out
}
