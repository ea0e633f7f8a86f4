package ownership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// pause stops a router for a while; its clock does not show it.
func (m *model) pause(r *router) {
	if r.paused.After(m.now) {
		return
	}
	d := time.Duration(m.random.Int64N(int64(maxPause)))
	r.paused = m.now.Add(d)
	r.frozen = m.now
	if m.random.IntN(4) > 0 {
		r.hidden += d
	}
}

// confirming returns, half of the time, a router that waits for confirmations:
// a pause hurts it most. Otherwise it returns r.
func (m *model) confirming(r *router) *router {
	if m.random.IntN(2) == 0 {
		return r
	}
	for _, other := range m.routers {
		if len(other.tickets) > 0 {
			return other
		}
	}
	return r
}

func (m *model) cut(r *router) {
	until := m.now.Add(time.Duration(m.random.Int64N(int64(8 * time.Second))))
	for _, other := range m.routers {
		if m.random.IntN(3) > 0 {
			m.cutOff[[2]fleet.VM{r.vm, other.vm}] = until
			m.cutOff[[2]fleet.VM{other.vm, r.vm}] = until
		}
	}
}

// restart kills a router; its work on the target goes on.
func (m *model) restart(r *router) {
	if r.paused.After(m.now) {
		return
	}
	for key := range m.queues {
		if key[0] == r.vm || key[1] == r.vm {
			delete(m.queues, key)
		}
	}
	r.start()
}

// relist publishes a new VM list; routers see it within the lag.
func (m *model) relist() {
	last := m.lists[len(m.lists)-1]
	if m.now.Sub(last.at) < 2*listLag {
		return
	}
	m.lists = append(m.lists, listVersion{at: m.now, rows: m.rows(5 + m.random.IntN(3))})
}

func (m *model) seeLists() {
	last := len(m.lists) - 1
	overdue := m.now.Sub(m.lists[last].at) > listLag-500*time.Millisecond
	for _, r := range m.routers {
		if r.paused.After(m.now) || r.seen == last && m.random.IntN(10) > 0 {
			continue
		}
		if overdue || m.random.IntN(20) == 0 {
			r.seen = last
			r.showList()
		}
	}
}

func (m *model) finish() {
	before := len(m.running)
	m.running = slices.DeleteFunc(m.running, func(w work) bool {
		over := !w.ends.After(m.now)
		if r := m.find(w.router); over && r.inc == w.inc {
			r.own--
			r.node.SetInFlight(ownership.IDOf(resource.Name), r.committed(), r.pending())
		}
		return over
	})
	if len(m.running) != before {
		m.note()
	}
}

// step advances the model by a random amount and one random fault.
func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.random.Int64N(int64(60 * time.Millisecond))))
	m.finish()
	m.seeLists()
	r := m.routers[m.random.IntN(len(m.routers))]
	switch m.random.IntN(m.calm) {
	case 0, 1, 2:
		m.pause(m.confirming(r))
	case 3, 4:
		m.cut(r)
	case 5:
		m.restart(r)
	case 6:
		m.relist()
	}
	for _, r := range m.routers {
		if r.paused.After(m.now) {
			continue
		}
		if m.random.IntN(3) == 0 {
			r.act(r.node.Tick(r.clock()))
		}
		if m.random.IntN(3) == 0 {
			r.want()
		}
		if m.random.IntN(10) == 0 {
			r.report()
		}
	}
	m.deliverSome()
}

func (m *model) run(steps int) {
	for range steps {
		m.step()
	}
}

func TestAdmittedWorkStaysWithinSlots(t *testing.T) {
	const seeds, steps = 100, 4000
	gains, started := 0, 0
	for seed := range uint64(seeds) {
		m := newModel(t, seed, breakage{})
		m.run(steps)
		must.LessEq(t, modelSlots, m.worst, must.Sprintf("seed %d", seed))
		gains += m.gains
		started += m.started
	}
	t.Logf("%d seeds: %d steps, %d changes of owner, %d requests", seeds, seeds*steps, gains, started)
	must.Greater(t, seeds*5, gains, must.Sprint("too few changes of owner for a test of hand-over"))
	must.Greater(t, seeds*20, started, must.Sprint("too few requests for a test of admission"))
}

func TestModelNoticesBrokenRules(t *testing.T) {
	cases := map[string]breakage{
		"no confirmation":        {skipConfirm: true},
		"earlier work forgotten": {ignoreResidual: true},
		"pending work forgotten": {ignorePending: true},
		"deadline too short":     {shortDeadline: true},
	}
	for name, broken := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				m := newModel(t, seed, broken)
				m.run(4000)
				if m.worst > modelSlots {
					t.Logf("noticed with seed %d: %d requests on %d slots", seed, m.worst, modelSlots)
					return
				}
			}
			t.Fatal("no schedule broke the bound")
		})
	}
}
