// Package call holds the typed messages of one caller's request on its way
// through the fleet: the request, the parts of its answer, and its errors.
package call

import (
	"net/http"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// ID identifies one request through the whole fleet.
type ID string

// Attempt counts the tries of one request, from 1.
type Attempt uint32

// Kind tells what a request asks for.
type Kind uint8

// Kinds of request.
const (
	KindChat    Kind = 1
	KindService Kind = 2
)

// Priority orders work of one account; higher goes first.
type Priority int8

// Priorities that callers may set.
const (
	PriorityLow    Priority = -1
	PriorityNormal Priority = 0
	PriorityHigh   Priority = 1
)

// Request is one caller's request.
type Request struct {
	ID      ID      `msgpack:"i"`
	Attempt Attempt `msgpack:"a"`
	Kind    Kind    `msgpack:"k"`

	Account fleet.Account `msgpack:"ac"`
	Member  fleet.Member  `msgpack:"me"`

	Priority Priority  `msgpack:"p"`
	Deadline time.Time `msgpack:"d"`

	// Chat requests.
	Model   fleet.Model `msgpack:"mo,omitempty"`
	Adapter string      `msgpack:"ad,omitempty"`
	Version string      `msgpack:"ve,omitempty"`
	Chat    string      `msgpack:"ch,omitempty"`
	// Prefix is the hash of the prompt prefix that the chat shares.
	Prefix uint64 `msgpack:"px,omitempty"`
	// PromptTokens estimates the length of the prompt.
	PromptTokens int `msgpack:"pt,omitempty"`

	// Plain service requests.
	Service fleet.Service `msgpack:"se,omitempty"`
	Method  string        `msgpack:"mt,omitempty"`
	Path    string        `msgpack:"pa,omitempty"`

	Header http.Header `msgpack:"h,omitempty"`
	Body   []byte      `msgpack:"b,omitempty"`

	// Key is the idempotency key of a call that may run at most once.
	Key string `msgpack:"ik,omitempty"`
	// Repeatable is true for calls that may run again.
	Repeatable bool `msgpack:"re,omitempty"`
	// ResumeFrom is the answer offset in bytes from which a caller resumes.
	ResumeFrom uint64 `msgpack:"rf,omitempty"`

	// Target is the target that the entry router chose. Place counts the
	// targets that it had before in its order of preference.
	Target fleet.Target `msgpack:"tg,omitempty"`
	Place  int          `msgpack:"tn,omitempty"`
	// Recalled is true for a request that was sent to where its chat had gone.
	Recalled bool `msgpack:"tr,omitempty"`
	// Wait is true for a request that may wait at the target for its turn.
	Wait bool `msgpack:"tw,omitempty"`

	// TraceParent carries the trace context of the hop before.
	TraceParent string `msgpack:"tp,omitempty"`
}

// Head starts an answer.
type Head struct {
	Attempt Attempt      `msgpack:"a"`
	Status  int          `msgpack:"s"`
	Header  http.Header  `msgpack:"h,omitempty"`
	Target  fleet.Target `msgpack:"t"`
	// Detail is what the handler of a kind adds for the router that asked, in its own
	// encoding.
	Detail []byte `msgpack:"x,omitempty"`
}

// Chunk is one part of an answer's body.
type Chunk struct {
	Attempt Attempt `msgpack:"a"`
	// Offset is the position of Data in the whole answer, in bytes.
	Offset uint64 `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// End closes a whole answer.
type End struct {
	Attempt Attempt `msgpack:"a"`
	// Length is the length of the whole body in bytes.
	Length uint64 `msgpack:"l"`
	// Digest is the xxhash64 of the whole body.
	Digest uint64 `msgpack:"g"`
}

// Sink takes the parts of one answer in order. A sink that returns an error
// wants no more of the answer.
type Sink interface {
	Head(Head) error
	Chunk(Chunk) error
	End(End) error
}
