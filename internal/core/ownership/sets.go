package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// voterSets are the voter sets of one resource that count: the current one
// first, then those that it replaced recently or that voters reported. A
// majority is required in each of them. Two holders whose voter lists differ by
// recent changes therefore still need the vote of a common voter.
//
// A new set has a grace period, so that its voters can grant before the lease
// depends on them. If the local VM list changed, the holder relies on the
// previous set in the meantime. Voters that have dropped the previous set
// refuse, because another holder may have been elected without it. If other
// routers reported the set first, confirmations need its voters even during the
// grace period.
type voterSets struct {
	sets []voterSet
	// dropped holds the hashes of sets that this router has dropped, and
	// when.
	dropped map[VoterSetHash]time.Time
}

// voterSet is a set of voters in which a holder may need a majority.
type voterSet struct {
	voters []fleet.VM
	// hash is never zero.
	hash VoterSetHash
	// expires is the time at which a replaced or learned set is dropped; zero
	// for the current one.
	expires time.Time
	// listUntil is the time until which claims list a learned set. After that,
	// voters that still use it report it again. The set is dropped later, when
	// no reply to a claim that listed it can arrive any more.
	listUntil time.Time
	// graceEnd is the end of the grace period.
	graceEnd time.Time
	// requiredInGrace is true for a set that other routers reported first:
	// confirmations need its voters during the grace period, too.
	requiredInGrace bool
	// learned is true for a set that this router knows only from others. It is
	// not passed on, otherwise routers would keep it alive by reporting it to
	// each other.
	learned bool
}

// setCurrent makes voters the current set, which the lease depends on from
// graceEnd, and keeps the previous one until expires. It reports whether the
// current set changed.
func (s *voterSets) setCurrent(voters []fleet.VM, graceEnd, expires time.Time) bool {
	if len(s.sets) > 0 && sameVoters(s.sets[0].voters, voters) {
		return false
	}
	next := newVoterSet(voters)
	if len(s.sets) > 0 {
		s.sets[0].expires = expires
		next.graceEnd = graceEnd
	}
	if known := slices.IndexFunc(s.sets, func(old voterSet) bool { return old.hash == next.hash }); known >= 0 {
		next.graceEnd, next.requiredInGrace = s.sets[known].graceEnd, true
		s.sets = slices.Delete(s.sets, known, known+1)
	}
	s.sets = slices.Insert(s.sets, 0, next)
	delete(s.dropped, next.hash)
	return true
}

// learn adds a set that a voter reported, or extends it, and reports whether it
// is new.
func (s *voterSets) learn(voters []fleet.VM, graceEnd, listUntil, expires time.Time) bool {
	for i := range s.sets {
		if sameVoters(s.sets[i].voters, voters) {
			if s.sets[i].learned && expires.After(s.sets[i].expires) {
				s.sets[i].expires, s.sets[i].listUntil = expires, listUntil
			}
			return false
		}
	}
	set := newVoterSet(voters)
	set.graceEnd, set.expires, set.listUntil = graceEnd, expires, listUntil
	set.learned, set.requiredInGrace = true, true
	s.sets = append(s.sets, set)
	return true
}

// droppedRetention is the time for which a router knows that it has dropped a
// set.
const droppedRetention = time.Hour

// prune drops expired sets.
func (s *voterSets) prune(now time.Time) {
	s.sets = slices.DeleteFunc(s.sets, func(set voterSet) bool {
		expired := !set.expires.IsZero() && now.After(set.expires)
		if expired && !set.learned {
			s.recordDropped(set.hash, now)
		}
		return expired
	})
	for hash, at := range s.dropped {
		if now.Sub(at) > droppedRetention {
			delete(s.dropped, hash)
		}
	}
}

// recordDropped records that a set was dropped at now.
func (s *voterSets) recordDropped(hash VoterSetHash, now time.Time) {
	if s.dropped == nil {
		s.dropped = make(map[VoterSetHash]time.Time)
	}
	s.dropped[hash] = now
}

// reliesOnDropped reports whether a claim relies on a set that this router
// has dropped. A claim lists the set that it relies on first.
func (s *voterSets) reliesOnDropped(sets []VoterSetHash) bool {
	if len(sets) == 0 {
		return false
	}
	_, found := s.dropped[sets[0]]
	return found
}

// current returns the voters of the current set, nil if there is none.
func (s *voterSets) current() []fleet.VM {
	if len(s.sets) == 0 {
		return nil
	}
	return s.sets[0].voters
}

// all returns the voters of all sets, each once.
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

// hashes returns the hashes of the sets that claims list now. The set that the
// holder relies on comes first.
func (s *voterSets) hashes(now time.Time) []VoterSetHash {
	out := make([]VoterSetHash, 0, len(s.sets))
	relied := slices.IndexFunc(s.sets, func(set voterSet) bool { return !set.learned && !set.inGrace(now) })
	if relied >= 0 {
		out = append(out, s.sets[relied].hash)
	}
	for i := range s.sets {
		if i != relied && (!s.sets[i].learned || now.Before(s.sets[i].listUntil)) {
			out = append(out, s.sets[i].hash)
		}
	}
	return out
}

// inGrace reports whether the lease does not depend on the set yet.
func (set *voterSet) inGrace(now time.Time) bool { return now.Before(set.graceEnd) }

// unlisted returns the sets that this router knows at first hand and that are
// not among the listed ones.
func (s *voterSets) unlisted(listed []VoterSetHash) [][]fleet.VM {
	var out [][]fleet.VM
	for _, set := range s.sets {
		if !set.learned && !slices.Contains(listed, set.hash) {
			out = append(out, set.voters)
		}
	}
	return out
}

// newVoterSet returns a set with its hash, which does not depend on the order
// of voters.
func newVoterSet(voters []fleet.VM) voterSet {
	var sum uint64
	for _, vm := range voters {
		sum += xxhash.Sum64String(string(vm))
	}
	return voterSet{voters: voters, hash: VoterSetHash(sum>>32) | 1}
}

// majority reports whether ok is true for a majority of every set. It is false
// if there is no set.
func (s *voterSets) majority(ok func(fleet.VM) bool) bool {
	if len(s.current()) == 0 {
		return false
	}
	return !slices.ContainsFunc(s.sets, func(set voterSet) bool { return !set.majority(ok) })
}

// confirmingMajority is like majority, but skips sets in their grace period
// unless they are required in it.
func (s *voterSets) confirmingMajority(now time.Time, ok func(fleet.VM) bool) bool {
	if len(s.current()) == 0 {
		return false
	}
	return !slices.ContainsFunc(s.sets, func(set voterSet) bool {
		return (set.requiredInGrace || !set.inGrace(now)) && !set.majority(ok)
	})
}

// anyMajority reports whether ok is true for a majority of at least one set.
func (s *voterSets) anyMajority(ok func(fleet.VM) bool) bool {
	return slices.ContainsFunc(s.sets, func(set voterSet) bool { return set.majority(ok) })
}

// majority reports whether ok is true for a majority of the set.
func (set *voterSet) majority(ok func(fleet.VM) bool) bool {
	count := 0
	for _, vm := range set.voters {
		if ok(vm) {
			count++
		}
	}
	return count >= quorum(len(set.voters))
}

// quorum returns the size of a majority of n voters.
func quorum(n int) int { return n/2 + 1 }

// sameVoters reports whether a and b have the same members in any order.
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
