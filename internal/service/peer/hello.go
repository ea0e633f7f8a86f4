package peer

import (
	"context"
	"net"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// accept takes connections until the listener closes.
func (s *Service) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil || s.clock.Sleep(s.ctx, tickPeriod) != nil {
				return
			}
			if s.listenerClosed() {
				return
			}
			continue
		}
		s.background(func() { s.greet(raw) })
	}
}

func (s *Service) listenerClosed() bool {
	s.links.mu.Lock()
	defer s.links.mu.Unlock()
	return s.links.ended
}

// greet answers the hello of an accepted connection and serves it.
func (s *Service) greet(raw net.Conn) {
	secure, err := s.settings.TLS.wrapServer(raw)
	if err != nil {
		_ = raw.Close()
		s.logger.WithError(err).Warn("Cannot read certificates.")
		return
	}
	stop := s.clock.AfterFunc(s.settings.DialTimeout.Std(), func() { _ = secure.Close() })
	timed := &timedConn{Conn: secure, clock: s.clock}
	in := wire.NewReader(timed, s.settings.MaxFrameBytes)
	remote, err := s.readHello(in, secure)
	if err != nil {
		s.sayWhy(secure, err)
		stop()
		_ = secure.Close()
		s.metrics.refused.Inc(1)
		s.logger.WithField("address", raw.RemoteAddr()).WithError(err).Warn("Connection refused.")
		return
	}
	c := newConn(s, timed, remote, false)
	c.number, c.previous = remote.Connection, remote.Previous
	err = s.writeHello(secure, s.hello(remote.Connection, remote.Previous))
	if !stop() || err != nil {
		_ = secure.Close()
		return
	}
	loser, err := s.links.adopt(c)
	s.settle(c, loser, err, in)
}

// sayWhy tells a dialer why its hello is refused.
func (s *Service) sayWhy(raw net.Conn, reason error) {
	body, err := wire.Marshal(wire.GoAway{Reason: reason.Error()})
	if err != nil {
		return
	}
	data, err := wire.Append(nil, &wire.Frame{Type: wire.TypeGoAway, Body: body})
	if err != nil {
		return
	}
	_, _ = raw.Write(data)
}

// dial opens a connection to a router and serves it in the background.
func (s *Service) dial(vm fleet.VM, address string, previous uint64) error {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := s.clock.AfterFunc(s.settings.DialTimeout.Std(), cancel)
	defer stop()
	raw, err := s.net.DialContext(ctx, "tcp", address)
	if err != nil {
		return errorf("dial %s at %s: %w", vm, address, err)
	}
	unhook := context.AfterFunc(ctx, func() { _ = raw.Close() })
	c, in, err := s.introduce(raw, vm, previous)
	if !unhook() && err == nil {
		err = errorf("dial %s at %s: %w", vm, address, context.DeadlineExceeded)
	}
	if err != nil {
		_ = raw.Close()
		return err
	}
	ready := make(chan error, 1)
	s.background(func() { s.serveDialed(c, in, ready) })
	return <-ready
}

func (s *Service) serveDialed(c *conn, in *wire.Reader, ready chan<- error) {
	loser, err := s.links.adopt(c)
	ready <- err
	s.settle(c, loser, err, in)
}

// introduce exchanges hellos on a dialed connection.
func (s *Service) introduce(raw net.Conn, vm fleet.VM, previous uint64) (*conn, *wire.Reader, error) {
	secure, err := s.settings.TLS.wrapClient(raw, vm)
	if err != nil {
		return nil, nil, err
	}
	number := s.randomNumber()
	if err := s.writeHello(secure, s.hello(number, previous)); err != nil {
		return nil, nil, errorf("hello to %s: %w", vm, err)
	}
	timed := &timedConn{Conn: secure, clock: s.clock}
	in := wire.NewReader(timed, s.settings.MaxFrameBytes)
	remote, err := s.readHello(in, secure)
	if err != nil {
		return nil, nil, errorf("hello of %s: %w", vm, err)
	}
	if fleet.VM(remote.VM) != vm {
		return nil, nil, errorf("hello of %s: it says that it is %q", vm, remote.VM)
	}
	c := newConn(s, timed, remote, true)
	c.number, c.previous = number, previous
	return c, in, nil
}

// settle retires the loser of two connections and serves c.
func (s *Service) settle(c, loser *conn, err error, in *wire.Reader) {
	if err != nil {
		s.logger.WithField("peer", c.vm).WithError(err).Warn("Connection refused.")
		_ = c.raw.Close()
		return
	}
	if loser != nil {
		s.metrics.replaced.Inc(1)
		loser.retire(errReplaced)
	}
	s.logger.WithField("peer", c.vm).Debug("Connected.")
	c.run(in)
}

func (s *Service) hello(number, previous uint64) wire.Hello {
	self := s.identity.Self()
	return wire.Hello{
		MinVersion:    wire.MinVersion,
		MaxVersion:    wire.MaxVersion,
		VM:            string(self.VM),
		Site:          string(self.Site),
		Incarnation:   uint64(s.identity.Incarnation()),
		Connection:    number,
		Previous:      previous,
		WindowBytes:   uint64(s.settings.WindowBytes),
		MaxFrameBytes: uint64(s.settings.MaxFrameBytes),
	}
}

func (s *Service) writeHello(raw net.Conn, h wire.Hello) error {
	body, err := wire.Marshal(h)
	if err != nil {
		return err
	}
	data, err := wire.Append(nil, &wire.Frame{Type: wire.TypeHello, Body: body})
	if err != nil {
		return err
	}
	_, err = raw.Write(data)
	s.traffic.of(KindTransport).sent.Add(uint64(len(data)))
	return err
}

// readHello reads the first frame of the other side and checks that the two
// can talk.
func (s *Service) readHello(in *wire.Reader, raw net.Conn) (wire.Hello, error) {
	f, size, err := in.Read()
	s.traffic.of(KindTransport).received.Add(uint64(size))
	if err != nil {
		return wire.Hello{}, err
	}
	if f.Type == wire.TypeGoAway {
		var reason wire.GoAway
		_ = wire.Unmarshal(f.Body, &reason)
		return wire.Hello{}, errorf("refused: %s", reason.Reason)
	}
	if f.Type != wire.TypeHello {
		return wire.Hello{}, errorf("%w: first frame is of type %d", wire.ErrMalformed, f.Type)
	}
	var h wire.Hello
	if err := wire.Unmarshal(f.Body, &h); err != nil {
		return wire.Hello{}, err
	}
	self := s.hello(0, 0)
	if _, err := wire.Negotiate(self, h); err != nil {
		return wire.Hello{}, err
	}
	if h.VM == "" || h.VM == self.VM {
		return wire.Hello{}, errorf("%w: hello of VM %q at VM %q", wire.ErrMalformed, h.VM, self.VM)
	}
	return h, verifyName(raw, fleet.VM(h.VM))
}

func controlFrame(kind Kind, payload []byte) *wire.Frame {
	return &wire.Frame{Type: wire.TypeControl, Kind: string(kind), Body: payload}
}
