package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/standin/keyedlog"
	"github.com/zinniafork/zinniafork/internal/standin/siteclient"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// events is the length of a stream.
	events = 8
	// eventGap is the time between two of its events.
	eventGap = 40 * time.Millisecond
	// slots is the number of requests that a worker runs at once.
	slots = 32
	// host, account and key are those of all requests.
	host    = "soak.example"
	account = "acme"
	key     = "key"
	// firstRouterHost is the last part of the first router's address, and peerPort the
	// port under which routers know each other.
	firstRouterHost = 20
	peerPort        = 7014
	// maxRouters is the number of routers for which a loopback network has addresses.
	maxRouters = 230
	// drainedDC is the data centre that is drained.
	drainedDC = "dc1"
	// pause is the time that workers ask for.
	pause = 1500 * time.Millisecond
	// silenceLeast is the shortest silence of a sound worker; the longest of the workers'
	// is 2 s.
	silenceLeast = 800 * time.Millisecond
	silenceStep  = 300 * time.Millisecond
	silenceSteps = 5
)

// bed is the store, the workers, the routers and the proxies of one run.
type bed struct {
	store   *keyedlog.Store
	workers []*worker
	routers []*router
	servers []*httpserve.Server
	proxies []*proxy
	logs    []*os.File
	net     string
	ctx     context.Context

	mu      sync.Mutex
	version int
	drained bool
	// brittle are the times in which workers were brittle.
	brittle []*brittleTime
}

// worker is one stand-in of a worker and the link to it.
type worker struct {
	*workerd.Server
	id, service, dc string
	// version is that of its software.
	version string
	link    *proxy

	mu      sync.Mutex
	leaving bool
	// starts are the times at which the worker started under its name.
	starts []time.Time
}

// restart lets the worker start anew under its name.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = false
	w.starts = append(w.starts, time.Now())
}

// entry returns what the worker writes about itself.
func (w *worker) entry() keyedlog.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return keyedlog.Worker{
		ID: w.id, Service: w.service, Address: w.link.listener.Addr().String(), DataCentre: w.dc, Slots: slots,
		Leaving: w.leaving, Born: w.starts[len(w.starts)-1].UnixMilli(), Version: w.version,
	}
}

// newBed serves the store and the workers and writes the settings of routers.
// Addresses are those of one loopback network for each seed.
func newBed(ctx context.Context, dir string, opt Options) (*bed, error) {
	b := &bed{
		store: keyedlog.New(),
		net:   fmt.Sprintf("127.%d.%d", 70+opt.Seed%100, opt.Seed/100%250),
		ctx:   ctx,
	}
	if opt.Routers < 1 || opt.Routers > maxRouters {
		return b, fmt.Errorf("routers: want 1 to %d, have %d", maxRouters, opt.Routers)
	}
	storeAddress := b.net + ".1:7000"
	if err := b.serve(storeAddress, b.store.Handler()); err != nil {
		return b, err
	}
	b.publish()
	for i, service := range []string{"llm", "llm", "llm", "llm", "llm", "llm", "plain", "plain"} {
		if err := b.addWorker(i, service); err != nil {
			return b, err
		}
	}
	for i := range opt.Routers {
		if err := b.addRouter(dir, i, opt, storeAddress); err != nil {
			return b, err
		}
	}
	return b, nil
}

func (b *bed) serve(address string, h http.Handler) error {
	s, err := httpserve.Start(b.ctx, kernel.SystemNetwork{}, address, h)
	if err != nil {
		return err
	}
	b.servers = append(b.servers, s)
	return nil
}

func (b *bed) proxy(address, to string) (*proxy, error) {
	p, err := newProxy(b.ctx, address, to)
	if err == nil {
		b.proxies = append(b.proxies, p)
	}
	return p, err
}

// resumeStatus and resumeError are the answers of workers that do not go on with a stream, and
// headStep times a worker's number is the length of the heads that it cuts.
var (
	resumeStatus = []int{http.StatusNotFound, http.StatusNoContent, http.StatusConflict}
	resumeError  = []string{"id: 3\ndata: no such stream\n\n", "", "no such stream\n"}
)

const headStep = 17

