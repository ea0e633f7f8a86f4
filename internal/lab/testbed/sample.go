package testbed

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

const (
	// viewPeriod is the time between looks at the routers' configuration.
	viewPeriod = 20 * time.Millisecond
	// trafficPeriod is the time over which control traffic is counted.
	trafficPeriod = 2 * time.Second
)

// Watch samples the routers until ctx ends.
func (b *Testbed) Watch(ctx context.Context) {
	clock := kernel.SystemClock{}
	views := make(map[fleet.VM]history.ConfigView)
	go kernel.Every(ctx, clock, viewPeriod, func(now time.Time) {
		for _, r := range b.allRouters() {
			b.sampleView(r, now, views)
		}
	})
	totals := make(map[process]float64)
	go kernel.Every(ctx, clock, trafficPeriod, func(now time.Time) {
		for _, r := range b.allRouters() {
			b.sampleTraffic(r, now, totals)
		}
	})
}

// sampleView records the router's version of the configuration when it is
// another one than before.
func (b *Testbed) sampleView(r *router, now time.Time, last map[fleet.VM]history.ConfigView) {
	src, boot := r.config()
	if src == nil {
		return
	}
	e := src.Current()
	if e == nil {
		return
	}
	view := history.ConfigView{VM: r.vm.Name, Offset: e.Offset, Hash: e.Hash, Boot: boot}
	if last[view.VM] == view {
		return
	}
	last[view.VM] = view
	view.At = now
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Views = append(b.record.Views, view)
}

// process is one boot of a router.
type process struct {
	vm   fleet.VM
	boot int
}

func (b *Testbed) sampleTraffic(r *router, now time.Time, last map[process]float64) {
	k, boot := r.running()
	if k == nil {
		return
	}
	p := process{vm: r.vm.Name, boot: boot}
	total := r.controlBytes(k)
	before, seen := last[p]
	last[p] = total
	if !seen {
		return
	}
	rate := (total - before) / trafficPeriod.Seconds()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Control = append(b.record.Control, history.ControlSample{VM: r.vm.Name, At: now, Bytes: rate})
}
