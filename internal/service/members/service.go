package members

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

const (
	// meshLimit is the number of routers up to which all of them exchange
	// heartbeats with each other; above it, each chooses treeDegree others.
	meshLimit  = 16
	treeDegree = 3
	// listShare is the share of the control budget that reading the VM list
	// may use.
	listShare = 0.08
	// Limits of the time between two reads of the VM list.
	listPeriodMin = 2 * time.Second
	listPeriodMax = 60 * time.Second
	// listRetry is the time before a failed read is tried again, and the least
	// time between reads that a peer's different list causes.
	listRetry   = time.Second
	listTimeout = 2 * time.Second
	// youngTime is the time after the first change of the list in which
	// heartbeats follow each other by youngPeriod, so that routers that start
	// together soon know of each other: news crosses a sparse graph by several of
	// them. Before that change a router may know nothing but seeds, which bear
	// the heartbeats of all.
	youngTime   = 3 * time.Second
	youngPeriod = 100 * time.Millisecond
	// headerBytes stands for the headers of one read of the VM list.
	headerBytes = 350
	// paceInterval is the time over which control traffic is averaged.
	paceInterval = 2 * time.Second
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Service keeps the view and sends heartbeats.
type Service struct {
	peers    peer.Peers
	identity identity.Identity
	vms      vmlist.Source
	clock    kernel.Clock
	logger   *logrus.Entry

	extensions []Extension
	watchers   []func(*Snapshot)
	snapshot   atomic.Pointer[Snapshot]
	changed    chan struct{}
	listNow    chan struct{}
	beatNow    chan struct{}
	// listChanged holds a value when the VM list is known to have changed.
	listChanged chan struct{}
	// grewAt is the time at which the list changed for the first time.
	grewAt time.Time

	mu        sync.Mutex
	random    *rand.Rand
	control   config.Control
	view      *membership.View
	pacer     *membership.Pacer
	listBytes int
	// listTotal counts the bytes of all reads of the VM list.
	listTotal  uint64
	listed     []fleet.VM
	neighbours []fleet.VM
	// sparse is true when some routers are not neighbours of this one.
	sparse bool
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up the transport and the VM list.
func (s *Service) Provision(c *kernel.Context) error {
	var err error
	if s.identity, err = kernel.Lookup[identity.Identity](c, identity.Name); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	p, err := kernel.Lookup[platform.VMLister](c, platform.Name)
	if err != nil {
		return err
	}
	s.vms = p.VMList()
	s.clock, s.logger = c.Clock, c.Logger()
	s.random = rand.New(rand.NewPCG(c.Seed, uint64(s.identity.Incarnation())))
	s.control = config.Defaults().Control
	s.pacer = membership.NewPacer()
	s.changed = make(chan struct{}, 1)
	s.listNow = make(chan struct{}, 1)
	s.beatNow = make(chan struct{}, 1)
	s.listChanged = make(chan struct{}, 1)
	s.reset()
	s.peers.HandleControl(peer.KindHeartbeat, s.hear)
	return nil
}

// reset starts a view that holds this router alone.
func (s *Service) reset() {
	params := membership.DefaultParams(s.control.Heartbeat.Std())
	s.view = membership.New(s.identity.Self(), s.identity.Incarnation(), params, s.clock.Now())
	s.publish(s.clock.Now())
}

// Start reads the VM list and sends heartbeats in the background.
func (s *Service) Start(ctx context.Context) error {
	s.mu.Lock()
	s.reset()
	s.mu.Unlock()
	go s.notify(ctx)
	go s.followList(ctx)
	go s.followChanges(ctx)
	go s.beat(ctx)
	go kernel.Every(ctx, s.clock, paceInterval, s.pace())
	return nil
}

// Self returns this router's own row.
func (s *Service) Self() fleet.VMInfo { return s.identity.Self() }

// Incarnation returns the number of this process.
func (s *Service) Incarnation() fleet.Incarnation { return s.identity.Incarnation() }

// Snapshot returns the current view.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Watch calls f after changes of the view.
func (s *Service) Watch(f func(*Snapshot)) { s.watchers = append(s.watchers, f) }

// Attach adds a part to heartbeats.
func (s *Service) Attach(e Extension) {
	s.extensions = append(s.extensions, e)
	slices.SortStableFunc(s.extensions, func(a, b Extension) int { return a.Priority - b.Priority })
}

// Neighbours returns the routers that this one exchanges heartbeats with.
func (s *Service) Neighbours() []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.neighbours)
}

