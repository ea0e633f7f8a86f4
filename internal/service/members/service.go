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
	// maxMeshSize is the highest number of routers at which all of them exchange
	// heartbeats with each other. Beyond it, each router chooses graphDegree
	// neighbours.
	maxMeshSize = 16
	graphDegree = 3
	// listBudgetShare is the fraction of the control budget that reads of the
	// VM list may use.
	listBudgetShare = 0.08
	// Bounds of the time between two periodic reads of the VM list.
	minListPeriod = 2 * time.Second
	maxListPeriod = 60 * time.Second
	// listRetryDelay is the delay before a failed read is tried again, and the
	// shortest time between reads caused by a peer with another list.
	listRetryDelay = time.Second
	// listTimeout limits one read of the VM list.
	listTimeout = 2 * time.Second
	// convergeTime is the time after the first change of the list in which
	// heartbeats are sent every convergePeriod, so that routers that start
	// together soon know each other: in a sparse graph an update needs several
	// heartbeats to reach every router. The faster heartbeats don't start
	// earlier, because until that change a router may know only the seeds,
	// which receive the heartbeats of all routers.
	convergeTime   = 3 * time.Second
	convergePeriod = 100 * time.Millisecond
	// listHeaderBytes is the estimated size of the HTTP headers of one read of
	// the VM list.
	listHeaderBytes = 350
	// paceInterval is the interval over which control traffic is averaged.
	paceInterval = 2 * time.Second
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Service implements Membership, Relayer and Graph. It reads the VM list,
// exchanges heartbeats with the neighbours and publishes a snapshot after each
// change of the view.
type Service struct {
	peers    peer.Peers
	identity identity.Identity
	vms      vmlist.Source
	clock    kernel.Clock
	logger   *logrus.Entry

	extensions []Extension
	watchers   []func(*Snapshot)
	snapshot   atomic.Pointer[Snapshot]
	// changed holds a value when a new snapshot was published.
	changed chan struct{}
	// listDiffers holds a value when a peer has another VM list.
	listDiffers chan struct{}
	// sendNow holds a value when heartbeats are to be sent at once.
	sendNow chan struct{}
	// listRequested holds a value when RefreshList was called.
	listRequested chan struct{}
	// firstListChange is the time of the first change of graphNodes, zero
	// before it.
	firstListChange time.Time

	mu      sync.Mutex
	random  *rand.Rand
	control config.Control
	view    *membership.View
	pacer   *membership.Pacer
	// listBytes is the estimated size of the last read of the VM list.
	listBytes int
	// listTotal is the estimated size of all reads of the VM list together.
	listTotal uint64
	// graphNodes holds the names that the neighbours were chosen from.
	graphNodes []fleet.VM
	neighbours []fleet.VM
	// sparse is true if some routers are not neighbours of this router.
	sparse bool
}

// Name returns the name of the service in the kernel.
func (*Service) Name() string { return Name }

// Provision looks up the identity, the transport and the source of the VM list,
// and registers the handler of heartbeats. It fails if one of them is missing.
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
	s.listDiffers = make(chan struct{}, 1)
	s.sendNow = make(chan struct{}, 1)
	s.listRequested = make(chan struct{}, 1)
	s.reset()
	s.peers.HandleControl(peer.KindHeartbeat, s.handleHeartbeat)
	return nil
}

// reset replaces the view by one that knows only this router. The caller holds
// the lock, except during Provision.
func (s *Service) reset() {
	params := membership.DefaultParams(s.control.Heartbeat.Std())
	s.view = membership.New(s.identity.Self(), s.identity.Incarnation(), params, s.clock.Now())
	s.publish(s.clock.Now())
}

// Start starts reading the VM list and sending heartbeats in the background
// until ctx is done.
func (s *Service) Start(ctx context.Context) error {
	s.mu.Lock()
	s.reset()
	s.mu.Unlock()
	go s.notifyWatchers(ctx)
	go s.readListPeriodically(ctx)
	go s.readListOnRequest(ctx)
	go s.sendHeartbeatLoop(ctx)
	go kernel.Every(ctx, s.clock, paceInterval, s.observeTraffic())
	return nil
}

// Self returns the VM of this router, with its addresses.
func (s *Service) Self() fleet.VMInfo { return s.identity.Self() }

