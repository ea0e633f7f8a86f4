package site

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/core/transit"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// positionsKey is the heartbeat key of positions.
	positionsKey = "s"
	// catchUpInterval is the minimum time between two updates to a router that
	// is behind, and between two requests for an update.
	catchUpInterval = 300 * time.Millisecond
	// catchUpDelay is the time after the last change during which a router that
	// lacks it is not sent a catch-up update: the broadcast may still be under way.
	catchUpDelay = 600 * time.Millisecond
	// catchUpAge is the state age from which a router that is behind is sent an
	// update at once, even one without records.
	catchUpAge = 1200 * time.Millisecond
	// minRelayAgeGain is the minimum reduction of the state's age for which an
	// update without changes is passed on.
	minRelayAgeGain = 200 * time.Millisecond
)

// positions is the heartbeat part that holds the offsets of the log's topics
// which a router has reached, and the age of its state.
type positions struct {
	Operator int64 `msgpack:"o"`
	Targets  int64 `msgpack:"t"`
	VMs      int64 `msgpack:"v"`
	// AgeMS is the age of the state in milliseconds, negative if it is unknown.
	AgeMS int64 `msgpack:"a"`
	// Era is the era of the offsets, and Version that of the configuration. Routers
	// of releases that know no eras send neither.
	Era     int64 `msgpack:"e,omitempty"`
	Version int64 `msgpack:"c,omitempty"`
	// Process and SentMS are the stamp of the message, the latter in milliseconds of the
	// sender's steady clock. Routers of earlier releases send neither.
	Process uint64 `msgpack:"p,omitempty"`
	SentMS  int64  `msgpack:"n,omitempty"`
}

// stamp returns the time at which the positions were sent.
func (p *positions) stamp() transit.Stamp {
	return transit.Stamp{Process: p.Process, Sent: time.Duration(p.SentMS) * time.Millisecond}
}

// offsets returns the offsets with their era.
func (p *positions) offsets() sitestate.Positions {
	return sitestate.Positions{Operator: p.Operator, Targets: p.Targets, VMs: p.VMs, Era: p.Era}
}

// producePositions encodes this router's positions, nil on failure.
func (s *Service) producePositions(fleet.VM) []byte {
	s.mu.Lock()
	at := s.state.Positions()
	version := s.version()
	now := s.clock.Now()
	age, known := s.state.Age(now)
	stamp := s.stamp(now)
	s.mu.Unlock()
	p := positions{
		Operator: at.Operator, Targets: at.Targets, VMs: at.VMs, AgeMS: age.Milliseconds(), Era: at.Era, Version: version,
		Process: stamp.Process, SentMS: stamp.Sent.Milliseconds(),
	}
	if !known {
		p.AgeMS = -1
	}
	data, err := wire.Marshal(p)
	if err != nil {
		s.logger.WithError(err).Error("Cannot encode log positions.")
		return nil
	}
	return data
}

// consumePositions handles the positions of a peer: it confirms the age of the
// state, sends an update if the peer is behind, and requests one if this router's
// state has no known age.
func (s *Service) consumePositions(from fleet.VM, part []byte) {
	var p positions
	if err := wire.Unmarshal(part, &p); err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Dropped log positions that can't be decoded.")
		return
	}
	s.mu.Lock()
	now := s.clock.Now()
	delay := s.observeDelay(now, from, p.stamp())
	if p.AgeMS >= 0 {
		p.AgeMS += delay.Milliseconds()
		s.state.ConfirmFresh(now, p.offsets(), time.Duration(p.AgeMS)*time.Millisecond)
	}
	update := s.catchUpUpdate(now, from, &p)
	request := s.shouldRequest(now, &p)
	s.mu.Unlock()
	if update != nil {
		s.send(update, from)
	}
	if request {
		s.requestUpdate(from)
	}
}

// version returns the version of the configuration, zero if none is known. The
// caller holds the lock.
func (s *Service) version() int64 {
	if table := s.state.Table(); table != nil {
		return table.Config.Version
	}
	return 0
}

// shouldRequest reports whether to request an update from a peer whose state has a
// known age: this router's has none, or is of an earlier era of the log. It then
// notes the time of the request. The caller holds the lock.
func (s *Service) shouldRequest(now time.Time, p *positions) bool {
	_, known := s.state.Age(now)
	if known && !s.state.IsLaterEra(p.Era) || p.AgeMS < 0 || now.Sub(s.requestedAt) < catchUpInterval {
		return false
	}
	s.requestedAt = now
	return true
}

