package orders

import (
	"time"
)

// SubmitID identifies one submission or settlement at one router.
type SubmitID uint64

// Input is what happens to a Machine.
type Input interface{ input() }

// Submit asks to run an order, or for the answer of an earlier run.
type Submit struct {
	ID       SubmitID
	Key      ParsedKey
	Identity Identity
	Deadline time.Time
}

// Cancel says that nobody waits for the submission any more.
type Cancel struct{ ID SubmitID }

// Appended says that an append took effect. Its records stand at the offsets
// from First on.
type Appended struct {
	Batch uint64
	First uint64
}

// AppendLost says that an append got no answer: its records may be in the
// stream and may still arrive in it.
type AppendLost struct{ Batch uint64 }

// ReadPage is the result of a read.
type ReadPage struct {
	Records []LoggedRecord
	// Earliest is the offset of the oldest record that the log keeps, Next the
	// offset of the record that will be appended next.
	Earliest uint64
	Next     uint64
}

// ReadFailed says that a read got no answer.
type ReadFailed struct{}

// DispatchResult is the outcome of a Dispatch. Outcome.Run is RunNot only when no
// byte of the order left for a target and none will.
type DispatchResult struct {
	Key     Key
	Nonce   Nonce
	Outcome Outcome
}

// LookupResult is the result of a Lookup. Found is true when the target knows that
// the order ran.
type LookupResult struct {
	Key     Key
	Found   bool
	Outcome Outcome
}

// OwnershipConfirmation is the result of a Confirm. OK is true when this router still held
// the partition at some time after the Confirm was issued.
type OwnershipConfirmation struct {
	Round uint64
	OK    bool
}

// OwnershipChanged says that this router gained or lost the partition.
type OwnershipChanged struct{ Held bool }

// Settle asks to record an operator's word about an order whose outcome is not
// known.
type Settle struct {
	ID       SubmitID
	Key      Key
	Run      Run
	Operator string
	Deadline time.Time
}

// Adopt hands over records that another router could not append itself.
type Adopt struct{ Records []Record }

// Drain says that the router is about to stop: it takes no more orders,
// records what it knows and closes its claims.
type Drain struct{}

// Tick lets time pass.
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

// Action is what a Machine wants done.
type Action interface{ action() }

// Append wants the records in the stream, in order and in one append.
type Append struct {
	Batch   uint64
	Records []Record
}

// Read wants the records from offset From on. Wait is how long the log may
// hold the answer back when there are none.
type Read struct {
	From uint64
	Wait time.Duration
}

// Dispatch wants the order of submission ID sent to one target, once.
type Dispatch struct {
	ID    SubmitID
	Key   Key
	Nonce Nonce
}

// SendReply ends a submission or settlement.
type SendReply struct {
	ID    SubmitID
	Reply Reply
}

// Lookup wants the targets of the order's service asked for its outcome.
type Lookup struct {
	Key      Key
	Identity Identity
}

// ConfirmOwnership wants to know whether this router still holds the partition.
type ConfirmOwnership struct{ Round uint64 }

func (Append) action()           {}
func (Read) action()             {}
func (Dispatch) action()         {}
func (SendReply) action()        {}
func (Lookup) action()           {}
func (ConfirmOwnership) action() {}

// Reason tells why a submission got no answer of a target.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	// ReasonOutcomeUnknown means that the order was or may have been sent.
	ReasonOutcomeUnknown
	// ReasonDispatchFailed means that the dispatch sent nothing.
	ReasonDispatchFailed
	ReasonNotOwner
	ReasonLogUnavailable
	ReasonOverloaded
	ReasonDeadline
	ReasonDraining
	ReasonKeyReused
	ReasonKeyExpired
	ReasonKeyInFuture
	// ReasonForeignTicket means that only the router that minted the ticket
	// could run it.
	ReasonForeignTicket
	// ReasonNotFound means that there is no such order to settle.
	ReasonNotFound
	// ReasonOutcomeKnown means that the outcome needs no settlement.
	ReasonOutcomeKnown
	// ReasonRunning means that the order may still be running.
	ReasonRunning
)

// Reply is the answer to a submission.
type Reply struct {
	Run    Run
	Reason Reason
	// Outcome is set when Run is RunDone.
	Outcome Outcome
	// Replayed is true when the order had run before this submission.
	Replayed bool
	// BodyInLog is true when the body must be read from the record at Offset.
	BodyInLog  bool
	Offset     uint64
	RetryAfter time.Duration
	// Operator settled the order.
	Operator string
}
