package ownership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// pause stops a router for a while. Its clock usually does not show the pause.
func (m *model) pause(r *router) {
	if r.pausedUntil.After(m.now) {
		return
	}
	d := time.Duration(m.random.Int64N(int64(maxPause)))
	r.pausedUntil = m.now.Add(d)
	r.pausedAt = m.now
	if m.random.IntN(4) > 0 {
		r.clockLag += d
	}
}

// preferConfirming returns, half of the time, a router with confirmations in
// progress, where a pause is most likely to break a rule. Otherwise it returns
// r.
func (m *model) preferConfirming(r *router) *router {
	if m.random.IntN(2) == 0 {
		return r
	}
	for _, other := range m.routers {
		if len(other.confirmations) > 0 {
			return other
		}
	}
	return r
}

// cutLinks cuts the links between a router and most of the others for a while.
func (m *model) cutLinks(r *router) {
	until := m.now.Add(time.Duration(m.random.Int64N(int64(8 * time.Second))))
	for _, other := range m.routers {
		if m.random.IntN(3) > 0 {
			m.cutOff[[2]fleet.VM{r.vm, other.vm}] = until
			m.cutOff[[2]fleet.VM{other.vm, r.vm}] = until
		}
	}
}

// restart kills a router and starts it again. Its requests on the target
// continue.
func (m *model) restart(r *router) {
	if r.pausedUntil.After(m.now) {
		return
	}
	for key := range m.queues {
		if key[0] == r.vm || key[1] == r.vm {
			delete(m.queues, key)
		}
	}
	r.start()
}

// publishList publishes a new VM list. Routers see it within the list lag.
func (m *model) publishList() {
	last := m.lists[len(m.lists)-1]
	if m.now.Sub(last.at) < 2*listLag {
		return
	}
	m.lists = append(m.lists, listVersion{at: m.now, rows: m.rows(5 + m.random.IntN(3))})
}

// propagateLists lets routers see the newest VM list, all of them before the
// lag is over.
func (m *model) propagateLists() {
	last := len(m.lists) - 1
	overdue := m.now.Sub(m.lists[last].at) > listLag-500*time.Millisecond
	for _, r := range m.routers {
		if r.pausedUntil.After(m.now) || r.seenList == last && m.random.IntN(10) > 0 {
			continue
		}
		if overdue || m.random.IntN(20) == 0 {
			r.seenList = last
			r.applyList()
		}
	}
}

// finishWork ends the requests whose time is over.
func (m *model) finishWork() {
	before := len(m.running)
	m.running = slices.DeleteFunc(m.running, func(w work) bool {
		ended := !w.ends.After(m.now)
		if r := m.routerByVM(w.router); ended && r.inc == w.inc {
			r.running--
			r.node.SetMaxInFlight(ownership.IDOf(resource.Name), r.committed(), r.pending())
		}
		return ended
	})
	if len(m.running) != before {
		m.recordLoad()
	}
}

// step advances the time by a random amount and injects at most one random
// fault.
func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.random.Int64N(int64(60 * time.Millisecond))))
	m.finishWork()
	m.propagateLists()
	r := m.routers[m.random.IntN(len(m.routers))]
	switch m.random.IntN(m.stepsPerFaultDraw) {
	case 0, 1, 2:
		m.pause(m.preferConfirming(r))
	case 3, 4:
		m.cutLinks(r)
	case 5:
		m.restart(r)
	case 6:
		m.publishList()
	}
	for _, r := range m.routers {
		if r.pausedUntil.After(m.now) {
			continue
		}
		if m.random.IntN(3) == 0 {
			r.act(r.node.Tick(r.clock()))
		}
		if m.random.IntN(3) == 0 {
			r.admit()
		}
		if m.random.IntN(10) == 0 {
			r.readReport()
		}
	}
	m.deliverSome()
}

// run advances the model by a number of steps.
func (m *model) run(steps int) {
	for range steps {
		m.step()
	}
}

// TestAdmittedWorkStaysWithinSlots checks that no schedule runs more requests
// on the target than it has slots. Two owners at a time, or an owner that
// ignores the work of earlier owners, would exceed them.
func TestAdmittedWorkStaysWithinSlots(t *testing.T) {
	const seeds, steps = 100, 4000
	ownerChanges, started := 0, 0
	for seed := range uint64(seeds) {
		m := newModel(t, seed, disabledRules{})
		m.run(steps)
		must.LessEq(t, modelSlots, m.maxRunning, must.Sprintf("seed %d", seed))
		ownerChanges += m.ownerChanges
		started += m.started
	}
	t.Logf("%d seeds: %d steps, %d changes of owner, %d requests", seeds, seeds*steps, ownerChanges, started)
	must.Greater(t, seeds*5, ownerChanges, must.Sprint("too few changes of owner to test the hand-over"))
	must.Greater(t, seeds*20, started, must.Sprint("too few requests to test the admission"))
}

// TestModelDetectsDisabledRules checks that the model finds a schedule that
// exceeds the slots for each rule that is turned off. Otherwise a pass of
// TestAdmittedWorkStaysWithinSlots would prove nothing about that rule.
func TestModelDetectsDisabledRules(t *testing.T) {
	cases := map[string]disabledRules{
		"confirmation skipped":  {skipConfirm: true},
		"residual work ignored": {ignoreResidual: true},
		"pending work ignored":  {ignorePending: true},
		"deadline too short":    {shortDeadline: true},
	}
	for name, disabled := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				m := newModel(t, seed, disabled)
				m.run(4000)
				if m.maxRunning > modelSlots {
					t.Logf("detected with seed %d: %d requests on %d slots", seed, m.maxRunning, modelSlots)
					return
				}
			}
			t.Fatal("no schedule exceeded the slots")
		})
	}
}
