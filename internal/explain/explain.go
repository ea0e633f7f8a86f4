// Package explain holds the question why a request goes where it goes, and its
// answer.
package explain

import (
	"context"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// Question describes a request. Either Model or Service is set.
type Question struct {
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
