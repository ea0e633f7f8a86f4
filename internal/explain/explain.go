// Package explain holds the question why a request goes where it goes, or why
// one failed, and its answer.
package explain

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Question describes a request, or names one that failed. One of Request,
// Model and Service is set.
type Question struct {
	// Request is the ID of a request that failed on this router.
	Request call.ID       `url:"request,omitempty"`
	Model   fleet.Model   `url:"model,omitempty"`
	Service fleet.Service `url:"service,omitempty"`
	// Chat is the chat that the request returns to.
	Chat    string        `url:"chat,omitempty"`
	Account fleet.Account `url:"account,omitempty"`
}

// Answer ranks the targets of a request.
type Answer struct {
	// Chosen is the target that the request would get now, empty when it would
	// be refused; Reason says why in one sentence.
	Chosen fleet.Target `json:"chosen,omitempty"`
	Reason string       `json:"reason"`
	// Steps are the targets in the order in which they are tried.
	Steps []Step `json:"steps"`
	// Failure is what is known of a request that failed.
	Failure *Failure `json:"failure,omitempty"`
}

// Failure is a request that failed.
type Failure struct {
	Request call.ID       `json:"request"`
	At      time.Time     `json:"at"`
	Member  fleet.Member  `json:"member"`
	Account fleet.Account `json:"account"`
	Model   fleet.Model   `json:"model,omitempty"`
	Service fleet.Service `json:"service,omitempty"`
	Code    call.Code     `json:"code"`
	Step    string        `json:"step"`
	Peer    string        `json:"peer,omitempty"`
	Run     call.Run      `json:"run"`
	Message string        `json:"message"`
}

// Step is one target of a ranking.
type Step struct {
	Target fleet.Target `json:"target"`
	Owner  fleet.VM     `json:"owner,omitempty"`
	State  string       `json:"state,omitempty"`
	// Admits tells whether the target would take the request now; Reason says
	// why.
	Admits bool   `json:"admits"`
	Reason string `json:"reason,omitempty"`
}

// Explainer answers questions. The service that routes requests implements it.
type Explainer interface {
	Explain(ctx context.Context, q Question) (*Answer, error)
}
