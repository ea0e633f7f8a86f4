// Package standintest serves stand-ins in tests.
package standintest

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/target"
)

// Served is a stand-in that listens.
type Served struct {
	*fault.Injector
	URL    string
	Client *http.Client
	server *httpserve.Server
}

// Serve runs a stand-in on network until the test ends.
func Serve(t *testing.T, network kernel.Network, handler http.Handler) *Served {
	t.Helper()
	injector := fault.New(1)
	s, err := httpserve.Start(context.Background(), injector.Network(network), "127.0.0.1:0", injector.Wrap(handler))
	must.NoError(t, err)
	served := &Served{Injector: injector, URL: s.URL(), Client: target.NewHTTPClient(network), server: s}
	t.Cleanup(func() {
		served.Client.CloseIdleConnections()
		_ = s.Close()
	})
	return served
}

// Stop ends the stand-in: connections to it are refused.
func (s *Served) Stop() { _ = s.server.Close() }

// Answer collects an answer.
type Answer struct {
	mu    sync.Mutex
	head  call.Head
	body  []byte
	end   call.End
	ended bool
	// OnChunk is called after each part.
	OnChunk func()
}

// Head takes the start of the answer.
func (a *Answer) Head(h call.Head) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = h
	return nil
}

// Chunk takes a part, and panics when it does not continue the answer.
func (a *Answer) Chunk(c call.Chunk) error {
	a.mu.Lock()
	if c.Offset != uint64(len(a.body)) {
		panic("part does not continue the answer")
	}
	a.body = append(a.body, c.Data...)
	a.mu.Unlock()
	if a.OnChunk != nil {
		a.OnChunk()
	}
	return nil
}

// End takes the end.
func (a *Answer) End(e call.End) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end, a.ended = e, true
	return nil
}

// Body returns what has come.
func (a *Answer) Body() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.body)
}

// Status returns the status of the head, zero before it.
func (a *Answer) Status() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head.Status
}

// Header returns a header of the head.
func (a *Answer) Header(name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head.Header.Get(name)
}

// Ended returns the end, and whether it has come.
func (a *Answer) Ended() (call.End, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end, a.ended
}

// Interface guard.
var _ call.Sink = (*Answer)(nil)
