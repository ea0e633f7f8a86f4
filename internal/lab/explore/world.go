// Package explore searches the futures of a few routers that run orders on
// one partition of the log, and checks what must hold in each of them.
//
// Search visits every interleaving to a depth; Random follows single seeded
// schedules with many more steps and heals the world at the end.
package explore

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Times of the model.
const (
	deadline = 5 * time.Second
	// advance is the time that one step lets pass.
	advance = 2 * time.Second
	ahead   = time.Second
	skew    = time.Second
	window  = time.Hour
)

// epoch is the time at which every world begins.
var epoch = time.UnixMilli(1_800_000_000_000)

// Budget limits how often each kind of event happens in one world.
type Budget struct {
	Submits   int
	Mints     int
	Crashes   int
	Takeovers int
	// Cuts is the number of times that a router loses the log.
	Cuts int
	// Losses is the number of appends and reads without an answer while the
	// log is in reach, and of confirmations that fail for no reason.
	Losses   int
	Advances int
	Closes   int
	// Drops is the number of times that the log forgets its older half.
	Drops int
	// Unsure is the number of dispatches whose outcome is not learnt.
	Unsure int
	// Refused is the number of dispatches that send nothing.
	Refused int
}

// Options shape a world.
type Options struct {
	Routers int
	Keys    int
	Budget  Budget
	Start   Start
	// TwoOwners lets every router believe that it owns the partition, and
	// every confirmation succeed. Then "not run" cannot be relied on, but no
	// order may run twice.
	TwoOwners bool
	// Delays lets answers of the log and confirmations be on their way while
	// other things happen.
	Delays   bool
	Sabotage Sabotage
}

// Start is the state in which a world begins.
type Start uint8

// States to begin with.
const (
	// StartCold begins with routers that know nothing.
	StartCold Start = iota
	// StartOwned begins with router 0 as the owner with an active claim.
	StartOwned
	// StartRunning goes on from StartOwned: router 0 is about to send an order
	// while router 1 has taken over.
	StartRunning
	// StartOutage goes on from StartOwned: router 0 has a ticket and an order
	// under way and loses the log.
	StartOutage
)

// Sabotage breaks one rule on purpose, to see that the checks notice.
type Sabotage uint8

// Ways to break a rule.
const (
	SabotageNone Sabotage = iota
	// SabotageOffset makes a router believe that its own append came right
	// after all it has read.
	SabotageOffset
	// SabotageNonce makes a router take every intent for a key for its own.
	SabotageNonce
	// SabotageTicket makes a router run tickets of another one's claim.
	SabotageTicket
	// SabotageConfirm makes every confirmation succeed.
	SabotageConfirm
	// SabotageDrop hides that the log has dropped records.
	SabotageDrop
	// SabotageRelease reports dispatches that may have been sent as not sent.
	SabotageRelease
)

// router is one router of the world. Worlds share the routers that they have
// not changed.
type router struct {
	// print is the cached fingerprint, zero when it must be computed.
	print uint64

	machine *orders.Machine
	process uint64
	told    bool
	grant   int
	cut     bool
	ticked  time.Time

	appends    []pendingAppend
	read       *pendingRead
	confirms   []pendingConfirm
	dispatches []orders.Dispatch
	lookups    []orders.Lookup
}

// pendingAppend is an append that was sent. Its answer may be on the way.
type pendingAppend struct {
	orders.Append
	done  bool
	first uint64
}

// pendingRead is a read that was sent, with its answer once that is on the way.
type pendingRead struct {
	orders.Read
	page *orders.ReadPage
}

// pendingConfirm is a confirmation that was asked for.
type pendingConfirm struct {
	round uint64
	done  bool
	ok    bool
}

// attempt is one submission of a caller.
type attempt struct {
	key    int
	router int
	// sent holds the dispatches of the order before the submission.
	sent     []orders.Nonce
	answered bool
	run      orders.Run
}

// order is what the world knows of one key.
type order struct {
	key      orders.ParsedKey
	identity orders.Identity
	// live holds the dispatches that may have been or were executed.
	live     []orders.Nonce
	executed int
	output   string
}

// world is one state of the search.
type world struct {
	opt     Options
	left    Budget
	now     time.Time
	routers []*router
	// shared marks the routers that another world holds too.
	shared []bool
	orders []order

	log      []orders.LoggedRecord
	logPrint uint64
	earliest uint64
	late     [][]orders.Record

	attempts []attempt
	orphans  []orders.Dispatch

	holder    int
	grant     int
	processes uint64
	violation error
}

func newWorld(opt Options) *world {
	w := &world{opt: opt, left: opt.Budget, now: epoch}
	w.routers = make([]*router, opt.Routers)
	w.shared = make([]bool, opt.Routers)
	for i := range w.routers {
		w.routers[i] = new(router)
		w.start(i)
	}
	for i := range opt.Keys {
		var random [10]byte
		random[9] = byte(i)
		key, err := orders.ParseKey(string(orders.NewKey(epoch, random)))
		if err != nil {
			panic(err)
		}
		w.addOrder(key)
	}
	w.prepare()
	return w
}

// prepare brings the world into the state to begin with.
func (w *world) prepare() {
	if w.opt.Start == StartCold {
		return
	}
	w.bringUp()
	switch w.opt.Start {
	case StartRunning:
		w.do(step{submit, 0, 0})
		w.do(step{appendAnswered, 0, 0})
		w.do(step{takeover, 0, 0})
		w.tell(1)
	case StartOutage:
		w.do(step{mint, 0, 0})
		w.do(step{submit, 0, 0})
		w.do(step{cut, 0, 0})
	}
	w.left = w.opt.Budget
}

