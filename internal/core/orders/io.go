package orders

import (
	"time"
)

// SubmitID identifies one submission or settlement at one router.
type SubmitID uint64

// Input is an event that a Machine handles.
type Input interface{ input() }

// Submit asks to run an order, or for the response of an earlier run. The
// result is a SendReply with the same ID, unless a Cancel comes first. After
// Deadline the order is not dispatched any more, and the machine replies with
// what it knows.
type Submit struct {
	ID       SubmitID
	Key      ParsedKey
	Identity Identity
	Deadline time.Time
}

// Cancel reports that the caller of the submission is gone. It gets no reply.
type Cancel struct{ ID SubmitID }

// Appended reports that an append succeeded. Its records are at consecutive
// offsets that begin with First.
type Appended struct {
	Batch uint64
	First uint64
}

// AppendLost reports that an append got no response. Its records may be in the
// stream, or may still arrive in it.
type AppendLost struct{ Batch uint64 }

// ReadPage is the result of a successful read.
type ReadPage struct {
	Records []LoggedRecord
	// Earliest is the offset of the oldest record that the log still holds.
	// Next is the offset that the next appended record will get.
	Earliest uint64
	Next     uint64
}

// ReadFailed reports that a read got no response.
type ReadFailed struct{}

// DispatchResult is the result of a Dispatch. Outcome.Run is RunNot only when
// no byte of the order was sent to a target and none will be.
type DispatchResult struct {
	Key     Key
	Nonce   Nonce
	Outcome Outcome
}

// LookupResult is the result of a Lookup. Found is true when a target reported
// that the order ran, and Outcome is then what it reported.
type LookupResult struct {
	Key     Key
	Found   bool
	Outcome Outcome
}

// OwnershipConfirmation is the result of the ConfirmOwnership with the same
// Round. OK is true when this router held the partition at some time after
// that action was issued.
type OwnershipConfirmation struct {
	Round uint64
	OK    bool
}

// OwnershipChanged reports that this router gained or lost the partition.
type OwnershipChanged struct{ Held bool }

// Settle asks to record the outcome that an operator has found out for an
// order whose outcome is unknown. The result is a SendReply with the same ID.
// After Deadline its reason is ReasonDeadline.
type Settle struct {
	ID       SubmitID
	Key      Key
	Run      Run
	Operator string
	Deadline time.Time
}

// Adopt hands over records that another router could not append, for this
// router to append.
type Adopt struct{ Records []Record }

// Drain reports that the router is about to stop. The machine accepts no more
// orders, records the outcomes it knows and closes its claims.
type Drain struct{}

// Tick makes the machine check its deadlines and do the periodic work that is
// due.
type Tick struct{}

func (Submit) input()                {}
func (Cancel) input()                {}
func (Appended) input()              {}
func (AppendLost) input()            {}
func (ReadPage) input()              {}
func (ReadFailed) input()            {}
func (DispatchResult) input()        {}
func (LookupResult) input()          {}
func (OwnershipConfirmation) input() {}
func (OwnershipChanged) input()      {}
func (Settle) input()                {}
func (Adopt) input()                 {}
func (Drain) input()                 {}
func (Tick) input()                  {}

// Action is an operation that a Machine requests from its caller.
type Action interface{ action() }

// Append requests that the records be appended to the stream, in order and in
// one append. The result is an Appended or AppendLost with the same Batch.
type Append struct {
	Batch   uint64
	Records []Record
}

// Read requests the records from offset From on. Wait is how long the log may
// delay the response while there are none. The result is a ReadPage or
// ReadFailed.
type Read struct {
	From uint64
	Wait time.Duration
}

// Dispatch requests that the order of submission ID be sent to one target,
// once. The result is a DispatchResult with the same Key and Nonce.
type Dispatch struct {
	ID    SubmitID
	Key   Key
	Nonce Nonce
}

// SendReply completes the submission or settlement ID.
type SendReply struct {
	ID    SubmitID
	Reply Reply
}

// Lookup requests that the targets of the order's service be asked for its
// outcome. The result is a LookupResult.
type Lookup struct {
	Key      Key
	Identity Identity
}

// ConfirmOwnership asks whether this router still holds the partition. The
// result is an OwnershipConfirmation with the same Round.
type ConfirmOwnership struct{ Round uint64 }

func (Append) action()           {}
func (Read) action()             {}
func (Dispatch) action()         {}
func (SendReply) action()        {}
func (Lookup) action()           {}
func (ConfirmOwnership) action() {}

// Reason tells why a submission or settlement did not get the outcome of a
// run.
type Reason uint8

// Reasons of a reply.
const (
	// ReasonNone means that nothing was refused.
	ReasonNone Reason = iota
	// ReasonOutcomeUnknown means that the order was dispatched, or may have
	// been, and that its outcome is not known.
	ReasonOutcomeUnknown
	// ReasonDispatchFailed means that the dispatch sent nothing to a target.
	ReasonDispatchFailed
	// ReasonNotOwner means that this router does not decide about the order: it
	// does not hold the partition, or has no active claim to it.
	ReasonNotOwner
	// ReasonLogUnavailable means that the log does not respond.
	ReasonLogUnavailable
	// ReasonOverloaded means that Config.MaxQueue records wait to be appended.
	ReasonOverloaded
	// ReasonDeadline means that the deadline passed before the order was
	// dispatched, or before the settlement was in the log.
	ReasonDeadline
	// ReasonDraining means that this router is about to stop.
	ReasonDraining
	// ReasonKeyReused means that the key belongs to an order with another
	// Identity.
	ReasonKeyReused
	// ReasonKeyExpired means that the key is older than Config.Window, or that
	// the log may have dropped records about it unread.
	ReasonKeyExpired
	// ReasonKeyInFuture means that the key is dated more than
	// Config.MaxKeyAhead ahead of this router's clock.
	ReasonKeyInFuture
	// ReasonForeignTicket means that the key is a ticket that only the router
	// that minted it may run.
	ReasonForeignTicket
	// ReasonNotFound means that there is no order with the key to settle.
	ReasonNotFound
	// ReasonOutcomeKnown means that the outcome is recorded already and needs
	// no settlement.
	ReasonOutcomeKnown
	// ReasonRunning means that the order may still be running and cannot be
	// settled yet.
	ReasonRunning
)

// Reply is the result of a submission or settlement.
type Reply struct {
	Run    Run
	Reason Reason
	// Outcome holds the recorded response when Run is RunDone.
	Outcome Outcome
	// Replayed is true when the order had run before this submission.
	Replayed bool
	// BodyInLog is true when the caller must read the response body from the
	// record at Offset.
	BodyInLog  bool
	Offset     uint64
	RetryAfter time.Duration
	// Operator is the operator who settled the order, or empty.
	Operator string
}
