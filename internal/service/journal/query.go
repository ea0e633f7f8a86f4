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
	"github.com/zinniafork/zinniafork/internal/wire"
)

// operation is the kind of a query between routers.
type operation uint8

// Kinds of queries. opAdopt hands over records that the sender could not append.
const (
	opStatus operation = iota + 1
	opTickets
	opList
	opSettle
	opAdopt
)

// query is a request about the orders of one partition to another router. Each
// operation uses its own part of the fields.
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

// queryResult is the result of a query: orders for opStatus and opList, keys
// for opTickets.
type queryResult struct {
	Orders []Order  `msgpack:"o,omitempty"`
	Keys   []string `msgpack:"k,omitempty"`
}

// queryRouter executes a query at the router vm, which may be this one.
func (s *Service) queryRouter(ctx context.Context, vm fleet.VM, q query) (queryResult, error) {
	if vm == s.self() {
		return s.execute(ctx, q)
	}
	payload, err := msgpack.Marshal(&q)
	if err != nil {
		return queryResult{}, fmt.Errorf("encode order query: %w", err)
	}
	data, err := s.peers.Query(ctx, vm, peer.KindOrders, payload)
	if err != nil {
		return queryResult{}, err
	}
	var r queryResult
	if err := wire.Unmarshal(data, &r); err != nil {
		return queryResult{}, fmt.Errorf("decode order query result from %s: %w", vm, err)
	}
	return r, nil
}

// handleQuery executes the query of another router.
func (s *Service) handleQuery(ctx context.Context, _ fleet.VM, payload []byte) ([]byte, error) {
	var q query
	if err := wire.Unmarshal(payload, &q); err != nil {
		return nil, &call.Error{Code: call.CodeBadRequest, Step: step, Peer: string(s.self()), Run: call.RunNot, Message: "cannot decode order query", Cause: err}
	}
	if count := s.partitionCount(); count == 0 || q.Partition < 0 || q.Partition >= count {
		return nil, &call.Error{Code: call.CodeNotOwner, Step: step, Peer: string(s.self()), Run: call.RunNot, Message: "this router has no such partition"}
	}
	r, err := s.execute(ctx, q)
	if err != nil {
		return nil, err
	}
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode order query result: %w", err)
	}
	return data, nil
}

// execute executes a query at this router's machine of the partition.
func (s *Service) execute(ctx context.Context, q query) (queryResult, error) {
	p := s.partition(q.Partition)
	switch q.Op {
	case opStatus:
		return p.status(ctx, q)
	case opTickets:
		return queryResult{Keys: p.mint(q.Count)}, nil
	case opList:
		return p.list(q.Select), nil
	case opSettle:
		return queryResult{}, p.settle(ctx, q)
	case opAdopt:
		p.step(orders.Adopt{Records: q.Records})
		return queryResult{}, nil
	}
	return queryResult{}, &call.Error{Code: call.CodeBadRequest, Step: step, Peer: string(s.self()), Run: call.RunNot, Message: "unknown kind of order query"}
}

// Status returns the state of the account's order. It asks the routers that
// may know the order one after the other.
func (s *Service) Status(ctx context.Context, account fleet.Account, key string) (Order, error) {
	parsed, e := s.parseKey(key)
	if e != nil {
		return Order{}, e
	}
	n := parsed.Partition(s.partitionCount())
	q := query{Op: opStatus, Partition: n, Key: string(parsed.Key), Account: account}
	var last error
	for _, vm := range s.candidateRouters(parsed, n) {
		r, err := s.queryRouter(ctx, vm, q)
		if err == nil && len(r.Orders) == 1 {
			return r.Orders[0], nil
		}
		last = err
	}
	if last != nil {
		return Order{}, statusError(parsed.Key, last)
	}
	return Order{}, s.noOwnerError(ctx, parsed.Key)
}

// statusError returns the error of a router that was asked for an order. "Not run" is
// true of the question then, and says nothing of the order.
func statusError(k orders.Key, err error) *call.Error {
	e := *call.AsError(err)
	e.Run, e.StatusLink = call.RunUnknown, statusLink(k)
	return &e
}

// candidateRouters returns the routers that may know an order: the one that
// minted its ticket, and the owner of its partition.
func (s *Service) candidateRouters(key orders.ParsedKey, n int) []fleet.VM {
	var out []fleet.VM
	if key.Ticket != nil {
		out = append(out, key.Ticket.Router)
	}
	if vm, ok := s.owners.Owner(resourceOf(n)); ok && !slices.Contains(out, vm) {
		out = append(out, vm)
	}
	return out
}

// status returns the state of an order as this router knows it. Without a
// record of the order, it is RunNot only if the order is known not to have
// been sent.
func (p *partition) status(ctx context.Context, q query) (queryResult, error) {
	key, e := p.service.parseKey(q.Key)
	if e != nil {
		return queryResult{}, e
	}
	if v, ok := p.view(key.Key); ok {
		if v.Identity.Account != q.Account {
			return queryResult{}, notFoundError(q.Key)
		}
		p.service.loadBody(ctx, p, &v)
		return queryResult{Orders: []Order{orderOf(v)}}, nil
	}
	if p.neverSent(ctx, key) {
		return queryResult{Orders: []Order{{Key: q.Key, Account: q.Account, Run: call.RunNot, At: key.Minted}}}, nil
	}
	return queryResult{}, &call.Error{Code: call.CodeUnknownOutcome, Step: step, Peer: string(p.service.self()), Run: call.RunUnknown,
		Message: "this router has no record of this order", StatusLink: statusLink(key.Key)}
}

