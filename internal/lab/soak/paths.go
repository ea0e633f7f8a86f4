package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
)

// paths are the ways from one router process to the workers. Its connections come from the
// router's address, and can be cut off while other routers reach the workers.
type paths struct {
	source  netip.Addr
	workers []*worker

	mu sync.Mutex
	// cuts holds what cuts the router off from the workers of a service.
	cuts map[string]pathCut
	// disturbed holds the times in which it was cut off from the workers of a service.
	disturbed map[string]*spans
}

// pathCut is what new and open connections meet: new ones are refused or hang (Silent), open ones
// fall Silent, are reset (Refuse) or live on (Pass).
type pathCut struct{ fresh, open Mode }

// services are the services of the workers.
var services = []string{"llm", "plain"}

func newPaths(source string, workers []*worker) (*paths, error) {
	addr, err := netip.ParseAddr(source)
	if err != nil {
		return nil, fmt.Errorf("address of a router: %w", err)
	}
	p := &paths{source: addr, workers: workers, cuts: make(map[string]pathCut), disturbed: make(map[string]*spans)}
	for _, service := range services {
		p.disturbed[service] = new(spans)
	}
	return p, nil
}

// drawCut draws what a router that is cut off meets.
func drawCut(random *rand.Rand) pathCut {
	return pathCut{fresh: pick(random, []Mode{Refuse, Silent}), open: pick(random, []Mode{Refuse, Silent, Pass})}
}

// String tells what connections meet.
func (c pathCut) String() string {
	return fmt.Sprintf("new connections: %s, open ones: %s", c.fresh, c.open)
}

// cutOff cuts the router off from the workers of some services.
func (p *paths) cutOff(cut pathCut, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range names {
		p.cuts[service] = cut
		p.disturbed[service].begin()
	}
	for _, w := range p.workers {
		if slices.Contains(names, w.service) {
			w.link.lose(p.source, cut.open == Silent)
			if cut.open == Refuse {
				w.link.resetFrom(p.source)
			}
		}
	}
}

// heal ends what cutOff began.
func (p *paths) heal(names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if !slices.Contains(names, w.service) {
			continue
		}
		w.link.lose(p.source, false)
		if p.cuts[w.service].open == Silent {
			w.link.resetFrom(p.source)
		}
	}
	for _, service := range names {
		delete(p.cuts, service)
		p.disturbed[service].end()
	}
}

// connect decides on a connection that the router opens.
func (p *paths) connect(to netip.AddrPort, socket int) syscall.Errno {
	i := slices.IndexFunc(p.workers, func(w *worker) bool { return w.link.listener.Addr().String() == to.String() })
	if i < 0 {
		return 0
	}
	if err := bindTo(socket, p.source); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	p.mu.Lock()
	cut, isCut := p.cuts[p.workers[i].service]
	p.mu.Unlock()
	switch {
	case !isCut:
	case cut.fresh == Refuse:
		return syscall.ECONNREFUSED
	default:
		if err := deafen(socket); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return 0
}

// routerHistory is what befell one router.
type routerHistory struct {
	index int
	// address is the one from which it connects to workers.
	address string
	// stopped holds the times in which it was paused or killed, link those in which the link to it
	// was disturbed, and cut those in which it was cut off from the workers of a service.
	stopped, link *spans
	cut           map[string]*spans
}

// history returns what befell the router so far.
func (r *router) history() routerHistory {
	return routerHistory{index: r.index, address: r.paths.source.String(), stopped: &r.disturbed, link: &r.peer.disturbed, cut: r.paths.disturbed}
}

// disturbances returns the times in which the router was paused, killed or cut off.
func (h *routerHistory) disturbances() *spans {
	out := new(spans)
	all := []*spans{h.stopped}
	for _, service := range services {
		all = append(all, h.cut[service])
	}
	for _, s := range all {
		s.mu.Lock()
		out.list = append(out.list, s.list...)
		s.mu.Unlock()
	}
	return out
}

// cutRouters cuts some routers off, at most half of them, and returns them with a line for the
// report and what heals it.
func cutRouters(b *bed, random *rand.Rand, names ...string) (cut []*router, what string, heal func()) {
	with := drawCut(random)
	n := 1 + random.IntN(max(len(b.routers)/2, 1))
	var list []string
	for _, i := range random.Perm(len(b.routers))[:n] {
		r := b.routers[i]
		cut, list = append(cut, r), append(list, fmt.Sprint(r.index))
		r.paths.cutOff(with, names...)
	}
	return cut, fmt.Sprintf("routers %s of %s: %s", strings.Join(list, ","), strings.Join(names, ","), with), func() {
		for _, r := range cut {
			r.paths.heal(names...)
		}
	}
}

// cutOffRouters cuts some routers off from the workers of one service or all.
func cutOffRouters(b *bed, random *rand.Rand) (string, func()) {
	names := pick(random, [][]string{services, services, services[:1], services[1:]})
	_, what, heal := cutRouters(b, random, names...)
	return what, heal
}
