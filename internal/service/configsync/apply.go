package configsync

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
)

// appliedState describes the configuration that was applied last.
type appliedState struct {
	// version is the newest version handled so far, even if it was invalid.
	version configstate.Version
	// undrained is the newest valid configuration, without emergency drains.
	undrained *config.Effective
	// revision is the revision of the emergency marks, and drains the number of
	// drains that were active.
	revision int
	drains   int
}

// applyChanges puts new versions and emergency drains in force, in order, until
// ctx ends.
func (s *Service) applyChanges(ctx context.Context) {
	var last appliedState
	for {
		changed := s.changeSignal()
		s.applyOnce(&last)
		timedOut := make(chan struct{})
		stop := s.clock.AfterFunc(drainCheckPeriod, func() { close(timedOut) })
		select {
		case <-changed:
		case <-timedOut:
		case <-ctx.Done():
			stop()
			return
		}
		stop()
	}
}

// drainCheckPeriod is the interval of the checks for expired emergency drains.
const drainCheckPeriod = time.Second

// applyOnce puts the newest version and the current emergency drains in force, if
// either differs from last, and updates last.
func (s *Service) applyOnce(last *appliedState) {
	s.mu.Lock()
	entry, docs := s.state.Current()
	revision := s.emergencyRevision
	s.mu.Unlock()
	drains := len(s.Emergencies())
	newVersion := entry.Version != last.version && entry.Version.Hash != ""
	if !newVersion && revision == last.revision && drains == last.drains {
		return
	}
	if newVersion {
		if e := s.derive(entry, docs); e != nil {
			last.undrained = e
		}
	}
	last.version, last.revision, last.drains = entry.Version, revision, drains
	if last.undrained != nil {
		s.setCurrent(s.withEmergencyDrains(last.undrained))
	}
}

// derive returns the effective configuration of this site. For an invalid version
// it records the problem and returns nil, and the version before stays in force.
func (s *Service) derive(entry configstate.Entry, docs configstate.Documents) *config.Effective {
	effective, err := config.Effect(s.site, entry.Version, docs)
	s.mu.Lock()
	s.problem = Problem{}
	if err != nil {
		s.problem = Problem{Version: entry.Version, Message: err.Error()}
	}
	s.mu.Unlock()
	if err != nil {
		s.metrics.unusable.Inc(1)
		s.logger.WithError(err).WithField("offset", entry.Version.Offset).Error("Configuration version cannot be used.")
		return nil
	}
	return effective
}

// setCurrent replaces the configuration in force and calls the watchers.
func (s *Service) setCurrent(e *config.Effective) {
	s.current.Store(e)
	s.metrics.inForce.Update(int64(e.Offset))
	s.logger.WithField("offset", e.Offset).WithField("hash", e.Hash).Info("Configuration in force.")
	for _, f := range s.watchers {
		f(e)
	}
}
