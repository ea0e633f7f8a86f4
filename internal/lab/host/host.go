package host

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// Host is the machine of one process. It is the process's clock and network.
type Host struct {
	fabric *Fabric
	name   string
	zone   string
	ip     string

	clock *clock
	// done is closed when the host is killed.
	done   chan struct{}
	killed sync.Once
	// vanished is true when a killed host leaves its connections silent.
	vanished atomic.Bool

	mu      sync.Mutex
	closers map[closer]struct{}
	traffic map[string]*counter
	onKill  []func()
}

// closer is a socket that a kill closes without a farewell.
type closer interface{ abort() }

type counter struct{ sent, received, writes atomic.Uint64 }

// Bytes counts the bytes between a host and another one, and the writes that
// sent them.
type Bytes struct{ Sent, Received, Writes uint64 }

func newHost(f *Fabric, name, zone, ip string) *Host {
	h := &Host{
		fabric:  f,
		name:    name,
		zone:    zone,
		ip:      ip,
		done:    make(chan struct{}),
		closers: make(map[closer]struct{}),
		traffic: make(map[string]*counter),
	}
	h.clock = newClock(h.done)
	return h
}

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// Zone returns the host's zone, such as its data centre.
func (h *Host) Zone() string { return h.zone }

// Addr returns the host's address with a port.
func (h *Host) Addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// Env returns the environment of a process on the host.
func (h *Host) Env(log *logrus.Logger, seed uint64) kernel.Env {
	return kernel.Env{
		Clock:   h.clock,
		Net:     h,
		Log:     log,
		Metrics: metrics.NewRegistry(),
		Seed:    seed,
	}
}

// Clock returns the host's clock.
func (h *Host) Clock() kernel.Clock { return h.clock }

// Freeze stops the host as a paused virtual machine: its clock calls, dials,
// reads, writes and accepts wait until Thaw. With clockStops the time that
// passes is not seen on the host's clock afterwards.
func (h *Host) Freeze(clockStops bool) { h.clock.freeze(clockStops) }

// Thaw lets a frozen host go on.
func (h *Host) Thaw() { h.clock.thaw() }

// OnKill adds a function that Kill and Vanish call after the sockets are
// closed, such as the cancellation of the process's context.
func (h *Host) OnKill(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onKill = append(h.onKill, f)
}

// Kill ends the host as a crashed process: its sockets are reset at once and
// whatever still runs on it can do nothing more.
func (h *Host) Kill() { h.kill(false) }

// Vanish ends the host as a lost machine: connections to it go silent and new
// ones get no answer.
func (h *Host) Vanish() { h.kill(true) }

// Down reports whether the host was killed.
func (h *Host) Down() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

func (h *Host) kill(vanish bool) {
	h.killed.Do(func() {
		if vanish {
			h.vanished.Store(true)
			h.fabric.Silence(func(from, _ *Host) bool { return from == h })
		}
		close(h.done)
		h.clock.thaw()
		for _, c := range h.takeClosers() {
			c.abort()
		}
		h.mu.Lock()
		hooks := h.onKill
		h.onKill = nil
		h.mu.Unlock()
		for _, f := range hooks {
			f()
		}
	})
}

func (h *Host) takeClosers() []closer {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]closer, 0, len(h.closers))
	for c := range h.closers {
		out = append(out, c)
	}
	h.closers = make(map[closer]struct{})
	return out
}

// track adds a socket, or aborts it when the host is down.
func (h *Host) track(c closer) {
	h.mu.Lock()
	h.closers[c] = struct{}{}
	h.mu.Unlock()
	if h.Down() {
		c.abort()
	}
}

func (h *Host) untrack(c closer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.closers, c)
}

// answers waits while a new connection to the host would get no answer.
func (h *Host) answers(ctx context.Context) error {
	if h.Down() {
		if !h.vanished.Load() {
			return ErrRefused
		}
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-h.clock.running():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// DialContext opens a connection from this host.
func (h *Host) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	h.clock.gate()
	if h.Down() {
		return nil, dialError(address, ErrKilled)
	}
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	to := h.fabric.at(ip)
	if to != nil {
		if err := h.fabric.admit(ctx, h, to); err != nil {
			h.clock.gate()
			return nil, dialError(address, err)
		}
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.ip)}}
	conn, err := d.DialContext(ctx, network, address)
	h.clock.gate()
	if err != nil {
		return nil, err
	}
	if to == nil {
		return conn, nil
	}
	c := newDialed(h, to, conn.(*net.TCPConn))
	if err := h.fabric.roundTrip(ctx, h, to); err != nil {
		c.abort()
		return nil, dialError(address, err)
	}
	return c, nil
}

// roundTrip waits as long as the handshake of a new connection takes.
func (f *Fabric) roundTrip(ctx context.Context, from, to *Host) error {
	d := f.opt.Delay(from.zone, to.zone) + f.opt.Delay(to.zone, from.zone)
	if d <= 0 {
		return nil
	}
	return kernel.SystemClock{}.Sleep(ctx, d)
}

// Listen accepts connections on an address of this host. The port 0 chooses a
// free one, and an address that names no host of the fabric becomes this
// host's.
func (h *Host) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	h.clock.gate()
	if h.Down() {
		return nil, dialError(address, ErrKilled)
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, network, net.JoinHostPort(h.ip, port))
	if err != nil {
		return nil, err
	}
	l := &listener{Listener: ln, host: h}
	h.track(l)
	return l, nil
}

// Traffic returns the bytes by the name of the other host.
func (h *Host) Traffic() map[string]Bytes {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]Bytes, len(h.traffic))
	for name, c := range h.traffic {
		out[name] = Bytes{Sent: c.sent.Load(), Received: c.received.Load(), Writes: c.writes.Load()}
	}
	return out
}

func (h *Host) counter(name string) *counter {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.traffic[name]
	if !ok {
		c = new(counter)
		h.traffic[name] = c
	}
	return c
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: err}
}

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// Interface guards.
var (
	_ kernel.Network = (*Host)(nil)
	_ kernel.Clock   = (*clock)(nil)
)
