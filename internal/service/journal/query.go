package journal

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

// operation is what a query between routers asks for.
type operation uint8

const (
	opStatus operation = iota + 1
	opTickets
	opList
	opSettle
	opAdopt
)

// query is a question about orders from another router.
type query struct {
	Op        operation         `msgpack:"o"`
	Partition int               `msgpack:"n"`
	Key       string            `msgpack:"k,omitempty"`
	Account   fleet.Account     `msgpack:"a,omitempty"`
	Count     int               `msgpack:"c,omitempty"`
	Select    orders.ListFilter `msgpack:"s,omitempty"`
	Run       orders.Run        `msgpack:"r,omitempty"`
	Operator  string            `msgpack:"p,omitempty"`
	Records   []orders.Record   `msgpack:"x,omitempty"`
}

// result is the answer to a query.
type result struct {
	Orders []Order  `msgpack:"o,omitempty"`
	Keys   []string `msgpack:"k,omitempty"`
}

// ask puts a query to the router vm, which may be this one.
func (s *Service) ask(ctx context.Context, vm fleet.VM, q query) (result, error) {
	if vm == s.self() {
		return s.resolve(ctx, q)
	}
	payload, err := msgpack.Marshal(&q)
	if err != nil {
		return result{}, fmt.Errorf("encode query about orders: %w", err)
	}
	data, err := s.peers.Query(ctx, vm, peer.KindOrders, payload)
	if err != nil {
		return result{}, err
	}
	var r result
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return result{}, fmt.Errorf("decode answer about orders from %s: %w", vm, err)
	}
	return r, nil
}

// answerQuery answers another router.
func (s *Service) answerQuery(ctx context.Context, _ fleet.VM, payload []byte) ([]byte, error) {
	var q query
	if err := msgpack.Unmarshal(payload, &q); err != nil {
		return nil, &call.Error{Code: call.CodeBadRequest, Step: step, Peer: string(s.self()), Run: call.RunNot, Message: "cannot read query", Cause: err}
	}
	if count := s.partitionCount(); count == 0 || q.Partition < 0 || q.Partition >= count {
		return nil, &call.Error{Code: call.CodeNotOwner, Step: step, Peer: string(s.self()), Run: call.RunNot, Message: "no such partition here"}
	}
	r, err := s.resolve(ctx, q)
	if err != nil {
		return nil, err
	}
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode answer about orders: %w", err)
	}
	return data, nil
}

// resolve answers a query from this router's machines.
func (s *Service) resolve(ctx context.Context, q query) (result, error) {
	p := s.partition(q.Partition)
	switch q.Op {
	case opStatus:
		return p.status(ctx, q)
	case opTickets:
		return result{Keys: p.mint(q.Count)}, nil
	case opList:
		return p.list(q.Select), nil
	case opSettle:
		return result{}, p.settle(ctx, q)
	case opAdopt:
		p.step(orders.Adopt{Records: q.Records})
		return result{}, nil
	}
	return result{}, &call.Error{Code: call.CodeBadRequest, Step: step, Peer: string(s.self()), Run: call.RunNot, Message: "unknown query"}
}

// Status returns what is known of the account's order.
func (s *Service) Status(ctx context.Context, account fleet.Account, key string) (Order, error) {
	parsed, e := s.parse(key)
	if e != nil {
		return Order{}, e
	}
	n := parsed.Partition(s.partitionCount())
	q := query{Op: opStatus, Partition: n, Key: string(parsed.Key), Account: account}
	var last error
	for _, vm := range s.holders(parsed, n) {
		r, err := s.ask(ctx, vm, q)
		if err == nil && len(r.Orders) == 1 {
			return r.Orders[0], nil
		}
		last = err
	}
	if last != nil {
		return Order{}, last
	}
	return Order{}, s.noOwner(ctx, parsed.Key)
}

// holders returns the routers that may know an order: the one that minted its
// ticket, and the owner of its partition.
func (s *Service) holders(key orders.ParsedKey, n int) []fleet.VM {
	var out []fleet.VM
	if key.Ticket != nil {
		out = append(out, key.Ticket.Router)
	}
	if vm, ok := s.owners.Owner(resourceOf(n)); ok && !slices.Contains(out, vm) {
		out = append(out, vm)
	}
	return out
}

// status answers from one partition's machine.
func (p *partition) status(ctx context.Context, q query) (result, error) {
	key, e := p.service.parse(q.Key)
	if e != nil {
		return result{}, e
	}
	if v, ok := p.view(key.Key); ok {
		if v.Identity.Account != q.Account {
			return result{}, notFound(q.Key)
		}
		p.service.complete(ctx, p, &v)
		return result{Orders: []Order{orderOf(v)}}, nil
	}
	if p.neverSent(ctx, key) {
		return result{Orders: []Order{{Key: q.Key, Account: q.Account, Run: call.RunNot, At: key.Minted}}}, nil
	}
	return result{}, &call.Error{Code: call.CodeUnknownOutcome, Step: step, Peer: string(p.service.self()), Run: call.RunUnknown,
		Message: "nothing is known of this order here", StatusLink: statusLink(key.Key)}
}

func (p *partition) view(k orders.Key) (orders.View, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.View(p.service.clock.Now(), k)
}

