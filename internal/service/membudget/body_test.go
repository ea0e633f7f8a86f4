package membudget

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7fffff00\r\n"+strings.Repeat("x", limit/2))
		must.NoError(t, err)
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
