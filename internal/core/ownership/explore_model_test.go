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

// The model runs the nodes of one site against one target under random
// schedules. Messages are delayed, lost and cut off. Routers restart, disagree
// about the VM list, and are paused without their clocks showing it.

const (
	modelSlots = 3
	reportLag  = 500 * time.Millisecond
	listLag    = 5 * time.Second
	maxPause   = 9 * time.Second
	workTime   = 8 * time.Second
)

var resource = ownership.Resource{Name: "target/x", Home: "dc1"}

// disabledRules turns off single rules, to show that the model detects their
// absence.
type disabledRules struct {
	skipConfirm    bool
	ignoreResidual bool
	ignorePending  bool
	shortDeadline  bool
}

// packet is a message in transit.
type packet struct {
	from, to fleet.VM
	message  ownership.Message
}

// model is a simulated site with its links, VM list versions and target.
type model struct {
	t            *testing.T
	random       *rand.Rand
	disabled     disabledRules
	now          time.Time
	routers      []*router
	queues       map[[2]fleet.VM][]packet
	cutOff       map[[2]fleet.VM]time.Time
	lists        []listVersion
	running      []work
	history      []loadSample
	maxRunning   int
	ownerChanges int
	started      int
	// stepsPerFaultDraw is the number of steps in which seven faults are
	// expected.
	stepsPerFaultDraw int
}

// listVersion is a VM list and the time at which it was published.
type listVersion struct {
	at   time.Time
	rows []ownership.Router
}

// work is a request that runs on the target.
type work struct {
	router fleet.VM
	inc    fleet.Incarnation
	ends   time.Time
}

// loadSample is the number of running requests from a time on.
type loadSample struct {
	at    time.Time
	count int
}

// router is one router with a minimal admission control.
type router struct {
	m        *model
	vm       fleet.VM
	dc       fleet.DataCentre
	node     *ownership.Node
	inc      fleet.Incarnation
	seenList int
	// clockLag is how far this router's clock is behind, because of pauses.
	clockLag      time.Duration
	pausedUntil   time.Time
	pausedAt      time.Time
	held          bool
	acquiredAt    time.Time
	running       int
	confirmations map[ownership.ConfirmationID]bool
	inheritedWork ownership.Residual
}

// params returns the lease limits of the model.
func (m *model) params() ownership.Params {
	p := ownership.DefaultParams(2 * time.Second)
	p.MaxRunTime = workTime
	p.MaxPause = maxPause + time.Second
	p.RebalanceAfter = 3 * time.Second
	if m.disabled.shortDeadline {
		p.MaxRunTime = workTime / 8
	}
	return p
}

// newModel returns a site of seven routers, five of them listed.
func newModel(t *testing.T, seed uint64, disabled disabledRules) *model {
	m := &model{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 7)),
		disabled: disabled,
		now:      time.Unix(1_000_000, 0),
		queues:   make(map[[2]fleet.VM][]packet),
		cutOff:   make(map[[2]fleet.VM]time.Time),
	}
	m.stepsPerFaultDraw = 200 << m.random.IntN(4)
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

// clock returns the router's own time.
func (r *router) clock() time.Time { return r.m.now.Add(-r.clockLag) }

// start starts a new process of the router.
func (r *router) start() {
	r.inc++
	r.node = ownership.NewNode(r.vm, r.inc<<24, r.m.params(), r.clock(), rand.New(rand.NewPCG(uint64(r.inc), r.m.random.Uint64())))
	r.held, r.running = false, 0
	r.confirmations = make(map[ownership.ConfirmationID]bool)
	r.act(r.node.SetResources(r.clock(), []ownership.Resource{resource}))
	r.applyList()
}

// applyList gives the node the VM list version that the router has seen.
func (r *router) applyList() {
	rows := r.m.lists[r.seenList].rows
	view := ownership.View{
		Routers: slices.Clone(rows),
		HasList: true,
		Agreed:  r.m.agreed(),
		Nearest: map[fleet.DataCentre][]fleet.DataCentre{"dc1": {"dc2", "dc3"}},
	}
	r.act(r.node.SetView(r.clock(), view))
}

// agreed reports what heartbeats show: all routers saw the newest list, and it
// was published long enough ago.
func (m *model) agreed() bool {
	for _, r := range m.routers {
		if r.seenList != len(m.lists)-1 {
			return false
		}
	}
	last := m.lists[len(m.lists)-1]
	return len(m.lists) == 1 || m.now.Sub(last.at) > 2*listLag+2*time.Second
}

// act sends the messages and handles the events of a node.
func (r *router) act(a ownership.Actions) {
	for _, s := range a.Messages {
		r.m.enqueue(packet{from: r.vm, to: s.To, message: s})
	}
	for _, e := range a.Events {
		r.event(e)
	}
}

