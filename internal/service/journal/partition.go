package journal

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/service/owner"
)

// partition connects the machine of one partition with the log, the targets
// and the callers. Actions that wait for one of these run in goroutines, and
// their results are the next inputs of the machine.
type partition struct {
	service *Service
	// ctx ends when the process stops.
	ctx      context.Context
	number   int
	stream   string
	resource owner.Resource

	mu      sync.Mutex
	machine *orders.Machine
	// term is the ownership term of the partition that the machine knows, or
	// zero.
	term uint64
	// heldAt is when this router acquired the partition; zero when it does not
	// hold it.
	heldAt time.Time
	nextID orders.SubmitID
	// submissions holds the submissions without a reply.
	submissions map[orders.SubmitID]*submission
	// ownerLimit and nonOwnerLimit are the limits of appends per second while
	// this router holds the partition and while it does not.
	ownerLimit    rate.Limit
	nonOwnerLimit rate.Limit
	// handedOver is true once another router has taken the records that the
	// unavailable log did not.
	handedOver bool
	// nextTick is the time at which the machine needs its next Tick.
	nextTick time.Time
}

// newPartition returns the state of partition n. With mints, its machine
// claims the right to mint tickets.
func newPartition(s *Service, n int, mints bool) *partition {
	return &partition{
		service:     s,
		ctx:         s.ctx,
		number:      n,
		stream:      s.streamName(n),
		resource:    resourceOf(n),
		machine:     orders.New(s.machineConfig(n, mints)),
		submissions: make(map[orders.SubmitID]*submission),
	}
}

// step passes one input to the machine and starts its actions.
func (p *partition) step(in orders.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepLocked(in)
}

// stepLocked is step for a caller that holds the lock.
func (p *partition) stepLocked(in orders.Input) {
	now := p.service.clock.Now()
	served := p.machine.IsActiveOwner()
	actions := p.machine.Step(now, in)
	if !served && p.machine.IsActiveOwner() && !p.heldAt.IsZero() {
		p.service.meters.takeover.Update(now.Sub(p.heldAt).Microseconds())
	}
	for _, a := range actions {
		p.execute(a)
	}
	p.nextTick = p.machine.NextTick(now)
}

// execute starts one action. The caller holds the lock.
func (p *partition) execute(a orders.Action) {
	ctx := p.ctx
	switch a := a.(type) {
	case orders.Append:
		go p.append(ctx, a)
	case orders.Read:
		go p.read(ctx, a)
	case orders.ConfirmOwnership:
		go p.confirm(ctx, a, p.term)
	case orders.Lookup:
		go p.lookUp(ctx, a)
	case orders.Dispatch:
		go p.dispatch(ctx, a, p.submissions[a.ID])
	case orders.SendReply:
		if sub, ok := p.submissions[a.ID]; ok {
			delete(p.submissions, a.ID)
			sub.reply <- a.Reply
		}
	}
}

// tick passes a Tick to the machine if one is due.
func (p *partition) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.nextTick) {
		p.stepLocked(orders.Tick{})
	}
}

// setHeld tells the machine that this router has acquired or released the
// partition.
func (p *partition) setHeld(held bool) {
	term := p.service.owners.Term(p.resource)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term = term
	p.heldAt = time.Time{}
	if held {
		p.heldAt = p.service.clock.Now()
	}
	p.machine.SetAppendLimit(p.service.clock.Now(), p.appendLimit(held))
	p.stepLocked(orders.OwnershipChanged{Held: held})
}

func (p *partition) appendLimit(held bool) rate.Limit {
	if held {
		return p.ownerLimit
	}
	return p.nonOwnerLimit
}

// setAppendLimits sets the limits of appends per second for a partition that
// this router holds, and for one that it does not hold.
func (p *partition) setAppendLimits(owner, other rate.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownerLimit, p.nonOwnerLimit = owner, other
	p.machine.SetAppendLimit(p.service.clock.Now(), p.appendLimit(!p.heldAt.IsZero()))
}

// drained reports whether the machine has recorded all outcomes and closed its
// claims.
func (p *partition) drained() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Drained()
}

func (p *partition) wasHandedOver() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handedOver
}

// append writes records to the log. When the log does not respond, the records
// may be in the stream all the same, so the machine is told that the append
// was lost.
func (p *partition) append(ctx context.Context, a orders.Append) {
	m := &p.service.meters
	data := make([][]byte, len(a.Records))
	for i := range a.Records {
		encoded, err := a.Records[i].Encode()
		if err != nil {
			p.service.logger.WithError(err).Error("Order record could not be encoded.")
		}
		data[i] = encoded
		m.appendBytes.Inc(int64(len(encoded)))
	}
	m.appends.Inc(1)
	m.appendRecords.Inc(int64(len(data)))
	first, err := p.service.log.Append(ctx, p.stream, data...)
	if err != nil {
		m.appendsLost.Inc(1)
		p.service.logger.WithError(err).WithField("stream", p.stream).Warn("Append got no response.")
		p.step(orders.AppendLost{Batch: a.Batch})
		return
	}
	p.step(orders.Appended{Batch: a.Batch, First: first})
}

// read reads the next page of the stream.
func (p *partition) read(ctx context.Context, a orders.Read) {
	m := &p.service.meters
	m.reads.Inc(1)
	page, err := p.service.log.Read(ctx, p.stream, a.From, readPageSize, a.Wait)
	if err != nil {
		p.service.logger.WithError(err).WithField("stream", p.stream).Warn("Read got no response.")
		p.step(orders.ReadFailed{})
		return
	}
	in := orders.ReadPage{Earliest: page.Earliest, Next: page.Next}
	for _, r := range page.Records {
		m.readBytes.Inc(int64(len(r.Data)))
		rec, err := orders.DecodeRecord(r.Data)
		if err != nil {
			p.service.logger.WithError(err).WithField("offset", r.Offset).Error("Order record could not be decoded.")
		}
		in.Records = append(in.Records, orders.LoggedRecord{Offset: r.Offset, Time: r.Time, Record: rec})
	}
	p.step(in)
}

// confirm asks whether this router still holds the partition in the given
// term, which is the term that the machine knows.
func (p *partition) confirm(ctx context.Context, a orders.ConfirmOwnership, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := p.service.owners.Confirm(ctx, p.resource)
	ok := err == nil && term != 0 && p.service.owners.Term(p.resource) == term
	p.step(orders.OwnershipConfirmation{Round: a.Round, OK: ok})
}
