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
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// digestKey names the digest in heartbeats. The digest is sent in the first
	// digestRepeats heartbeats after a change, because one may be lost, and
	// once per digestPeriod after that.
	digestKey      = "c"
	digestPriority = 0
	digestRepeats  = 3
	digestPeriod   = 5 * time.Second

	// fetchPeriod is the interval of the checks for newer versions at peers.
	fetchPeriod = 100 * time.Millisecond
	// queryTimeout limits one query to a peer.
	queryTimeout = 2 * time.Second
)

// sentDigest records the last digest sent to a peer, how often it was sent, and
// when it was sent last.
type sentDigest struct {
	digest configstate.Digest
	count  int
	at     time.Time
}

// query is a query of one router to another.
type query struct {
	// Have is the newest version that the querying router knows.
	Have configstate.Version `msgpack:"h"`
	// Status requests the RouterStatus of the peer instead of newer versions.
	Status bool `msgpack:"s,omitempty"`
}

// RouterStatus describes which version a router knows and which one it uses.
type RouterStatus struct {
	VM fleet.VM `json:"vm" msgpack:"v"`
	// Newest is the newest version that the router knows.
	Newest configstate.Version `json:"newest" msgpack:"n"`
	// InForce is the version that the router uses.
	InForce configstate.Version `json:"in_force" msgpack:"f"`
	// Problem is the reason why the newest version is not in force there.
	Problem string `json:"problem,omitempty" msgpack:"p,omitempty"`
	// Unreachable is true if the router did not answer the query.
	Unreachable bool `json:"unreachable,omitempty" msgpack:"-"`
}

// attachDigests adds digests to heartbeats and registers the query handler. It is
// called by Provision.
func (s *Service) attachDigests() {
	s.members.Attach(members.Extension{
		Key:      digestKey,
		Priority: digestPriority,
		Produce:  s.produceDigest,
		Consume:  s.consumeDigest,
	})
	s.members.Watch(s.pruneDeadPeers)
	s.peers.HandleQuery(peer.KindConfig, s.handleQuery)
}

// inForce returns the version in force, or the zero version when there is none.
func (s *Service) inForce() configstate.Version {
	e := s.current.Load()
	if e == nil {
		return configstate.Version{}
	}
	return configstate.Version{Offset: e.Offset, Hash: e.Hash}
}

// produceDigest returns the encoded digest for a heartbeat, or nil if none is due
// for that peer.
func (s *Service) produceDigest(to fleet.VM) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, _ := s.state.Current()
	if entry.Version.Hash == "" {
		return nil
	}
	now := s.clock.Now()
	digest := configstate.DigestOf(entry.Version, s.inForce().Offset)
	sent := s.sentDigests[to]
	if sent.digest != digest {
		sent = sentDigest{digest: digest}
	}
	if sent.count >= digestRepeats && now.Sub(sent.at) < digestPeriod {
		return nil
	}
	sent.count++
	sent.at = now
	s.sentDigests[to] = sent
	return digest.Encode()
}

// consumeDigest records the digest of a received heartbeat and reports a peer whose
// version at the same offset differs.
func (s *Service) consumeDigest(from fleet.VM, part []byte) {
	digest, err := configstate.DecodeDigest(part)
	if err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Configuration digest rejected.")
		return
	}
	s.mu.Lock()
	s.peerVersions.Observe(from, digest, s.clock.Now())
	entry, _ := s.state.Current()
	other, diverged := s.peerVersions.Diverged(entry.Version)
	s.mu.Unlock()
	if diverged {
		s.metrics.diverged.Inc(1)
		s.logger.WithField("peer", other).Error("A peer has a different configuration at the same offset.")
	}
}

// pruneDeadPeers drops the state kept for dead routers. A router that returns thus
// gets digestRepeats digests again.
func (s *Service) pruneDeadPeers(view *members.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := func(vm fleet.VM) bool {
		m, ok := view.Find(vm)
		return ok && m.Status != members.StateDead
	}
	s.peerVersions.Retain(present)
	maps.DeleteFunc(s.sentDigests, func(vm fleet.VM, _ sentDigest) bool { return !present(vm) })
	maps.DeleteFunc(s.sentMarks, func(vm fleet.VM, _ sentMarks) bool { return !present(vm) })
}

// handleQuery answers the queries of other routers.
func (s *Service) handleQuery(_ context.Context, _ fleet.VM, payload []byte) ([]byte, error) {
	var q query
	if err := wire.Unmarshal(payload, &q); err != nil {
		return nil, fmt.Errorf("configuration query: %w", err)
	}
	if q.Status {
		return msgpack.Marshal(s.localStatus())
	}
	s.mu.Lock()
	offer, err := s.state.OfferTo(q.Have)
	s.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("configuration query: %w", err)
	}
	return msgpack.Marshal(offer)
}

// fetch gets a newer version from a peer if a digest announced one that this router
// has not read from the log yet.
func (s *Service) fetch(ctx context.Context, now time.Time) {
	s.mu.Lock()
	entry, _ := s.state.Current()
	from, ok := s.peerVersions.StartFetch(entry.Version, now)
	s.mu.Unlock()
	if !ok {
		return
	}
	s.metrics.fetches.Inc(1)
	err := s.fetchFrom(ctx, from, entry.Version)
	if err != nil && ctx.Err() == nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Cannot fetch configuration.")
	}
	s.mu.Lock()
	s.peerVersions.EndFetch(from, err == nil, s.clock.Now())
	s.mu.Unlock()
	// The log has newer records than the current read has returned.
	s.restartSlowRead()
}

// fetchFrom queries a peer for versions newer than have and applies its offer.
func (s *Service) fetchFrom(ctx context.Context, from fleet.VM, have configstate.Version) error {
	data, err := s.query(ctx, from, query{Have: have})
	if err != nil {
		return err
	}
	var offer configstate.Offer
	if err := wire.Unmarshal(data, &offer); err != nil {
		return fmt.Errorf("offer from %s: %w", from, err)
	}
	s.update(func(st *configstate.State) []configstate.Event {
		var events []configstate.Event
		events, err = st.ApplyOffer(offer, s.clock.Now())
		return events
	})
	if err != nil {
		return fmt.Errorf("offer from %s: %w", from, err)
	}
	return nil
}

// query sends one query to a peer and returns the encoded reply.
func (s *Service) query(ctx context.Context, to fleet.VM, q query) ([]byte, error) {
	payload, err := msgpack.Marshal(q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.clock.AfterFunc(queryTimeout, cancel)()
	return s.peers.Query(ctx, to, peer.KindConfig, payload)
}
