package testbed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// drainLimit is the time that a planned stop may take.
const drainLimit = 15 * time.Second

// StartRouter starts the router of a VM and puts it on the VM list.
func (b *Testbed) StartRouter(ctx context.Context, vm fleet.VM) error {
	r, err := b.router(vm)
	if err != nil {
		return err
	}
	if err := r.start(ctx); err != nil {
		return fmt.Errorf("start router %s: %w", vm, err)
	}
	b.List(vm, fleet.VMLive)
	return nil
}

// KillRouter ends a router abruptly: its sockets are reset. The VM list goes
// on naming it until List or Unlist changes that.
func (b *Testbed) KillRouter(vm fleet.VM) error {
	r, err := b.router(vm)
	if err != nil {
		return err
	}
	r.kill()
	return nil
}

// VanishRouter ends a router as a lost machine: its connections go silent.
func (b *Testbed) VanishRouter(vm fleet.VM) error {
	r, err := b.router(vm)
	if err != nil {
		return err
	}
	r.currentHost().Vanish()
	r.kill()
	return nil
}

// StopRouter stops a router gracefully: the VM list calls it leaving, then
// its process drains.
func (b *Testbed) StopRouter(ctx context.Context, vm fleet.VM) error {
	r, err := b.router(vm)
	if err != nil {
		return err
	}
	k := r.takeKernel()
	if k == nil {
		return fmt.Errorf("stop router %s: not running", vm)
	}
	stop := history.Stop{VM: vm, From: time.Now()}
	b.List(vm, fleet.VMLeaving)
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	if err := r.drain(ctx, k); err != nil {
		stop.Err = err.Error()
	}
	stop.To = time.Now()
	r.currentHost().Kill()
	b.noteDown(vm)
	b.Unlist(vm)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Stops = append(b.record.Stops, stop)
	return nil
}

// FreezeRouter pauses the VM of a router; the returned function resumes it.
func (b *Testbed) FreezeRouter(vm fleet.VM, clockStops bool) (thaw func(), err error) {
	r, err := b.router(vm)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	h := r.host
	r.frozen = true
	r.mu.Unlock()
	h.Freeze(clockStops)
	b.noteDown(vm)
	return func() {
		h.Thaw()
		r.mu.Lock()
		r.frozen = false
		r.mu.Unlock()
		b.noteUp(vm)
	}, nil
}

func (b *Testbed) router(vm fleet.VM) (*router, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.routers[vm]
	if !ok {
		return nil, fmt.Errorf("no VM %s", vm)
	}
	return r, nil
}

// allRouters returns the routers sorted by VM name.
func (b *Testbed) allRouters() []*router {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]*router, 0, len(b.routers))
	for _, vm := range slices.Sorted(maps.Keys(b.routers)) {
		out = append(out, b.routers[vm])
	}
	return out
}

func (b *Testbed) noteUp(vm fleet.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.upVMs[vm] = append(b.upVMs[vm], history.Span{From: time.Now()})
}

func (b *Testbed) noteDown(vm fleet.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	spans := b.upVMs[vm]
	if n := len(spans); n > 0 && spans[n-1].To.IsZero() {
		spans[n-1].To = time.Now()
	}
}

// List shows a VM in the given state to all routers.
func (b *Testbed) List(vm fleet.VM, state fleet.VMState) {
	for _, r := range b.allRouters() {
		b.ListFor(r.vm.Name, vm, state)
	}
}

// ListFor shows a VM in the given state to one router.
func (b *Testbed) ListFor(viewer, vm fleet.VM, state fleet.VMState) {
	r, err := b.router(vm)
	if err != nil {
		return
	}
	if v, err := b.router(viewer); err == nil {
		v.list.Put(r.row(state))
	}
}

// Unlist hides a VM from all routers.
func (b *Testbed) Unlist(vm fleet.VM) {
	for _, r := range b.allRouters() {
		b.UnlistFor(r.vm.Name, vm)
	}
}

// UnlistFor hides a VM from one router.
func (b *Testbed) UnlistFor(viewer, vm fleet.VM) {
	if v, err := b.router(viewer); err == nil {
		v.list.Remove(vm)
	}
}
