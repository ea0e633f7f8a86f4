package app

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/siteclient"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// siteBed is a site on the users' platform in one process: the store, two
// engines, two plain workers and three routers, under a false clock.
type siteBed struct {
	t       *testing.T
	network *kerneltest.Network
	store   *keyedlog.Store
	workers map[string]*workerd.Server
	// versions holds the software versions of workers that have another one than v1.
	versions map[string]string
	servers  map[string]*httpserve.Server
	routers  map[string]*kernel.Kernel
	// lines counts what routers log.
	lines lineCounts
	// views hold the network as each router sees it.
	views  map[string]*kerneltest.View
	client *http.Client
	serial atomic.Int64
	// extra is added to the settings of routers.
	extra string
	// clocks hold the clocks of routers.
	clocks map[string]*freezeClock
}

const storeAddress = "10.0.9.9:80"

func startSite(t *testing.T) *siteBed { return startSiteWith(t, "") }

// startSiteWith starts a site whose routers have more settings.
func startSiteWith(t *testing.T, extra string) *siteBed {
	b := &siteBed{
		t:       t,
		extra:   extra,
		clocks:  make(map[string]*freezeClock),
		network: kerneltest.NewNetwork(),
		store:   keyedlog.New(),
		workers: make(map[string]*workerd.Server),

		versions: make(map[string]string),
		servers:  make(map[string]*httpserve.Server),
		routers:  make(map[string]*kernel.Kernel),
		views:    make(map[string]*kerneltest.View),
	}
	t.Cleanup(func() { time.Sleep(time.Second) }) // answers without end notice the close
	b.client = &http.Client{Transport: &http.Transport{DialContext: b.network.DialContext, DisableKeepAlives: true}}
	b.serve(storeAddress, b.store.Handler())
	b.publish(1, "plain")
	for _, id := range []string{"e1", "e2"} {
		b.worker(id, "llm", workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond})
	}
	for _, id := range []string{"p1", "p2"} {
		b.worker(id, "plain", workerd.Options{Slots: 6, Work: 30 * time.Millisecond})
	}
	for _, name := range []string{"1", "2", "3"} {
		b.router(name)
	}
	b.wait(4 * time.Second)
	return b
}

// wait lets time pass for the routers.
func (b *siteBed) wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (b *siteBed) serve(address string, h http.Handler) *httpserve.Server {
	server, err := httpserve.Start(context.Background(), b.network, address, h)
	must.NoError(b.t, err)
	b.t.Cleanup(func() { _ = server.Close() })
	return server
}

func (b *siteBed) worker(id, service string, opt workerd.Options) {
	opt.ID = id
	w := workerd.New(opt)
	b.workers[id] = w
	b.servers[id] = b.serveWorker(id)
	b.entry(id, service, false)
}

// serveWorker lets a worker listen.
func (b *siteBed) serveWorker(id string) *httpserve.Server {
	return b.serve("10.1.0."+id+":80", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		b.workers[id].Handler().ServeHTTP(rw, r)
	}))
}

// restartWorker replaces a worker by one with other options at the same address.
func (b *siteBed) restartWorker(id, service string, opt workerd.Options) {
	opt.ID = id
	b.workers[id] = workerd.New(opt)
	b.entry(id, service, false)
}

func (b *siteBed) entry(id, service string, leaving bool) {
	b.store.PutWorker(keyedlog.Worker{
		ID: id, Service: service, Address: "10.1.0." + id + ":80", DataCentre: "dc1", Slots: 6, Leaving: leaving,
		Version: b.versions[id],
	})
}

// publish writes a configuration whose orders go to a service.
func (b *siteBed) publish(version int, orders string) {
	b.publishWith(version, orders, 2, 5*time.Second)
}

// publishIdle writes a configuration with an idle timeout of callers' connections.
func (b *siteBed) publishIdle(version int, orders string, idle time.Duration) {
	b.publishWith(version, orders, 2, idle)
}

// publishAttempts sets the attempts of requests that may be repeated.
func (b *siteBed) publishAttempts(version int, orders string, attempts int) {
	b.publishWith(version, orders, attempts, 5*time.Second)
}

func (b *siteBed) publishWith(version int, orders string, attempts int, idle time.Duration) {
	b.store.Publish(keyedlog.Config{
		Version: version,
		Host:    "a.example",
		Routes: []keyedlog.Route{
			{Name: "order", Kind: "unsafe", Service: orders, Attempts: 1},
			{Name: "status", Kind: "safe", Service: "plain", Attempts: attempts},
			{Name: "chat", Kind: "stream", Service: "llm", Attempts: attempts, Resumable: true},
			{Name: "draft", Kind: "stream", Service: "llm", Attempts: 1},
		},
		Engines:   []string{"llm"},
		Plain:     []string{"plain"},
		Account:   "acme",
		Key:       "key",
		BodyBytes: 4096,
		Idle:      idle,
	})
}

