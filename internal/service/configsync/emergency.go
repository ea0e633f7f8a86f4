package configsync

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// emergencyKey names the emergency marks in heartbeats. They are sent as
	// often as digests: see digestRepeats and digestPeriod.
	emergencyKey      = "e"
	emergencyPriority = 0
	// probeTimeout limits the read that checks whether the log is available.
	probeTimeout = 2 * time.Second
)

// EmergencyDrains drains parts of a site without publishing a version, which also
// works while the log is unavailable.
type EmergencyDrains interface {
	// SetEmergency sets a mark, replaces an older one of the same item, and sends
	// it to the other routers. It returns the mark with its time set.
	SetEmergency(m configstate.EmergencyMark) configstate.EmergencyMark
	// Emergencies returns the active drains of this site.
	Emergencies() []configstate.EmergencyMark
	// LogReadable reports whether the log answers a read now.
	LogReadable(ctx context.Context) bool
}

// sentMarks records when and how often the marks of a revision were sent to a
// peer.
type sentMarks struct {
	revision int
	count    int
	at       time.Time
}

// attachEmergencies adds the emergency marks to heartbeats. It is called by
// Provision.
func (s *Service) attachEmergencies() {
	s.members.Attach(members.Extension{
		Key:      emergencyKey,
		Priority: emergencyPriority,
		Produce:  s.produceEmergencies,
		Consume:  s.consumeEmergencies,
	})
}

// SetEmergency implements [EmergencyDrains].
func (s *Service) SetEmergency(m configstate.EmergencyMark) configstate.EmergencyMark {
	s.mu.Lock()
	m = s.emergencies.Timestamp(m, s.clock.Now())
	s.mu.Unlock()
	s.mergeEmergencies(m)
	return m
}

// Emergencies implements [EmergencyDrains].
func (s *Service) Emergencies() []configstate.EmergencyMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.emergencies.Drains(s.site, s.clock.Now())
}

// LogReadable implements [EmergencyDrains]. It reads without waiting for a record.
func (s *Service) LogReadable(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.clock.AfterFunc(probeTimeout, cancel)()
	_, err := s.log.Read(ctx, Stream, 0, 1, 0)
	return err == nil
}

// mergeEmergencies adds marks and, if that changes anything, signals the change
// and sends heartbeats.
func (s *Service) mergeEmergencies(marks ...configstate.EmergencyMark) {
	s.mu.Lock()
	changed := s.emergencies.Merge(s.clock.Now(), marks...)
	if changed {
		s.emergencyRevision++
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if changed {
		s.logger.WithField("marks", len(marks)).Warn("Emergency drains changed.")
		s.members.SendHeartbeats()
	}
}

// produceEmergencies returns the encoded emergency marks for a heartbeat, or nil if
// none are due for that peer.
func (s *Service) produceEmergencies(to fleet.VM) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	marks := s.emergencies.All()
	if len(marks) == 0 {
		return nil
	}
	now := s.clock.Now()
	sent := s.sentMarks[to]
	if sent.revision != s.emergencyRevision {
		sent = sentMarks{revision: s.emergencyRevision}
	}
	if sent.count >= digestRepeats && now.Sub(sent.at) < digestPeriod {
		return nil
	}
	sent.count++
	sent.at = now
	s.sentMarks[to] = sent
	data, err := msgpack.Marshal(marks)
	if err != nil {
		return nil
	}
	return data
}

// consumeEmergencies merges the emergency marks of a received heartbeat.
func (s *Service) consumeEmergencies(from fleet.VM, part []byte) {
	var marks []configstate.EmergencyMark
	if err := wire.Unmarshal(part, &marks); err != nil {
		s.logger.WithError(fmt.Errorf("emergency drains from %s: %w", from, err)).Warn("Emergency drains rejected.")
		return
	}
	s.mergeEmergencies(marks...)
}

// withEmergencyDrains returns the configuration with the active emergency drains
// applied.
func (s *Service) withEmergencyDrains(e *config.Effective) *config.Effective {
	var drained []config.Drained
	for _, m := range s.Emergencies() {
		drained = append(drained, config.Drained{Section: config.Markable(m.Section), Name: m.Name})
	}
	return e.WithDrains(drained)
}
