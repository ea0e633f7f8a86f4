package journal

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/service/owner"
)

// partition carries out what the machine of one partition decides.
type partition struct {
	service *Service
	// ctx ends when the process stops.
	ctx      context.Context
	number   int
	stream   string
	resource owner.Resource

	mu      sync.Mutex
	machine *orders.Machine
	// term is the tenure that the machine was told of.
	term   uint64
	heldAt time.Time
	nextID orders.SubmitID
	// submissions are those that have no answer yet.
	submissions map[orders.SubmitID]*submission
	ownerRate   rate.Limit
	otherRate   rate.Limit
	// handedOver is true once another router has taken the records that the
	// log did not.
	handedOver bool
	wakeAt     time.Time
}

func newPartition(s *Service, n int, mints bool) *partition {
	return &partition{
		service:     s,
		ctx:         s.ctx,
		number:      n,
		stream:      s.stream(n),
		resource:    resourceOf(n),
		machine:     orders.New(s.machineConfig(n, mints)),
		submissions: make(map[orders.SubmitID]*submission),
	}
}

// step gives one input to the machine and carries out its actions.
func (p *partition) step(in orders.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepLocked(in)
}

func (p *partition) stepLocked(in orders.Input) {
	now := p.service.clock.Now()
	served := p.machine.IsActiveOwner()
	actions := p.machine.Step(now, in)
	if !served && p.machine.IsActiveOwner() && !p.heldAt.IsZero() {
		p.service.meters.takeover.Update(now.Sub(p.heldAt).Microseconds())
	}
	for _, a := range actions {
		p.act(a)
	}
	p.wakeAt = p.machine.NextTick(now)
}

// act starts one action. The caller holds the lock.
func (p *partition) act(a orders.Action) {
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

// tick lets time pass for the machine when it needs that.
func (p *partition) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.wakeAt) {
		p.stepLocked(orders.Tick{})
	}
}

// setHeld tells the machine that this router has gained or lost the partition.
func (p *partition) setHeld(held bool) {
	term := p.service.owners.Term(p.resource)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term = term
	p.heldAt = time.Time{}
	if held {
		p.heldAt = p.service.clock.Now()
	}
	p.machine.SetAppendLimit(p.service.clock.Now(), p.rate(held))
	p.stepLocked(orders.OwnershipChanged{Held: held})
}

func (p *partition) rate(held bool) rate.Limit {
	if held {
		return p.ownerRate
	}
	return p.otherRate
}

func (p *partition) setAppends(owner, other rate.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownerRate, p.otherRate = owner, other
	p.machine.SetAppendLimit(p.service.clock.Now(), p.rate(!p.heldAt.IsZero()))
}

func (p *partition) closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Drained()
}

func (p *partition) wasHandedOver() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handedOver
}

// append writes records to the log.
func (p *partition) append(ctx context.Context, a orders.Append) {
	m := &p.service.meters
	data := make([][]byte, len(a.Records))
	for i := range a.Records {
		encoded, err := a.Records[i].Encode()
		if err != nil {
			p.service.logger.WithError(err).Error("Order record can't be written.")
		}
		data[i] = encoded
		m.appendBytes.Inc(int64(len(encoded)))
	}
	m.appends.Inc(1)
	m.appendRecords.Inc(int64(len(data)))
	first, err := p.service.log.Append(ctx, p.stream, data...)
	if err != nil {
		m.appendsLost.Inc(1)
		p.service.logger.WithError(err).WithField("stream", p.stream).Warn("Append got no answer.")
		p.step(orders.AppendLost{Batch: a.Batch})
		return
	}
	p.step(orders.Appended{Batch: a.Batch, First: first})
}

// read reads the stream.
func (p *partition) read(ctx context.Context, a orders.Read) {
	m := &p.service.meters
	m.reads.Inc(1)
	page, err := p.service.log.Read(ctx, p.stream, a.From, readLimit, a.Wait)
	if err != nil {
		p.service.logger.WithError(err).WithField("stream", p.stream).Warn("Read got no answer.")
		p.step(orders.ReadFailed{})
		return
	}
	in := orders.ReadPage{Earliest: page.Earliest, Next: page.Next}
	for _, r := range page.Records {
		m.readBytes.Inc(int64(len(r.Data)))
		rec, err := orders.DecodeRecord(r.Data)
		if err != nil {
			p.service.logger.WithError(err).WithField("offset", r.Offset).Error("Order record skipped.")
		}
		in.Records = append(in.Records, orders.LoggedRecord{Offset: r.Offset, Time: r.Time, Record: rec})
	}
	p.step(in)
}

// confirm asks whether this router still holds the partition in the tenure
// that the machine knows.
func (p *partition) confirm(ctx context.Context, a orders.ConfirmOwnership, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := p.service.owners.Confirm(ctx, p.resource)
	ok := err == nil && term != 0 && p.service.owners.Term(p.resource) == term
	p.step(orders.OwnershipConfirmation{Round: a.Round, OK: ok})
}