// RefreshList reads the VM list now.
func (s *Service) RefreshList() { signal(s.listChanged) }

// SendHeartbeats sends a heartbeat to all neighbours now.
func (s *Service) SendHeartbeats() { signal(s.beatNow) }

// NeedsRelay reports whether some routers are not neighbours of this one.
func (s *Service) NeedsRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sparse
}

// Leave tells the other routers that this one drains.
func (s *Service) Leave() {
	s.mu.Lock()
	now := s.clock.Now()
	s.view.SetLeaving(now)
	s.publish(now)
	s.mu.Unlock()
	s.SendHeartbeats()
}

// SetControl sets the rules of control traffic.
func (s *Service) SetControl(c config.Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = c
	s.view.SetParams(membership.DefaultParams(c.Heartbeat.Std()))
}

// Report returns the view for operators.
func (s *Service) Report() any { return s.Snapshot() }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// publish stores a new snapshot. The caller holds the lock.
func (s *Service) publish(now time.Time) {
	s.snapshot.Store(&Snapshot{
		At:      now,
		Members: s.view.Members(),
		HasList: s.view.HasList(),
		Agreed:  s.view.Agreed(now),
	})
	signal(s.changed)
}

func (s *Service) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		snapshot := s.Snapshot()
		for _, f := range s.watchers {
			f(snapshot)
		}
	}
}

// followList reads the VM list each list period, and earlier when a peer has
// another one.
func (s *Service) followList(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.readList(ctx)
		if s.clock.Sleep(ctx, listRetry) != nil {
			return
		}
		s.waitFor(ctx, wait-listRetry, s.listNow)
	}
}

// followChanges reads the VM list when it is known to have changed.
func (s *Service) followChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.listChanged:
		}
		s.readList(ctx)
	}
}

