package peer

import (
	"context"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Waits between failed dials.
const (
	dialBackoffMin = 100 * time.Millisecond
	dialBackoffMax = 2 * time.Second
)

// links holds the connection to each other router.
type links struct {
	host *Service

	mu    sync.Mutex
	byVM  map[fleet.VM]*link
	known bool // SetPeers has been called
	conns map[*conn]struct{}
	ended bool
}

// link is what is known of one other router.
type link struct {
	info fleet.VMInfo
	// listed is true while SetPeers names the VM.
	listed        bool
	unlistedSince time.Time
	current       *conn
	// currentSince is the time at which current was taken on.
	currentSince time.Time
	// last is the number of the last connection to the router.
	last        uint64
	incarnation uint64

	dialing bool
	backoff time.Duration
	retryAt time.Time
	dialErr error
	// changed is closed when a dial ends or a connection is taken on.
	changed chan struct{}
}

func newLinks(host *Service) *links {
	return &links{host: host, byVM: make(map[fleet.VM]*link), conns: make(map[*conn]struct{})}
}

func (l *links) get(vm fleet.VM) *link {
	k, ok := l.byVM[vm]
	if !ok {
		k = &link{changed: make(chan struct{}), unlistedSince: l.host.clock.Now()}
		l.byVM[vm] = k
	}
	return k
}

func (k *link) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// set replaces the routers that may be connected to.
func (l *links) set(vms []fleet.VMInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = true
	now := l.host.clock.Now()
	listed := make(map[fleet.VM]bool, len(vms))
	for _, vm := range vms {
		if vm.VM == l.host.self() {
			continue
		}
		listed[vm.VM] = true
		k := l.get(vm.VM)
		if k.info.PeerAddr != vm.PeerAddr {
			k.backoff, k.retryAt = 0, time.Time{}
		}
		k.info, k.listed = vm, true
	}
	for vm, k := range l.byVM {
		if k.listed && !listed[vm] {
			k.listed = false
			k.unlistedSince = now
		}
	}
}

// ready returns the connection to vm, or starts to open one.
func (l *links) ready(vm fleet.VM) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, _, err := l.readyLocked(vm)
	return c, err
}

// readyLocked returns the connection, or a channel that is closed when the
// dial has ended.
func (l *links) readyLocked(vm fleet.VM) (*conn, <-chan struct{}, error) {
	k, ok := l.byVM[vm]
	if !ok {
		return nil, nil, ErrNotConnected
	}
	if k.current != nil && k.current.usable() {
		return k.current, nil, nil
	}
	switch {
	case l.ended:
		return nil, nil, errStopping
	case !k.listed || k.info.PeerAddr == "":
		return nil, nil, ErrNotConnected
	case !k.dialing && l.host.clock.Now().Before(k.retryAt):
		return nil, nil, errorf("%w: %w", ErrNotConnected, k.dialErr)
	case !k.dialing:
		l.startDial(vm, k)
	}
	return nil, k.changed, ErrNotConnected
}

// connect returns a connection to vm, waiting for one to open.
func (l *links) connect(ctx context.Context, vm fleet.VM) (*conn, error) {
	for {
		l.mu.Lock()
		c, changed, err := l.readyLocked(vm)
		l.mu.Unlock()
		if c != nil {
			return c, nil
		}
		if changed == nil {
			return nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func (l *links) dial(vm fleet.VM, address string, previous uint64) {
	err := l.host.dial(vm, address, previous)
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.get(vm)
	k.dialing = false
	k.dialErr = err
	if err != nil {
		k.backoff = min(max(2*k.backoff, dialBackoffMin), dialBackoffMax)
		k.retryAt = l.host.clock.Now().Add(l.host.jitter(k.backoff))
		l.host.logger.WithField("peer", vm).WithError(err).Debug("Cannot connect.")
	} else {
		k.backoff = 0
	}
	k.notify()
}

// adopt takes on a connection after its hello and tells which one is to be
// retired, nil for none. An older incarnation is refused while a newer one is
// connected; without one, the clock of a VM that started anew went back.
func (l *links) adopt(c *conn) (retire *conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil, errStopping
	}
	k := l.get(c.vm)
	if c.remote.Incarnation < k.incarnation && k.current != nil && k.current.usable() {
		return nil, errorf("incarnation %d of %s is older than %d", c.remote.Incarnation, c.vm, k.incarnation)
	}
	newer := c.remote.Incarnation != k.incarnation
	k.incarnation = c.remote.Incarnation
	l.conns[c] = struct{}{}
	old := k.current
	if old == nil || newer || prefer(old.origin(), c.origin()) {
		k.current, k.currentSince, k.last = c, l.host.clock.Now(), c.number
		k.notify()
		return old, nil
	}
	return c, nil
}

// left notes that the other side leaves the connection.
func (l *links) left(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.byVM[c.vm]; k != nil && k.current == c {
		k.current = nil
	}
}

// closed notes that the connection has ended.
func (l *links) closed(c *conn) {
	l.left(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// suspect opens another connection to the router of c, which may have gone
// silent.
func (l *links) suspect(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byVM[c.vm]
	if k == nil || k.current != c || !k.listed || k.info.PeerAddr == "" {
		return
	}
	if l.ended || k.dialing || l.host.clock.Now().Before(k.retryAt) {
		return
	}
	l.startDial(c.vm, k)
}

// startDial opens a connection in the background; the caller holds the lock.
func (l *links) startDial(vm fleet.VM, k *link) {
	k.dialing = true
	address, previous := k.info.PeerAddr, k.last
	l.host.background(func() { l.dial(vm, address, previous) })
}

// replaced reports whether another connection to the router of c is in use, and since
// when.
func (l *links) replaced(c *conn) (since time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byVM[c.vm]
	if k == nil || k.current == nil || k.current == c {
		return time.Time{}, false
	}
	return k.currentSince, true
}

// all returns the connections that have not ended.
func (l *links) all() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// unlisted returns the connections to routers that have not been peers for
// longer than the grace.
func (l *links) unlisted(now time.Time, grace time.Duration) []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*conn
	if !l.known {
		return nil
	}
	for vm, k := range l.byVM {
		if k.listed || now.Sub(k.unlistedSince) < grace {
			continue
		}
		if k.current != nil {
			out = append(out, k.current)
			continue
		}
		if !k.dialing {
			delete(l.byVM, vm)
		}
	}
	return out
}

// end refuses new connections from now on.
func (l *links) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for _, k := range l.byVM {
		k.notify()
	}
}

// origin is what decides between two connections of the same pair.
type origin struct {
	dialer   fleet.VM
	number   uint64
	previous uint64
}

func (c *conn) origin() origin {
	o := origin{dialer: c.vm, number: c.number, previous: c.previous}
	if c.dialedHere {
		o.dialer = c.host.self()
	}
	return o
}

// prefer reports whether the next connection replaces the present one. Both
// sides come to the same answer: a dialer that knew of the present one has
// given it up; of two that were dialed at the same time, the one of the VM with
// the lower name stays.
func prefer(present, next origin) bool {
	if next.dialer == present.dialer || next.previous == present.number {
		return true
	}
	if present.previous == next.number {
		return false
	}
	return next.dialer < present.dialer
}