// event handles one event of the node.
func (r *router) event(e ownership.Event) {
	switch e.Kind {
	case ownership.Acquired:
		r.m.ownerChanges++
		r.held, r.acquiredAt, r.inheritedWork = true, r.clock(), e.Residual
		if !r.inheritedWork.Known {
			r.inheritedWork.Count = modelSlots
		}
	case ownership.Lost:
		r.held = false
	case ownership.HandOver:
		r.held = false
		r.act(r.node.Release(r.clock(), ownership.IDOf(resource.Name), r.committed(), r.pending()))
		return
	case ownership.Refused:
		for _, t := range e.Confirmations {
			delete(r.confirmations, t)
		}
	case ownership.Confirmed:
		for _, t := range e.Confirmations {
			if r.confirmations[t] {
				delete(r.confirmations, t)
				r.dispatch()
			}
		}
	}
	r.node.SetMaxInFlight(ownership.IDOf(resource.Name), r.committed(), r.pending())
}

// dispatch starts a request on the target.
func (r *router) dispatch() {
	r.running++
	r.m.started++
	r.m.running = append(r.m.running, work{router: r.vm, inc: r.inc, ends: r.m.now.Add(time.Duration(r.m.random.Int64N(int64(workTime))))})
	r.m.recordLoad()
}

// residual returns the number of earlier owners' requests that still count.
func (r *router) residual() int {
	if r.m.disabled.ignoreResidual || !r.clock().Before(r.inheritedWork.Until) {
		return 0
	}
	return r.inheritedWork.Count
}

// pending returns the number of requests that may not have reached the target.
func (r *router) pending() int {
	waiting := len(r.confirmations)
	if r.clock().Before(r.inheritedWork.PendingUntil) {
		waiting += min(r.inheritedWork.Pending, modelSlots)
	}
	return waiting
}

// committed returns the number of slots in use.
func (r *router) committed() int { return r.running + len(r.confirmations) + r.residual() }

// admit admits one more request if a slot is free.
func (r *router) admit() {
	if !r.held || r.committed() >= modelSlots {
		return
	}
	if r.m.disabled.skipConfirm {
		if r.node.Holds(r.clock(), ownership.IDOf(resource.Name)) {
			r.dispatch()
		}
		return
	}
	id := ownership.IDOf(resource.Name)
	r.node.SetMaxInFlight(id, r.committed()+1, r.pending()+1)
	confirmation, actions := r.node.Confirm(r.clock(), id)
	r.confirmations[confirmation] = true
	r.act(actions)
}

// readReport reads the target's load with a random lag and lowers the residual.
func (r *router) readReport() {
	if !r.held || r.running > 0 {
		return
	}
	lag := time.Duration(r.m.random.Int64N(int64(reportLag)))
	if r.clock().Add(-reportLag).Before(r.acquiredAt) {
		return
	}
	reported := r.m.countAt(r.m.now.Add(-lag))
	unreported := 0
	if r.clock().Before(r.inheritedWork.PendingUntil) && !r.m.disabled.ignorePending {
		unreported = min(r.inheritedWork.Pending, modelSlots)
	}
	r.inheritedWork.Count = min(r.inheritedWork.Count, reported+unreported)
	r.node.SetMaxInFlight(ownership.IDOf(resource.Name), r.committed(), r.pending())
}

// countAt returns the number of running requests at a time in the past.
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

// recordLoad records the number of running requests.
func (m *model) recordLoad() {
	m.history = append(m.history, loadSample{at: m.now, count: len(m.running)})
	m.maxRunning = max(m.maxRunning, len(m.running))
	if len(m.history) > 400 {
		m.history = m.history[200:]
	}
}

// enqueue sends a packet, unless the link is cut or the packet is lost.
func (m *model) enqueue(p packet) {
	key := [2]fleet.VM{p.from, p.to}
	if m.cutOff[key].After(m.now) || m.random.IntN(40) == 0 {
		return
	}
	m.queues[key] = append(m.queues[key], p)
}

// routerByVM returns the router called vm, nil if there is none.
func (m *model) routerByVM(vm fleet.VM) *router {
	for _, r := range m.routers {
		if r.vm == vm {
			return r
		}
	}
	return nil
}

// deliverSome delivers queued packets of randomly chosen links, in order per
// link.
func (m *model) deliverSome() {
	for range 40 {
		keys := make([][2]fleet.VM, 0, len(m.queues))
		for key, queue := range m.queues {
			if len(queue) > 0 && !m.routerByVM(key[1]).pausedUntil.After(m.now) {
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

// deliver passes a packet to its receiver.
func (m *model) deliver(p packet) {
	to := m.routerByVM(p.to)
	if to == nil {
		return
	}
	if p.message.Request != nil {
		to.act(to.node.HandleRequest(to.clock(), p.from, p.message.Request))
		return
	}
	to.act(to.node.HandleReply(to.clock(), p.from, p.message.Reply))
}