// Incarnation returns the number of this process.
func (s *Service) Incarnation() fleet.Incarnation { return s.identity.Incarnation() }

// Snapshot returns the newest snapshot of the view.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Watch registers f to be called after changes of the view.
func (s *Service) Watch(f func(*Snapshot)) { s.watchers = append(s.watchers, f) }

// Attach adds an extension to heartbeats and sorts them by priority.
func (s *Service) Attach(e Extension) {
	s.extensions = append(s.extensions, e)
	slices.SortStableFunc(s.extensions, func(a, b Extension) int { return a.Priority - b.Priority })
}

// Neighbours returns the routers that exchange heartbeats with this router.
func (s *Service) Neighbours() []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.neighbours)
}

// RefreshList starts a read of the VM list. It does not wait for the result.
func (s *Service) RefreshList() { signal(s.listRequested) }

// SendHeartbeats triggers a heartbeat to all neighbours. It does not wait until
// they are sent.
func (s *Service) SendHeartbeats() { signal(s.sendNow) }

// NeedsRelay reports whether some routers are not neighbours of this router.
func (s *Service) NeedsRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sparse
}

// Leave marks this router as leaving and announces it to the neighbours.
func (s *Service) Leave() {
	s.mu.Lock()
	now := s.clock.Now()
	s.view.SetLeaving(now)
	s.publish(now)
	s.mu.Unlock()
	s.SendHeartbeats()
}

// SetControl sets the heartbeat period and the budget of control traffic.
func (s *Service) SetControl(c config.Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = c
	s.view.SetParams(membership.DefaultParams(c.Heartbeat.Std()))
}

// Report returns the newest snapshot for operators.
func (s *Service) Report() any { return s.Snapshot() }

// signal puts a value into a channel of capacity one, unless it holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// publish stores a new snapshot and signals the watchers. The caller holds the
// lock.
func (s *Service) publish(now time.Time) {
	s.snapshot.Store(&Snapshot{
		At:      now,
		Members: s.view.Members(),
		HasList: s.view.HasList(),
		Agreed:  s.view.Agreed(now),
	})
	signal(s.changed)
}

// notifyWatchers calls the watchers after each change of the view.
func (s *Service) notifyWatchers(ctx context.Context) {
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

// readListPeriodically reads the VM list every list period, and earlier if a
// peer has another list.
func (s *Service) readListPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.readList(ctx)
		if s.clock.Sleep(ctx, listRetryDelay) != nil {
			return
		}
		s.waitFor(ctx, wait-listRetryDelay, s.listDiffers)
	}
}

// readListOnRequest reads the VM list after each call of RefreshList.
func (s *Service) readListOnRequest(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.listRequested:
		}
		s.readList(ctx)
	}
}

// waitFor waits until d has passed, wake has a value or ctx is done.
func (s *Service) waitFor(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	elapsed := make(chan struct{})
	cancel := s.clock.AfterFunc(d, func() { close(elapsed) })
	defer cancel()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-elapsed:
	}
}

