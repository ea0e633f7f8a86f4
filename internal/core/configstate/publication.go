package configstate

import (
	"errors"
	"fmt"
	"time"
)

// Errors returned by [State.Propose].
var (
	// ErrStaleParent means that the version that the proposal builds on is no
	// longer the newest one.
	ErrStaleParent = errors.New("another version was published meanwhile")
	// ErrUnchanged means that the proposed document equals the current one.
	ErrUnchanged = errors.New("the document is unchanged")
)

// Proposal is a change of one document that an operator wants to publish.
type Proposal struct {
	Scope Scope
	// Text is the whole new document.
	Text   string
	Author string
	// Nonce identifies the proposal in the log.
	Nonce   string
	Comment string
	// At is the time of the proposal. It is informational.
	At time.Time
	// Parent is the version that the operator based the change on; nil means
	// the newest.
	Parent *Version
}

// Publication tracks one proposal until its outcome is known. Its record may be
// appended any number of times, because only the first child of a parent is
// accepted.
type Publication struct {
	record []byte
	nonce  string
	parent Version
	// attempts counts the appends without an answer.
	attempts int
	// retryAt is the earliest time of the next append after one without an
	// answer.
	retryAt time.Time
	// appended is true once the log has returned an offset for the record.
	appended bool
}

// Propose checks the proposal against the current version and returns a
// publication whose record is yet to be appended. Errors are ErrStaleParent,
// ErrUnchanged, or wrap ErrContent.
func (s *State) Propose(p Proposal) (*Publication, error) {
	head, docs := s.Current()
	if p.Parent != nil && *p.Parent != head.Version {
		return nil, fmt.Errorf("%w: expected version %d, newest is %d by %s",
			ErrStaleParent, p.Parent.Offset, head.Version.Offset, head.Author)
	}
	before, existed := docs.Text(p.Scope)
	if existed && before == p.Text {
		return nil, ErrUnchanged
	}
	rec := &Publish{
		Scope:   p.Scope,
		Parent:  head.Version,
		Author:  p.Author,
		Nonce:   p.Nonce,
		Comment: p.Comment,
		At:      p.At,
		Change:  Difference(before, p.Text),
		Root:    docs.With(p.Scope, p.Text).Root(),
	}
	data, err := EncodePublish(rec)
	if err != nil {
		return nil, err
	}
	// The offset is not known yet; the largest one always passes the check
	// against the parent's offset.
	if _, err := s.current().extend(rec, ^uint64(0), data); err != nil {
		return nil, err
	}
	return &Publication{record: data, nonce: p.Nonce, parent: head.Version}, nil
}

// Record returns the record to append.
func (p *Publication) Record() []byte { return p.record }

// Nonce returns the nonce under which [State.Outcome] reports the result.
func (p *Publication) Nonce() string { return p.nonce }

// Step is what the caller has to do next for a publication.
type Step string

// Values of [Step].
const (
	// StepAppend: append the record now.
	StepAppend Step = "append"
	// StepWait: wait until more of the log has been read.
	StepWait Step = "wait"
	// StepAccepted and StepRejected end the publication.
	StepAccepted Step = "accepted"
	StepRejected Step = "lost"
)

// Delays before the record is appended again after an append without an answer.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 8 * time.Second
)

// Next returns the next step, given what s has read from the log. The outcome
// is set for StepAccepted and StepRejected.
func (p *Publication) Next(s *State, now time.Time) (Step, Outcome) {
	if outcome, ok := s.Outcome(p.nonce); ok && outcome.Accepted {
		return StepAccepted, outcome
	}
	// Another child of the parent was accepted: the record can no longer be,
	// even if it has yet to reach the log.
	if s.confirmed.hasChildOf(p.parent) {
		return StepRejected, Outcome{Entry: s.confirmed.head, Err: ErrConflict}
	}
	if outcome, ok := s.Outcome(p.nonce); ok {
		return StepRejected, outcome
	}
	if p.appended || now.Before(p.retryAt) {
		return StepWait, Outcome{}
	}
	return StepAppend, Outcome{}
}

// AppendConfirmed records that the log returned an offset for the record.
func (p *Publication) AppendConfirmed() { p.appended = true }

// AppendUnanswered records that an append had no answer by now: the record may
// be in the log, or still reach it.
func (p *Publication) AppendUnanswered(now time.Time) {
	p.retryAt = now.Add(min(minRetryDelay<<min(p.attempts, 8), maxRetryDelay))
	p.attempts++
}

// InDoubt reports whether an append went without an answer.
func (p *Publication) InDoubt() bool { return p.attempts > 0 }

// RetryAt returns the time before which Next does not return StepAppend.
func (p *Publication) RetryAt() time.Time { return p.retryAt }
