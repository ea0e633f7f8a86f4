package membudget

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// smallest is a budget of the smallest machine.
func smallest() *Service {
	s := New(Limits{MemoryMB: minMemoryMB, Descriptors: minDescriptors})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s.clock, s.logger, s.metrics = kernel.SystemClock{}, logrus.NewEntry(logger), metrics.NewRegistry()
	return s
}

// heldBodies returns the number of bytes that are held for bodies.
func (s *Service) heldBodies() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.UsedBy(KindBody)
}

// roomForLarge returns the number of bytes that holds above smallBytes may use.
func roomForLarge(s *Service) int {
	return int(s.limits.Budget() - s.limits.Budget()/reserveRatio)
}

// TestBodiesAreReadWhole guards against bytes that are lost where the buffer grows, and against
// memory that stays reserved.
func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 1 << 20
	s := smallest()
	for _, c := range []struct {
		length  int
		chunked bool
		err     error
	}{
		{0, false, nil}, {1, false, nil}, {firstBytes, true, nil}, {firstBytes + 1, true, nil}, {72 << 10, false, nil},
		{announcedBytes + 1, false, nil}, {limit, true, nil}, {limit, false, nil}, {limit + 1, true, ErrTooLarge}, {limit + 1, false, ErrTooLarge},
	} {
		body := strings.Repeat("0123456789abcdef!", c.length/17+1)[:c.length]
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(body))
		if c.chunked {
			r.ContentLength = -1
		}
		got, err := ReadBody(s, httptest.NewRecorder(), r, "a", ReadLimits{Bytes: limit})
		must.ErrorIs(t, err, c.err, must.Sprint(c))
		if err == nil {
			must.True(t, body == string(got.Bytes), must.Sprint(c))
			must.LessEq(t, s.ledger.Used(), int64(c.length))
			got.Close()
			got.Close()
		}
		must.Eq(t, 0, s.ledger.Used(), must.Sprint(c))
	}
}

// TestStalledBodyGivesWay guards against bodies that stop short of their end and hold all others
// up, and against the reservation of an evicted body that stays.
func TestStalledBodyGivesWay(t *testing.T) {
	s := smallest()
	limit := int(s.limits.Budget()) / 2
	results := make(chan error, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(s, w, r, AddressOf(r.RemoteAddr), ReadLimits{Bytes: limit})
		if err == nil {
			body.Close()
		}
		results <- err
	}))
	defer server.Close()
	for range 3 {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		must.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7fffff00\r\n"+strings.Repeat("x", limit/4))
		must.NoError(t, err)
	}
	// A body that still arrives may take the place of the whole one, which is as recent.
	const arrived = 3 << 20 // the buffers of three bodies of limit/4 bytes
	for s.heldBodies() != arrived {
		time.Sleep(time.Millisecond)
	}
	resp, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", limit)))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	evicted := 0
	for {
		err := <-results
		if err == nil {
			break
		}
		must.ErrorIs(t, err, ErrExhausted)
		evicted++
	}
	must.Positive(t, evicted)
}

// deadlines records the read deadline that is set.
type deadlines struct {
	*httptest.ResponseRecorder
	read time.Time
}

// SetReadDeadline records a deadline.
func (d *deadlines) SetReadDeadline(t time.Time) error {
	d.read = t
	return nil
}

// bodyFunc is a body that a function reads.
type bodyFunc func(p []byte) (int, error)

// Read reads the body.
func (f bodyFunc) Read(p []byte) (int, error) { return f(p) }

// TestBodyEvictedAtItsEnd guards against a body that is passed on although it was told to give way
// while its last bytes came, and against a late eviction that ends the reads of the connection.
func TestBodyEvictedAtItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = firstBytes
		s := smallest()
		full := s.Open(KindBody, "full", func() {})
		must.True(t, full.TryGrow(roomForLarge(s)-smallBytes))
		w := &deadlines{ResponseRecorder: httptest.NewRecorder()}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", bodyFunc(func(p []byte) (int, error) {
			full.SetComplete(true)
			must.False(t, s.Open(KindBody, "other", func() {}).TryGrow(2*smallBytes))
			return len(p), nil
		}))
		r.ContentLength = length
		_, err := ReadBody(s, w, r, "a", ReadLimits{Bytes: length})
		must.ErrorIs(t, err, ErrExhausted)
		synctest.Wait() // for the eviction
		must.True(t, w.read.After(time.Now()), must.Sprint("the rest is read, so that the client sees the refusal"))
	})
}

// TestWaitingHoldGivesWay guards against a hold that waits for room until its time is over,
// although it has to give way itself.
func TestWaitingHoldGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := smallest()
		full := s.Open(KindBody, "full", func() {})
		must.True(t, full.TryGrow(roomForLarge(s)-3*smallBytes))
		full.SetComplete(true)
		stays, first, second := s.Open(KindBody, "c", func() {}), s.Open(KindBody, "a", func() {}), s.Open(KindBody, "b", func() {})
		must.True(t, stays.TryGrow(2*smallBytes))
		must.True(t, first.TryGrow(smallBytes))
		result := make(chan error, 1)
		go func() { result <- first.Grow(smallBytes) }() // stays has to give way, and does not
		synctest.Wait()
		started := time.Now()
		go func() { _ = second.Grow(3 * smallBytes) }()
		must.ErrorIs(t, <-result, ErrExhausted)
		must.Eq(t, 0, time.Since(started))
		time.Sleep(2 * giveWayTimeout)
	})
}
