package ownership

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// ClaimKind tells what a router asks of a voter.
type ClaimKind uint8

// Kinds of claim.
const (
	// ClaimAcquire asks for a grant to a router that does not hold the
	// resource yet.
	ClaimAcquire ClaimKind = iota + 1
	// ClaimRenew renews the grant of the holder.
	ClaimRenew
	// ClaimRelease gives a grant back.
	ClaimRelease
	// ClaimHandOver invites a router to acquire the resource.
	ClaimHandOver
)

// VoterSetHash identifies a voter set.
type VoterSetHash uint32

// Claim is what a router asks for one resource.
type Claim struct {
	ID   ID
	Kind ClaimKind
	// MaxInFlight is the number of requests that the sender's work for the
	// resource may amount to, work of earlier owners included.
	MaxInFlight uint32
	// Pending is the part of Ceiling that may not have reached the target.
	Pending uint32
	// Term numbers the tenures of owners; zero while acquiring.
	Term uint64
	// VoterSets are the hashes of the voter sets that the sender counts. A renewal
	// without any counts the same as the last claim that the voter granted.
	VoterSets []VoterSetHash
}

// Process tells apart the successive processes of one VM, in units of 17 ms.
type Process uint32

// processShift cuts an incarnation, which is in nanoseconds, to a Process.
const processShift = 24

// ProcessOf returns the process of an incarnation.
func ProcessOf(i fleet.Incarnation) Process { return Process(i >> processShift) }

// After reports whether p started later than other. Processes of one VM are
// less than a year apart.
func (p Process) After(other Process) bool { return int32(p-other) > 0 }

// Request carries the claims of one router to one voter.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	// Seq rises with each request of a process.
	Seq     uint64
	Process Process
	Claims  []Claim
}

// VoteCode is a voter's answer to one claim.
type VoteCode uint8

// Codes of verdicts.
const (
	// Granted: the voter has promised the resource to the sender.
	Granted VoteCode = iota + 1
	// Held: the voter has promised it to another router.
	Held
	// Abstained: the voter may have forgotten a promise.
	Abstained
	// Stale: the voter has seen a later request of the sender.
	Stale
)

// History tells how far back a voter remembers. Grants and work that it was
// told of before it started are forgotten.
type History uint8

// Reaches of a voter's memory.
const (
	// HistoryPartial: work that was confirmed earlier may not even have reached
	// the target yet.
	HistoryPartial History = iota
	// HistoryDispatched: all forgotten work has reached the target.
	HistoryDispatched
	// HistoryComplete: all forgotten work has ended.
	HistoryComplete
)

// Vote is the answer to one claim. A renewal that is granted needs no more
// than the code.
type Vote struct {
	Code    VoteCode
	History History
	// Term is the last term that the voter knows.
	Term uint64
	// TermComplete is true when this voter remembers all that it was told in the
	// tenure of that term: it granted it from the beginning, or took it back.
	TermComplete bool
	// Residual is the work of earlier owners and ResidualMS the time in
	// milliseconds until its deadline.
	Residual   uint32
	ResidualMS uint32
	// Pending is the part of Residual that may not have reached the target,
	// and PendingMS the time in milliseconds for which that is so.
	Pending   uint32
	PendingMS uint32
	// Holder and RetryMS tell who holds the resource, and after how many
	// milliseconds the grant has lapsed.
	Holder  fleet.VM
	RetryMS uint32
	// MissingVoterSets are the voter sets that the voter has seen and the claim does not
	// count.
	MissingVoterSets [][]fleet.VM
}

// Reply answers a request; its verdicts are in the order of the claims.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Seq   uint64
	Votes []Vote
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(d+time.Millisecond-1, 0) / time.Millisecond)
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
