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
)

const (
	// emergencyKey names the emergency drains in heartbeats. They go like
	// digests: often after a change, and now and then after that.
	emergencyKey      = "e"
	emergencyPriority = 0
	// probeLimit is the time in which the log must answer to count as there.
	probeLimit = 2 * time.Second
)

// EmergencyDrains takes things out while the log is away, without a version.
type EmergencyDrains interface {
	// SetEmergency makes a mark the newest of its thing and spreads it.
	SetEmergency(m configstate.EmergencyMark) configstate.EmergencyMark
	// Emergencies returns the drains of this site that hold now.
	Emergencies() []configstate.EmergencyMark
	// LogReadable reports whether the log can be read now.
	LogReadable(ctx context.Context) bool
}

// sentMarks is the state of passing marks on to one peer.
type sentMarks struct {
	round int
	times int
	at    time.Time
}

// attachEmergencies joins heartbeats. It runs while provisioning.
func (s *Service) attachEmergencies() {
	s.members.Attach(members.Extension{
		Key:      emergencyKey,
		Priority: emergencyPriority,
		Produce:  s.produceEmergencies,
		Consume:  s.consumeEmergencies,
	})
}

// SetEmergency makes a mark the newest of its thing.
func (s *Service) SetEmergency(m configstate.EmergencyMark) configstate.EmergencyMark {
	s.mu.Lock()
	m = s.emergencies.Timestamp(m, s.clock.Now())
	s.mu.Unlock()
	s.mergeEmergencies(m)
	return m
}

// Emergencies returns the drains of this site that hold now.
func (s *Service) Emergencies() []configstate.EmergencyMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.emergencies.Drains(s.site, s.clock.Now())
}

// LogReadable reads the log without waiting for a record.
func (s *Service) LogReadable(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.clock.AfterFunc(probeLimit, cancel)()
	_, err := s.log.Read(ctx, Stream, 0, 1, 0)
	return err == nil
}

// mergeEmergencies takes marks and passes on what is new.
func (s *Service) mergeEmergencies(marks ...configstate.EmergencyMark) {
	s.mu.Lock()
	changed := s.emergencies.Merge(s.clock.Now(), marks...)
	if changed {
		s.emergencyRound++
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if changed {
		s.logger.WithField("marks", len(marks)).Warn("Emergency drains changed.")
		s.members.SendHeartbeats()
	}
}

func (s *Service) produceEmergencies(to fleet.VM) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	marks := s.emergencies.All()
	if len(marks) == 0 {
		return nil
	}
	now := s.clock.Now()
	sent := s.sentMarks[to]
	if sent.round != s.emergencyRound {
		sent = sentMarks{round: s.emergencyRound}
	}
	if sent.times >= digestRepeats && now.Sub(sent.at) < digestPeriod {
		return nil
	}
	sent.times++
	sent.at = now
	s.sentMarks[to] = sent
	data, err := msgpack.Marshal(marks)
	if err != nil {
		return nil
	}
	return data
}

func (s *Service) consumeEmergencies(from fleet.VM, part []byte) {
	var marks []configstate.EmergencyMark
	if err := msgpack.Unmarshal(part, &marks); err != nil {
		s.logger.WithError(fmt.Errorf("emergency drains of %s: %w", from, err)).Warn("Emergency drains rejected.")
		return
	}
	s.mergeEmergencies(marks...)
}

// withEmergencies returns the configuration with what emergency drains take
// out.
func (s *Service) withEmergencies(e *config.Effective) *config.Effective {
	var drained []config.Drained
	for _, m := range s.Emergencies() {
		drained = append(drained, config.Drained{Section: config.Markable(m.Section), Name: m.Name})
	}
	return e.WithDrains(drained)
}
