package orders_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// harness drives one machine and collects the actions that it requests.
type harness struct {
	t       *testing.T
	machine *orders.Machine
	now     time.Time
	actions []orders.Action
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, now: minted.Add(time.Second), machine: orders.New(orders.Config{
		Router: "vm-1", Process: 1, Window: time.Hour, MaxKeyAhead: time.Second, MaxClockSkew: time.Second,
		MaxQueue: 10, AppendLimit: rate.Inf,
	})}
}

func (h *harness) step(in orders.Input) { h.actions = append(h.actions, h.machine.Step(h.now, in)...) }

// takeAction removes and returns the first pending action of type A.
func takeAction[A orders.Action](h *harness) A {
	h.t.Helper()
	for i, a := range h.actions {
		if found, ok := a.(A); ok {
			h.actions = append(h.actions[:i:i], h.actions[i+1:]...)
			return found
		}
	}
	var none A
	h.t.Fatalf("no %T among %+v", none, h.actions)
	return none
}

func hasAction[A orders.Action](h *harness) bool {
	for _, a := range h.actions {
		if _, ok := a.(A); ok {
			return true
		}
	}
	return false
}

// becomeOwner makes the machine the active owner of an empty partition.
func (h *harness) becomeOwner() {
	h.t.Helper()
	h.step(orders.OwnershipChanged{Held: true})
	takeAction[orders.Read](h)
	h.step(orders.ReadPage{})
	claimed := takeAction[orders.Append](h)
	h.step(orders.Appended{Batch: claimed.Batch, First: 0})
	h.step(orders.OwnershipConfirmation{Round: takeAction[orders.ConfirmOwnership](h).Round, OK: true})
	must.True(h.t, h.machine.IsActiveOwner())
}

func (h *harness) submit(id orders.SubmitID, k orders.Key) {
	parsed, err := orders.ParseKey(string(k))
	must.NoError(h.t, err)
	h.step(orders.Submit{ID: id, Key: parsed, Deadline: h.now.Add(5 * time.Second)})
}

func logged(offset uint64, at time.Time, r orders.Record) orders.LoggedRecord {
	return orders.LoggedRecord{Offset: offset, Time: at, Record: r}
}

func TestOrderNeedsOneAppendAndNoRead(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner()
	h.submit(1, key)
	a := takeAction[orders.Append](h)
	must.False(t, hasAction[orders.Dispatch](h))
	h.step(orders.Appended{Batch: a.Batch, First: 1})
	must.False(t, hasAction[orders.Read](h))
	must.Eq(t, 1, takeAction[orders.Dispatch](h).ID)
}

func TestGapIsReadBeforeDispatch(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner()
	h.submit(1, key)
	a := takeAction[orders.Append](h)
	h.step(orders.Appended{Batch: a.Batch, First: 2})
	must.False(t, hasAction[orders.Dispatch](h))
	r := takeAction[orders.Read](h)
	must.Eq(t, 1, r.From)
	h.step(orders.ReadPage{Next: 3, Records: []orders.LoggedRecord{
		logged(1, h.now, intent(key, nonceB, 0)), logged(2, h.now, a.Records[0]),
	}})
	must.False(t, hasAction[orders.Dispatch](h))
}

func TestOrdersShareAnAppend(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner()
	for i := range 4 {
		h.submit(orders.SubmitID(i), orders.NewKey(minted, [10]byte{byte(i)}))
		takeAction[orders.Append](h)
	}
	for i := 4; i < 9; i++ {
		h.submit(orders.SubmitID(i), orders.NewKey(minted, [10]byte{byte(i)}))
		must.False(t, hasAction[orders.Append](h))
	}
	h.step(orders.Appended{Batch: 2, First: 1})
	must.Len(t, 5, takeAction[orders.Append](h).Records)
}

// The records of an earlier intent, and of the claim that made it valid, may
// have been dropped from the log before this router read them. Its own intent
// then seems to win, but the order may have run.
func TestOwnIntentAfterDroppedRecordsIsNotDispatched(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner()
	h.submit(1, key)
	a := takeAction[orders.Append](h)
	h.step(orders.Appended{Batch: a.Batch, First: 5})
	takeAction[orders.Read](h)
	h.step(orders.ReadPage{Earliest: 5, Next: 6, Records: []orders.LoggedRecord{logged(5, h.now, a.Records[0])}})
	must.False(t, hasAction[orders.Dispatch](h))
	must.Eq(t, orders.RunUnknown, takeAction[orders.SendReply](h).Reply.Run)
}

func TestKeyDatedInFutureIsRefused(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner()
	h.submit(1, orders.NewKey(h.now.Add(time.Minute), [10]byte{1}))
	must.False(t, hasAction[orders.Append](h))
	h.step(orders.OwnershipConfirmation{Round: takeAction[orders.ConfirmOwnership](h).Round, OK: true})
	reply := takeAction[orders.SendReply](h).Reply
	must.Eq(t, orders.ReasonKeyInFuture, reply.Reason)
	must.Eq(t, orders.RunNot, reply.Run)
}

