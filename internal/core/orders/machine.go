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
	// maxBatch limits the records of one append.
	maxBatch = 256
	// maxInFlight limits the appends that wait for an answer.
	maxInFlight = 4
	// answerCacheSize is the number of recent answers whose bodies are kept.
	answerCacheSize = 512
	// lazyFlush is how long an outcome may wait for an intent to share its
	// append with.
	lazyFlush = 100 * time.Millisecond
	// idlePoll is the period of reads while nothing is expected.
	idlePoll = 5 * time.Second
	// longPoll is the time for which a read may wait for another router's
	// outcome.
	longPoll = 2 * time.Second
	// probePeriod is the time between tries to reach a log that is away.
	probePeriod = time.Second
	// claimRetry is the time before a claim that was superseded or not
	// confirmed is tried again.
	claimRetry = 300 * time.Millisecond
	// limiterRetry is the time after which an append that found no budget is
	// tried again.
	limiterRetry = 10 * time.Millisecond
	// ticketPatience is how long a ticket waits for the log before it runs
	// from memory.
	ticketPatience = time.Second
	// housekeeping is the period of dropping and carrying over old orders.
	housekeeping = time.Minute
	// retryAfter is what a caller is told when the log is away.
	retryAfter = 2 * time.Second
	// lookupFirst and lookupTries shape how often targets are asked for an
	// outcome; the time between tries doubles.
	lookupFirst = 500 * time.Millisecond
	lookupTries = 7
)

// Config is what a machine is told when it is made.
type Config struct {
	Partition   int
	Router      fleet.VM
	Incarnation fleet.Incarnation
	// Process is a random number of this process.
	Process uint64
	// Window is the age beyond which a key is expired.
	Window time.Duration
	// MaxKeyAhead is how far a key may be dated ahead of this router's clock.
	MaxKeyAhead time.Duration
	// MaxClockSkew bounds how far the clocks of routers and the log differ.
	MaxClockSkew time.Duration
	// Retention is the shortest time for which the log keeps records.
	Retention time.Duration
	// MintsTickets makes the machine claim the right to mint tickets even
	// while it does not hold the partition.
	MintsTickets bool
	// MaxQueue limits the records that wait to be appended.
	MaxQueue int
	// AppendLimit limits the appends per second.
	AppendLimit rate.Limit
}

// appendBurst is the number of appends that may follow each other at once.
const appendBurst = 4

// Machine is the state of one router for one partition.
type Machine struct {
	cfg     Config
	ledger  *Ledger
	seq     uint64
	limiter *rate.Limiter
	out     []Action

	log    logState
	outbox outbox
	claim  claimState

	// local holds the orders that this router has an intent for, tickets those
	// of its own claims that it has run.
	local   map[Key]*local
	tickets map[Key]*ticketRun
	// waiting holds the submissions that wait for an order, the one that is
	// dispatched first.
	waiting  map[Key][]Submit
	parked   []Submit
	refusals []refusal
	settles  map[Nonce]Settle
	lookups  map[Key]lookup
	answers  *simplelru.LRU[Key, []byte]

	confirming bool
	round      uint64

	held         bool
	closing      bool
	closeQueued  bool
	nextDeadline time.Time
	cleanAt      time.Time
}

// New returns a machine that does not hold its partition.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg,
		ledger:  NewLedger(),
		limiter: rate.NewLimiter(cfg.AppendLimit, appendBurst),
		outbox:  outbox{flight: make(map[uint64]flight)},
		claim:   claimState{own: make(map[uint64]struct{})},
		local:   make(map[Key]*local),
		tickets: make(map[Key]*ticketRun),
		waiting: make(map[Key][]Submit),
		settles: make(map[Nonce]Settle),
		lookups: make(map[Key]lookup),
		answers: newAnswers(),
	}
}

