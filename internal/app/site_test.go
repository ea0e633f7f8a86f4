package app

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

func TestSiteServesEveryKind(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, router := range []string{"1", "2", "3"} {
			must.Eq(t, 200, b.get("10.0.0."+router+":81", "/-/ready").status)
			must.Eq(t, []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, b.addresses(router))
			for _, route := range []string{"order", "status"} {
				a := b.call(router, route)
				must.Eq(t, 200, a.status)
				must.StrHasPrefix(t, "answer of p", a.body)
				must.StrHasPrefix(t, "stamp-p", a.header.Get("X-Response-Stamp"))
			}
			for _, route := range []string{"chat", "draft"} {
				must.Eq(t, wholeStream(6), b.call(router, route).body)
			}
		}
		must.Eq(t, 12, b.runs())
	})
}

func TestSiteRefusesWhatIsNotAllowed(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		must.Eq(t, 404, b.call("1", "nowhere").status)
		r, err := http.NewRequest(http.MethodGet, "http://10.0.0.1:80/status/1", nil)
		must.NoError(t, err)
		r.Host = "a.example"
		r.Header.Set("Authorization", "Bearer wrong")
		resp, err := b.client.Do(r)
		must.NoError(t, err)
		resp.Body.Close()
		must.Eq(t, 401, resp.StatusCode)
		must.Eq(t, 0, b.runs())
	})
}

func TestSiteKeepsTheLimits(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, c := range []struct{ header, body, want int }{
			{10, 4096, 200}, {10, 4097, 413}, {70_000, 10, 431},
		} {
			r, err := http.NewRequest(http.MethodPost, "http://10.0.0.1:80/order/1", strings.NewReader(strings.Repeat("x", c.body)))
			must.NoError(t, err)
			r.Host = "a.example"
			r.Header.Set("Authorization", "Bearer key")
			r.Header.Set("X-Long", strings.Repeat("x", c.header))
			resp, err := b.client.Do(r)
			must.NoError(t, err)
			resp.Body.Close()
			must.Eq(t, c.want, resp.StatusCode)
		}
		must.Eq(t, 1, b.runs())
		b.wait(time.Second) // the server lingers on connections that it closes
	})
}

// TestIdleConnectionsAreClosed keeps a connection without a request for a bit
// less and a bit more than the configured time.
func TestIdleConnectionsAreClosed(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		c, err := b.network.DialContext(t.Context(), "tcp", "10.0.0.1:80")
		must.NoError(t, err)
		defer c.Close()
		ask := func() error {
			if _, err := io.WriteString(c, "GET /nowhere HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
				return err
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		}
		must.NoError(t, ask())
		b.wait(4900 * time.Millisecond)
		must.NoError(t, ask())
		b.wait(6200 * time.Millisecond)
		must.Error(t, ask())
	})
}

// TestFaultsOfWorkersAsCallersSeeThem holds for each kind of request and fault
// what the caller gets and how often the request may have run.
func TestFaultsOfWorkersAsCallersSeeThem(t *testing.T) {
	for _, c := range []struct {
		route  string
		fault  workerd.Fault
		status int
		runs   int
	}{
		{"order", workerd.FaultRefuse, 503, 0},
		{"order", workerd.FaultFail, 500, 1},
		{"order", workerd.FaultLose, 502, 1},
		{"order", workerd.FaultCut, 502, 1},
		{"order", workerd.FaultMute, 504, 1},
		{"order", workerd.FaultForged, 502, 1},
		{"status", workerd.FaultRefuse, 503, 0},
		{"status", workerd.FaultFail, 500, 2},
		{"status", workerd.FaultLose, 502, 2},
		{"status", workerd.FaultMute, 502, 2},
	} {
		t.Run(c.route+" "+string(c.fault), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.fault(c.fault)
				a := b.call("1", c.route)
				must.NoError(t, a.err)
				must.Eq(t, c.status, a.status)
				must.Eq(t, c.runs, b.runs())
				must.Eq(t, c.status == 503, a.header.Get("Retry-After") != "")
			})
		})
	}
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		must.Eq(t, wholeStream(6), b.call("1", "chat").body)
		holder := "e1"
		if len(b.workers["e2"].Runs()) > 0 {
			holder = "e2"
		}
		b.workers[holder].Set(workerd.FaultCut)
		a := b.call("1", "chat")
		must.NoError(t, a.err)
		must.Eq(t, wholeStream(6), a.body)
		must.Eq(t, "stamp-"+holder, a.header.Get("X-Response-Stamp"))
		b.workers[holder].Set(workerd.FaultCut)
		a = b.call("1", "draft")
		if a.err == nil {
			must.Eq(t, wholeStream(6), a.body, must.Sprint("a stream that broke off does not look whole"))
		}
	})
}

func TestStreamThatCanNotBeResumedIsCut(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.fault(workerd.FaultCut)
		a := b.call("1", "draft")
		must.Eq(t, 200, a.status)
		must.Error(t, a.err)
		must.StrHasPrefix(t, a.body, wholeStream(6))
		must.Eq(t, 1, b.runs())
	})
}