func TestLostAppendIsResentUnderTheSameNonce(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner()
	h.submit(1, key)
	first := takeAction[orders.Append](h)
	h.step(orders.AppendLost{Batch: first.Batch})
	takeAction[orders.Read](h)
	h.step(orders.ReadPage{Next: 1})
	second := takeAction[orders.Append](h)
	must.Eq(t, first.Records, second.Records)
	h.step(orders.Appended{Batch: second.Batch, First: 1})
	takeAction[orders.Dispatch](h)
	h.step(orders.ReadPage{Next: 3, Records: []orders.LoggedRecord{logged(2, h.now, first.Records[0])}})
	must.False(t, hasAction[orders.Dispatch](h))
}

func TestCheckpointBeforeRetentionEnds(t *testing.T) {
	h := newHarness(t)
	h.machine = orders.New(orders.Config{
		Router: "vm-1", Process: 1, Window: time.Hour, Retention: 2 * time.Hour, MaxQueue: 10, AppendLimit: rate.Inf,
	})
	h.becomeOwner()
	h.submit(1, key)
	h.step(orders.Appended{Batch: takeAction[orders.Append](h).Batch, First: 1})
	d := takeAction[orders.Dispatch](h)
	h.step(orders.DispatchResult{Key: d.Key, Nonce: d.Nonce, Outcome: orders.Outcome{Run: orders.RunUnknown}})
	h.now = h.now.Add(time.Second)
	h.step(orders.Tick{})
	h.step(orders.Appended{Batch: takeAction[orders.Append](h).Batch, First: 2})
	h.now = h.now.Add(time.Hour + time.Minute)
	h.step(orders.Tick{})
	h.now = h.now.Add(time.Second)
	h.step(orders.Tick{})
	checkpoints := takeAction[orders.Append](h).Records
	must.Len(t, 1, checkpoints)
	must.Eq(t, orders.KindCheckpoint, checkpoints[0].Kind)
	must.Eq(t, orders.PhaseUnknown, checkpoints[0].Phase)
}

// The machine asks the targets before it tells a caller that the outcome is
// unknown.
func TestUnknownOutcomeIsLookedUpBeforeReply(t *testing.T) {
	for name, c := range map[string]struct {
		found bool
		want  orders.Run
	}{"target knows the order": {true, orders.RunDone}, "target does not know the order": {false, orders.RunUnknown}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.becomeOwner()
			h.submit(1, key)
			h.step(orders.Appended{Batch: takeAction[orders.Append](h).Batch, First: 1})
			d := takeAction[orders.Dispatch](h)
			h.step(orders.DispatchResult{Key: d.Key, Nonce: d.Nonce})
			must.False(t, hasAction[orders.SendReply](h))
			l := takeAction[orders.Lookup](h)
			h.step(orders.LookupResult{Key: l.Key, Found: c.found, Outcome: orders.Outcome{Run: orders.RunDone, Body: []byte("ok")}})
			must.Eq(t, c.want, takeAction[orders.SendReply](h).Reply.Run)
			h.submit(2, key)
			must.Eq(t, c.want, takeAction[orders.SendReply](h).Reply.Run)
		})
	}
}

// Another router may have claimed the partition and run orders between two
// terms of this router, even if this router never noticed that it had lost the
// first term.
func TestRegainedOwnershipNeedsNewClaim(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner()
	h.step(orders.OwnershipChanged{Held: true})
	must.False(t, h.machine.IsActiveOwner())
	claimed := takeAction[orders.Append](h)
	must.Eq(t, orders.KindClaim, claimed.Records[0].Kind)
}

// The next owner may have read a release that this router has not read yet,
// and run the order. A retry must wait until the release is applied here.
func TestRetryWaitsForRelease(t *testing.T) {
	h := newHarness(t)
	h.becomeOwner()
	h.submit(1, key)
	h.step(orders.Appended{Batch: takeAction[orders.Append](h).Batch, First: 1})
	d := takeAction[orders.Dispatch](h)
	h.step(orders.DispatchResult{Key: d.Key, Nonce: d.Nonce, Outcome: orders.Outcome{Run: orders.RunNot}})
	must.Eq(t, orders.RunNot, takeAction[orders.SendReply](h).Reply.Run)
	h.submit(2, key)
	must.False(t, hasAction[orders.SendReply](h))

	h.now = h.now.Add(time.Second)
	h.step(orders.Tick{})
	released := takeAction[orders.Append](h)
	must.Eq(t, orders.KindReleased, released.Records[0].Kind)
	h.step(orders.Appended{Batch: released.Batch, First: 3})
	must.False(t, hasAction[orders.SendReply](h))
	must.False(t, hasAction[orders.Append](h))
	h.step(orders.ReadPage{Next: 4, Records: []orders.LoggedRecord{
		logged(2, h.now, outcomeRecord(orders.KindUnknown, "another", nonceB)), logged(3, h.now, released.Records[0]),
	}})
	must.Eq(t, orders.KindIntent, takeAction[orders.Append](h).Records[0].Kind)
}
