package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// The model runs nodes of one site against one target under random schedules:
// messages are delayed, lost and cut off, routers are paused with clocks that
// do not show it, restarted, and disagree about the VM list.

const (
	modelSlots = 3
	reportLag  = 500 * time.Millisecond
	listLag    = 5 * time.Second
	maxPause   = 9 * time.Second
	workTime   = 8 * time.Second
)

var resource = ownership.Resource{Name: "target/x", Home: "dc1"}

// breakage leaves out one rule, to show that the model notices.
type breakage struct {
	skipConfirm    bool
	ignoreResidual bool
	ignorePending  bool
	shortDeadline  bool
}

type packet struct {
	from, to fleet.VM
	send     ownership.Send
}

type model struct {
	t       *testing.T
	random  *rand.Rand
	broken  breakage
	now     time.Time
	routers []*router
	queues  map[[2]fleet.VM][]packet
	cutOff  map[[2]fleet.VM]time.Time
	lists   []listVersion
	running []work
	history []level
	worst   int
	gains   int
	started int
	// calm is the number of steps in which about seven faults are tried.
	calm int
}

type listVersion struct {
	at   time.Time
	rows []ownership.Router
}

type work struct {
	router fleet.VM
	inc    fleet.Incarnation
	ends   time.Time
}

// level is the number of running requests from a time on.
type level struct {
	at    time.Time
	count int
}

// router is one router with a minimal admission of its own.
type router struct {
	m    *model
	vm   fleet.VM
	dc   fleet.DataCentre
	node *ownership.Node
	inc  fleet.Incarnation
	seen int
	// hidden is the time by which this router's clock is late.
	hidden  time.Duration
	paused  time.Time
	frozen  time.Time
	held    bool
	gained  time.Time
	own     int
	tickets map[ownership.Ticket]bool
	left    ownership.Residual
}

func (m *model) params() ownership.Params {
	p := ownership.DefaultParams(2 * time.Second)
	p.WorkLimit = workTime
	p.PauseLimit = maxPause + time.Second
	p.RebalanceAfter = 3 * time.Second
	if m.broken.shortDeadline {
		p.WorkLimit = workTime / 8
	}
	return p
}

func newModel(t *testing.T, seed uint64, broken breakage) *model {
	m := &model{
		t:      t,
		random: rand.New(rand.NewPCG(seed, 7)),
		broken: broken,
		now:    time.Unix(1_000_000, 0),
		queues: make(map[[2]fleet.VM][]packet),
		cutOff: make(map[[2]fleet.VM]time.Time),
	}
	m.calm = 200 << m.random.IntN(4)
	for i := range 7 {
		r := &router{m: m, vm: fleet.VM(fmt.Sprintf("r%d", i)), dc: fleet.DataCentre(fmt.Sprintf("dc%d", 1+i%3))}
		m.routers = append(m.routers, r)
	}
	m.lists = []listVersion{{at: m.now, rows: m.rows(5)}}
	for _, r := range m.routers {
		r.start()
	}
	return m
}

// rows lists the first n routers.
func (m *model) rows(n int) []ownership.Router {
	var out []ownership.Router
	for _, r := range m.routers[:n] {
		out = append(out, ownership.Router{VM: r.vm, DataCentre: r.dc, Eligible: true})
	}
	return out
}

func (r *router) clock() time.Time { return r.m.now.Add(-r.hidden) }

func (r *router) start() {
	r.inc++
	r.node = ownership.NewNode(r.vm, r.inc<<24, r.m.params(), r.clock(), rand.New(rand.NewPCG(uint64(r.inc), r.m.random.Uint64())))
	r.held, r.own = false, 0
	r.tickets = make(map[ownership.Ticket]bool)
	r.act(r.node.SetResources(r.clock(), []ownership.Resource{resource}))
	r.showList()
}

// showList gives the router the list version that it has seen.
func (r *router) showList() {
	rows := r.m.lists[r.seen].rows
	view := ownership.View{
		Routers: slices.Clone(rows),
		HasList: true,
		Agreed:  r.m.agreed(),
		Nearest: map[fleet.DataCentre][]fleet.DataCentre{"dc1": {"dc2", "dc3"}},
	}
	r.act(r.node.SetView(r.clock(), view))
}

// agreed tells what heartbeats show: all routers saw the newest list, and long
// ago.
func (m *model) agreed() bool {
	for _, r := range m.routers {
		if r.seen != len(m.lists)-1 {
			return false
		}
	}
	last := m.lists[len(m.lists)-1]
	return len(m.lists) == 1 || m.now.Sub(last.at) > 2*listLag+2*time.Second
}

func (r *router) act(a ownership.Actions) {
	for _, s := range a.Sends {
		r.m.post(packet{from: r.vm, to: s.To, send: s})
	}
	for _, e := range a.Events {
		r.event(e)
	}
}

