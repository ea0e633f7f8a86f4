package site

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// positionsKey names the part of heartbeats that tells how far a router
	// knows the log.
	positionsKey = "s"
	// helpPeriod is the least time between updates that are sent to a router
	// which is behind.
	helpPeriod = 300 * time.Millisecond
	// helpDelay is the age of the newest news from which a router that lacks it
	// has missed it; before, it is on its way.
	helpDelay = 600 * time.Millisecond
	// helpAge is the age from which a router that is behind gets an update
	// although nothing but its age is old.
	helpAge = 1200 * time.Millisecond
	// relayGain is the least gain in age for which an update without news is
	// passed on.
	relayGain = 200 * time.Millisecond
)

// positions is the part of a heartbeat that tells how far a router knows the
// log.
type positions struct {
	Operator int64 `msgpack:"o"`
	Targets  int64 `msgpack:"t"`
	VMs      int64 `msgpack:"v"`
	// AgeMS is the age of the state in milliseconds, negative before the first
	// read.
	AgeMS int64 `msgpack:"a"`
}

func (s *Service) producePositions(fleet.VM) []byte {
	s.mu.Lock()
	at := s.state.Positions()
	age, known := s.state.Age(s.clock.Now())
	s.mu.Unlock()
	p := positions{Operator: at.Operator, Targets: at.Targets, VMs: at.VMs, AgeMS: age.Milliseconds()}
	if !known {
		p.AgeMS = -1
	}
	data, err := wire.Marshal(p)
	if err != nil {
		s.logger.WithError(err).Error("Cannot encode positions.")
		return nil
	}
	return data
}

func (s *Service) consumePositions(from fleet.VM, part []byte) {
	var p positions
	if err := wire.Unmarshal(part, &p); err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Positions dropped.")
		return
	}
	at := sitestate.Positions{Operator: p.Operator, Targets: p.Targets, VMs: p.VMs}
	s.mu.Lock()
	now := s.clock.Now()
	if p.AgeMS >= 0 {
		s.state.ConfirmFresh(now, at, time.Duration(p.AgeMS)*time.Millisecond)
	}
	help := s.help(now, from, at, p.AgeMS)
	ask := s.asks(now, p.AgeMS >= 0)
	s.mu.Unlock()
	if help != nil {
		s.send(help, from)
	}
	if ask {
		s.ask(from)
	}
}

// asks reports whether to ask a router that knows the log, because this one has
// not read it yet. The caller holds the lock.
func (s *Service) asks(now time.Time, knows bool) bool {
	if _, known := s.state.Age(now); known || !knows || now.Sub(s.askedAt) < helpPeriod {
		return false
	}
	s.askedAt = now
	return true
}

// ask tells a router what this one knows, so that it sends the rest.
func (s *Service) ask(from fleet.VM) {
	data := s.producePositions(from)
	if data == nil {
		return
	}
	if err := s.peers.Send(from, peer.KindConfig, append([]byte{formAsk}, data...)); err != nil {
		s.logger.WithError(err).WithField("peer", from).Debug("Question not sent.")
	}
}

// help returns an update for a router that is behind, nil when it needs none.
// The caller holds the lock.
func (s *Service) help(now time.Time, from fleet.VM, at sitestate.Positions, ageMS int64) *sitestate.Update {
	own := s.state.Positions()
	behind := at.Operator < own.Operator || at.Targets < own.Targets || at.VMs < own.VMs
	if !behind || now.Sub(s.helped[from]) < helpPeriod {
		return nil
	}
	old := ageMS < 0 || time.Duration(ageMS)*time.Millisecond > helpAge
	if !old && now.Sub(s.newsAt) < helpDelay {
		return nil
	}
	update := s.state.Since(now, at)
	if !old && len(update.Config)+len(update.Drains)+len(update.Targets)+len(update.VMs) == 0 {
		return nil
	}
	s.helped[from] = now
	return update
}

// hear takes an update from another router.
func (s *Service) hear(from fleet.VM, payload []byte) {
	if len(payload) > 0 && payload[0] == formAsk {
		s.consumePositions(from, payload[1:])
		return
	}
	update, err := decodeUpdate(payload)
	if err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Update dropped.")
		return
	}
	before, known := s.Age()
	news := s.apply(update, string(from))
	after, _ := s.Age()
	if news.Any() || !known || before-after > relayGain {
		if update.Age >= 0 {
			update.Age = max(update.Age, after)
		}
		s.broadcast(update, from)
	}
}

// broadcast passes on an update that came from a router, or one that began
// here when from is empty.
func (s *Service) broadcast(update *sitestate.Update, from fleet.VM) {
	s.send(update, s.tree.Load().ForwardTo(from)...)
}

func (s *Service) send(update *sitestate.Update, to ...fleet.VM) {
	if len(to) == 0 {
		return
	}
	payload, err := encodeUpdate(update)
	if err != nil {
		s.logger.WithError(err).Error("Cannot encode an update.")
		return
	}
	for _, vm := range to {
		if err := s.peers.Send(vm, peer.KindConfig, payload); err != nil {
			s.logger.WithError(err).WithField("peer", vm).Debug("Update not sent.")
		}
	}
}
