package slotqueue

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// grantorModel checks what a grantor decides against what it may.
type grantorModel struct {
	g        *Grantor
	now      time.Time
	slots    map[fleet.Ref]int
	nextID   uint64
	waiting  map[uint64]Request
	granted  map[uint64]Request
	byTarget map[uint64]fleet.Ref
}

// take checks decisions.
func (m *grantorModel) take(t *rapid.T, decisions ...Decision) {
	for _, d := range decisions {
		r, ok := m.waiting[d.Request]
		must.True(t, ok, must.Sprintf("a decision on request %d, which does not wait", d.Request))
		switch d.State {
		case Granted:
			must.SliceContains(t, r.Targets, d.Target)
			must.True(t, m.now.Before(r.Deadline), must.Sprint("a grant after the deadline"))
			must.MapNotContainsKey(t, m.granted, d.Request)
			delete(m.waiting, d.Request)
			m.granted[d.Request], m.byTarget[d.Request] = r, d.Target
		case Refused:
			must.Positive(t, d.RetryAfter)
			delete(m.waiting, d.Request)
		case Waiting:
		}
	}
	m.check(t)
}

func (m *grantorModel) check(t *rapid.T) {
	perTarget := make(map[fleet.Ref]int)
	for id, r := range m.granted {
		if !m.now.Before(r.Deadline) {
			continue // it may have expired
		}
		perTarget[m.byTarget[id]]++
	}
	for ref, n := range perTarget {
		must.LessEq(t, m.slots[ref]+allowance, n, must.Sprint("more grants than slots and allowance"))
	}
	must.Eq(t, len(m.waiting), m.g.Waiting())
}

func (m *grantorModel) ask(t *rapid.T) {
	m.nextID++
	objective := m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "objective")) * time.Millisecond)
	r := Request{
		ID: m.nextID, Account: fleet.Account(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Returning: rapid.Bool().Draw(t, "returning"),
		Objective: objective, Deadline: objective.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "rest")) * time.Millisecond),
		Targets: rapid.SampledFrom([][]fleet.Ref{{1, 2, 3}, {1}, {2, 3}}).Draw(t, "targets"),
	}
	m.waiting[r.ID] = r
	m.take(t, m.g.Ask(m.now, r))
}

func (m *grantorModel) release(t *rapid.T) {
	if len(m.granted) == 0 {
		t.Skip("no grant")
	}
	ids := make([]uint64, 0, len(m.granted))
	for id := uint64(1); id <= m.nextID; id++ {
		if _, ok := m.granted[id]; ok {
			ids = append(ids, id)
		}
	}
	id := rapid.SampledFrom(ids).Draw(t, "grant")
	delete(m.granted, id)
	f := Figures{Running: rapid.IntRange(-1, 50).Draw(t, "running"), Slowdown: rapid.Float64Range(0, 50).Draw(t, "slowdown")}
	m.take(t, m.g.Release(m.now, Release{
		Request: id, Took: time.Duration(rapid.IntRange(0, 500).Draw(t, "took")) * time.Millisecond,
		Rejected: rapid.Bool().Draw(t, "rejected"), Figures: &f,
	})...)
}

func (m *grantorModel) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "passed")) * time.Millisecond)
	m.take(t, m.g.Check(m.now)...)
	for id, r := range m.waiting {
		must.True(t, m.now.Before(r.Deadline), must.Sprintf("request %d waits past its deadline", id))
	}
	for id, r := range m.granted {
		if !m.now.Before(r.Deadline) {
			delete(m.granted, id)
		}
	}
	must.Eq(t, len(m.granted), m.g.Outstanding(), must.Sprint("a grant that was neither returned nor has expired"))
}

// TestGrantorKeepsItsBounds guards against more grants than a target can run, requests that
// wait past their deadline, and grants that are lost.
func TestGrantorKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &grantorModel{
			g: NewGrantor(), now: time.Unix(0, 0), slots: map[fleet.Ref]int{1: 1, 2: 2, 3: 6},
			waiting: make(map[uint64]Request), granted: make(map[uint64]Request), byTarget: make(map[uint64]fleet.Ref),
		}
		m.g.SetTargets(m.now, []Target{{Ref: 1, Slots: 1}, {Ref: 2, Slots: 2}, {Ref: 3, Slots: 6}})
		t.Repeat(map[string]func(*rapid.T){"ask": m.ask, "release": m.release, "pass": m.pass})
	})
}

