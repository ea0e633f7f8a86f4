package configstate

import (
	"errors"
	"fmt"
	"time"
)

// Errors of proposals.
var (
	// ErrStaleParent means that the expected parent is not the newest version.
	ErrStaleParent = errors.New("another version was published meanwhile")
	// ErrUnchanged means that the proposal equals the newest version.
	ErrUnchanged = errors.New("the document is unchanged")
)

// Proposal is a change that an operator wants to publish.
type Proposal struct {
	Scope   Scope
	Text    string
	Author  string
	Nonce   string
	Comment string
	At      time.Time
	// Parent is the version that the operator saw; nil means the newest.
	Parent *Version
}

// Publication is one proposal on its way through the log. Its record may be
// appended any number of times: only the first child of the parent wins.
type Publication struct {
	record   []byte
	nonce    string
	parent   Version
	attempts int
	// retryAt is the time of the next append after a lost answer.
	retryAt  time.Time
	answered bool
}

// Propose checks the proposal against the newest version.
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
	// The offset is not known yet; the largest one passes the order check.
	if _, err := s.current().follow(rec, ^uint64(0), data); err != nil {
		return nil, err
	}
	return &Publication{record: data, nonce: p.Nonce, parent: head.Version}, nil
}

// Record returns the data to append.
func (p *Publication) Record() []byte { return p.record }

// Nonce returns the nonce by which the outcome is found.
func (p *Publication) Nonce() string { return p.nonce }

// Step tells what a publication needs next.
type Step string

// Steps of a publication.
const (
	// StepAppend: append the record now.
	StepAppend Step = "append"
	// StepWait: wait for the log to show more.
	StepWait Step = "wait"
	// StepAccepted and StepLost end the publication.
	StepAccepted Step = "accepted"
	StepRejected Step = "lost"
)

// Waits before the record is appended again after a lost answer.
const (
	firstRetry = 500 * time.Millisecond
	maxRetry   = 8 * time.Second
)

// Next decides by what s has read.
func (p *Publication) Next(s *State, now time.Time) (Step, Outcome) {
	if fate, ok := s.Outcome(p.nonce); ok && fate.Accepted {
		return StepAccepted, fate
	}
	// Another child of the parent was accepted: this record can no longer win,
	// also when it has yet to arrive.
	if s.confirmed.passed(p.parent) {
		return StepRejected, Outcome{Entry: s.confirmed.head, Err: ErrConflict}
	}
	if fate, ok := s.Outcome(p.nonce); ok {
		return StepRejected, fate
	}
	if p.answered || now.Before(p.retryAt) {
		return StepWait, Outcome{}
	}
	return StepAppend, Outcome{}
}

// AppendConfirmed notes that the log gave the record an offset.
func (p *Publication) AppendConfirmed() { p.answered = true }

// AppendUnanswered notes that an append got no answer at now: the record may be in
// the log, or still arrive.
func (p *Publication) AppendUnanswered(now time.Time) {
	p.retryAt = now.Add(min(firstRetry<<min(p.attempts, 8), maxRetry))
	p.attempts++
}

// InDoubt reports whether an earlier append got no answer.
func (p *Publication) InDoubt() bool { return p.attempts > 0 }

// RetryAt returns the time before which Next will not append again.
func (p *Publication) RetryAt() time.Time { return p.retryAt }