func (r *router) event(e ownership.Event) {
	switch e.Kind {
	case ownership.Gained:
		r.m.gains++
		r.held, r.gained, r.left = true, r.clock(), e.Residual
		if !r.left.Known {
			r.left.Count = modelSlots
		}
	case ownership.Lost:
		r.held = false
	case ownership.HandOver:
		r.held = false
		r.act(r.node.Release(r.clock(), ownership.IDOf(resource.Name), r.committed(), r.pending()))
		return
	case ownership.Refused:
		for _, t := range e.Tickets {
			delete(r.tickets, t)
		}
	case ownership.Confirmed:
		for _, t := range e.Tickets {
			if r.tickets[t] {
				delete(r.tickets, t)
				r.dispatch()
			}
		}
	}
	r.node.SetCeiling(ownership.IDOf(resource.Name), r.committed(), r.pending())
}

func (r *router) dispatch() {
	r.own++
	r.m.started++
	r.m.running = append(r.m.running, work{router: r.vm, inc: r.inc, ends: r.m.now.Add(time.Duration(r.m.random.Int64N(int64(workTime))))})
	r.m.note()
}

// residual is the work of earlier owners that still counts here.
func (r *router) residual() int {
	if r.m.broken.ignoreResidual || !r.clock().Before(r.left.Until) {
		return 0
	}
	return r.left.Count
}

func (r *router) pending() int {
	waits := len(r.tickets)
	if r.clock().Before(r.left.PendingUntil) {
		waits += min(r.left.Pending, modelSlots)
	}
	return waits
}

func (r *router) committed() int { return r.own + len(r.tickets) + r.residual() }

// want admits one more request when a slot is free.
func (r *router) want() {
	if !r.held || r.committed() >= modelSlots {
		return
	}
	if r.m.broken.skipConfirm {
		if r.node.Holds(r.clock(), ownership.IDOf(resource.Name)) {
			r.dispatch()
		}
		return
	}
	id := ownership.IDOf(resource.Name)
	r.node.SetCeiling(id, r.committed()+1, r.pending()+1)
	ticket, actions := r.node.Confirm(r.clock(), id)
	r.tickets[ticket] = true
	r.act(actions)
}

// report reads the target's load with a lag and lowers the residual.
func (r *router) report() {
	if !r.held || r.own > 0 {
		return
	}
	lag := time.Duration(r.m.random.Int64N(int64(reportLag)))
	if r.clock().Add(-reportLag).Before(r.gained) {
		return
	}
	shown := r.m.countAt(r.m.now.Add(-lag))
	floor := 0
	if r.clock().Before(r.left.PendingUntil) && !r.m.broken.ignorePending {
		floor = min(r.left.Pending, modelSlots)
	}
	r.left.Count = min(r.left.Count, shown+floor)
	r.node.SetCeiling(ownership.IDOf(resource.Name), r.committed(), r.pending())
}

func (m *model) countAt(at time.Time) int {
	count := 0
	for _, l := range m.history {
		if l.at.After(at) {
			break
		}
		count = l.count
	}
	return count
}

func (m *model) note() {
	m.history = append(m.history, level{at: m.now, count: len(m.running)})
	m.worst = max(m.worst, len(m.running))
	if len(m.history) > 400 {
		m.history = m.history[200:]
	}
}

func (m *model) post(p packet) {
	key := [2]fleet.VM{p.from, p.to}
	if m.cutOff[key].After(m.now) || m.random.IntN(40) == 0 {
		return
	}
	m.queues[key] = append(m.queues[key], p)
}

func (m *model) find(vm fleet.VM) *router {
	for _, r := range m.routers {
		if r.vm == vm {
			return r
		}
	}
	return nil
}

// deliverSome delivers waiting messages of random links.
func (m *model) deliverSome() {
	for range 40 {
		keys := make([][2]fleet.VM, 0, len(m.queues))
		for key, queue := range m.queues {
			if len(queue) > 0 && !m.find(key[1]).paused.After(m.now) {
				keys = append(keys, key)
			}
		}
		if len(keys) == 0 {
			return
		}
		slices.SortFunc(keys, func(a, b [2]fleet.VM) int { return slices.Compare(a[:], b[:]) })
		key := keys[m.random.IntN(len(keys))]
		p := m.queues[key][0]
		m.queues[key] = m.queues[key][1:]
		m.deliver(p)
		if m.random.IntN(30) == 0 {
			return
		}
	}
}

func (m *model) deliver(p packet) {
	to := m.find(p.to)
	if to == nil {
		return
	}
	if p.send.Request != nil {
		to.act(to.node.Request(to.clock(), p.from, p.send.Request))
		return
	}
	to.act(to.node.Reply(to.clock(), p.from, p.send.Reply))
}

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
			r.node.SetCeiling(ownership.IDOf(resource.Name), r.committed(), r.pending())
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
