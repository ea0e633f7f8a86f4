package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

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
	send     ownership.Message
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
	tickets map[ownership.ConfirmationID]bool
	left    ownership.Residual
}

func (m *model) params() ownership.Params {
	p := ownership.DefaultParams(2 * time.Second)
	p.MaxRunTime = workTime
	p.MaxPause = maxPause + time.Second
	p.RebalanceAfter = 3 * time.Second
	if m.broken.shortDeadline {
		p.MaxRunTime = workTime / 8
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
	r.tickets = make(map[ownership.ConfirmationID]bool)
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
	for _, s := range a.Messages {
		r.m.post(packet{from: r.vm, to: s.To, send: s})
	}
	for _, e := range a.Events {
		r.event(e)
	}
}

func (r *router) event(e ownership.Event) {
	switch e.Kind {
	case ownership.Acquired:
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
		for _, t := range e.Confirmations {
			delete(r.tickets, t)
		}
	case ownership.Confirmed:
		for _, t := range e.Confirmations {
			if r.tickets[t] {
				delete(r.tickets, t)
				r.dispatch()
			}
		}
	}
	r.node.SetInFlight(ownership.IDOf(resource.Name), r.committed(), r.pending())
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
	r.node.SetInFlight(id, r.committed()+1, r.pending()+1)
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
	r.node.SetInFlight(ownership.IDOf(resource.Name), r.committed(), r.pending())
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
		to.act(to.node.HandleRequest(to.clock(), p.from, p.send.Request))
		return
	}
	to.act(to.node.HandleReply(to.clock(), p.from, p.send.Reply))
}