// readList reads the VM list once, applies it to the view and returns the time
// until the next periodic read.
func (s *Service) readList(ctx context.Context) time.Duration {
	fetchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.clock.AfterFunc(listTimeout, cancel)
	defer stop()
	list, err := s.vms.Fetch(fetchCtx)
	if err != nil {
		if ctx.Err() == nil {
			s.logger.WithError(err).Warn("Reading the VM list failed.")
		}
		return listRetryDelay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if s.view.ApplyList(now, list.VMs) {
		s.publish(now)
	}
	s.updatePeers(list.VMs)
	return s.listPeriod()
}

// updatePeers passes the addresses of the known routers to the transport,
// chooses the neighbours again if the set of routers changed, and records the
// estimated size of the list that was read. The caller holds the lock.
func (s *Service) updatePeers(rows []fleet.VMInfo) {
	if size, err := json.Marshal(rows); err == nil {
		s.listBytes = len(size) + listHeaderBytes
		s.listTotal += uint64(s.listBytes)
	}
	self := s.identity.Self().VM
	var infos []fleet.VMInfo
	var names []fleet.VM
	for _, m := range s.view.Members() {
		if m.VM != self && m.PeerAddr != "" {
			infos = append(infos, m.VMInfo)
		}
		if m.Listed || m.VM == self || isHeard(m) {
			names = append(names, m.VM)
		}
	}
	if !slices.Equal(names, s.graphNodes) {
		if len(s.graphNodes) > 0 && s.firstListChange.IsZero() {
			s.firstListChange = s.clock.Now()
		}
		s.graphNodes = names
		s.neighbours = membership.Neighbours(self, names, maxMeshSize, graphDegree)
		signal(s.sendNow)
	}
	s.sparse = len(s.neighbours)+1 < len(names)
	s.peers.SetPeers(infos)
}

// isHeard reports whether a router has been heard and is not dead. Such a
// router counts even if the VM list of this router does not name it, because
// its own list may name this router.
func isHeard(m Member) bool { return !m.LastHeard.IsZero() && m.Status != StateDead }

// listPeriod returns the time until the next periodic read of the VM list, with
// a jitter of 10%, so that reads stay within their fraction of the budget. The
// caller holds the lock.
func (s *Service) listPeriod() time.Duration {
	share := float64(s.control.BytesPerSecond) * listBudgetShare
	period := time.Duration(float64(s.listBytes) / share * float64(time.Second))
	period = min(max(period, minListPeriod), maxListPeriod)
	jitter := 0.9 + 0.2*s.random.Float64()
	return time.Duration(float64(period) * jitter)
}

// sendHeartbeatLoop sends heartbeats every period, and earlier if they are
// requested.
func (s *Service) sendHeartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		period := s.sendToNeighbours()
		s.waitFor(ctx, period, s.sendNow)
	}
}

// sendToNeighbours updates the view, sends one heartbeat to each neighbour and
// returns the time until the next one.
func (s *Service) sendToNeighbours() time.Duration {
	s.mu.Lock()
	now := s.clock.Now()
	wasAgreed := s.Snapshot().Agreed
	if s.view.Tick(now) || s.view.Agreed(now) != wasAgreed {
		s.publish(now)
	}
	period := s.pacer.Period(s.control.Heartbeat.Std())
	hb := s.view.Heartbeat(now, period, s.sparse)
	neighbours := s.neighbours
	keep := s.extensionsInBudget()
	s.mu.Unlock()
	for _, to := range neighbours {
		s.send(to, hb, keep)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.firstListChange.IsZero() && now.Sub(s.firstListChange) < convergeTime {
		return min(period, convergePeriod)
	}
	return period
}

// extensionsInBudget returns the number of extensions to send so that
// heartbeats keep within the budget. The extensions with the highest priority
// numbers are left out first, and only those from PrioritySheddable on. The
// caller holds the lock.
func (s *Service) extensionsInBudget() int {
	keep := len(s.extensions)
	for range s.pacer.Shed() {
		if keep > 0 && s.extensions[keep-1].Priority >= PrioritySheddable {
			keep--
		}
	}
	return keep
}

// send sends a heartbeat with the first keep extensions to a neighbour.
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
		s.logger.WithError(err).Error("Encoding a heartbeat failed.")
		return
	}
	if err := s.peers.Send(to, peer.KindHeartbeat, data); err != nil {
		s.logger.WithError(err).WithField("peer", to).Debug("Sending a heartbeat failed.")
	}
}

// handleHeartbeat handles a heartbeat of another router. A list that differs
// from the one of this router triggers a read.
func (s *Service) handleHeartbeat(from fleet.VM, payload []byte) {
	hb, parts, err := decode(payload)
	if err != nil {
		s.logger.WithError(err).WithField("peer", from).Warn("Malformed heartbeat dropped.")
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
		signal(s.listDiffers)
	}
	for _, p := range parts {
		s.consume(from, p)
	}
}

// consume passes a part to its extension. Parts with an unknown key are ignored.
func (s *Service) consume(from fleet.VM, p part) {
	for _, e := range s.extensions {
		if e.Key == p.Key {
			e.Consume(from, p.Data)
		}
	}
}

// controlKinds are the kinds of messages that count against the control budget.
var controlKinds = []peer.Kind{
	peer.KindHeartbeat, peer.KindLease, peer.KindConfig, peer.KindFigures, peer.KindOrders,
}

// observeTraffic returns a function that reports the control traffic since its
// last call to the pacer, which adapts the heartbeats to the budget. Traffic
// includes sent and received bytes and the reads of the VM list.
func (s *Service) observeTraffic() func(time.Time) {
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
