package hubs_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// figures holds, for each router, when its work was counted last.
type figures map[fleet.VM]time.Time

func (f figures) merge(other figures) {
	for vm, at := range other {
		if at.After(f[vm]) {
			f[vm] = at
		}
	}
}

// message is a digest under way.
type message struct {
	at       time.Time
	from, to fleet.VM
	told     figures
}

// beatSite is a site of routers that tell each other digests.
type beatSite struct {
	now    time.Time
	random *rand.Rand
	trees  map[fleet.VM]*hubs.Tree
	beats  map[fleet.VM]*hubs.DigestTimer
	known  map[fleet.VM]figures
	order  []fleet.VM
	flight []message
	silent fleet.VM
	sent   map[fleet.VM]int
}

func newBeatSite(n int, seed uint64) *beatSite {
	s := &beatSite{
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 7)),
		trees:  make(map[fleet.VM]*hubs.Tree),
		beats:  make(map[fleet.VM]*hubs.DigestTimer),
		known:  make(map[fleet.VM]figures),
		sent:   make(map[fleet.VM]int),
	}
	view := site(n)
	for _, m := range view {
		s.order = append(s.order, m.VM)
		s.trees[m.VM] = hubs.New(m.VM, view)
		began := s.now.Add(time.Duration(s.random.IntN(1000)) * time.Millisecond)
		s.beats[m.VM] = hubs.NewDigestTimer(began, s.trees[m.VM])
		s.known[m.VM] = make(figures)
	}
	return s
}

// delay is 1 to 3 ms within a data centre, and up to 20 ms between them.
func (s *beatSite) delay(far bool) time.Duration {
	if far {
		return time.Duration(5+s.random.IntN(16)) * time.Millisecond
	}
	return time.Duration(1+s.random.IntN(3)) * time.Millisecond
}

func (s *beatSite) send(from fleet.VM, to []fleet.VM, told figures) {
	if from == s.silent {
		return
	}
	for _, vm := range to {
		copied := make(figures)
		copied.merge(told)
		s.flight = append(s.flight, message{s.now.Add(s.delay(s.trees[from].IsRemoteHub(vm))), from, vm, copied})
		s.sent[from]++
	}
}

// step plays one millisecond.
func (s *beatSite) step() {
	s.now = s.now.Add(time.Millisecond)
	kept := s.flight[:0]
	var arrived []message
	for _, m := range s.flight {
		if m.at.After(s.now) {
			kept = append(kept, m)
		} else {
			arrived = append(arrived, m)
		}
	}
	s.flight = kept
	for _, m := range arrived {
		s.known[m.to].merge(m.told)
		s.beats[m.to].DigestReceived(s.now, m.from)
	}
	for _, vm := range s.order {
		s.tick(vm)
	}
}

func (s *beatSite) tick(vm fleet.VM) {
	tree, due := s.trees[vm], s.beats[vm].TakeDue(s.now)
	if due.Own {
		s.known[vm][vm] = s.now
		told := s.known[vm]
		if !tree.IsHub() {
			told = figures{vm: s.now}
		}
		s.send(vm, tree.ForwardTo(""), told)
	}
	if due.Sum {
		s.send(vm, tree.Members(), s.known[vm])
	}
}

// oldest is the age of the oldest figure that a router has of one that talks.
func (s *beatSite) oldest() time.Duration {
	worst := time.Duration(0)
	for _, vm := range s.order {
		for _, other := range s.order {
			if other != vm && other != s.silent && vm != s.silent {
				worst = max(worst, s.now.Sub(s.known[vm][other]))
			}
		}
	}
	return worst
}

// TestFiguresAreFreshAcrossTheTree bounds the age of what any router knows of
// any other by RelayedAge, from whatever moments the routers start.
func TestFiguresAreFreshAcrossTheTree(t *testing.T) {
	for _, n := range []int{20, 60} {
		for seed := range uint64(2) {
			s := newBeatSite(n, seed)
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

// TestBeatGoesOnWithoutTheLead silences the lead: the others go on at a period
// of their own until another one leads.
func TestBeatGoesOnWithoutTheLead(t *testing.T) {
	s := newBeatSite(60, 1)
	for range 2000 {
		s.step()
	}
	s.silent = hubs.RankAlive(site(60))[0].VM
	for range 1000 {
		s.step()
	}
	home := ""
	for _, m := range site(60) {
		if m.VM == s.silent {
			home = string(m.DataCentre)
		}
	}
	worst := time.Duration(0)
	for _, m := range site(60) {
		for _, o := range site(60) {
			if string(m.DataCentre) != home && string(o.DataCentre) != home {
				worst = max(worst, s.now.Sub(s.known[m.VM][o.VM]))
			}
		}
	}
	must.Less(t, 3*hubs.DigestPeriod, worst)
}

func TestBeatKeepsItsDistance(t *testing.T) {
	view := site(60)
	lead := hubs.RankAlive(view)[0].VM
	for i := range view {
		tree := hubs.New(view[i].VM, view)
		now := time.Unix(1_700_000_000, 0)
		b := hubs.NewDigestTimer(now, tree)
		sent := 0
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			b.DigestReceived(now, lead)
			b.DigestReceived(now, tree.Parent())
			if b.TakeDue(now).Own {
				sent++
			}
		}
		must.LessEq(t, 8, sent, must.Sprint("hub: ", tree.IsHub()))
	}
}
