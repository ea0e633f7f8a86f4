package hubs_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// loadTimes holds, for each router, when its last known load was counted.
type loadTimes map[fleet.VM]time.Time

func (l loadTimes) merge(other loadTimes) {
	for vm, at := range other {
		if at.After(l[vm]) {
			l[vm] = at
		}
	}
}

// message is a digest in transit.
type message struct {
	at       time.Time
	from, to fleet.VM
	loads    loadTimes
}

// simulatedSite simulates the digests between the routers of a site.
type simulatedSite struct {
	now       time.Time
	random    *rand.Rand
	trees     map[fleet.VM]*hubs.Tree
	timers    map[fleet.VM]*hubs.DigestTimer
	known     map[fleet.VM]loadTimes
	order     []fleet.VM
	inTransit []message
	silentVM  fleet.VM
	sent      map[fleet.VM]int
}

func newSimulatedSite(n int, seed uint64) *simulatedSite {
	s := &simulatedSite{
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 7)),
		trees:  make(map[fleet.VM]*hubs.Tree),
		timers: make(map[fleet.VM]*hubs.DigestTimer),
		known:  make(map[fleet.VM]loadTimes),
		sent:   make(map[fleet.VM]int),
	}
	view := site(n)
	for _, m := range view {
		s.order = append(s.order, m.VM)
		s.trees[m.VM] = hubs.New(m.VM, view)
		startTime := s.now.Add(time.Duration(s.random.IntN(1000)) * time.Millisecond)
		s.timers[m.VM] = hubs.NewDigestTimer(startTime, s.trees[m.VM])
		s.known[m.VM] = make(loadTimes)
	}
	return s
}

// delay returns a network delay: 1 to 3 ms within a data centre, and 5 to 20 ms
// between data centres.
func (s *simulatedSite) delay(remote bool) time.Duration {
	if remote {
		return time.Duration(5+s.random.IntN(16)) * time.Millisecond
	}
	return time.Duration(1+s.random.IntN(3)) * time.Millisecond
}

func (s *simulatedSite) send(from fleet.VM, to []fleet.VM, loads loadTimes) {
	if from == s.silentVM {
		return
	}
	for _, vm := range to {
		copied := make(loadTimes)
		copied.merge(loads)
		s.inTransit = append(s.inTransit, message{s.now.Add(s.delay(s.trees[from].IsRemoteHub(vm))), from, vm, copied})
		s.sent[from]++
	}
}

// step simulates one millisecond.
func (s *simulatedSite) step() {
	s.now = s.now.Add(time.Millisecond)
	kept := s.inTransit[:0]
	var arrived []message
	for _, m := range s.inTransit {
		if m.at.After(s.now) {
			kept = append(kept, m)
		} else {
			arrived = append(arrived, m)
		}
	}
	s.inTransit = kept
	for _, m := range arrived {
		s.known[m.to].merge(m.loads)
		s.timers[m.to].DigestReceived(s.now, m.from)
	}
	for _, vm := range s.order {
		s.tick(vm)
	}
}

func (s *simulatedSite) tick(vm fleet.VM) {
	tree, due := s.trees[vm], s.timers[vm].TakeDue(s.now)
	if due.Own {
		s.known[vm][vm] = s.now
		loads := s.known[vm]
		if !tree.IsHub() {
			loads = loadTimes{vm: s.now}
		}
		s.send(vm, tree.ForwardTo(""), loads)
	}
	if due.Sum {
		s.send(vm, tree.Members(), s.known[vm])
	}
}

// oldest returns the greatest age of a load that any router has of another, without
// the silent router.
func (s *simulatedSite) oldest() time.Duration {
	worst := time.Duration(0)
	for _, vm := range s.order {
		for _, other := range s.order {
			if other != vm && other != s.silentVM && vm != s.silentVM {
				worst = max(worst, s.now.Sub(s.known[vm][other]))
			}
		}
	}
	return worst
}

// TestRelayedLoadsStayFresh checks that no load known to any router is older than
// MaxRelayedAge, whatever the times at which the routers start, and that members
// send about four digests a second.
func TestRelayedLoadsStayFresh(t *testing.T) {
	for _, n := range []int{20, 60} {
		for seed := range uint64(2) {
			s := newSimulatedSite(n, seed)
			for range 2000 {
				s.step()
			}
			clear(s.sent)
			worst := time.Duration(0)
			for range 1000 {
				s.step()
				worst = max(worst, s.oldest())
			}
			must.LessEq(t, hubs.MaxRelayedAge, worst, must.Sprint(n, seed))
			for vm, sent := range s.sent {
				if !s.trees[vm].IsHub() {
					must.LessEq(t, 5, sent, must.Sprint("four digests a second", n, seed, vm))
				}
			}
		}
	}
}

// TestDigestsContinueWithoutLeadHub silences the lead hub: the other data centres
// must continue at their own period until another hub leads.
func TestDigestsContinueWithoutLeadHub(t *testing.T) {
	s := newSimulatedSite(60, 1)
	for range 2000 {
		s.step()
	}
	s.silentVM = hubs.RankAlive(site(60))[0].VM
	for range 1000 {
		s.step()
	}
	leadDataCentre := ""
	for _, m := range site(60) {
		if m.VM == s.silentVM {
			leadDataCentre = string(m.DataCentre)
		}
	}
	worst := time.Duration(0)
	for _, m := range site(60) {
		for _, o := range site(60) {
			if string(m.DataCentre) != leadDataCentre && string(o.DataCentre) != leadDataCentre {
				worst = max(worst, s.now.Sub(s.known[m.VM][o.VM]))
			}
		}
	}
	must.Less(t, 3*hubs.DigestPeriod, worst)
}

func TestDigestsKeepMinInterval(t *testing.T) {
	view := site(60)
	lead := hubs.RankAlive(view)[0].VM
	for i := range view {
		tree := hubs.New(view[i].VM, view)
		now := time.Unix(1_700_000_000, 0)
		timer := hubs.NewDigestTimer(now, tree)
		sent := 0
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			timer.DigestReceived(now, lead)
			timer.DigestReceived(now, tree.Parent())
			if timer.TakeDue(now).Own {
				sent++
			}
		}
		must.LessEq(t, 8, sent, must.Sprint("hub: ", tree.IsHub()))
	}
}