func newAnswers() *simplelru.LRU[Key, []byte] {
	cache, err := simplelru.NewLRU[Key, []byte](answerCacheSize, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return cache
}

// Step takes one input at the time now and returns what must be done.
func (m *Machine) Step(now time.Time, in Input) []Action {
	m.out = nil
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
		m.dispatched(now, in)
	case LookupResult:
		m.lookedUp(now, in)
	case OwnershipConfirmation:
		m.confirmed(now, in)
	case OwnershipChanged:
		m.owned(in.Held)
	case Settle:
		m.settle(now, in)
	case Adopt:
		m.adopt(now, in.Records)
	case Drain:
		m.startClosing(now)
	case Tick:
		m.tick(now)
	}
	m.plan(now)
	out := m.out
	m.out = nil
	return out
}

// plan issues the appends, reads and confirmations that the state calls for.
func (m *Machine) plan(now time.Time) {
	m.planClaim(now)
	m.planClose(now)
	m.planAppend(now)
	m.planRead(now)
	m.planConfirm(now)
}

// SetAppendLimit changes the limit of appends per second.
func (m *Machine) SetAppendLimit(now time.Time, limit rate.Limit) { m.limiter.SetLimitAt(now, limit) }

// NextTick returns the time of the next Tick that the machine needs.
func (m *Machine) NextTick(now time.Time) time.Time {
	wake := now.Add(idlePoll)
	sooner := func(at time.Time) {
		if !at.IsZero() && at.Before(wake) {
			wake = at
		}
	}
	sooner(m.nextDeadline)
	if m.log.down {
		sooner(m.log.probeAt)
	} else if len(m.outbox.queue) > 0 {
		sooner(now.Add(limiterRetry))
	}
	if m.follows() {
		sooner(m.log.idleAt)
	}
	if m.held && m.claim.phase != claimActive {
		sooner(now.Add(limiterRetry))
	}
	for _, l := range m.lookups {
		sooner(l.at)
	}
	return wake
}

// Idle reports whether nothing is running, waiting or still to be recorded.
func (m *Machine) Idle() bool { return m.NoActiveOrders() && m.outbox.empty() }

// NoActiveOrders reports whether nothing is running or waiting.
func (m *Machine) NoActiveOrders() bool {
	return len(m.waiting) == 0 && len(m.parked) == 0 && len(m.refusals) == 0 &&
		len(m.settles) == 0 && m.running() == 0
}

// Drained reports whether a closing machine has recorded all it knows and closed
// its claims.
func (m *Machine) Drained() bool { return m.closeQueued && m.Idle() }

// running counts the orders that were sent and have no outcome yet.
func (m *Machine) running() int {
	n := 0
	for _, l := range m.local {
		if l.state != localOver {
			n++
		}
	}
	return n
}

// IsActiveOwner reports whether the machine holds the partition with a claim that
// stands.
func (m *Machine) IsActiveOwner() bool { return m.held && m.claim.phase == claimActive }

// LogUnavailable reports whether the log gave no answer lately.
func (m *Machine) LogUnavailable() bool { return m.log.down }

// BacklogSize returns the number of records that are not known to be in the log.
func (m *Machine) BacklogSize() int { return m.outbox.size() }

// Backlog returns the records that are not known to be in the log, oldest
// first, for another router to append.
func (m *Machine) Backlog() []Record { return m.outbox.records() }

// Ledger returns what the machine knows of the stream. The caller must not
// change it.
func (m *Machine) Ledger() *Ledger { return m.ledger }

// nonce returns a number that no other intent has.
func (m *Machine) nonce() Nonce {
	m.seq++
	return Nonce{Process: m.cfg.Process, Seq: m.seq}
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) answer(id SubmitID, r Reply) { m.emit(SendReply{ID: id, Reply: r}) }

// expect makes sure that the machine looks at its deadlines at the time at.
func (m *Machine) expect(at time.Time) {
	if m.nextDeadline.IsZero() || at.Before(m.nextDeadline) {
		m.nextDeadline = at
	}
}

// sortedKeys returns the keys of a map in order, so that the actions of a step
// do not depend on the order of a map.
func sortedKeys[K cmp.Ordered, V any](in map[K]V) []K {
	return slices.Sorted(maps.Keys(in))
}
