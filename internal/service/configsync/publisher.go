package configsync

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
)

// Genesis returns the first record of a configuration stream, with text as the
// base document. It is meant for stand-ins that hold the log in memory. If text is
// too large it returns nil, an empty record, which every reader rejects.
func Genesis(text []byte) []byte {
	p, err := configstate.New().Propose(configstate.Proposal{
		Scope: configstate.Base, Text: string(text), Author: "genesis", Nonce: uuid.NewString(),
	})
	if err != nil {
		return nil
	}
	return p.Record()
}

// Publisher publishes configuration directly to the log. It is meant for programs
// that run without the administration API. Its methods may be called concurrently.
type Publisher struct {
	log    logstream.Log
	clock  kernel.Clock
	author string

	mu    sync.Mutex
	state *configstate.State
}

// NewPublisher returns a publisher that names author in its records.
func NewPublisher(log logstream.Log, clock kernel.Clock, author string) *Publisher {
	return &Publisher{log: log, clock: clock, author: author, state: configstate.New()}
}

// Publish replaces the document of scope by text, based on the newest version, and
// returns the new version once the log shows that it was accepted. Errors are
// those of [Versions.Publish] or of reading the log, wrapped.
func (p *Publisher) Publish(ctx context.Context, scope configstate.Scope, text []byte) (configstate.Version, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.catchUp(ctx); err != nil {
		return configstate.Version{}, fmt.Errorf("publish %s: %w", scope, err)
	}
	publication, err := p.state.Propose(configstate.Proposal{
		Scope: scope, Text: string(text), Author: p.author, Nonce: uuid.NewString(), At: p.clock.Now(),
	})
	if err != nil {
		return configstate.Version{}, fmt.Errorf("publish %s: %w", scope, err)
	}
	entry, err := runPublication(ctx, p, publication)
	if err != nil {
		return configstate.Version{}, fmt.Errorf("publish %s: %w", scope, err)
	}
	return entry.Version, nil
}

// catchUp reads to the end of the log.
func (p *Publisher) catchUp(ctx context.Context) error {
	for {
		next, err := p.read(ctx, 0)
		if err != nil {
			return err
		}
		if p.state.Position() >= next {
			return nil
		}
	}
}

// read reads one page, applies it to the state and returns the offset after the end
// of the log.
func (p *Publisher) read(ctx context.Context, wait time.Duration) (next uint64, err error) {
	start := p.clock.Now()
	page, err := readPage(ctx, p.clock, p.log, p.state.Position(), pageLimit, wait)
	if err != nil {
		return 0, err
	}
	p.state.ApplyPage(page, start, p.clock.Now())
	return page.Next, nil
}

func (p *Publisher) nextStep(publication *configstate.Publication) (configstate.Step, configstate.Outcome) {
	return publication.Next(p.state, p.clock.Now())
}

func (p *Publisher) append(ctx context.Context, record []byte) error {
	return appendRecord(ctx, p.clock, p.log, record)
}

// wait reads one page of the log. After a failed read it waits minRetryDelay, and
// the caller tries again.
func (p *Publisher) wait(ctx context.Context, _ time.Time) error {
	if _, err := p.read(ctx, outcomePollPeriod); err != nil {
		return p.clock.Sleep(ctx, minRetryDelay)
	}
	return ctx.Err()
}

func (p *Publisher) now() time.Time { return p.clock.Now() }

var _ logAccess = (*Publisher)(nil)