// view returns the state of an order, or false when the machine knows nothing
// of it.
func (p *partition) view(k orders.Key) (orders.View, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.View(p.service.clock.Now(), k)
}

// neverSent reports whether the order has certainly not been sent so far. For
// a key that is not a ticket, that requires a confirmation that this router
// still holds the partition in the term that the machine knows.
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

// loadBody reads the response body of an order from the log if it is not in
// memory. The body stays empty when the log does not return it.
func (s *Service) loadBody(ctx context.Context, p *partition, v *orders.View) {
	if !v.BodyInLog {
		return
	}
	if body, err := p.readRecordedBody(ctx, v.Offset); err == nil {
		v.Outcome.Body = body
	}
}

// notFoundError is the error for an order of another account. It does not
// reveal that the order exists.
func notFoundError(key string) *call.Error {
	return &call.Error{Code: call.CodeNotFound, Step: step, Run: call.RunUnknown, Message: "no order with this key", StatusLink: statusLink(orders.Key(key))}
}

// orderOf converts the machine's view of an order.
func orderOf(v orders.View) Order {
	return Order{
		Key:         string(v.Key),
		Account:     v.Identity.Account,
		Service:     v.Identity.Service,
		Run:         callRunOf(v.Run),
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

// Tickets returns newly minted tickets: of this router, or of an owner of a
// partition when no claim of this router is in the log. The number n is
// limited to maxTickets.
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
		if r, err := s.queryRouter(ctx, vm, query{Op: opTickets, Partition: i, Count: n}); err == nil && len(r.Keys) > 0 {
			return r.Keys, nil
		}
	}
	return nil, &call.Error{Code: call.CodeLogUnavailable, Step: step, Peer: string(s.self()), Run: call.RunNot,
		Message: "no reachable router has the claim in the log that tickets need", RetryAfter: forwardRetryDelay}
}

// mint returns n new tickets, or none when this router has no claim in the
// log.
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

// List returns orders of all accounts, newest first. It fails if the owner of
// any partition is unknown or cannot be reached.
func (s *Service) List(ctx context.Context, f Filter) ([]Order, error) {
	limit := f.Limit
	if limit <= 0 || limit > maxListLength {
		limit = maxListLength
	}
	filter := orders.ListFilter{Account: f.Account, UnknownOnly: f.UnknownOnly, Limit: limit}
	var out []Order
	for n := range s.partitionCount() {
		vm, ok := s.owners.Owner(resourceOf(n))
		if !ok {
			return nil, &call.Error{Code: call.CodeNotOwner, Step: step, Run: call.RunNot,
				Message: fmt.Sprintf("partition %d has no owner now", n), RetryAfter: time.Second}
		}
		r, err := s.queryRouter(ctx, vm, query{Op: opList, Partition: n, Select: filter})
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

func (p *partition) list(filter orders.ListFilter) queryResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r queryResult
	for _, v := range p.machine.List(p.service.clock.Now(), filter) {
		r.Orders = append(r.Orders, orderOf(v))
	}
	return r
}

// Settle records the outcome of an order whose outcome is unknown, at the
// owner of its partition.
func (s *Service) Settle(ctx context.Context, key string, run call.Run, operator string) error {
	parsed, e := s.parseKey(key)
	if e != nil {
		return e
	}
	outcome := orders.RunDone
	switch run {
	case call.RunDone:
	case call.RunNot:
		outcome = orders.RunNot
	default:
		return &call.Error{Code: call.CodeBadRequest, Step: step, Run: call.RunNot, Message: "an order can only be settled as ran or not_run"}
	}
	n := parsed.Partition(s.partitionCount())
	vm, ok := s.owners.Owner(resourceOf(n))
	if !ok {
		return s.noOwnerError(ctx, parsed.Key)
	}
	_, err := s.queryRouter(ctx, vm, query{Op: opSettle, Partition: n, Key: string(parsed.Key), Run: outcome, Operator: operator})
	return err
}

// settleTimeout is the time in which a settlement must be in the log.
const settleTimeout = 5 * time.Second

// settle passes a settlement to the machine and waits for the reply.
func (p *partition) settle(ctx context.Context, q query) error {
	sub := &submission{reply: make(chan orders.Reply, 1), sink: &detachableSink{}}
	p.mu.Lock()
	p.nextID++
	id := p.nextID
	p.submissions[id] = sub
	p.stepLocked(orders.Settle{
		ID: id, Key: orders.Key(q.Key), Run: q.Run, Operator: q.Operator,
		Deadline: p.service.clock.Now().Add(settleTimeout),
	})
	p.mu.Unlock()
	select {
	case r := <-sub.reply:
		return p.service.settleError(orders.Key(q.Key), q.Operator, r)
	case <-ctx.Done():
		p.cancel(id)
		return p.service.noOwnerError(ctx, orders.Key(q.Key))
	}
}

// settleError returns the error for the reply to a settlement. It is nil when
// the order is settled by the same operator, so that a settlement can be
// retried.
func (s *Service) settleError(k orders.Key, operator string, r orders.Reply) error {
	if r.Reason == orders.ReasonNotOwner {
		return &call.Error{Code: call.CodeNotOwner, Step: step, Peer: string(s.self()), Run: call.RunNot,
			Message: "the owner of the partition is changing", RetryAfter: time.Second}
	}
	if r.Operator == operator {
		return nil
	}
	reason, ok := reasonErrors[r.Reason]
	if !ok {
		reason = reasonErrors[orders.ReasonOutcomeKnown]
	}
	return &call.Error{Code: reason.code, Message: reason.message, Step: step, Peer: string(s.self()), Run: callRunOf(r.Run), StatusLink: statusLink(k)}
}
