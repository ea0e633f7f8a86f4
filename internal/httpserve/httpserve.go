// Package httpserve runs an HTTP server on a kernel network.
package httpserve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// DefaultHeaderTimeout limits how long a client may take to send its header.
const DefaultHeaderTimeout = 10 * time.Second

// drainCheckPeriod is the interval at which a draining server looks for connections
// that are still in use.
const drainCheckPeriod = 50 * time.Millisecond

// Server is a running HTTP server.
type Server struct {
	http     *http.Server
	scheme   string
	listener net.Listener
	clock    kernel.Clock
	conns    *conns
	draining atomic.Bool
	ended    chan struct{}
	err      error
	// endChecks ends the checks of sockets.
	endChecks context.CancelFunc
}

// Options limit a server. Zero values take the defaults of net/http, but for
// HeaderTimeout.
type Options struct {
	// HeaderTimeout limits how long a client may take to send its header.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections without a request.
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	// Conns bound the connections.
	Conns ConnLimits
	// Clock times idle connections; nil for the clock of the machine.
	Clock kernel.Clock
	TLS   TLSSettings
}

// Start listens on address and serves handler.
func Start(ctx context.Context, network kernel.Network, address string, handler http.Handler) (*Server, error) {
	return StartWith(ctx, network, address, handler, Options{HeaderTimeout: DefaultHeaderTimeout})
}

// StartWith listens on address and serves handler within limits.
func StartWith(ctx context.Context, network kernel.Network, address string, handler http.Handler, opt Options) (*Server, error) {
	if opt.Clock == nil {
		opt.Clock = kernel.SystemClock{}
	}
	tracked := newConns(opt.Clock, opt.Conns)
	tracked.secure = opt.TLS.Enabled()
	network = opt.TLS.network(&trackedNetwork{Network: network, conns: tracked})
	ln, err := network.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{
		http: &http.Server{
			ReadHeaderTimeout: opt.HeaderTimeout,
			IdleTimeout:       opt.IdleTimeout,
			MaxHeaderBytes:    opt.MaxHeaderBytes,
			ConnState:         tracked.setState,
			ConnContext:       withConn,
			ErrorLog:          log.New(io.Discard, "", 0),
		},
		scheme:   "http",
		listener: ln,
		clock:    opt.Clock,
		conns:    tracked,
		ended:    make(chan struct{}),
	}
	s.http.Handler = openOnly(s.closeWhenDraining(handler))
	if opt.TLS.Enabled() {
		s.scheme = "https"
	}
	checks, endChecks := context.WithCancel(context.WithoutCancel(ctx))
	s.endChecks = endChecks
	if opt.Conns.SocketBytes > 0 {
		go kernel.Every(checks, opt.Clock, socketCheckPeriod, func(time.Time) { tracked.checkSockets() })
	}
	go func() {
		defer close(s.ended)
		s.err = s.http.Serve(ln)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return s.scheme + "://" + s.Addr() }

// CloseIdle closes connections that have carried no request for longer than limit. It
// is to be called periodically. A lower limit than before holds for a connection from
// its next response on.
func (s *Server) CloseIdle(limit time.Duration) { s.conns.closeIdle(limit) }

// Drain stops listening and waits until no connection carries a request, or until ctx
// ends. Requests that arrive on open connections are still answered; net/http's
// Shutdown would drop them after it has read them.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("drain server on %s: %w", s.Addr(), err)
	}
	select {
	case <-s.ended: // all accepted connections are tracked now
	case <-ctx.Done():
		return fmt.Errorf("drain server on %s: %w", s.Addr(), ctx.Err())
	}
	for !s.conns.closeRest() {
		if err := s.clock.Sleep(ctx, drainCheckPeriod); err != nil {
			return fmt.Errorf("drain server on %s: %w", s.Addr(), err)
		}
	}
	return nil
}

// closeWhenDraining asks for the end of the connection with responses whose request
// began during the drain.
func (s *Server) closeWhenDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Close ends the server at once. It may be called again.
func (s *Server) Close() error {
	s.endChecks()
	err := s.http.Close()
	<-s.ended
	return errors.Join(s.unlessEnded(err), s.unlessEnded(s.err))
}

// unlessEnded returns err, or nil if it only tells that the server was closed or
// drained.
func (s *Server) unlessEnded(err error) error {
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
