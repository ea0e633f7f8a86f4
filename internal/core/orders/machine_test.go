package orders_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// node is one machine with what it has asked for.
type node struct {
	t       *testing.T
	m       *orders.Machine
	now     time.Time
	actions []orders.Action
}

func newNode(t *testing.T) *node {
	return &node{t: t, now: minted.Add(time.Second), m: orders.New(orders.Config{
		Router: "vm-1", Process: 1, Window: time.Hour, MaxKeyAhead: time.Second, MaxClockSkew: time.Second,
		MaxQueue: 10, AppendLimit: rate.Inf,
	})}
}

func (n *node) step(in orders.Input) { n.actions = append(n.actions, n.m.Step(n.now, in)...) }

// take removes and returns the first pending action of a type.
func take[A orders.Action](n *node) A {
	n.t.Helper()
	for i, a := range n.actions {
		if found, ok := a.(A); ok {
			n.actions = append(n.actions[:i:i], n.actions[i+1:]...)
			return found
		}
	}
	var none A
	n.t.Fatalf("no %T among %+v", none, n.actions)
	return none
}

func has[A orders.Action](n *node) bool {
	for _, a := range n.actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

// own makes the machine the owner of an empty partition.
func (n *node) own() {
	n.t.Helper()
	n.step(orders.OwnershipChanged{Held: true})
	take[orders.Read](n)
	n.step(orders.ReadPage{})
	claimed := take[orders.Append](n)
	n.step(orders.Appended{Batch: claimed.Batch, First: 0})
	n.step(orders.OwnershipConfirmation{Round: take[orders.ConfirmOwnership](n).Round, OK: true})
	must.True(n.t, n.m.IsActiveOwner())
}

func (n *node) submit(id orders.SubmitID, k orders.Key) {
	parsed, err := orders.ParseKey(string(k))
	must.NoError(n.t, err)
	n.step(orders.Submit{ID: id, Key: parsed, Deadline: n.now.Add(5 * time.Second)})
}

func logged(offset uint64, at time.Time, r orders.Record) orders.LoggedRecord {
	return orders.LoggedRecord{Offset: offset, Time: at, Record: r}
}

func TestOneAppendAndNoReadForAnOrder(t *testing.T) {
	n := newNode(t)
	n.own()
	n.submit(1, key)
	a := take[orders.Append](n)
	must.False(t, has[orders.Dispatch](n))
	n.step(orders.Appended{Batch: a.Batch, First: 1})
	must.False(t, has[orders.Read](n))
	must.Eq(t, 1, take[orders.Dispatch](n).ID)
}

func TestGapIsReadBeforeTheDispatch(t *testing.T) {
	n := newNode(t)
	n.own()
	n.submit(1, key)
	a := take[orders.Append](n)
	n.step(orders.Appended{Batch: a.Batch, First: 2})
	must.False(t, has[orders.Dispatch](n))
	r := take[orders.Read](n)
	must.Eq(t, 1, r.From)
	n.step(orders.ReadPage{Next: 3, Records: []orders.LoggedRecord{
		logged(1, n.now, intent(key, ownB, 0)), logged(2, n.now, a.Records[0]),
	}})
	must.False(t, has[orders.Dispatch](n))
}

func TestManyOrdersShareAnAppend(t *testing.T) {
	n := newNode(t)
	n.own()
	for i := range 4 {
		n.submit(orders.SubmitID(i), orders.NewKey(minted, [10]byte{byte(i)}))
		take[orders.Append](n)
	}
	for i := 4; i < 9; i++ {
		n.submit(orders.SubmitID(i), orders.NewKey(minted, [10]byte{byte(i)}))
		must.False(t, has[orders.Append](n))
	}
	n.step(orders.Appended{Batch: 2, First: 1})
	must.Len(t, 5, take[orders.Append](n).Records)
}

// An earlier intent and the claim that made it the winner may have been
// dropped from the log before this router has read them. Then its own intent
// seems to stand, and nothing can be said of the order.
func TestOwnIntentBehindDroppedRecords(t *testing.T) {
	n := newNode(t)
	n.own()
	n.submit(1, key)
	a := take[orders.Append](n)
	n.step(orders.Appended{Batch: a.Batch, First: 5})
	take[orders.Read](n)
	n.step(orders.ReadPage{Earliest: 5, Next: 6, Records: []orders.LoggedRecord{logged(5, n.now, a.Records[0])}})
	must.False(t, has[orders.Dispatch](n))
	must.Eq(t, orders.RunUnknown, take[orders.SendReply](n).Reply.Run)
}

func TestKeysDatedAhead(t *testing.T) {
	n := newNode(t)
	n.own()
	n.submit(1, orders.NewKey(n.now.Add(time.Minute), [10]byte{1}))
	must.False(t, has[orders.Append](n))
	n.step(orders.OwnershipConfirmation{Round: take[orders.ConfirmOwnership](n).Round, OK: true})
	reply := take[orders.SendReply](n).Reply
	must.Eq(t, orders.ReasonKeyInFuture, reply.Reason)
	must.Eq(t, orders.RunNot, reply.Run)
}

func TestLostAppendIsResentUnderTheSameNonce(t *testing.T) {
	n := newNode(t)
	n.own()
	n.submit(1, key)
	first := take[orders.Append](n)
	n.step(orders.AppendLost{Batch: first.Batch})
	take[orders.Read](n)
	n.step(orders.ReadPage{Next: 1})
	second := take[orders.Append](n)
	must.Eq(t, first.Records, second.Records)
	n.step(orders.Appended{Batch: second.Batch, First: 1})
	take[orders.Dispatch](n)
	n.step(orders.ReadPage{Next: 3, Records: []orders.LoggedRecord{logged(2, n.now, first.Records[0])}})
	must.False(t, has[orders.Dispatch](n))
}

func TestStateIsCarriedOverBeforeRetention(t *testing.T) {
	n := newNode(t)
	n.m = orders.New(orders.Config{
		Router: "vm-1", Process: 1, Window: time.Hour, Retention: 2 * time.Hour, MaxQueue: 10, AppendLimit: rate.Inf,
	})
	n.own()
	n.submit(1, key)
	n.step(orders.Appended{Batch: take[orders.Append](n).Batch, First: 1})
	d := take[orders.Dispatch](n)
	n.step(orders.DispatchResult{Key: d.Key, Nonce: d.Nonce, Outcome: orders.Outcome{Run: orders.RunUnknown}})
	n.now = n.now.Add(time.Second)
	n.step(orders.Tick{})
	n.step(orders.Appended{Batch: take[orders.Append](n).Batch, First: 2})
	n.now = n.now.Add(time.Hour + time.Minute)
	n.step(orders.Tick{})
	n.now = n.now.Add(time.Second)
	n.step(orders.Tick{})
	carried := take[orders.Append](n).Records
	must.Len(t, 1, carried)
	must.Eq(t, orders.KindCheckpoint, carried[0].Kind)
	must.Eq(t, orders.PhaseUnknown, carried[0].Phase)
}

// The targets are asked before a caller is told that an outcome is unknown.
func TestUnknownOutcomeIsLookedUpFirst(t *testing.T) {
	for name, c := range map[string]struct {
		found bool
		want  orders.Run
	}{"target knows": {true, orders.RunDone}, "target does not": {false, orders.RunUnknown}} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t)
			n.own()
			n.submit(1, key)
			n.step(orders.Appended{Batch: take[orders.Append](n).Batch, First: 1})
			d := take[orders.Dispatch](n)
			n.step(orders.DispatchResult{Key: d.Key, Nonce: d.Nonce})
			must.False(t, has[orders.SendReply](n))
			l := take[orders.Lookup](n)
			n.step(orders.LookupResult{Key: l.Key, Found: c.found, Outcome: orders.Outcome{Run: orders.RunDone, Body: []byte("ok")}})
			must.Eq(t, c.want, take[orders.SendReply](n).Reply.Run)
			n.submit(2, key)
			must.Eq(t, c.want, take[orders.SendReply](n).Reply.Run)
		})
	}
}

