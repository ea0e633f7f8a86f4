package testbed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/lab/host"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/standin/vmlistd"
)

// router is one VM with its router and its own view of the VM list.
type router struct {
	bed  *Testbed
	vm   site.VM
	list *vmlistd.Server

	mu     sync.Mutex
	host   *host.Host
	kernel *kernel.Kernel
	// draining is the kernel of a process that stops gracefully.
	draining *kernel.Kernel
	boots    int
	frozen   bool
}

func newRouter(b *Testbed, vm site.VM) *router {
	return &router{
		bed:  b,
		vm:   vm,
		list: vmlistd.New(),
		host: b.fabric.Host(string(vm.Name), string(vm.DataCentre)),
	}
}

func (r *router) addr(port int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host.Addr(port)
}

// listHost names the host that serves the router's view of the VM list.
func (r *router) listHost() string { return "vm-list-of-" + string(r.vm.Name) }

func (r *router) settings() []byte {
	bed := r.bed
	text := fmt.Appendf(nil, `
[platform]
log_url = %q
vm_list_url = %q

[vm]
name = %q
data_centre = %q
site = %q

[caller]
listen = %q

[peer]
listen = %q

[admin]
listen = %q
`, bed.logURL(), "http://"+bed.fabric.Get(r.listHost()).Addr(platformPort),
		r.vm.Name, r.vm.DataCentre, bed.opt.Shape.Name,
		r.addr(callerPort), r.addr(peerPort), r.addr(adminPort))
	if bed.opt.Policy != "" {
		text = fmt.Appendf(text, "\n[route]\npolicy = %q\n", bed.opt.Policy)
	}
	return text
}

// start runs the router's process, on a new host when the old one is down.
func (r *router) start(ctx context.Context) error {
	if err := r.serveList(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	if r.host.Down() {
		r.host = r.bed.fabric.Host(string(r.vm.Name), string(r.vm.DataCentre))
	}
	r.boots++
	h, boot := r.host, r.boots
	r.mu.Unlock()
	file, err := settings.Parse(string(r.vm.Name), r.settings())
	if err != nil {
		return err
	}
	k, err := app.NewRouter(h.Env(r.bed.opt.Log, r.seed(boot)), file)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.OnKill(cancel)
	if err := k.Start(ctx); err != nil {
		cancel()
		return err
	}
	r.mu.Lock()
	r.kernel = k
	r.mu.Unlock()
	r.bed.noteUp(r.vm.Name)
	return nil
}

// serveList serves the router's view of the VM list on its first start.
func (r *router) serveList(ctx context.Context) error {
	b := r.bed
	if b.fabric.Get(r.listHost()) != nil {
		return nil
	}
	h := b.fabric.Host(r.listHost(), site.ZonePlatform)
	return b.serve(ctx, h, platformPort, r.list.Handler())
}

// seed gives each process of the run its own random source.
func (r *router) seed(boot int) uint64 {
	const prime = 1_000_003
	seed := r.bed.opt.Seed*prime + uint64(boot)
	for _, c := range []byte(r.vm.Name) {
		seed = seed*31 + uint64(c)
	}
	return seed | 1
}

// takeKernel returns the running kernel, nil when there is none, and leaves
// the router without one.
func (r *router) takeKernel() *kernel.Kernel {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kernel
	r.kernel = nil
	return k
}

func (r *router) currentHost() *host.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host
}

// kill ends the router's process as a crash does and releases its memory.
func (r *router) kill() {
	k := r.takeKernel()
	r.currentHost().Kill()
	r.bed.noteDown(r.vm.Name)
	if k == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = k.Stop(ctx)
}

// running returns the kernel of a router that is neither down nor frozen, and
// the number of its boot.
func (r *router) running() (*kernel.Kernel, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen {
		return nil, r.boots
	}
	return r.kernel, r.boots
}

// drain stops the router's process gracefully.
func (r *router) drain(ctx context.Context, k *kernel.Kernel) error {
	r.setDraining(k)
	defer r.setDraining(nil)
	return k.Drain(ctx)
}

func (r *router) setDraining(k *kernel.Kernel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = k
}

// config returns the router's configuration service, also while it drains, and
// nil while it is not running.
func (r *router) config() (configsync.Source, int) {
	k, boot := r.running()
	if k == nil {
		r.mu.Lock()
		k = r.draining
		r.mu.Unlock()
	}
	if k == nil {
		return nil, boot
	}
	s, err := kernel.Find[configsync.Source](k, configsync.Name)
	if err != nil {
		return nil, boot
	}
	return s, boot
}

// row returns the VM's row of the VM list.
func (r *router) row(state fleet.VMState) fleet.VMInfo {
	return fleet.VMInfo{
		VM:         r.vm.Name,
		DataCentre: r.vm.DataCentre,
		Site:       r.bed.opt.Shape.Name,
		State:      state,
		PeerAddr:   r.addr(peerPort),
		CallerAddr: r.addr(callerPort),
		AdminAddr:  r.addr(adminPort),
	}
}