// TestAccountsShareSlots guards against an account that floods the queue starving another one.
func TestAccountsShareSlots(t *testing.T) {
	now := time.Unix(0, 0)
	g := NewGrantor()
	g.SetTargets(now, []Target{{Ref: 1, Slots: 1}})
	accounts := make(map[uint64]fleet.Account)
	grants := []Decision{}
	for id := uint64(1); id <= 60; id++ {
		account := fleet.Account("hot")
		if id > 50 {
			account = "calm"
		}
		accounts[id] = account
		d := g.Ask(now, Request{ID: id, Account: account, Objective: now.Add(10 * time.Second), Deadline: now.Add(10 * time.Second), Targets: []fleet.Ref{1}})
		must.NotEq(t, Refused, d.State)
		if d.State == Granted {
			grants = append(grants, d)
		}
	}
	calm, served := 0, 0
	for ; calm < 10 && len(grants) > 0; served++ {
		if accounts[grants[0].Request] == "calm" {
			calm++
		}
		now = now.Add(50 * time.Millisecond)
		grants = append(grants[1:], g.Release(now, Release{Request: grants[0].Request, Took: 50 * time.Millisecond})...)
	}
	must.Eq(t, 10, calm)
	must.LessEq(t, 20+1+allowance+1, served, must.Sprint("a calm account gets every second slot"))
}

// TestHopelessRequestsAreRefusedAtOnce guards against requests that wait until their deadline
// only to be refused.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	g := NewGrantor()
	g.SetTargets(now, []Target{{Ref: 1, Slots: 1}})
	refused := 0
	for id := uint64(1); id <= 100; id++ {
		d := g.Ask(now, Request{ID: id, Account: "a", Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Second), Targets: []fleet.Ref{1}})
		if d.State == Refused {
			refused++
			must.Eq(t, TooLate, d.Reason)
		}
	}
	// One slot of 50 ms ends 20 requests within a second.
	must.Between(t, 100-20-allowance-1, refused, 100-5)
}

// TestReturningCallersGoAhead guards against a caller that was refused before standing behind
// the later requests of its account.
func TestReturningCallersGoAhead(t *testing.T) {
	now := time.Unix(0, 0)
	g := NewGrantor()
	g.SetTargets(now, []Target{{Ref: 1, Slots: 1}})
	var first Decision
	for id := uint64(1); id <= 10; id++ {
		d := g.Ask(now, Request{
			ID: id, Account: "a", Returning: id == 10, Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour), Targets: []fleet.Ref{1},
		})
		if id == 1 {
			first = d
		}
	}
	next := g.Release(now, Release{Request: first.Request})
	must.Len(t, 1, next)
	must.Eq(t, 10, next[0].Request)
}

// TestShortPauseOfAllTargetsRefusesNobody guards against a queue that is refused as too late since
// all targets have turned a request away and get none for a few milliseconds.
func TestShortPauseOfAllTargetsRefusesNobody(t *testing.T) {
	now := time.Unix(0, 0)
	g := NewGrantor()
	g.SetTargets(now, []Target{{Ref: 1, Slots: 6}, {Ref: 2, Slots: 6}, {Ref: 3, Slots: 6}})
	ask := func(id uint64) Decision {
		return g.Ask(now, Request{ID: id, Account: "a", Objective: now.Add(150 * time.Millisecond), Deadline: now.Add(time.Second), Targets: []fleet.Ref{1, 2, 3}})
	}
	for id := uint64(1); id <= 18; id++ {
		must.Eq(t, Granted, ask(id).State)
	}
	now = now.Add(time.Millisecond)
	for id := uint64(1); id <= 18; id++ {
		g.Release(now, Release{Request: id, Rejected: true})
	}
	must.Eq(t, Waiting, ask(100).State)
	now = now.Add(minRejectPause)
	decisions := g.Check(now)
	must.Len(t, 1, decisions)
	must.Eq(t, Granted, decisions[0].State)
}

// TestSilentTargetGetsNoProbesInSuccession guards against a silent target that keeps getting
// requests which other targets have to take over.
func TestSilentTargetGetsNoProbesInSuccession(t *testing.T) {
	now := time.Unix(0, 0)
	g := NewGrantor()
	g.SetTargets(now, []Target{{Ref: 1, Slots: 6}, {Ref: 2, Slots: 6}})
	probes := 0
	for id := uint64(1); id <= 2000; id++ {
		now = now.Add(5 * time.Millisecond)
		d := g.Ask(now, Request{
			ID: id, From: fleet.VM(rune('a' + id%16)), Account: "a", Repeatable: true,
			Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(3 * time.Second), Targets: []fleet.Ref{1, 2},
		})
		switch {
		case d.State != Granted:
		case d.Target == 1:
			probes++
			now = now.Add(600 * time.Millisecond)
			g.Check(now)
			g.Release(now, Release{Request: id}) // another target took over
		default:
			g.Release(now, Release{Request: id, Took: 30 * time.Millisecond})
		}
	}
	// One for each pause of 200 ms, in which 40 requests come, and a few until it is paused.
	must.LessEq(t, 2000/40+5, probes, must.Sprint("of 2,000 requests"))
}