func TestConfigurationIsInForceWithinTwoSeconds(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.publish(2, "llm")
		b.wait(1500 * time.Millisecond)
		for _, router := range []string{"1", "2", "3"} {
			a := b.call(router, "order")
			must.StrHasPrefix(t, "answer of e", a.body)
		}
		b.publish(1, "plain")
		b.wait(1500 * time.Millisecond)
		must.StrHasPrefix(t, "answer of e", b.call("1", "order").body, must.Sprint("an older version changes nothing"))
	})
}

func TestDrainedDataCentreGetsNothing(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.store.Drain("dc1")
		b.wait(1500 * time.Millisecond)
		for _, router := range []string{"1", "2", "3"} {
			must.Eq(t, 503, b.call(router, "order").status)
		}
		must.Eq(t, 0, b.runs())
		b.store.Return("dc1")
		b.wait(1500 * time.Millisecond)
		must.Eq(t, 200, b.call("1", "order").status)
	})
}

// TestStoreOutage keeps serving without the store, through a restart of one
// router, which learns all from the others.
func TestStoreOutage(t *testing.T) {
	for name, f := range map[string]keyedlog.Faults{
		"refuses": {Status: 503}, "loses answers": {LoseAnswers: true}, "is silent": {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.store.Set(f)
				b.wait(5 * time.Second)
				must.Eq(t, 200, b.call("1", "order").status)
				b.stop("3")
				b.wait(4 * time.Second)
				must.Eq(t, []string{"10.0.0.1:80", "10.0.0.2:80"}, b.addresses("1"))
				b.router("3")
				b.wait(3 * time.Second)
				must.Eq(t, 200, b.call("3", "order").status)
				must.Eq(t, []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}, b.addresses("1"))
				b.publish(2, "llm")
				b.store.Set(keyedlog.Faults{})
				b.wait(3 * time.Second)
				must.StrHasPrefix(t, "answer of e", b.call("2", "order").body)
			})
		})
	}
}

func TestRouterWithoutConfigurationRefuses(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		for _, name := range []string{"1", "2", "3"} {
			b.stop(name)
		}
		b.store.Set(keyedlog.Faults{Status: 503})
		b.router("1")
		b.wait(time.Second)
		must.Eq(t, 503, b.get("10.0.0.1:81", "/-/ready").status)
		a := b.call("1", "order")
		must.Eq(t, 503, a.status)
		must.NotEq(t, "", a.header.Get("Retry-After"))
		b.store.Set(keyedlog.Faults{})
		b.wait(time.Second)
		must.Eq(t, 200, b.call("1", "order").status)
	})
}

// TestStoppingRouterCutsNothing drains a router in the middle of a stream.
func TestStoppingRouterCutsNothing(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		got := make(chan answer, 1)
		go func() { got <- b.call("3", "draft") }()
		time.Sleep(50 * time.Millisecond)
		drained := make(chan error, 1)
		k := b.routers["3"]
		delete(b.routers, "3")
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
			defer cancel()
			drained <- k.Drain(ctx)
		}()
		b.wait(400 * time.Millisecond)
		must.Eq(t, 503, b.get("10.0.0.3:81", "/-/ready").status)
		must.Eq(t, []string{"10.0.0.1:80", "10.0.0.2:80"}, b.addresses("1"))
		must.Eq(t, 200, b.call("3", "order").status, must.Sprint("callers that have not heard are still served"))
		must.Eq(t, wholeStream(6), (<-got).body)
		must.NoError(t, <-drained)
	})
}

// TestStopUnderLoadAnswersAllThatItAccepted stops a router while streams are sent to it
// all the time, from before it refuses new requests until it has ended. Each one must
// be served whole, be refused as not run, or find no listener.
func TestStopUnderLoadAnswersAllThatItAccepted(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		k := b.routers["3"]
		delete(b.routers, "3")
		drained := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
			defer cancel()
			err := k.Drain(ctx)
			drained <- errors.Join(err, k.Stop(context.Background()))
		}()
		answers := make(chan answer, 1000)
		served, refused := 0, 0
		take := func(a answer) {
			switch {
			case a.err != nil:
				must.StrContains(t, a.err.Error(), "connection refused")
			case a.status == 503:
				must.NotEq(t, "", a.header.Get("Retry-After"))
				refused++
			default:
				must.Eq(t, wholeStream(6), a.body)
				served++
			}
		}
		sent := 0
		for ended := false; !ended; sent++ {
			go func() { answers <- b.call("3", "draft") }()
			select {
			case err := <-drained:
				must.NoError(t, err)
				ended = true
			case <-time.After(10 * time.Millisecond):
			}
		}
		for range sent {
			take(<-answers)
		}
		must.Greater(t, 200, served, must.Sprint("it serves on while callers have not heard"))
		must.Positive(t, refused)
	})
}

func TestOneRouterReadsTheStoreForAll(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		before := b.store.Calls()["/-/log-read"]
		b.wait(20 * time.Second)
		calls := b.store.Calls()["/-/log-read"] - before
		must.Between(t, 40, calls, 64, must.Sprint("two topics each 0.7 s and a little"))
	})
}