// Another router may have claimed the partition and run orders between two
// tenures, although this one never noticed that it had lost the first.
func TestEachTenureNeedsItsOwnClaim(t *testing.T) {
	n := newNode(t)
	n.own()
	n.step(orders.OwnershipChanged{Held: true})
	must.False(t, n.m.IsActiveOwner())
	claimed := take[orders.Append](n)
	must.Eq(t, orders.KindClaim, claimed.Records[0].Kind)
}

// A release that is on its way may have been read, and the order run, by the
// next owner. So a repeat waits until it is read here.
func TestRepeatWaitsForTheRelease(t *testing.T) {
	n := newNode(t)
	n.own()
	n.submit(1, key)
	n.step(orders.Appended{Batch: take[orders.Append](n).Batch, First: 1})
	d := take[orders.Dispatch](n)
	n.step(orders.DispatchResult{Key: d.Key, Nonce: d.Nonce, Outcome: orders.Outcome{Run: orders.RunNot}})
	must.Eq(t, orders.RunNot, take[orders.SendReply](n).Reply.Run)
	n.submit(2, key)
	must.False(t, has[orders.SendReply](n))

	n.now = n.now.Add(time.Second)
	n.step(orders.Tick{})
	released := take[orders.Append](n)
	must.Eq(t, orders.KindReleased, released.Records[0].Kind)
	n.step(orders.Appended{Batch: released.Batch, First: 3})
	must.False(t, has[orders.SendReply](n))
	must.False(t, has[orders.Append](n))
	n.step(orders.ReadPage{Next: 4, Records: []orders.LoggedRecord{
		logged(2, n.now, about(orders.KindUnknown, "another", ownB)), logged(3, n.now, released.Records[0]),
	}})
	must.Eq(t, orders.KindIntent, take[orders.Append](n).Records[0].Kind)
}
