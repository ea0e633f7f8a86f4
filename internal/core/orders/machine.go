package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Limits and periods of a machine.
const (
	// maxAppendRecords is the maximum number of records in one append.
	maxAppendRecords = 256
	// maxInFlight is the maximum number of appends in flight.
	maxInFlight = 4
	// responseCacheSize is the number of recent response bodies kept in memory.
	responseCacheSize = 512
	// maxFlushDelay is how long an outcome waits for an intent with which it
	// can share an append.
	maxFlushDelay = 100 * time.Millisecond
	// idleReadPeriod is the period of reads while the machine expects no
	// record.
	idleReadPeriod = 5 * time.Second
	// longPollWait is how long a read may wait for the outcome of another
	// router.
	longPollWait = 2 * time.Second
	// probePeriod is the time between attempts to reach an unavailable log.
	probePeriod = time.Second
	// claimRetryDelay is the time before a claim that was superseded or not
	// confirmed is tried again.
	claimRetryDelay = 300 * time.Millisecond
	// limiterRetryDelay is the time before an append that exceeded the budget
	// is tried again.
	limiterRetryDelay = 10 * time.Millisecond
	// ticketLogWait is how long a ticket waits for the log before it is
	// dispatched without it.
	ticketLogWait = time.Second
	// maintenancePeriod is the period of pruning old orders and of writing
	// checkpoints.
	maintenancePeriod = time.Minute
	// retryAfter is the delay suggested to callers in replies with
	// ReasonLogUnavailable, ReasonOverloaded or ReasonDraining.
	retryAfter = 2 * time.Second
	// firstLookupDelay and maxLookupAttempts define the schedule of lookups.
	// The time between attempts doubles.
	firstLookupDelay  = 500 * time.Millisecond
	maxLookupAttempts = 7
)

// Config holds the parameters of a machine.
type Config struct {
	Partition   int
	Router      fleet.VM
	Incarnation fleet.Incarnation
	// Process is a random number that identifies this process.
	Process uint64
	// Window is the age after which a key has expired.
	Window time.Duration
	// MaxKeyAhead is how far the mint time of a key may be ahead of this
	// router's clock.
	MaxKeyAhead time.Duration
	// MaxClockSkew is the largest difference between the clocks of routers and
	// the log.
	MaxClockSkew time.Duration
	// Retention is the minimum time for which the log keeps records. Zero
	// disables checkpoints.
	Retention time.Duration
	// MintsTickets makes the machine claim the right to mint tickets even while
	// it does not hold the partition.
	MintsTickets bool
	// MaxQueue is the number of records not known to be in the log at which new
	// orders are refused.
	MaxQueue int
	// AppendLimit is the maximum number of appends per second.
	AppendLimit rate.Limit
}

// appendBurst is the number of appends that may be sent at once.
const appendBurst = 4

// Machine is the state of one router for one partition. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	ledger  *Ledger
	seq     uint64
	limiter *rate.Limiter
	actions []Action

	log    logState
	outbox outbox
	claim  claimState

	// localOrders holds the orders for which this router has written an intent.
	// finishedTickets holds the tickets of its own claims that it has
	// dispatched.
	localOrders     map[Key]*localOrder
	finishedTickets map[Key]*finishedTicket
	// waiters holds the submissions that wait for an order. A dispatch is made
	// for the first one.
	waiters       map[Key][]Submit
	awaitingClaim []Submit
	refusals      []refusal
	settlements   map[Nonce]Settle
	lookups       map[Key]scheduledLookup
	responses     *simplelru.LRU[Key, []byte]

	confirming   bool
	confirmRound uint64

	held            bool
	draining        bool
	closeQueued     bool
	nextDeadline    time.Time
	nextMaintenance time.Time
}

// New returns a machine that does not hold its partition and has read nothing
// from the log.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:             cfg,
		ledger:          NewLedger(),
		limiter:         rate.NewLimiter(cfg.AppendLimit, appendBurst),
		outbox:          outbox{inFlight: make(map[uint64]inFlightAppend)},
		claim:           claimState{offsets: make(map[uint64]struct{})},
		localOrders:     make(map[Key]*localOrder),
		finishedTickets: make(map[Key]*finishedTicket),
		waiters:         make(map[Key][]Submit),
		settlements:     make(map[Nonce]Settle),
		lookups:         make(map[Key]scheduledLookup),
		responses:       newResponseCache(),
	}
}