func (b *siteBed) router(name string) {
	host := "10.0.0." + name
	text := fmt.Sprintf(`
[vm]
name = "%[1]s:7000"
data_centre = "dc1"
site = "s"
peer_addr = "%[1]s:7000"
caller_addr = "%[1]s:80"
[peer]
listen = "%[1]s:7000"
[site]
seeds = ["10.0.0.1:7000"]
[site_source]
address = "%[2]s"
[ingress]
listen = "%[1]s:80"
ready = "%[1]s:81"
directory = "%[1]s:82"
[metrics]
listen = "%[1]s:83"
configuration = true
`, host, storeAddress)
	file, err := settings.Parse("router.toml", []byte(text+b.extra))
	must.NoError(b.t, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(&lineCounter{count: func(line string) { b.lines.add(name, line) }})
	b.views[name], b.clocks[name] = b.network.View(), new(freezeClock)
	k, err := NewSiteRouter(kernel.Env{Net: b.views[name], Log: logger, Seed: 7, Clock: b.clocks[name]}, file)
	must.NoError(b.t, err)
	must.NoError(b.t, k.Start(context.Background()))
	b.routers[name] = k
	b.t.Cleanup(func() { b.stop(name) })
}

// lineCounts counts log lines by router and message. It is safe for concurrent use.
type lineCounts struct {
	mu    sync.Mutex
	count map[string]int
}

func (l *lineCounts) add(router, message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count == nil {
		l.count = make(map[string]int)
	}
	l.count[router+" "+message]++
}

// of returns how often a router has logged a message.
func (l *lineCounts) of(router, message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count[router+" "+message]
}

// lineCounter passes the messages of a logger on.
type lineCounter struct{ count func(message string) }

// Levels returns all levels.
func (*lineCounter) Levels() []logrus.Level { return logrus.AllLevels }

// Fire passes a message on.
func (c *lineCounter) Fire(e *logrus.Entry) error {
	c.count(e.Message)
	return nil
}

// stop ends a router as a kill does.
func (b *siteBed) stop(name string) {
	if k, ok := b.routers[name]; ok {
		delete(b.routers, name)
		_ = k.Stop(context.Background())
	}
}

// answer is what a caller gets.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// call sends a request to a router.
func (b *siteBed) call(router, route string) answer { return b.callAfter(router, route, "") }

// callAfter sends a request to a router; a stream goes on after the event with an id.
func (b *siteBed) callAfter(router, route, lastEvent string) answer {
	if route == "chat" || route == "draft" {
		return b.send(router, route, lastEvent, "aa", "bb")
	}
	return b.send(router, route, lastEvent)
}

// callOn sends a request with these parts in its prompt.
func (b *siteBed) callOn(router, route string, parts ...string) answer {
	return b.send(router, route, "", parts...)
}

// send sends a request with these parts in its prompt and a last one of its own. It has no
// prompt without parts.
func (b *siteBed) send(router, route, lastEvent string, parts ...string) answer {
	request := b.request(route, parts...)
	request.LastEvent = lastEvent
	return b.do(router, request)
}

// request returns a request with these parts in its prompt and a last one of its own. It
// has no prompt without parts.
func (b *siteBed) request(route string, parts ...string) *siteclient.Request {
	serial := b.serial.Add(1)
	out := &siteclient.Request{
		ID: fmt.Sprintf("r%d", serial), Host: "a.example", Route: route, Key: "key", Deadline: 3 * time.Second,
		Body: fmt.Sprintf("body %d", serial),
	}
	if len(parts) > 0 {
		out.Prompt = append(slices.Clone(parts), fmt.Sprint(serial))
	}
	return out
}

// do sends a request to a router.
func (b *siteBed) do(router string, request *siteclient.Request) answer {
	r, err := request.HTTP(b.t.Context(), "10.0.0."+router+":80")
	must.NoError(b.t, err)
	resp, err := b.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), header: resp.Header, err: err}
}

func (b *siteBed) get(address, path string) answer {
	resp, err := b.client.Get("http://" + address + path)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), err: err}
}

// addresses asks a router's directory.
func (b *siteBed) addresses(router string) []string {
	out, err := siteclient.Addresses(b.t.Context(), b.client, "10.0.0."+router+":82", "a.example", "dc1")
	must.NoError(b.t, err)
	return out
}

// runs counts the runs of all workers.
func (b *siteBed) runs() int {
	n := 0
	for _, w := range b.workers {
		n += len(w.Runs())
	}
	return n
}

// lists counts how often engines were asked for their caches.
func (b *siteBed) lists() int { return b.workers["e1"].Lists() + b.workers["e2"].Lists() }

func (b *siteBed) fault(f workerd.Fault) {
	for _, w := range b.workers {
		w.Set(f)
	}
}

// wholeStream holds the events of a stream without gap or repeat.
func wholeStream(events int) string {
	var out strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return out.String()
}

func onSite(t *testing.T, f func(*testing.T, *siteBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, startSite(t)) })
}

// onQueueSite is onSite with requests for plain services queued at one router.
func onQueueSite(t *testing.T, f func(*testing.T, *siteBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, startSiteWith(t, "[slots]\nmax_slots_per_router = 5\n")) })
}
