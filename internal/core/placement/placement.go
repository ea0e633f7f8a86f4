// Package placement ranks the targets that can run a request.
//
// A policy sees what one router knows of the targets, which lags, and returns
// an order of preference. The owner of a target has the last word: it refuses
// what the target can't bear.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Class is the kind of work that a request asks for. Two requests of one class
// can run on the same targets.
type Class struct {
	Model   fleet.Model
	Adapter string
	Version string
	Service fleet.Service
}

// Request is what a policy knows of a request.
type Request struct {
	Class Class
	// Chat is the hash of the chat, zero when the request belongs to none.
	Chat uint64
	// Prefix is the hash of the prompt prefix that the request shares with
	// others, zero when none is known.
	Prefix uint64
	// Account is the client account.
	Account fleet.Account
}

// Key returns the hash by which the request sticks to a target, and false when
// any target does as well.
func (r *Request) Key() (uint64, bool) {
	if r.Chat != 0 {
		return r.Chat, true
	}
	return r.Prefix, r.Prefix != 0
}

// Candidate is one target that can run the request, as far as this router
// knows.
type Candidate struct {
	Target     fleet.Target
	DataCentre fleet.DataCentre
	// Hash is HashTarget(Target).
	Hash uint64
	// Capacity is the number of requests that the warm target runs at once,
	// Slots the number that its owner lets it run now.
	Capacity int
	Slots    int
	// Running and Queued are the requests at the target and those that wait at
	// its owner, by the owner's digest, which is Age old.
	Running int
	Queued  int
	Age     time.Duration
	// Ready is false for a target whose owner is not known to serve it: it
	// comes after all others.
	Ready bool
}

// HashTarget returns the hash of a target's name for ranking.
func HashTarget(t fleet.Target) uint64 { return xxhash.Sum64String(string(t)) }

// Rules tell how owners treat requests that a policy placed.
type Rules struct {
	// Bounded: the owner refuses a request that takes the target's load above
	// the bound times the mean, and sends it to the next target.
	Bounded bool
	// ChatAffinity: the owner of a chat's first target remembers where the chat
	// went when it was sent to another one.
	ChatAffinity bool
	// SpreadStep is the difference in load for each slot from which a new chat
	// goes to a lighter target than its first.
	SpreadStep float64
}

// Policy ranks targets. It is used by one goroutine at a time.
type Policy interface {
	// Name is the name in the settings.
	Name() string
	// Rules are the same for all requests.
	Rules() Rules
	// Rank appends to out the positions of the candidates in order of
	// preference, each once.
	Rank(r *Request, candidates []Candidate, out []int) []int
}
