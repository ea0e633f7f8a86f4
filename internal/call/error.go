package call

import (
	"errors"
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Run tells whether a call had an effect on a target.
type Run string

// The three outcomes. RunNot is claimed only when no byte of the call left
// for a target and no later path of the attempt can send it.
const (
	RunNot     Run = "not_run"
	RunDone    Run = "ran"
	RunUnknown Run = "unknown"
)

// Code is a stable name of an error, for programs.
type Code string

// Codes of errors that callers see.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeTooLarge         Code = "too_large"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeKeyExpired       Code = "idempotency_key_expired"
	CodeKeyRequired      Code = "idempotency_key_required"
	CodeOverloaded       Code = "overloaded"
	CodeRateLimited      Code = "rate_limited"
	CodeNoTarget         Code = "no_target"
	CodeTargetClosed     Code = "target_closed"
	CodeDeadline         Code = "deadline_exceeded"
	CodeDraining         Code = "draining"
	CodeUnavailable      Code = "unavailable"
	CodeCut              Code = "answer_cut"
	CodeTargetError      Code = "target_error"
	CodeUnknownOutcome   Code = "outcome_unknown"
	CodeLogUnavailable   Code = "log_unavailable"
	CodeNotOwner         Code = "not_owner"
	CodeCanceled         Code = "canceled"
	CodeInternal         Code = "internal"
	CodeResumeImpossible Code = "resume_impossible"
)

// Error is a failed call: what went wrong, at which step and peer, and whether
// the call ran.
type Error struct {
	Code    Code   `json:"code" msgpack:"c"`
	Message string `json:"message" msgpack:"m"`
	// Step is the part of the path that failed, such as "admission".
	Step string `json:"step" msgpack:"s"`
	// Peer is the VM, target or platform service that the step met.
	Peer string `json:"peer,omitempty" msgpack:"p,omitempty"`
	Run  Run    `json:"run" msgpack:"r"`
	// RetryAfter tells the caller when to come back; zero means not stated.
	RetryAfter time.Duration `json:"-" msgpack:"a,omitempty"`
	// Next is the target that the owner of the chosen one advises instead.
	Next fleet.Target `json:"-" msgpack:"n,omitempty"`
	// StatusLink answers the outcome of the call once it is known.
	StatusLink string `json:"status_link,omitempty" msgpack:"l,omitempty"`
	// Cause is the error beneath; it stays on the VM where it arose.
	Cause error `json:"-" msgpack:"-"`
}

// Error describes the failure with step and peer.
func (e *Error) Error() string {
	text := e.Step
	if e.Peer != "" {
		text += " at " + e.Peer
	}
	text += fmt.Sprintf(": %s (%s, %s)", e.Message, e.Code, e.Run)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithoutNotRun returns the error for a call of which an earlier attempt may have run. It does not
// claim RunNot, which e states of the last attempt alone.
func (e *Error) WithoutNotRun() *Error {
	if e.Run != RunNot {
		return e
	}
	out := *e
	out.Run = RunUnknown
	return &out
}

// AsError returns err as an *Error. An error of another type becomes an
// internal one whose outcome is unknown.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Code:    CodeInternal,
		Message: "internal error",
		Step:    "internal",
		Run:     RunUnknown,
		Cause:   err,
	}
}
