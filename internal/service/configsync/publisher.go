package configsync

import (
	"context"
	"fmt"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
)

// Genesis returns the first record of a configuration stream: text as the
// shared base. It is meant for stand-ins that hold the log in memory.
func Genesis(text []byte) []byte { return text }

// Publisher publishes configuration straight on the log. It is meant for
// programs that run without the administration API.
type Publisher struct {
	log    logstream.Log
	clock  kernel.Clock
	author string
}

// NewPublisher returns a publisher that names author in its records.
func NewPublisher(log logstream.Log, clock kernel.Clock, author string) *Publisher {
	return &Publisher{log: log, clock: clock, author: author}
}

// Publish replaces the document of scope by text on top of the newest version
// and returns the new version once the log shows that it was accepted.
func (p *Publisher) Publish(ctx context.Context, scope configstate.Scope, text []byte) (configstate.Version, error) {
	if scope != configstate.Base {
		return configstate.Version{}, fmt.Errorf("publish %s: only the base can be published yet", scope)
	}
	offset, err := p.log.Append(ctx, Stream, text)
	if err != nil {
		return configstate.Version{}, fmt.Errorf("publish %s: %w", scope, err)
	}
	return configstate.Version{Offset: offset}, nil
}
