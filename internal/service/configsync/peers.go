package configsync

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer"
)

const (
	// digestKey names the digest in heartbeats. The digest goes with the first
	// digestRepeats heartbeats after a change, because one may be lost, and
	// with one in each digestPeriod after that.
	digestKey      = "c"
	digestPriority = 0
	digestRepeats  = 3
	digestPeriod   = 5 * time.Second

	fetchPeriod = 100 * time.Millisecond
	queryLimit  = 2 * time.Second
)

// sentDigest is the last digest that a peer was sent.
type sentDigest struct {
	digest configstate.Digest
	times  int
	at     time.Time
}

// query is what one router asks another.
type query struct {
	// Have is the version that the asking router knows.
	Have configstate.Version `msgpack:"h"`
	// Status asks for the other router's status instead of newer versions.
	Status bool `msgpack:"s,omitempty"`
}

// RouterStatus tells which version one router knows and uses.
type RouterStatus struct {
	VM fleet.VM `json:"vm" msgpack:"v"`
	// Newest is the newest version that the router knows.
	Newest configstate.Version `json:"newest" msgpack:"n"`
	// InForce is the version that it uses.
	InForce configstate.Version `json:"in_force" msgpack:"f"`
	// Problem tells why the newest version is not in force there.
	Problem string `json:"problem,omitempty" msgpack:"p,omitempty"`
	// Unreachable tells that the router gave no answer.
	Unreachable bool `json:"unreachable,omitempty" msgpack:"-"`
}

// attach joins heartbeats and queries. It runs while provisioning.
func (s *Service) attach() {
	s.members.Attach(members.Extension{
		Key:      digestKey,
		Priority: digestPriority,
		Produce:  s.produce,
		Consume:  s.consume,
	})
	s.members.Watch(s.forget)
	s.peers.HandleQuery(peer.KindConfig, s.answer)
}

func (s *Service) inForce() configstate.Version {
	e := s.current.Load()
	if e == nil {
		return configstate.Version{}
	}
	return configstate.Version{Offset: e.Offset, Hash: e.Hash}
}

func (s *Service) produce(to fleet.VM) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, _ := s.state.Current()
	if entry.Version.Hash == "" {
		return nil
	}
	now := s.clock.Now()
	digest := configstate.DigestOf(entry.Version, s.inForce().Offset)
	sent := s.sent[to]
	if sent.digest != digest {
		sent = sentDigest{digest: digest}
	}
	if sent.times >= digestRepeats && now.Sub(sent.at) < digestPeriod {
		return nil
	}
	sent.times++
	sent.at = now
	s.sent[to] = sent
	return digest.Encode()
}

func (s *Service) consume(from fleet.VM, part []byte) {
	digest, err := configstate.DecodeDigest(part)
	if err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Configuration digest rejected.")
		return
	}
	s.mu.Lock()
	s.spread.Observe(from, digest, s.clock.Now())
	entry, _ := s.state.Current()
	other, diverged := s.spread.Diverged(entry.Version)
	s.mu.Unlock()
	if diverged {
		s.meters.diverged.Inc(1)
		s.logger.WithField("peer", other).Error("A peer has another configuration at the same offset.")
	}
}

// forget drops what was heard from routers that are gone, and sends a full
// round of digests to those that came back.
func (s *Service) forget(view *members.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := func(vm fleet.VM) bool {
		m, ok := view.Find(vm)
		return ok && m.Status != members.StateDead
	}
	s.spread.Retain(present)
	maps.DeleteFunc(s.sent, func(vm fleet.VM, _ sentDigest) bool { return !present(vm) })
	maps.DeleteFunc(s.sentMarks, func(vm fleet.VM, _ sentMarks) bool { return !present(vm) })
}

// answer serves the queries of other routers.
func (s *Service) answer(_ context.Context, _ fleet.VM, payload []byte) ([]byte, error) {
	var q query
	if err := msgpack.Unmarshal(payload, &q); err != nil {
		return nil, fmt.Errorf("configuration query: %w", err)
	}
	if q.Status {
		return msgpack.Marshal(s.own())
	}
	s.mu.Lock()
	offer, err := s.state.OfferTo(q.Have)
	s.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("configuration query: %w", err)
	}
	return msgpack.Marshal(offer)
}

// fetch gets a newer version from a peer when the log is late with it.
func (s *Service) fetch(ctx context.Context, now time.Time) {
	s.mu.Lock()
	entry, _ := s.state.Current()
	from, ok := s.spread.StartFetch(entry.Version, now)
	s.mu.Unlock()
	if !ok {
		return
	}
	s.meters.fetches.Inc(1)
	err := s.fetchFrom(ctx, from, entry.Version)
	if err != nil && ctx.Err() == nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Cannot fetch configuration.")
	}
	s.mu.Lock()
	s.spread.EndFetch(from, err == nil, s.clock.Now())
	s.mu.Unlock()
	// The log has more than the read under way has shown.
	s.poke()
}

func (s *Service) fetchFrom(ctx context.Context, from fleet.VM, have configstate.Version) error {
	data, err := s.query(ctx, from, query{Have: have})
	if err != nil {
		return err
	}
	var offer configstate.Offer
	if err := msgpack.Unmarshal(data, &offer); err != nil {
		return fmt.Errorf("offer of %s: %w", from, err)
	}
	s.update(func(st *configstate.State) []configstate.Event {
		var events []configstate.Event
		events, err = st.ApplyOffer(offer, s.clock.Now())
		return events
	})
	if err != nil {
		return fmt.Errorf("offer of %s: %w", from, err)
	}
	return nil
}

func (s *Service) query(ctx context.Context, to fleet.VM, q query) ([]byte, error) {
	payload, err := msgpack.Marshal(q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.clock.AfterFunc(queryLimit, cancel)()
	return s.peers.Query(ctx, to, peer.KindConfig, payload)
}
