// Package placement ranks the targets that can run a request.
//
// A policy works with the view of one router, which lags behind, and returns an
// order of preference. The owner of a target makes the final decision: it refuses
// requests above what the target can take.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Class identifies the kind of work of a request. Requests of the same class can
// run on the same targets.
type Class struct {
	Model   fleet.Model
	Adapter string
	Version string
	Service fleet.Service
}

// Request holds the properties of a request that a policy uses.
type Request struct {
	Class Class
	// Chat is the hash of the chat, zero if the request belongs to none.
	Chat uint64
	// Prefix is the hash of the prompt prefix that the request shares with
	// others, zero if none is known.
	Prefix uint64
	// Account is the client account.
	Account fleet.Account
}

// Key returns the hash that binds the request to a target, and false if the request
// has neither a chat nor a prefix.
func (r *Request) Key() (uint64, bool) {
	if r.Chat != 0 {
		return r.Chat, true
	}
	return r.Prefix, r.Prefix != 0
}

// Candidate is a target that can run the request, as known to this router.
type Candidate struct {
	Target     fleet.Target
	DataCentre fleet.DataCentre
	// Hash is HashTarget(Target).
	Hash uint64
	// Capacity is the number of requests that the target runs at once when it
	// is warm, and Slots the number that its owner currently lets it run.
	Capacity int
	Slots    int
	// Running counts the requests at the target, and Queued those that wait at
	// its owner, both from the owner's digest, which was made Age ago.
	Running int
	Queued  int
	Age     time.Duration
	// Ready is false if the target's owner is not known to serve it. Such a
	// target ranks after all others.
	Ready bool
}

// HashTarget returns the hash of a target's name for ranking.
func HashTarget(t fleet.Target) uint64 { return xxhash.Sum64String(string(t)) }

// Rules tell owners how to treat requests that a policy placed.
type Rules struct {
	// Bounded: the owner refuses a request that would raise the target's load
	// above the configured bound times the mean load, and redirects it to the
	// next target.
	Bounded bool
	// ChatAffinity: the owner of a chat's first-ranked target remembers the
	// target to which the chat was redirected.
	ChatAffinity bool
	// SpreadStep is the difference in load per slot from which a new chat is
	// sent to a less loaded target than its first-ranked one.
	SpreadStep float64
}

// Policy ranks targets. It need not be safe for concurrent use.
type Policy interface {
	// Name returns the policy's name in the settings.
	Name() string
	// Rules returns the rules of the policy, the same for all requests.
	Rules() Rules
	// Rank appends to out the positions of all candidates in order of
	// preference, each once.
	Rank(r *Request, candidates []Candidate, out []int) []int
}
