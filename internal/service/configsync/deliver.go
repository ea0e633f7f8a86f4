package configsync

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
)

// delivery is what the watchers were told last.
type delivery struct {
	seen configstate.Version
	// plain is the newest version that can be used, without emergency drains.
	plain  *config.Effective
	round  int
	drains int
}

// deliver puts new versions and emergency drains in force, in order, and tells
// the watchers.
func (s *Service) deliver(ctx context.Context) {
	var last delivery
	for {
		changed := s.waitChange()
		s.deliverOnce(&last)
		over := make(chan struct{})
		stop := s.clock.AfterFunc(emergencyPeriod, func() { close(over) })
		select {
		case <-changed:
		case <-over:
		case <-ctx.Done():
			stop()
			return
		}
		stop()
	}
}

// emergencyPeriod is how often drains are looked at that end by themselves.
const emergencyPeriod = time.Second

func (s *Service) deliverOnce(last *delivery) {
	s.mu.Lock()
	entry, docs := s.state.Current()
	round := s.emergencyRound
	s.mu.Unlock()
	drains := len(s.Emergencies())
	newVersion := entry.Version != last.seen && entry.Version.Hash != ""
	if !newVersion && round == last.round && drains == last.drains {
		return
	}
	if newVersion {
		if e := s.derive(entry, docs); e != nil {
			last.plain = e
		}
	}
	last.seen, last.round, last.drains = entry.Version, round, drains
	if last.plain != nil {
		s.putInForce(s.withEmergencies(last.plain))
	}
}

// derive returns the effective configuration of this site, nil for a version
// that cannot be used; the one before then stays in force.
func (s *Service) derive(entry configstate.Entry, docs configstate.Documents) *config.Effective {
	effective, err := config.Effect(s.site, entry.Version, docs)
	s.mu.Lock()
	s.problem = Problem{}
	if err != nil {
		s.problem = Problem{Version: entry.Version, Message: err.Error()}
	}
	s.mu.Unlock()
	if err != nil {
		s.meters.unusable.Inc(1)
		s.logger.WithError(err).WithField("offset", entry.Version.Offset).Error("Configuration version cannot be used.")
		return nil
	}
	return effective
}

func (s *Service) putInForce(e *config.Effective) {
	s.current.Store(e)
	s.meters.inForce.Update(int64(e.Offset))
	s.logger.WithField("offset", e.Offset).WithField("hash", e.Hash).Info("Configuration in force.")
	for _, f := range s.watchers {
		f(e)
	}
}