// requestUpdate sends this router's positions to a peer, which replies with the
// changes that are missing.
func (s *Service) requestUpdate(from fleet.VM) {
	data := s.producePositions(from)
	if data == nil {
		return
	}
	if err := s.peers.Send(from, peer.KindConfig, append([]byte{messageRequest}, data...)); err != nil {
		s.logger.WithError(err).WithField("peer", from).Debug("Cannot send a request for an update.")
	}
}

// catchUpUpdate returns an update for a peer that is behind this router, nil if the
// peer needs none yet: its offsets or their era are lower, or its configuration is
// older than one that the log has lost. A negative AgeMS means that the age of the
// peer's state is unknown. The caller holds the lock.
func (s *Service) catchUpUpdate(now time.Time, from fleet.VM, p *positions) *sitestate.Update {
	if !s.isBehind(p) || now.Sub(s.catchUpSentAt[from]) < catchUpInterval {
		return nil
	}
	old := p.AgeMS < 0 || time.Duration(p.AgeMS)*time.Millisecond > catchUpAge
	if !old && now.Sub(s.changedAt) < catchUpDelay {
		return nil
	}
	update := s.state.Since(now, p.offsets())
	if !old && len(update.Config)+len(update.Drains)+len(update.Targets)+len(update.VMs)+len(update.Rollouts) == 0 {
		return nil
	}
	s.catchUpSentAt[from] = now
	return update
}

// isBehind reports whether a peer lacks something that this router knows. The caller
// holds the lock.
func (s *Service) isBehind(p *positions) bool {
	own := s.state.Positions()
	if s.state.IsLaterEra(p.Era) {
		return false
	}
	if p.Era != 0 && p.Era < own.Era || p.Version > 0 && p.Version < s.version() {
		return true
	}
	return p.Operator < own.Operator || p.Targets < own.Targets || p.VMs < own.VMs
}

// handleMessage handles an update or a request for an update from a peer, and
// passes an update on if it changed the state or made it fresher.
func (s *Service) handleMessage(from fleet.VM, payload []byte) {
	if len(payload) > 0 && payload[0] == messageRequest {
		s.consumePositions(from, payload[1:])
		return
	}
	update, err := decodeUpdate(payload)
	if err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Dropped an update that can't be decoded.")
		return
	}
	s.mu.Lock()
	delay := s.observeDelay(s.clock.Now(), from, update.Stamp)
	s.mu.Unlock()
	if update.Age >= 0 {
		update.Age += delay
	}
	before, known := s.Age()
	changes := s.apply(update, string(from))
	after, _ := s.Age()
	if changes.Any() || !known || before-after > minRelayAgeGain {
		if update.Age >= 0 {
			update.Age = max(update.Age, after)
		}
		s.broadcast(update, from)
	}
}

// broadcast sends an update along the tree of routers. From is the peer that it
// came from, empty if it originates here.
func (s *Service) broadcast(update *sitestate.Update, from fleet.VM) {
	s.send(update, s.tree.Load().ForwardTo(from)...)
}

// send sends an update to the given routers. Failures are logged only; later
// heartbeats show which routers are still behind.
func (s *Service) send(update *sitestate.Update, to ...fleet.VM) {
	if len(to) == 0 {
		return
	}
	s.mu.Lock()
	update.Stamp = s.stamp(s.clock.Now())
	s.mu.Unlock()
	payload, err := encodeUpdate(update)
	if err != nil {
		s.logger.WithError(err).Error("Cannot encode an update.")
		return
	}
	for _, vm := range to {
		if err := s.peers.Send(vm, peer.KindConfig, payload); err != nil {
			s.logger.WithError(err).WithField("peer", vm).Debug("Cannot send an update.")
		}
	}
}

// minSuspension is the time for which the steady clock must have stood still, against the
// time of day, to count as another clock in stamps.
const minSuspension = 100 * time.Millisecond

// stamp returns the stamp of a message that is sent now. The caller holds the lock.
func (s *Service) stamp(now time.Time) transit.Stamp {
	steady, timeOfDay := now.Sub(s.stampedAt), now.Round(0).Sub(s.stampedAt.Round(0))
	if (timeOfDay - steady).Abs() > minSuspension {
		s.processStamp = s.random.Uint64() | 1
	}
	s.stampedAt = now
	return transit.Stamp{Process: s.processStamp, Sent: now.Sub(s.startedAt)}
}

// observeDelay returns and records by how much a message of another router was delayed,
// zero for one without a stamp. What the message says of ages is older by that. The caller
// holds the lock.
func (s *Service) observeDelay(now time.Time, from fleet.VM, stamp transit.Stamp) time.Duration {
	if stamp.Process == 0 {
		return 0
	}
	delay := s.transit.Delay(now, from, stamp)
	s.delays.Update(delay.Nanoseconds())
	return delay
}
