package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
)

const (
	// appendLimit is the time after which an append counts as unanswered.
	appendLimit = 3 * time.Second
	// waitStep is the longest wait between two looks at a publication.
	waitStep = 500 * time.Millisecond
)

// ErrOutcomeUnknown means that the log could not be read in time to see
// whether a publication was accepted. It may still be.
var ErrOutcomeUnknown = errors.New("outcome of the publication is not known yet")

// ConflictError means that another version was accepted first.
type ConflictError struct {
	// Winner is the version that was accepted instead.
	Winner configstate.Entry
	Reason error
}

// Error names the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("not accepted: version %d by %s of %s came first",
		e.Winner.Version.Offset, e.Winner.Author, e.Winner.Scope)
}

// Unwrap returns the reason.
func (e *ConflictError) Unwrap() error { return e.Reason }

// Versions publishes versions and tells what is known of them.
type Versions interface {
	// Publish appends the proposal and returns its version once the log shows
	// that it was accepted. Other ends are a *LostError, ErrOutcomeUnknown
	// when ctx ends first, and errors that say that nothing was published.
	Publish(ctx context.Context, p configstate.Proposal) (configstate.Entry, error)
	// Newest returns the newest version and its documents.
	Newest() (configstate.Entry, configstate.Documents)
	// At returns the version accepted at a log offset, while it is kept.
	At(offset uint64) (configstate.Entry, configstate.Documents, error)
	// History returns the versions that are kept, the oldest first.
	History() []configstate.Entry
	// Outcome returns what became of the publication with this nonce.
	Outcome(nonce string) (configstate.Outcome, bool)
	// Status tells how far this router and its peers are.
	Status(ctx context.Context) Status
}

// Config is all that the service offers.
type Config interface {
	Source
	Versions
	EmergencyDrains
}

// host is what a publication needs from the reader that watches the log.
type host interface {
	next(p *configstate.Publication) (configstate.Step, configstate.Outcome)
	append(ctx context.Context, record []byte) error
	wait(ctx context.Context, until time.Time) error
	now() time.Time
}

// carry takes a publication to its end.
func carry(ctx context.Context, h host, p *configstate.Publication) (configstate.Entry, error) {
	for {
		step, fate := h.next(p)
		switch step {
		case configstate.StepAccepted:
			return fate.Entry, nil
		case configstate.StepRejected:
			return configstate.Entry{}, &ConflictError{Winner: fate.Entry, Reason: fate.Err}
		case configstate.StepAppend:
			err := h.append(ctx, p.Record())
			switch {
			case err == nil:
				p.AppendConfirmed()
			case errors.Is(err, logstream.ErrRefused) && !p.InDoubt():
				return configstate.Entry{}, err
			default:
				p.AppendUnanswered(h.now())
			}
		case configstate.StepWait:
			if h.wait(ctx, p.RetryAt()) != nil {
				return configstate.Entry{}, fmt.Errorf("%w: the log gave no answer in time", ErrOutcomeUnknown)
			}
		}
	}
}

// Publish appends the proposal and waits for its outcome.
func (s *Service) Publish(ctx context.Context, p configstate.Proposal) (configstate.Entry, error) {
	if p.Nonce == "" {
		p.Nonce = uuid.NewString()
	}
	if p.At.IsZero() {
		p.At = s.clock.Now()
	}
	s.mu.Lock()
	publication, err := s.state.Propose(p)
	s.mu.Unlock()
	if err != nil {
		return configstate.Entry{}, err
	}
	return carry(ctx, (*serviceHost)(s), publication)
}

// serviceHost lets a publication watch the service's reader.
type serviceHost Service

func (h *serviceHost) next(p *configstate.Publication) (configstate.Step, configstate.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return p.Next(h.state, h.clock.Now())
}

func (h *serviceHost) append(ctx context.Context, record []byte) error {
	return appendRecord(ctx, h.clock, h.log, record)
}

// wait waits for a change. A read that shows nothing new for a while may hang
// on a silent connection: it is begun again.
func (h *serviceHost) wait(ctx context.Context, until time.Time) error {
	s := (*Service)(h)
	changed := s.waitChange()
	over := make(chan struct{})
	d := waitStep
	if left := until.Sub(h.clock.Now()); left > 0 {
		d = min(d, left)
	}
	defer h.clock.AfterFunc(d, func() { close(over) })()
	select {
	case <-changed:
	case <-over:
		s.poke()
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (h *serviceHost) now() time.Time { return h.clock.Now() }

// Newest returns the newest version and its documents.
func (s *Service) Newest() (configstate.Entry, configstate.Documents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Current()
}

// At returns the version accepted at a log offset.
func (s *Service) At(offset uint64) (configstate.Entry, configstate.Documents, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.At(offset)
}

// History returns the versions that are kept.
func (s *Service) History() []configstate.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.History()
}

// Outcome returns what became of a publication.
func (s *Service) Outcome(nonce string) (configstate.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Outcome(nonce)
}

// Interface guard.
var _ host = (*serviceHost)(nil)
