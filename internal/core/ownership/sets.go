package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// voterSets are the voter sets of one resource that count now: the current one
// first, then those that it replaced lately or that voters have told of. A
// majority is needed in each of them, so two holders whose views of the voters
// differ by recent changes still depend on a voter in common.
//
// A holder that learns of a new set gets a short grace to be granted by its
// voters before the tenure depends on them. When its own list changed, it relies
// on the set before meanwhile; voters that have forgotten that one refuse,
// because another holder may have been elected without it. When others told of
// the set, nothing is confirmed without its voters in the grace either.
type voterSets struct {
	sets []voterSet
	// gone holds the hashes of sets that this router has forgotten.
	gone map[VoterSetHash]time.Time
}

type voterSet struct {
	voters []fleet.VM
	// hash is not zero.
	hash VoterSetHash
	// until is the time to forget a replaced set; zero for the current one.
	until time.Time
	// nameUntil is the time from which claims no longer name a told set, so
	// that voters tell of it again if they still count it. It is forgotten
	// later, when no answer to a claim that named it is waited for.
	nameUntil time.Time
	// countFrom is the end of the grace.
	countFrom time.Time
	// strict is true for a set of which others told first: nothing is confirmed
	// without its voters, in the grace either.
	strict bool
	// told is true for a set that only others have told of. It is not passed
	// on, or routers would keep it alive among each other.
	told bool
}

// setCurrent makes voters the current set, which counts for holding from the
// end of its grace, and keeps the one before until. It reports whether that was
// a change.
func (s *voterSets) setCurrent(voters []fleet.VM, countFrom, until time.Time) bool {
	if len(s.sets) > 0 && sameVoters(s.sets[0].voters, voters) {
		return false
	}
	next := newSet(voters)
	if len(s.sets) > 0 {
		s.sets[0].until = until
		next.countFrom = countFrom
	}
	if known := slices.IndexFunc(s.sets, func(old voterSet) bool { return old.hash == next.hash }); known >= 0 {
		next.countFrom, next.strict = s.sets[known].countFrom, true
		s.sets = slices.Delete(s.sets, known, known+1)
	}
	s.sets = slices.Insert(s.sets, 0, next)
	delete(s.gone, next.hash)
	return true
}

// learn adds a set that a voter counts and reports whether it is new.
func (s *voterSets) learn(voters []fleet.VM, countFrom, nameUntil, until time.Time) bool {
	for i := range s.sets {
		if sameVoters(s.sets[i].voters, voters) {
			if s.sets[i].told && until.After(s.sets[i].until) {
				s.sets[i].until, s.sets[i].nameUntil = until, nameUntil
			}
			return false
		}
	}
	set := newSet(voters)
	set.countFrom, set.until, set.nameUntil = countFrom, until, nameUntil
	set.told, set.strict = true, true
	s.sets = append(s.sets, set)
	return true
}

// goneFor is the time for which a router knows that it has forgotten a set.
const goneFor = time.Hour

// prune forgets replaced sets whose time is over.
func (s *voterSets) prune(now time.Time) {
	s.sets = slices.DeleteFunc(s.sets, func(set voterSet) bool {
		over := !set.until.IsZero() && now.After(set.until)
		if over && !set.told {
			s.bury(set.hash, now)
		}
		return over
	})
	for hash, at := range s.gone {
		if now.Sub(at) > goneFor {
			delete(s.gone, hash)
		}
	}
}

func (s *voterSets) bury(hash VoterSetHash, now time.Time) {
	if s.gone == nil {
		s.gone = make(map[VoterSetHash]time.Time)
	}
	s.gone[hash] = now
}

// outdated reports whether a claim relies on a set that this router has
// forgotten.
func (s *voterSets) outdated(sets []VoterSetHash) bool {
	if len(sets) == 0 {
		return false
	}
	_, gone := s.gone[sets[0]]
	return gone
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

// hashes identifies the sets that claims name now, the one that the holder
// relies on first.
func (s *voterSets) hashes(now time.Time) []VoterSetHash {
	out := make([]VoterSetHash, 0, len(s.sets))
	relied := slices.IndexFunc(s.sets, func(set voterSet) bool { return !set.told && !set.grace(now) })
	if relied >= 0 {
		out = append(out, s.sets[relied].hash)
	}
	for i := range s.sets {
		if i != relied && (!s.sets[i].told || now.Before(s.sets[i].nameUntil)) {
			out = append(out, s.sets[i].hash)
		}
	}
	return out
}

// grace reports whether the set does not count for holding yet.
func (set *voterSet) grace(now time.Time) bool { return now.Before(set.countFrom) }

// missing returns the sets that this router has seen itself and that are not
// among the known ones.
func (s *voterSets) missing(known []VoterSetHash) [][]fleet.VM {
	var out [][]fleet.VM
	for _, set := range s.sets {
		if !set.told && !slices.Contains(known, set.hash) {
			out = append(out, set.voters)
		}
	}
	return out
}

// newSet returns a set with its hash, which does not depend on the order.
func newSet(voters []fleet.VM) voterSet {
	var sum uint64
	for _, vm := range voters {
		sum += xxhash.Sum64String(string(vm))
	}
	return voterSet{voters: voters, hash: VoterSetHash(sum>>32) | 1}
}

// majority reports whether ok holds for a majority of every set. It is false
// when there is no set.
func (s *voterSets) majority(ok func(fleet.VM) bool) bool {
	if len(s.current()) == 0 {
		return false
	}
	return !slices.ContainsFunc(s.sets, func(set voterSet) bool { return !set.majority(ok) })
}

// confirmingMajority is majority without a current set that is in its grace.
func (s *voterSets) confirmingMajority(now time.Time, ok func(fleet.VM) bool) bool {
	if len(s.current()) == 0 {
		return false
	}
	return !slices.ContainsFunc(s.sets, func(set voterSet) bool {
		return (set.strict || !set.grace(now)) && !set.majority(ok)
	})
}

// anyMajority reports whether ok holds for a majority of some set.
func (s *voterSets) anyMajority(ok func(fleet.VM) bool) bool {
	return slices.ContainsFunc(s.sets, func(set voterSet) bool { return set.majority(ok) })
}

func (set *voterSet) majority(ok func(fleet.VM) bool) bool {
	count := 0
	for _, vm := range set.voters {
		if ok(vm) {
			count++
		}
	}
	return count >= quorum(len(set.voters))
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
