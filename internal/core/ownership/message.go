package ownership

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// ClaimKind is the kind of request that a claim makes to a voter.
type ClaimKind uint8

// Kinds of claims.
const (
	// ClaimAcquire asks for a grant that the sender does not have from this
	// voter.
	ClaimAcquire ClaimKind = iota + 1
	// ClaimRenew renews the holder's grant.
	ClaimRenew
	// ClaimRelease gives a grant back.
	ClaimRelease
	// ClaimHandOver invites another router to acquire the resource.
	ClaimHandOver
)

// VoterSetHash identifies a voter set by its members. It is never zero.
type VoterSetHash uint32

// Claim is a router's request to a voter about one resource.
type Claim struct {
	// ID is the resource, and Kind what is asked for.
	ID   ID
	Kind ClaimKind
	// MaxInFlight is an upper bound of the sender's requests in flight for the
	// resource, including those of earlier owners.
	MaxInFlight uint32
	// Pending is the part of MaxInFlight that may not have reached the target
	// yet.
	Pending uint32
	// Term numbers the ownership periods of a resource. It is zero while
	// acquiring.
	Term uint64
	// VoterSets are the voter sets in which the sender requires a majority. A
	// renewal without any refers to those of the last claim that the voter
	// granted.
	VoterSets []VoterSetHash
}

// Process distinguishes successive processes of one VM: the start time in units
// of 2^24 ns, about 17 ms.
type Process uint32

// processShift converts an incarnation in nanoseconds to a Process.
const processShift = 24

// ProcessOf returns the Process of an incarnation.
func ProcessOf(i fleet.Incarnation) Process { return Process(i >> processShift) }

// After reports whether p started later than other. The comparison tolerates
// overflow as long as the two started less than a year apart.
func (p Process) After(other Process) bool { return int32(p-other) > 0 }

// Request carries claims of one router to one voter.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	// Seq increases with each request of a process.
	Seq uint64
	// Process is the sender's process.
	Process Process
	// Claims are answered in order by the votes of the reply.
	Claims []Claim
}

// VoteCode is a voter's decision on one claim.
type VoteCode uint8

// Decisions of a voter.
const (
	// Granted: the voter grants the resource to the sender.
	Granted VoteCode = iota + 1
	// Held: the voter has granted the resource to another router.
	Held
	// Abstained: the voter may have forgotten a grant or a voter set.
	Abstained
	// Stale: the voter has seen a later request of the sender, or has no grant
	// of the sender to release.
	Stale
)

// History tells how much of the past a voter can account for. A voter that
// restarts has lost the grants and the work that were reported to it before.
type History uint8

// Values of History, in increasing order.
const (
	// HistoryPartial: forgotten work may not even have reached the target yet.
	HistoryPartial History = iota
	// HistoryDispatched: all forgotten work has reached the target.
	HistoryDispatched
	// HistoryComplete: all forgotten work has ended.
	HistoryComplete
)

// Vote is the answer to one claim. A granted renewal carries only the code and
// missing voter sets.
type Vote struct {
	// Code is the decision, and History how much of the past the voter knows.
	Code    VoteCode
	History History
	// Term is the latest term that the voter knows of.
	Term uint64
	// TermComplete is true if the voter knows everything that was reported in
	// that term: it granted the term from the beginning, or the resource was
	// released to it.
	TermComplete bool
	// Residual is the number of earlier owners' requests that may still run,
	// and ResidualMS the time in milliseconds until the last deadline of these.
	Residual   uint32
	ResidualMS uint32
	// Pending is the part of Residual that may not have reached the target yet,
	// and PendingMS the time in milliseconds for which that is so.
	Pending   uint32
	PendingMS uint32
	// Holder is the router that holds the resource, and RetryMS the time in
	// milliseconds after which asking again may succeed.
	Holder  fleet.VM
	RetryMS uint32
	// MissingVoterSets are voter sets that the voter has seen itself and that
	// the claim does not list.
	MissingVoterSets [][]fleet.VM
}

// Reply answers a request.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	// Seq is that of the request, and Votes has one vote for each claim, in
	// order.
	Seq   uint64
	Votes []Vote
}

// milliseconds rounds a duration up to milliseconds, and negative ones to zero.
func milliseconds(d time.Duration) uint32 {
	return uint32(max(d+time.Millisecond-1, 0) / time.Millisecond)
}

// duration converts milliseconds to a duration.
func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
