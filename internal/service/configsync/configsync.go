// Package configsync follows the configuration on the platform's log and
// gives the other services the configuration in force.
package configsync

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

// Name is the service's name in the kernel.
const Name = "config"

// Stream is the log stream that carries the configuration.
const Stream = "config"

const (
	readLimit = 64
	readWait  = 10 * time.Second
	retryWait = 500 * time.Millisecond
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Source gives the configuration in force.
type Source interface {
	// Current returns the configuration in force, or nil when none is known.
	Current() *config.Effective
	// Watch calls f after each change, in order, on one goroutine. A watcher
	// must be added while its service is provisioned.
	Watch(f func(*config.Effective))
}

// Service follows the configuration stream.
type Service struct {
	log      logstream.Log
	clock    kernel.Clock
	logger   *logrus.Entry
	current  atomic.Pointer[config.Effective]
	watchers []func(*config.Effective)
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up the log.
func (s *Service) Provision(c *kernel.Context) error {
	p, err := kernel.Lookup[platform.Platform](c, platform.Name)
	if err != nil {
		return err
	}
	s.log = p.Log()
	s.clock = c.Clock
	s.logger = c.Logger()
	return nil
}

// Start follows the stream in the background.
func (s *Service) Start(ctx context.Context) error {
	go s.follow(ctx)
	return nil
}

// Current returns the configuration in force.
func (s *Service) Current() *config.Effective { return s.current.Load() }

// Watch calls f after each change.
func (s *Service) Watch(f func(*config.Effective)) { s.watchers = append(s.watchers, f) }

func (s *Service) follow(ctx context.Context) {
	var next uint64
	for ctx.Err() == nil {
		page, err := s.log.Read(ctx, Stream, next, readLimit, readWait)
		if err != nil {
			s.logger.WithError(err).Warn("Cannot read configuration.")
			_ = s.clock.Sleep(ctx, retryWait)
			continue
		}
		for _, r := range page.Records {
			s.apply(r)
			next = r.Offset + 1
		}
	}
}

func (s *Service) apply(r logstream.Record) {
	c, err := config.Decode(fmt.Sprintf("%s@%d", Stream, r.Offset), r.Data)
	if err != nil {
		s.logger.WithError(err).Warn("Configuration record rejected.")
		return
	}
	e := &config.Effective{
		Config: c,
		Offset: r.Offset,
		Hash:   fmt.Sprintf("%016x", xxhash.Sum64(r.Data)),
	}
	s.current.Store(e)
	s.logger.WithFields(logrus.Fields{"offset": e.Offset, "hash": e.Hash}).Info("Configuration in force.")
	for _, f := range s.watchers {
		f(e)
	}
}

// Interface guards.
var (
	_ Source             = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
)