func newResponseCache() *simplelru.LRU[Key, []byte] {
	cache, err := simplelru.NewLRU[Key, []byte](responseCacheSize, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return cache
}

// Step handles one input at the time now and returns the actions to carry out,
// in order.
func (m *Machine) Step(now time.Time, in Input) []Action {
	m.actions = nil
	switch in := in.(type) {
	case Submit:
		m.submit(now, in)
	case Cancel:
		m.cancel(in.ID)
	case Appended:
		m.appended(now, in)
	case AppendLost:
		m.appendLost(now, in)
	case ReadPage:
		m.readPage(now, in)
	case ReadFailed:
		m.readFailed(now)
	case DispatchResult:
		m.dispatchResult(now, in)
	case LookupResult:
		m.lookupResult(now, in)
	case OwnershipConfirmation:
		m.ownershipConfirmed(now, in)
	case OwnershipChanged:
		m.ownershipChanged(in.Held)
	case Settle:
		m.settle(now, in)
	case Adopt:
		m.adopt(now, in.Records)
	case Drain:
		m.startDrain(now)
	case Tick:
		m.handleTick(now)
	}
	m.plan(now)
	out := m.actions
	m.actions = nil
	return out
}

// plan issues the appends, reads and confirmations that the state requires.
func (m *Machine) plan(now time.Time) {
	m.planClaim(now)
	m.planCloseClaims(now)
	m.planAppend(now)
	m.planRead(now)
	m.planConfirm(now)
}

// SetAppendLimit changes the limit of appends per second.
func (m *Machine) SetAppendLimit(now time.Time, limit rate.Limit) { m.limiter.SetLimitAt(now, limit) }

// NextTick returns the time at which the machine needs its next Tick.
func (m *Machine) NextTick(now time.Time) time.Time {
	next := now.Add(idleReadPeriod)
	sooner := func(at time.Time) {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	sooner(m.nextDeadline)
	if m.log.down {
		sooner(m.log.nextProbe)
	} else if len(m.outbox.queue) > 0 {
		sooner(now.Add(limiterRetryDelay))
	}
	if m.needsStream() {
		sooner(m.log.nextIdleRead)
	}
	if m.held && m.claim.phase != claimActive {
		sooner(now.Add(limiterRetryDelay))
	}
	for _, l := range m.lookups {
		sooner(l.at)
	}
	return next
}

// Idle reports whether no order is active and all records are known to be in
// the log.
func (m *Machine) Idle() bool { return m.NoActiveOrders() && m.outbox.empty() }

// NoActiveOrders reports whether no order is in progress and no submission or
// settlement waits for a reply.
func (m *Machine) NoActiveOrders() bool {
	return len(m.waiters) == 0 && len(m.awaitingClaim) == 0 && len(m.refusals) == 0 &&
		len(m.settlements) == 0 && m.running() == 0
}

// Drained reports whether a draining machine has recorded all outcomes and
// closed its claims.
func (m *Machine) Drained() bool { return m.closeQueued && m.Idle() }

// running returns the number of local orders without an outcome.
func (m *Machine) running() int {
	n := 0
	for _, l := range m.localOrders {
		if l.state != localFinished {
			n++
		}
	}
	return n
}

// IsActiveOwner reports whether this router holds the partition under an
// active claim.
func (m *Machine) IsActiveOwner() bool { return m.held && m.claim.phase == claimActive }

// LogUnavailable reports whether the log did not respond recently.
func (m *Machine) LogUnavailable() bool { return m.log.down }

// BacklogSize returns the number of records that are not known to be in the
// log.
func (m *Machine) BacklogSize() int { return m.outbox.size() }

// Backlog returns the records that are not known to be in the log, oldest
// first, for another router to append.
func (m *Machine) Backlog() []Record { return m.outbox.records() }

// Ledger returns the state of the stream. The caller must not change it.
func (m *Machine) Ledger() *Ledger { return m.ledger }

// nonce returns a nonce that no other record has.
func (m *Machine) nonce() Nonce {
	m.seq++
	return Nonce{Process: m.cfg.Process, Seq: m.seq}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) sendReply(id SubmitID, r Reply) { m.emit(SendReply{ID: id, Reply: r}) }

// scheduleExpiry makes a Tick at the time at check the deadlines.
func (m *Machine) scheduleExpiry(at time.Time) {
	if m.nextDeadline.IsZero() || at.Before(m.nextDeadline) {
		m.nextDeadline = at
	}
}

// sortedKeys returns the keys of a map in order, so that the actions of a step
// do not depend on the iteration order of maps.
func sortedKeys[K cmp.Ordered, V any](in map[K]V) []K {
	return slices.Sorted(maps.Keys(in))
}