// neverSent reports whether the order is known not to have been sent so far.
func (p *partition) neverSent(ctx context.Context, key orders.ParsedKey) bool {
	p.mu.Lock()
	term := p.term
	p.mu.Unlock()
	if key.Ticket == nil {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if p.service.owners.Confirm(ctx, p.resource) != nil || term == 0 || p.service.owners.Term(p.resource) != term {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.NeverSent(key)
}

// complete reads the body of a recorded answer.
func (s *Service) complete(ctx context.Context, p *partition, v *orders.View) {
	if !v.BodyInLog {
		return
	}
	if body, err := p.fetch(ctx, v.Offset); err == nil {
		v.Outcome.Body = body
	}
}

func notFound(key string) *call.Error {
	return &call.Error{Code: call.CodeNotFound, Step: step, Run: call.RunUnknown, Message: "no order with this key", StatusLink: statusLink(orders.Key(key))}
}

func orderOf(v orders.View) Order {
	return Order{
		Key:         string(v.Key),
		Account:     v.Identity.Account,
		Service:     v.Identity.Service,
		Run:         runOf(v.Run),
		Running:     v.Running,
		Target:      v.Outcome.Target,
		At:          v.At,
		Status:      v.Outcome.Status,
		ContentType: v.Outcome.ContentType,
		Body:        v.Outcome.Body,
		Router:      v.Router,
		SettledBy:   v.Operator,
	}
}

// Tickets returns keys that the routers of this site can run while the log is
// away: this router's own, or another one's when it has no claim.
func (s *Service) Tickets(ctx context.Context, _ fleet.Account, n int) ([]string, error) {
	n = min(max(n, 1), maxTickets)
	for _, p := range s.allPartitions() {
		if keys := p.mint(n); len(keys) > 0 {
			return keys, nil
		}
	}
	for i := range s.partitionCount() {
		vm, ok := s.owners.Owner(resourceOf(i))
		if !ok || vm == s.self() {
			continue
		}
		if r, err := s.ask(ctx, vm, query{Op: opTickets, Partition: i, Count: n}); err == nil && len(r.Keys) > 0 {
			return r.Keys, nil
		}
	}
	return nil, &call.Error{Code: call.CodeLogUnavailable, Step: step, Peer: string(s.self()), Run: call.RunNot,
		Message: "no router that was reached has a claim in the log", RetryAfter: forwardRetry}
}

func (p *partition) mint(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := p.machine.Mint(p.service.clock.Now(), n)
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = string(k)
	}
	return out
}

// List returns orders of all accounts, the newest first. Partitions whose
// owner can't be reached make it an error.
func (s *Service) List(ctx context.Context, f Filter) ([]Order, error) {
	limit := f.Limit
	if limit <= 0 || limit > maxList {
		limit = maxList
	}
	sel := orders.ListFilter{Account: f.Account, UnknownOnly: f.UnknownOnly, Limit: limit}
	var out []Order
	for n := range s.partitionCount() {
		vm, ok := s.owners.Owner(resourceOf(n))
		if !ok {
			return nil, &call.Error{Code: call.CodeNotOwner, Step: step, Run: call.RunNot,
				Message: fmt.Sprintf("partition %d has no owner now", n), RetryAfter: time.Second}
		}
		r, err := s.ask(ctx, vm, query{Op: opList, Partition: n, Select: sel})
		if err != nil {
			return nil, fmt.Errorf("list orders of partition %d: %w", n, err)
		}
		out = append(out, r.Orders...)
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(len(out), limit)], nil
}

func (p *partition) list(sel orders.ListFilter) result {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r result
	for _, v := range p.machine.List(p.service.clock.Now(), sel) {
		r.Orders = append(r.Orders, orderOf(v))
	}
	return r
}

// Settle records the outcome of an order that stayed unknown.
func (s *Service) Settle(ctx context.Context, key string, run call.Run, operator string) error {
	parsed, e := s.parse(key)
	if e != nil {
		return e
	}
	outcome := orders.RunDone
	switch run {
	case call.RunDone:
	case call.RunNot:
		outcome = orders.RunNot
	default:
		return &call.Error{Code: call.CodeBadRequest, Step: step, Run: call.RunNot, Message: "an order is settled as ran or not_run"}
	}
	n := parsed.Partition(s.partitionCount())
	vm, ok := s.owners.Owner(resourceOf(n))
	if !ok {
		return s.noOwner(ctx, parsed.Key)
	}
	_, err := s.ask(ctx, vm, query{Op: opSettle, Partition: n, Key: string(parsed.Key), Run: outcome, Operator: operator})
	return err
}

// settleLimit is the time in which a settlement must be in the log.
const settleLimit = 5 * time.Second

func (p *partition) settle(ctx context.Context, q query) error {
	sub := &submission{reply: make(chan orders.Reply, 1), sink: &outlet{}}
	p.mu.Lock()
	p.nextID++
	id := p.nextID
	p.submissions[id] = sub
	p.stepLocked(orders.Settle{
		ID: id, Key: orders.Key(q.Key), Run: q.Run, Operator: q.Operator,
		Deadline: p.service.clock.Now().Add(settleLimit),
	})
	p.mu.Unlock()
	select {
	case r := <-sub.reply:
		return p.service.settleError(orders.Key(q.Key), q.Operator, r)
	case <-ctx.Done():
		p.cancel(id)
		return p.service.noOwner(ctx, orders.Key(q.Key))
	}
}

func (s *Service) settleError(k orders.Key, operator string, r orders.Reply) error {
	if r.Reason == orders.ReasonNotOwner {
		return &call.Error{Code: call.CodeNotOwner, Step: step, Peer: string(s.self()), Run: call.RunNot,
			Message: "the partition is changing its owner", RetryAfter: time.Second}
	}
	if r.Operator == operator {
		return nil
	}
	text, ok := reasonText[r.Reason]
	if !ok {
		text = reasonText[orders.ReasonOutcomeKnown]
	}
	return &call.Error{Code: text.code, Message: text.text, Step: step, Peer: string(s.self()), Run: runOf(r.Run), StatusLink: statusLink(k)}
}
