package kernel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sys/unix"
)

// Env is the outside world of a process: clock, network, log,
// metrics and traces.
// Services use it in place of the time and net packages, so that a test can
// delay, cut or freeze a process.
type Env struct {
	Clock   Clock
	Net     Network
	Log     *logrus.Logger
	Metrics metrics.Registry
	Tracer  trace.Tracer
	// Seed feeds the random choices of the process, such as jitter.
	Seed uint64
}

func (e Env) withDefaults() Env {
	if e.Clock == nil {
		e.Clock = SystemClock{}
	}
	if e.Net == nil {
		e.Net = SystemNetwork{}
	}
	if e.Log == nil {
		e.Log = logrus.StandardLogger()
	}
	if e.Metrics == nil {
		e.Metrics = metrics.NewRegistry()
	}
	if e.Tracer == nil {
		e.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if e.Seed == 0 {
		e.Seed = uint64(e.Clock.Now().UnixNano())
	}
	return e
}

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	// Sleep waits for d, or returns the error of ctx when that ends first.
	Sleep(ctx context.Context, d time.Duration) error
	// AfterFunc calls f on its own goroutine after d. The returned function
	// cancels the call and reports whether it did.
	AfterFunc(d time.Duration, f func()) (cancel func() bool)
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits for d or for the end of ctx.
func (SystemClock) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AfterFunc calls f after d.
func (SystemClock) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// Network opens and accepts connections.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, network, address string) (net.Listener, error)
}

// SystemNetwork is the network of the machine.
type SystemNetwork struct{}

// userTimeout is the time for which sent bytes may stay without an
// acknowledgement before the kernel gives a connection up. Packets that are
// lost are sent again within a few tenths of a second, several times.
const userTimeout = 2 * time.Second

// DialContext opens a connection that fails soon when sent bytes are not acknowledged. It
// sends no keep-alive probes: with a user timeout, the kernel would give the connection up
// after the first one that is lost.
func (SystemNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Control: setUserTimeout, KeepAlive: -1}
	return d.DialContext(ctx, network, address)
}

// SetKeepAlive makes the kernel probe a connection that has been idle, each interval, and
// give it up after count probes without a response. The user timeout, which would end it
// earlier, is raised to that. It does nothing to a connection that is not TCP.
func SetKeepAlive(c net.Conn, idle, interval time.Duration, count int) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: count}); err != nil {
		return fmt.Errorf("set keep-alive: %w", err)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return setTimeout(raw, idle+time.Duration(count)*interval)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	LimitSegments(c)
	return setTimeout(c, userTimeout)
}

// maxSegmentBytes bounds the segments of a connection. Those of the loopback interface are 64 KB
// else, and a connection whose buffers are bounded by as much stalls for 0.2 s at a time. It is
// above the segments of any other network.
const maxSegmentBytes = 16 << 10

// LimitSegments bounds the segments of a connection that is about to open, or of those that a
// listener accepts, so that their buffers can be bounded. Where the option can't be set, such as
// with multipath TCP or under a filter of system calls, connections work without it.
func LimitSegments(c syscall.RawConn) {
	_ = c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, maxSegmentBytes)
	})
}

// setTimeout sets the user timeout of a connection.
func setTimeout(c syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Listen accepts connections on address.
func (SystemNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, network, address)
}

// Every calls f each period until ctx ends. A call that takes longer than the
// period delays the next one.
func Every(ctx context.Context, clock Clock, period time.Duration, f func(now time.Time)) {
	for clock.Sleep(ctx, period) == nil {
		f(clock.Now())
	}
}
