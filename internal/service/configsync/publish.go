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
	// appendTimeout is the time after which an append counts as unanswered.
	appendTimeout = 3 * time.Second
	// outcomePollPeriod is the longest wait between two checks of a publication.
	outcomePollPeriod = 500 * time.Millisecond
)

// ErrOutcomeUnknown means that the log could not be read in time to learn whether
// a publication was accepted. It may still be accepted.
var ErrOutcomeUnknown = errors.New("outcome of the publication is not known yet")

// ConflictError means that another version was accepted first.
type ConflictError struct {
	// Winner is the version that was accepted instead.
	Winner configstate.Entry
	// Reason is the reason for the rejection, as in [configstate.Outcome].
	Reason error
}

// Error names the version that was accepted and its author.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("not accepted: version %d by %s of %s was accepted first",
		e.Winner.Version.Offset, e.Winner.Author, e.Winner.Scope)
}

// Unwrap returns the reason.
func (e *ConflictError) Unwrap() error { return e.Reason }

// Versions publishes configuration versions and reads those that are known.
type Versions interface {
	// Publish appends the proposal and returns its version once the log shows
	// that it was accepted. It returns a *ConflictError if another version was
	// accepted first, and ErrOutcomeUnknown if ctx ends before the outcome is
	// known. After any other error nothing was published.
	Publish(ctx context.Context, p configstate.Proposal) (configstate.Entry, error)
	// Newest returns the newest version and its documents.
	Newest() (configstate.Entry, configstate.Documents)
	// At returns the version accepted at a log offset and its documents, or an
	// error if the version is not kept.
	At(offset uint64) (configstate.Entry, configstate.Documents, error)
	// History returns the versions that are kept, oldest first.
	History() []configstate.Entry
	// Outcome returns the outcome of the publication with this nonce, and whether
	// it is known.
	Outcome(nonce string) (configstate.Outcome, bool)
	// Status returns the versions known and in force on the routers of the site.
	Status(ctx context.Context) Status
}

// Config is the whole interface of the service.
type Config interface {
	Source
	Versions
	EmergencyDrains
}

// logAccess gives runPublication the log and the state that is read from it.
type logAccess interface {
	// nextStep returns the next step of the publication, and its outcome once
	// that is known.
	nextStep(p *configstate.Publication) (configstate.Step, configstate.Outcome)
	// append appends a record, as appendRecord does.
	append(ctx context.Context, record []byte) error
	// wait returns after a change of the state, a read or a timeout, whichever
	// the implementation waits for, or with an error when ctx ends.
	wait(ctx context.Context, until time.Time) error
	now() time.Time
}

// runPublication appends the record of a publication, if needed several times, until
// its outcome is known or ctx ends.
func runPublication(ctx context.Context, access logAccess, p *configstate.Publication) (configstate.Entry, error) {
	for {
		step, outcome := access.nextStep(p)
		switch step {
		case configstate.StepAccepted:
			return outcome.Entry, nil
		case configstate.StepRejected:
			return configstate.Entry{}, &ConflictError{Winner: outcome.Entry, Reason: outcome.Err}
		case configstate.StepAppend:
			err := access.append(ctx, p.Record())
			switch {
			case err == nil:
				p.AppendConfirmed()
			case errors.Is(err, logstream.ErrRefused) && !p.InDoubt():
				return configstate.Entry{}, err
			default:
				p.AppendUnanswered(access.now())
			}
		case configstate.StepWait:
			if access.wait(ctx, p.RetryAt()) != nil {
				return configstate.Entry{}, fmt.Errorf("%w: the log did not answer in time", ErrOutcomeUnknown)
			}
		}
	}
}

// Publish implements [Versions]. It sets the nonce and the time of the proposal if
// they are missing.
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
	return runPublication(ctx, (*serviceLogAccess)(s), publication)
}

// serviceLogAccess implements logAccess with the state of the service, which
// follow updates.
type serviceLogAccess Service

func (h *serviceLogAccess) nextStep(p *configstate.Publication) (configstate.Step, configstate.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return p.Next(h.state, h.clock.Now())
}

func (h *serviceLogAccess) append(ctx context.Context, record []byte) error {
	return appendRecord(ctx, h.clock, h.log, record)
}

// wait returns after a change of state, or after outcomePollPeriod or at until,
// whichever is first. On a timeout it restarts the current read if that is slow,
// because the read may hang on a silent connection.
func (h *serviceLogAccess) wait(ctx context.Context, until time.Time) error {
	s := (*Service)(h)
	changed := s.changeSignal()
	timedOut := make(chan struct{})
	d := outcomePollPeriod
	if left := until.Sub(h.clock.Now()); left > 0 {
		d = min(d, left)
	}
	defer h.clock.AfterFunc(d, func() { close(timedOut) })()
	select {
	case <-changed:
	case <-timedOut:
		s.restartSlowRead()
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (h *serviceLogAccess) now() time.Time { return h.clock.Now() }

// Newest implements [Versions].
func (s *Service) Newest() (configstate.Entry, configstate.Documents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Current()
}

// At implements [Versions].
func (s *Service) At(offset uint64) (configstate.Entry, configstate.Documents, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.At(offset)
}

// History implements [Versions].
func (s *Service) History() []configstate.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.History()
}

// Outcome implements [Versions].
func (s *Service) Outcome(nonce string) (configstate.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Outcome(nonce)
}

// Interface guard.
var _ logAccess = (*serviceLogAccess)(nil)
