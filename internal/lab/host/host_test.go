package host_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/host"
)

const (
	echoPort = 7000
	// quiet is a wait after which nothing more is expected.
	quiet = 50 * time.Millisecond
)

// pair is two hosts, the second of which echoes what it reads.
type pair struct {
	fabric *host.Fabric
	a, b   *host.Host
}

func newPair(t *testing.T, delay time.Duration) *pair {
	t.Helper()
	f, err := host.NewFabric(host.Options{Delay: func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		return delay
	}})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, f.Close()) })
	p := &pair{fabric: f, a: f.Host("a", "dc-1"), b: f.Host("b", "dc-2")}
	ln, err := p.b.Listen(t.Context(), "tcp", p.b.Addr(echoPort))
	must.NoError(t, err)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return p
}

func (p *pair) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := p.a.DialContext(t.Context(), "tcp", p.b.Addr(echoPort))
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func echo(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	buf := make([]byte, len(text))
	_, err = io.ReadFull(conn, buf)
	must.NoError(t, err)
	must.Eq(t, text, string(buf))
}

// noEcho checks that a written text does not come back.
func noEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("x"))
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(quiet)))
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestEchoDelayAndTraffic(t *testing.T) {
	p := newPair(t, 5*time.Millisecond)
	conn := p.dial(t)
	start := time.Now()
	echo(t, conn, "hello")
	must.GreaterEq(t, 10*time.Millisecond, time.Since(start))
	must.Eq(t, host.Bytes{Sent: 5, Received: 5, Writes: 1}, p.a.Traffic()["b"])
	must.Eq(t, host.Bytes{Sent: 5, Received: 5, Writes: 1}, p.b.Traffic()["a"])
}

func TestCloseReachesOtherEnd(t *testing.T) {
	p := newPair(t, 0)
	ln, err := p.b.Listen(t.Context(), "tcp", p.b.Addr(0))
	must.NoError(t, err)
	conn, err := p.a.DialContext(t.Context(), "tcp", ln.Addr().String())
	must.NoError(t, err)
	other, err := ln.Accept()
	must.NoError(t, err)
	_, err = conn.Write([]byte("bye"))
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	data, err := io.ReadAll(other)
	must.NoError(t, err)
	must.Eq(t, "bye", string(data))
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, net.ErrClosed)
}

func TestCutHoldsBytesAndRefusesDials(t *testing.T) {
	p := newPair(t, 0)
	conn := p.dial(t)
	heal := p.fabric.Cut(host.Between("a", "b"), host.Refuse)
	noEcho(t, conn)
	_, err := p.a.DialContext(t.Context(), "tcp", p.b.Addr(echoPort))
	must.ErrorIs(t, err, host.ErrRefused)
	heal()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadFull(conn, make([]byte, 1))
	must.NoError(t, err)
	echo(t, p.dial(t), "again")
}

func TestLoseLeavesDialsWithoutAnswer(t *testing.T) {
	p := newPair(t, 0)
	heal := p.fabric.Cut(host.BetweenZones("dc-1", "dc-2"), host.Lose)
	ctx, cancel := context.WithTimeout(t.Context(), quiet)
	defer cancel()
	_, err := p.a.DialContext(ctx, "tcp", p.b.Addr(echoPort))
	must.ErrorIs(t, err, context.DeadlineExceeded)
	heal()
	echo(t, p.dial(t), "again")
}

func TestSilenceIsForOpenConnectionsOnly(t *testing.T) {
	p := newPair(t, 0)
	conn := p.dial(t)
	echo(t, conn, "before")
	must.Eq(t, 1, p.fabric.Silence(host.Of("b")))
	noEcho(t, conn)
	echo(t, p.dial(t), "new")
}

func TestFreezeStopsReadsClockAndDials(t *testing.T) {
	for _, clockStops := range []bool{false, true} {
		p := newPair(t, 0)
		conn := p.dial(t)
		before := p.b.Clock().Now()
		p.b.Freeze(clockStops)
		noEcho(t, conn)
		ctx, cancel := context.WithTimeout(t.Context(), quiet)
		_, err := p.a.DialContext(ctx, "tcp", p.b.Addr(echoPort))
		cancel()
		must.ErrorIs(t, err, context.DeadlineExceeded)
		p.b.Thaw()
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = io.ReadFull(conn, make([]byte, 1))
		must.NoError(t, err)
		lag := time.Since(before) - p.b.Clock().Now().Sub(before)
		must.Eq(t, clockStops, lag >= 2*quiet)
	}
}

func TestKillResetsAndReplacementKeepsAddress(t *testing.T) {
	p := newPair(t, 0)
	conn := p.dial(t)
	echo(t, conn, "before")
	killed := make(chan struct{})
	p.b.OnKill(func() { close(killed) })
	p.b.Kill()
	<-killed
	_, err := conn.Read(make([]byte, 1))
	must.Error(t, err)
	must.False(t, errors.Is(err, os.ErrDeadlineExceeded))
	_, err = p.a.DialContext(t.Context(), "tcp", p.b.Addr(echoPort))
	must.ErrorIs(t, err, host.ErrRefused)
	must.ErrorIs(t, p.b.Clock().Sleep(t.Context(), time.Minute), host.ErrKilled)
	_, err = p.b.DialContext(t.Context(), "tcp", p.a.Addr(echoPort))
	must.ErrorIs(t, err, host.ErrKilled)

	old := p.b.Addr(echoPort)
	p.b = p.fabric.Host("b", "dc-2")
	must.Eq(t, old, p.b.Addr(echoPort))
	ln, err := p.b.Listen(t.Context(), "tcp", p.b.Addr(echoPort))
	must.NoError(t, err)
	go func() {
		other, err := ln.Accept()
		if err == nil {
			_, _ = io.Copy(other, other)
		}
	}()
	echo(t, p.dial(t), "replaced")
}

func TestVanishedHostIsSilent(t *testing.T) {
	p := newPair(t, 0)
	conn := p.dial(t)
	echo(t, conn, "before")
	p.b.Vanish()
	noEcho(t, conn)
	ctx, cancel := context.WithTimeout(t.Context(), quiet)
	defer cancel()
	_, err := p.a.DialContext(ctx, "tcp", p.b.Addr(echoPort))
	must.ErrorIs(t, err, context.DeadlineExceeded)
}
