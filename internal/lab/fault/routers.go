package fault

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/host"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
)

// listLag is the time after which the VM list shows that a VM is gone.
const listLag = time.Second

// span is a fault with a beginning and an end.
func (p *Plan) span(from, to time.Duration, name string, begin func(ctx context.Context, bed *testbed.Testbed) (end func(), err error)) {
	var (
		mu  sync.Mutex
		end func()
	)
	p.add(from, name, func(ctx context.Context, bed *testbed.Testbed) error {
		mu.Lock()
		defer mu.Unlock()
		over := bed.Fault("%s", name)
		stop, err := begin(ctx, bed)
		end = func() {
			if stop != nil {
				stop()
			}
			over()
		}
		return err
	})
	p.add(to, "end of: "+name, func(context.Context, *testbed.Testbed) error {
		mu.Lock()
		defer mu.Unlock()
		if end != nil {
			end()
		}
		return nil
	})
}

// KillRouter ends a router abruptly and starts it again later. With vanish
// its connections go silent instead of being reset.
func (p *Plan) KillRouter(from, back time.Duration, vanish bool) {
	vm := p.vm()
	how := "killed"
	if vanish {
		how = "lost"
	}
	p.span(from, back, fmt.Sprintf("router %s is %s", vm, how), func(ctx context.Context, bed *testbed.Testbed) (func(), error) {
		end := bed.KillRouter
		if vanish {
			end = bed.VanishRouter
		}
		if err := end(vm); err != nil {
			return nil, err
		}
		gone := time.AfterFunc(listLag, func() { bed.Unlist(vm) })
		return func() {
			gone.Stop()
			if err := bed.StartRouter(ctx, vm); err != nil {
				bed.Note("%v", err)
			}
		}, nil
	})
}

// FreezeRouter pauses the VM of a router.
func (p *Plan) FreezeRouter(from, to time.Duration, clockStops bool) {
	vm := p.vm()
	name := fmt.Sprintf("VM %s is paused", vm)
	if clockStops {
		name += " and its clock stands still"
	}
	p.span(from, to, name, func(_ context.Context, bed *testbed.Testbed) (func(), error) {
		return bed.FreezeRouter(vm, clockStops)
	})
}

// SplitList hides VMs from the list of some routers, so that routers disagree
// about which VMs there are.
func (p *Plan) SplitList(from, to time.Duration) {
	viewers, hidden := p.halves()
	name := fmt.Sprintf("%d routers don't see %d others in the VM list", len(viewers), len(hidden))
	p.span(from, to, name, func(_ context.Context, bed *testbed.Testbed) (func(), error) {
		for _, viewer := range viewers {
			for _, vm := range hidden {
				bed.UnlistFor(viewer, vm)
			}
		}
		return func() {
			for _, viewer := range viewers {
				for _, vm := range hidden {
					bed.ListFor(viewer, vm, fleet.VMLive)
				}
			}
		}, nil
	})
}

// halves parts the VMs at random.
func (p *Plan) halves() (a, b []fleet.VM) {
	for i, n := range p.Rand.Perm(len(p.Shape.VMs)) {
		vm := p.Shape.VMs[n].Name
		if i%2 == 0 {
			a = append(a, vm)
		} else {
			b = append(b, vm)
		}
	}
	return a, b
}

// CutDataCentres stops all traffic between two data centres.
func (p *Plan) CutDataCentres(from, to time.Duration, mode host.CutMode) {
	n := len(p.Shape.DataCentres)
	i := p.Rand.IntN(n)
	a, b := p.Shape.DataCentres[i], p.Shape.DataCentres[(i+1)%n]
	p.span(from, to, fmt.Sprintf("%s and %s can't reach each other", a, b), func(_ context.Context, bed *testbed.Testbed) (func(), error) {
		return bed.Fabric().Cut(host.BetweenZones(string(a), string(b)), mode), nil
	})
}

// Kinds of connections that can go silent.
const (
	silenceRouters = iota
	silenceTargets
	silenceCallers
	silencePlatform
	silenceKinds
)

// Silence makes open connections of one kind go silent for good.
func (p *Plan) Silence(at time.Duration, kind int) {
	kind %= silenceKinds
	names := []string{"routers", "targets", "callers", "the platform"}
	vm := p.Shape.VMs[p.Rand.IntN(len(p.Shape.VMs))].Name
	name := fmt.Sprintf("open connections between %s and %s go silent", vm, names[kind])
	p.span(at, at+silenceSpan, name, func(_ context.Context, bed *testbed.Testbed) (func(), error) {
		n := bed.Fabric().Silence(p.silenceMatch(kind, string(vm)))
		bed.Note("%d connections are silent", n)
		return nil, nil
	})
}

// silenceSpan is the time in which a silent connection may still cut answers.
const silenceSpan = 5 * time.Second

// silenceMatch chooses the connections of a VM to hosts of one kind.
func (p *Plan) silenceMatch(kind int, vm string) host.Match {
	isVM := make(map[string]bool)
	for _, v := range p.Shape.VMs {
		isVM[string(v.Name)] = true
	}
	isTarget := make(map[string]bool)
	for _, t := range p.Shape.Targets {
		isTarget[string(t.Name)] = true
	}
	return func(from, to *host.Host) bool {
		if from.Name() != vm {
			return false
		}
		switch kind {
		case silenceRouters:
			return isVM[to.Name()]
		case silenceTargets:
			return isTarget[to.Name()]
		case silenceCallers:
			return to.Zone() == site.ZoneClients
		default:
			return to.Zone() == site.ZonePlatform
		}
	}
}
