// Package testbed runs a whole site in one process over loopback TCP: routers
// on lab hosts, and stand-ins for targets, the log service and the VM list.
package testbed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/host"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/standin/logd"
)

// Names of hosts that are no VM or target.
const (
	LogHost      = "log"
	OperatorHost = "operator"
	DirectHost   = "direct-engine"
)

// appendsPerSecond is what the log service takes from all together.
const appendsPerSecond = 300

// Ports of the programs on their hosts.
const (
	callerPort   = 7001
	peerPort     = 7002
	adminPort    = 7003
	platformPort = 7010
	targetPort   = 7020
)

// Options shape a testbed.
type Options struct {
	Shape site.Shape
	Seed  uint64
	// Policy names the placement policy; empty means the default.
	Policy string
	// InstantEngines answer without delay, for benchmarks.
	InstantEngines bool
	// ControlBudget replaces the control budget of a router, in bytes a
	// second, when above zero.
	ControlBudget int
	// Log takes the routers' logs; nil drops them.
	Log *logrus.Logger
}

// Testbed is a running site.
type Testbed struct {
	opt    Options
	fabric *host.Fabric
	log    *logd.Server
	began  time.Time

	logFaults *logFaults
	// publishing lets one operator change the configuration at a time.
	publishing sync.Mutex
	// races counts the documents of racing operators, which all differ.
	races int

	mu      sync.Mutex
	routers map[fleet.VM]*router
	engines map[fleet.Target]*engine
	workers map[fleet.Target]*worker
	direct  *engine
	rules   rules
	servers []*httpserve.Server
	record  history.History
	upVMs   map[fleet.VM][]history.Span
}

// Start starts the platform, the targets and the routers of a site, and
// publishes its first configuration.
func Start(ctx context.Context, opt Options) (*Testbed, error) {
	if opt.Log == nil {
		opt.Log = logrus.New()
		opt.Log.SetOutput(io.Discard)
	}
	fabric, err := host.NewFabric(host.Options{Delay: opt.Shape.Delay})
	if err != nil {
		return nil, err
	}
	b := &Testbed{
		opt:     opt,
		fabric:  fabric,
		log:     logd.NewWith(logd.Options{AppendsPerSecond: appendsPerSecond}),
		began:   time.Now(),
		routers: make(map[fleet.VM]*router),
		engines: make(map[fleet.Target]*engine),
		workers: make(map[fleet.Target]*worker),
		rules:   newRules(),
		upVMs:   make(map[fleet.VM][]history.Span),
	}
	if err := b.start(ctx); err != nil {
		return nil, errors.Join(err, b.Close())
	}
	return b, nil
}

func (b *Testbed) start(ctx context.Context) error {
	log := b.fabric.Host(LogHost, site.ZonePlatform)
	b.logFaults = newLogFaults(b.log.Handler(), b.opt.Seed)
	if err := b.serve(ctx, log, platformPort, b.logFaults); err != nil {
		return err
	}
	b.fabric.Host(OperatorHost, site.ZonePlatform)
	if err := b.startTargets(ctx); err != nil {
		return err
	}
	if err := b.publishFirst(); err != nil {
		return err
	}
	for _, vm := range b.opt.Shape.VMs {
		b.routers[vm.Name] = newRouter(b, vm)
	}
	for _, vm := range b.opt.Shape.VMs {
		if err := b.StartRouter(ctx, vm.Name); err != nil {
			return err
		}
	}
	return nil
}

// serve runs a stand-in on a host until the host or the testbed ends.
func (b *Testbed) serve(ctx context.Context, h *host.Host, port int, handler http.Handler) error {
	s, err := httpserve.Start(ctx, h, h.Addr(port), handler)
	if err != nil {
		return fmt.Errorf("stand-in on %s: %w", h.Name(), err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers = append(b.servers, s)
	return nil
}

// Close ends everything at once.
func (b *Testbed) Close() error {
	for _, r := range b.allRouters() {
		r.kill()
	}
	err := b.fabric.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		_ = s.Close()
	}
	return err
}

// Shape returns the site's shape.
func (b *Testbed) Shape() site.Shape { return b.opt.Shape }

// Fabric returns the network of the testbed.
func (b *Testbed) Fabric() *host.Fabric { return b.fabric }

// CallerHost returns the machine of a client account's callers.
func (b *Testbed) CallerHost(account fleet.Account) *host.Host {
	name := "callers-" + string(account)
	if h := b.fabric.Get(name); h != nil {
		return h
	}
	return b.fabric.Host(name, site.ZoneClients)
}

// Addresses returns the caller addresses of all VMs by VM name, which callers
// know to begin with.
func (b *Testbed) Addresses() map[fleet.VM]string {
	out := make(map[fleet.VM]string)
	for _, r := range b.allRouters() {
		out[r.vm.Name] = r.addr(callerPort)
	}
	return out
}

// AdminAddress returns the address of a VM's administration interface.
func (b *Testbed) AdminAddress(vm fleet.VM) string {
	r, err := b.router(vm)
	if err != nil {
		return ""
	}
	return r.addr(adminPort)
}

// Note adds an event to the history.
func (b *Testbed) Note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Events = append(b.record.Events, history.Event{At: time.Now(), Text: fmt.Sprintf(format, args...)})
}

// Fault notes an unplanned fault that begins now. The returned function ends
// it.
func (b *Testbed) Fault(format string, args ...any) (end func()) {
	b.Note(format, args...)
	b.mu.Lock()
	defer b.mu.Unlock()
	i := len(b.record.Faults)
	b.record.Faults = append(b.record.Faults, history.Span{From: time.Now()})
	return func() {
		b.Note("End of: "+format, args...)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.record.Faults[i].To = time.Now()
	}
}

// History returns what the testbed and its stand-ins recorded.
func (b *Testbed) History() *history.History {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.record
	h.Start, h.End = b.began, time.Now()
	h.UpVMs = make(map[fleet.VM][]history.Span)
	for vm, spans := range b.upVMs {
		h.UpVMs[vm] = append([]history.Span(nil), spans...)
	}
	for _, t := range b.opt.Shape.Targets {
		if e, ok := b.engines[t.Name]; ok {
			h.Engines = append(h.Engines, e.describe())
			h.EngineRuns = append(h.EngineRuns, e.runs()...)
		}
		if w, ok := b.workers[t.Name]; ok {
			h.WorkerRuns = append(h.WorkerRuns, w.runs()...)
			h.WorkerRefusals += w.server.Refused()
		}
	}
	h.DirectRuns = b.direct.runs()
	return &h
}