func (b *bed) addWorker(i int, service string) error {
	w := &worker{id: fmt.Sprintf("w%d", i), service: service, dc: fmt.Sprintf("dc%d", i%2+1), version: versionOf(i)}
	worker := workerd.Options{
		ID: w.id, Version: w.version, Slots: slots, Events: events, Pause: fmt.Sprint(pause.Seconds()),
		Work: 15 * time.Millisecond, Gap: eventGap,
		Silence: silenceLeast + time.Duration(i%silenceSteps)*silenceStep,
	}
	worker.Status, worker.ErrorBody, worker.HeadBytes = resumeStatus[i%len(resumeStatus)], resumeError[i%len(resumeError)], headStep*(i+1)
	b.crashOptions(w, &worker)
	worker.Born = func() int64 { return w.entry().Born }
	w.Server = workerd.New(worker)
	own := fmt.Sprintf("%s.2:%d", b.net, 7000+i)
	if err := b.serve(own, w.Handler()); err != nil {
		return err
	}
	var err error
	if w.link, err = b.proxy(fmt.Sprintf("%s.3:%d", b.net, 7000+i), own); err != nil {
		return err
	}
	b.workers = append(b.workers, w)
	w.restart()
	b.store.PutWorker(w.entry())
	return nil
}

// setLeaving writes a worker's entry with another state.
func (b *bed) setLeaving(w *worker, leaving bool) {
	w.mu.Lock()
	w.leaving = leaving
	w.mu.Unlock()
	b.store.PutWorker(w.entry())
}

// setDrained drains a data centre or takes it back.
func (b *bed) setDrained(drained bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drained = drained
	b.putDrain()
}

// putDrain writes the drain mark. The caller holds the lock.
func (b *bed) putDrain() {
	if b.drained {
		b.store.Drain(drainedDC)
		return
	}
	b.store.Return(drainedDC)
}

// rewrite writes again what operators and workers have in force, as they do after the
// store has lost it.
func (b *bed) rewrite() {
	b.mu.Lock()
	b.putConfig()
	b.putDrain()
	b.mu.Unlock()
	for _, w := range b.workers {
		b.store.PutWorker(w.entry())
	}
}

func (b *bed) addRouter(dir string, i int, opt Options, storeAddress string) error {
	at := func(port int) string { return fmt.Sprintf("%s.%d:%d", b.net, firstRouterHost+i, port) }
	r := &router{index: i, binary: opt.Binary, caller: at(7001), ready: at(7002), directory: at(7003), metrics: at(7005)}
	own, advertised, store := at(7004), at(peerPort), at(7016)
	var err error
	if r.peer, err = b.proxy(advertised, own); err != nil {
		return err
	}
	if r.store, err = b.proxy(store, storeAddress); err != nil {
		return err
	}
	text := fmt.Sprintf(settingsText, fmt.Sprintf("dc%d", i%2+1), advertised, r.caller, own,
		fmt.Sprintf("%s.%d:%d", b.net, firstRouterHost, peerPort), store, r.ready, r.directory, r.metrics)
	if opt.Rollouts {
		text += rolloutSettings
	}
	if err := r.write(dir, text); err != nil {
		return err
	}
	if r.paths, err = newPaths(fmt.Sprintf("%s.%d", b.net, firstRouterHost+i), b.workers); err != nil {
		return err
	}
	b.logs = append(b.logs, r.log)
	b.routers = append(b.routers, r)
	return r.start()
}

// publish writes the next version of the configuration.
func (b *bed) publish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version += 2
	b.putConfig()
}

// putConfig writes the configuration in force. The caller holds the lock.
func (b *bed) putConfig() {
	b.store.Publish(keyedlog.Config{
		Version: b.version,
		Host:    host,
		Routes: []keyedlog.Route{
			{Name: "order", Kind: "unsafe", Service: "plain", Attempts: 1},
			{Name: "status", Kind: "safe", Service: "plain", Attempts: 2},
			{Name: "chat", Kind: "stream", Service: "llm", Attempts: 2, Resumable: true},
			{Name: "draft", Kind: "stream", Service: "llm", Attempts: 1},
			{Name: fmt.Sprintf("version%d", b.version), Kind: "safe", Service: "plain", Attempts: 2},
		},
		Engines:   []string{"llm"},
		Plain:     []string{"plain"},
		Account:   account,
		Key:       key,
		BodyBytes: 64 << 10,
		Idle:      15 * time.Second,
	})
}

// newest returns the path that only the newest configuration knows.
func (b *bed) newest() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("version%d", b.version)
}

// restart starts routers again that have ended or were told to.
func (b *bed) restart(routers ...*router) {
	for _, r := range routers {
		if err := r.restart(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

// ready reports whether all routers take requests.
func (b *bed) ready(client *http.Client) bool {
	for _, r := range b.routers {
		if !siteclient.Ready(b.ctx, client, r.ready) {
			return false
		}
	}
	return true
}

// close ends all that newBed started.
func (b *bed) close() {
	for _, r := range b.routers {
		r.signal(syscall.SIGCONT)
		r.kill()
	}
	for _, p := range b.proxies {
		p.close()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	for _, log := range b.logs {
		_ = log.Close()
	}
}