// waitFor waits for d, for a signal, or for the end of ctx.
func (s *Service) waitFor(ctx context.Context, d time.Duration, early <-chan struct{}) {
	over := make(chan struct{})
	cancel := s.clock.AfterFunc(d, func() { close(over) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-early:
	case <-over:
	}
}

// readList returns the time until the next read.
func (s *Service) readList(ctx context.Context) time.Duration {
	fetchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(listTimeout, cancel)
	defer stop()
	list, err := s.vms.Fetch(fetchCtx)
	if err != nil {
		if ctx.Err() == nil {
			s.logger.WithError(err).Warn("Cannot read the VM list.")
		}
		return listRetry
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.view.ApplyList(now, list.VMs) {
		s.publish(now)
	}
	s.connect(list.VMs)
	return s.listPeriod()
}

// connect tells the transport the routers that it may reach. The caller holds
// the lock.
func (s *Service) connect(rows []fleet.VMInfo) {
	if size, err := json.Marshal(rows); err == nil {
		s.listBytes = len(size) + headerBytes
		s.listTotal += uint64(s.listBytes)
	}
	self := s.identity.Self().VM
	var infos []fleet.VMInfo
	var names []fleet.VM
	for _, m := range s.view.Members() {
		if m.VM != self && m.PeerAddr != "" {
			infos = append(infos, m.VMInfo)
		}
		if m.Listed || m.VM == self || heard(m) {
			names = append(names, m.VM)
		}
	}
	if !slices.Equal(names, s.listed) {
		if len(s.listed) > 0 && s.grewAt.IsZero() {
			s.grewAt = s.clock.Now()
		}
		s.listed = names
		s.neighbours = membership.Neighbours(self, names, meshLimit, treeDegree)
		signal(s.beatNow)
	}
	s.sparse = len(s.neighbours)+1 < len(names)
	s.peers.SetPeers(infos)
}

// heard reports whether heartbeats of a router arrive, also when this router's
// list does not name it: it may name this one.
func heard(m Member) bool { return !m.LastHeard.IsZero() && m.Status != StateDead }

// listPeriod spreads reads so that they keep within their share of the budget.
// The caller holds the lock.
func (s *Service) listPeriod() time.Duration {
	share := float64(s.control.BytesPerSecond) * listShare
	period := time.Duration(float64(s.listBytes) / share * float64(time.Second))
	period = min(max(period, listPeriodMin), listPeriodMax)
	jitter := 0.9 + 0.2*s.random.Float64()
	return time.Duration(float64(period) * jitter)
}

// beat sends heartbeats each period.
func (s *Service) beat(ctx context.Context) {
	for ctx.Err() == nil {
		period := s.sendAll()
		s.waitFor(ctx, period, s.beatNow)
	}
}

func (s *Service) sendAll() time.Duration {
	s.mu.Lock()
	now := s.clock.Now()
	wasAgreed := s.Snapshot().Agreed
	if s.view.Tick(now) || s.view.Agreed(now) != wasAgreed {
		s.publish(now)
	}
	period := s.pacer.Period(s.control.Heartbeat.Std())
	hb := s.view.Heartbeat(now, period, s.sparse)
	neighbours := s.neighbours
	keep := s.kept()
	s.mu.Unlock()
	for _, to := range neighbours {
		s.send(to, hb, keep)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.grewAt.IsZero() && now.Sub(s.grewAt) < youngTime {
		return min(period, youngPeriod)
	}
	return period
}

// kept returns the number of extensions that fit the budget. Only those that
// may be shed are left out, the least important first.
func (s *Service) kept() int {
	keep := len(s.extensions)
	for range s.pacer.Shed() {
		if keep > 0 && s.extensions[keep-1].Priority >= PrioritySheddable {
			keep--
		}
	}
	return keep
}

func (s *Service) send(to fleet.VM, hb membership.Heartbeat, keep int) {
	var parts []part
	for i, e := range s.extensions {
		if i >= keep {
			break
		}
		if data := e.Produce(to); data != nil {
			parts = append(parts, part{Key: e.Key, Data: data})
		}
	}
	data, err := encode(hb, parts)
	if err != nil {
		s.logger.WithError(err).Error("Cannot encode a heartbeat.")
		return
	}
	if err := s.peers.Send(to, peer.KindHeartbeat, data); err != nil {
		s.logger.WithError(err).WithField("peer", to).Debug("Heartbeat not sent.")
	}
}

// hear takes a heartbeat from another router.
func (s *Service) hear(from fleet.VM, payload []byte) {
	hb, parts, err := decode(payload)
	if err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Heartbeat dropped.")
		return
	}
	s.mu.Lock()
	now := s.clock.Now()
	if s.view.ApplyHeartbeat(now, from, hb) {
		s.publish(now)
	}
	differs := s.view.ListDiffers(hb)
	s.mu.Unlock()
	if differs {
		signal(s.listNow)
	}
	for _, p := range parts {
		s.consume(from, p)
	}
}

func (s *Service) consume(from fleet.VM, p part) {
	for _, e := range s.extensions {
		if e.Key == p.Key {
			e.Consume(from, p.Data)
		}
	}
}

// controlKinds are the kinds of traffic that count against the budget.
var controlKinds = []peer.Kind{
	peer.KindHeartbeat, peer.KindLease, peer.KindConfig, peer.KindFigures, peer.KindOrders,
}

// pace returns a function that fits the heartbeat period to the budget. Bytes
// count in both directions.
func (s *Service) pace() func(time.Time) {
	var last uint64
	return func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		total := s.listTotal
		traffic := s.peers.Traffic()
		for _, kind := range controlKinds {
			total += traffic[kind].Sent + traffic[kind].Received
		}
		s.pacer.Observe(total-last, paceInterval, s.control.BytesPerSecond)
		last = total
	}
}

// Interface guards.
var (
	_ Membership         = (*Service)(nil)
	_ Relayer            = (*Service)(nil)
	_ Graph              = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Reporter    = (*Service)(nil)
)