func (w *world) addOrder(key orders.ParsedKey) {
	id := orders.Identity{Account: "account", Service: "print"}
	id.Digest[0] = byte(len(w.orders))
	w.orders = append(w.orders, order{key: key, identity: id})
}

// start gives router i a new process.
func (w *world) start(i int) {
	w.processes++
	r := &router{process: w.processes, cut: w.routers[i].cut, ticked: w.now}
	w.routers[i] = r
	w.shared[i] = false
	r.machine = orders.New(orders.Config{
		Router:       fleet.VM(fmt.Sprintf("vm-%d", i)),
		Incarnation:  fleet.Incarnation(w.processes),
		Process:      w.processes,
		Window:       window,
		MaxKeyAhead:  ahead,
		MaxClockSkew: skew,
		MintsTickets: true,
		MaxQueue:     100,
		AppendLimit:  rate.Inf,
	})
}

// bringUp makes router 0 the owner and settles all claims.
func (w *world) bringUp() {
	w.tell(0)
	for i := range w.routers {
		w.input(i, orders.Tick{})
		for w.serveAll(i) {
		}
	}
}

// owns reports whether router i holds the partition.
func (w *world) owns(i int) bool { return w.opt.TwoOwners || w.holder == i }

func (w *world) tell(i int) {
	r := w.mutable(i)
	r.told = w.owns(i)
	r.grant = w.grant
	w.input(i, orders.OwnershipChanged{Held: r.told})
}

// confirms reports whether router i still holds the partition by the same
// grant as when it was told.
func (w *world) confirms(i int) bool {
	if w.opt.TwoOwners || w.opt.Sabotage == SabotageConfirm {
		return true
	}
	r := w.routers[i]
	return r.told && w.holder == i && r.grant == w.grant
}

// input gives one input to router i and collects what it wants done.
func (w *world) input(i int, in orders.Input) {
	r := w.mutable(i)
	for _, a := range r.machine.Step(w.now, in) {
		switch a := a.(type) {
		case orders.Append:
			r.appends = append(r.appends, pendingAppend{Append: a})
		case orders.Read:
			r.read = &pendingRead{Read: a}
		case orders.ConfirmOwnership:
			r.confirms = append(r.confirms, pendingConfirm{round: a.Round})
		case orders.Dispatch:
			o := &w.orders[w.find(a.Key)]
			o.live = append(slices.Clone(o.live), a.Nonce)
			r.dispatches = append(r.dispatches, a)
			w.checkDispatch(a)
		case orders.Lookup:
			r.lookups = append(r.lookups, a)
		case orders.SendReply:
			w.checkAnswer(a)
		}
	}
}

func (w *world) find(k orders.Key) int {
	return slices.IndexFunc(w.orders, func(o order) bool { return o.key.Key == k })
}

// write puts records into the log.
func (w *world) write(records []orders.Record) uint64 {
	first := uint64(len(w.log))
	for _, r := range records {
		w.log = append(w.log, orders.LoggedRecord{Offset: uint64(len(w.log)), Time: w.now, Record: r})
		w.logPrint = chain(w.logPrint, &w.log[len(w.log)-1])
	}
	return first
}

// page is what the log answers to a read.
func (w *world) page(i int, from uint64) orders.ReadPage {
	from = min(max(from, w.earliest), uint64(len(w.log)))
	p := orders.ReadPage{
		Records:  slices.Clone(w.log[from:]),
		Earliest: w.earliest,
		Next:     uint64(len(w.log)),
	}
	switch w.opt.Sabotage {
	case SabotageDrop:
		p.Earliest = 0
	case SabotageNonce:
		w.forgeNonces(i, p.Records)
	}
	return p
}

// forgeNonces makes all intents look like those that router i has sent.
func (w *world) forgeNonces(i int, records []orders.LoggedRecord) {
	for n := range records {
		r := &records[n].Record
		if r.Kind != orders.KindIntent || r.Nonce.Process == w.routers[i].process {
			continue
		}
		for _, own := range w.log {
			if own.Record.Key == r.Key && own.Record.Kind == orders.KindIntent && own.Record.Nonce.Process == w.routers[i].process {
				r.Nonce = own.Record.Nonce
			}
		}
	}
}

// clone returns a world that shares its routers with w. w must not be changed
// any more.
func (w *world) clone() *world {
	c := *w
	c.routers = slices.Clone(w.routers)
	c.shared = slices.Repeat([]bool{true}, len(w.routers))
	c.orders = slices.Clone(w.orders)
	c.log = slices.Clip(w.log)
	c.late = slices.Clip(w.late)
	c.attempts = slices.Clone(w.attempts)
	c.orphans = slices.Clip(w.orphans)
	return &c
}

// mutable returns router i for a change.
func (w *world) mutable(i int) *router {
	r := w.routers[i]
	if w.shared[i] {
		r = r.clone()
		w.routers[i] = r
		w.shared[i] = false
	}
	r.print = 0
	return r
}

func (r *router) clone() *router {
	c := *r
	c.machine = r.machine.Clone()
	c.appends = slices.Clip(r.appends)
	c.confirms = slices.Clip(r.confirms)
	c.dispatches = slices.Clip(r.dispatches)
	c.lookups = slices.Clip(r.lookups)
	return &c
}
