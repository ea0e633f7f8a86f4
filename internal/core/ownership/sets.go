package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// voterSets are the voter sets of one resource that count now: the current one
// first, then those that it replaced lately or that voters have told of. A
// majority is needed in each of them, so two holders whose views of the voters
// differ by recent changes still depend on a voter in common.
type voterSets struct {
	sets []voterSet
}

type voterSet struct {
	voters []fleet.VM
	// until is the time to forget a replaced set; zero for the current one.
	until time.Time
}

// setCurrent makes voters the current set and keeps the one before until.
func (s *voterSets) setCurrent(voters []fleet.VM, until time.Time) {
	if len(s.sets) > 0 && sameVoters(s.sets[0].voters, voters) {
		return
	}
	if len(s.sets) > 0 && len(s.sets[0].voters) > 0 {
		s.sets[0].until = until
	}
	s.sets = slices.DeleteFunc(s.sets, func(old voterSet) bool { return sameVoters(old.voters, voters) })
	s.sets = slices.Insert(s.sets, 0, voterSet{voters: voters})
}

// learn adds a set that a voter counts.
func (s *voterSets) learn(voters []fleet.VM, until time.Time) {
	for i := range s.sets {
		if sameVoters(s.sets[i].voters, voters) {
			if i > 0 && until.After(s.sets[i].until) {
				s.sets[i].until = until
			}
			return
		}
	}
	s.sets = append(s.sets, voterSet{voters: voters, until: until})
}

// prune forgets replaced sets whose time is over.
func (s *voterSets) prune(now time.Time) {
	s.sets = slices.DeleteFunc(s.sets, func(set voterSet) bool {
		return !set.until.IsZero() && now.After(set.until)
	})
}

// current returns the current set.
func (s *voterSets) current() []fleet.VM {
	if len(s.sets) == 0 {
		return nil
	}
	return s.sets[0].voters
}

// all returns the voters of all sets.
func (s *voterSets) all() []fleet.VM {
	var out []fleet.VM
	for _, set := range s.sets {
		for _, vm := range set.voters {
			if !slices.Contains(out, vm) {
				out = append(out, vm)
			}
		}
	}
	return out
}

// lists returns the sets as they go into a message.
func (s *voterSets) lists() [][]fleet.VM {
	out := make([][]fleet.VM, len(s.sets))
	for i, set := range s.sets {
		out[i] = set.voters
	}
	return out
}

// hash identifies the sets whatever their order.
func (s *voterSets) hash() uint32 {
	var sum uint64
	for _, set := range s.sets {
		var one uint64
		for _, vm := range set.voters {
			one += xxhash.Sum64String(string(vm))
		}
		sum += one * 0x9e3779b97f4a7c15
	}
	return uint32(sum >> 32)
}

// majority reports whether ok holds for a majority of every set. It is false
// when there is no set.
func (s *voterSets) majority(ok func(fleet.VM) bool) bool {
	if len(s.current()) == 0 {
		return false
	}
	for _, set := range s.sets {
		count := 0
		for _, vm := range set.voters {
			if ok(vm) {
				count++
			}
		}
		if count < quorum(len(set.voters)) {
			return false
		}
	}
	return true
}

func quorum(n int) int { return n/2 + 1 }

func sameVoters(a, b []fleet.VM) bool {
	if len(a) != len(b) {
		return false
	}
	for _, vm := range a {
		if !slices.Contains(b, vm) {
			return false
		}
	}
	return true
}
