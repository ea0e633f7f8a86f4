// Package reach tells failures of a router's own path to the targets of a service from
// failures of the targets.
//
// A router that is partitioned from targets sees what they would show if they were down:
// connections that time out, are refused, or go silent. What tells the two apart is that
// one target fails alone, and a path fails to most targets at once. Only connections count,
// since a target that is full or slow accepts them all the same: a request that is silent
// or reset makes the router open a connection to its target, and one that can't be opened
// makes it try other targets of the service. Load pattern: routers, also all of a data
// centre, that lose their paths to all targets or most for seconds, while other routers
// reach them.
package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// evidenceTTL is how long the last connection to a target counts.
	evidenceTTL = 5 * time.Second
	// minLost is the number of targets that must be unreachable, and minReached the number
	// in a row that must be reachable again, for the path to count as failed or restored.
	// Of a service with fewer targets it is all.
	minLost    = 2
	minReached = 3
	// othersToProbe is the number of other targets to which connections are opened once one
	// can't be reached.
	othersToProbe = 3
	// probePeriod is the least time between two probes of one target, and between two
	// probes of a service whose path has failed.
	probePeriod = 500 * time.Millisecond
	cutPeriod   = 200 * time.Millisecond
)

// Tracker holds what one router knows of its paths. It is not safe for concurrent use.
type Tracker struct {
	rng      *rand.Rand
	services map[fleet.Service]*path
}

// path is the path to the targets of one service.
type path struct {
	targets map[fleet.Target]*connection
	// cut is true while the path counts as failed. inRow holds the targets that were
	// reached since one was not, probedAt is the time of the last probe.
	cut      bool
	inRow    []fleet.Target
	probedAt time.Time
}

// connection is the last outcome of opening connections to a target.
type connection struct {
	lostAt    time.Time
	reachedAt time.Time
	probedAt  time.Time
}

// New returns a tracker that takes all paths for sound.
func New(rng *rand.Rand) *Tracker {
	return &Tracker{rng: rng, services: make(map[fleet.Service]*path)}
}

// path returns the path to a service and creates it on first use.
func (t *Tracker) path(name fleet.Service) *path {
	p, ok := t.services[name]
	if !ok {
		p = &path{targets: make(map[fleet.Target]*connection)}
		t.services[name] = p
	}
	return p
}

// connection returns the state of a target and creates it on first use.
func (p *path) connection(id fleet.Target) *connection {
	c, ok := p.targets[id]
	if !ok {
		c = new(connection)
		p.targets[id] = c
	}
	return c
}

// lost reports whether the last connection could not be opened.
func (c *connection) lost(now time.Time) bool {
	return c.lostAt.After(c.reachedAt) && now.Sub(c.lostAt) < evidenceTTL
}

// reached reports whether the target was reached lately, and not lost since.
func (c *connection) reached(now time.Time) bool {
	return !c.reachedAt.Before(c.lostAt) && now.Sub(c.reachedAt) < evidenceTTL
}

// Doubted records that a request to a target was silent, or that its connection broke
// before a response. It returns the target if a connection to it is to be opened, which
// is of no use while others show that it can be reached.
func (t *Tracker) Doubted(now time.Time, service fleet.Service, id fleet.Target) []fleet.Target {
	p := t.path(service)
	if now.Sub(p.connection(id).reachedAt) < probePeriod {
		return nil
	}
	return p.due(now, []fleet.Target{id}, 1)
}

// Broke records that the connection to a target broke after it had responded. It returns the
// target if a connection to it is to be opened: what was reached before shows nothing any more.
func (t *Tracker) Broke(now time.Time, service fleet.Service, id fleet.Target) []fleet.Target {
	return t.path(service).due(now, []fleet.Target{id}, 1)
}

// due returns up to n targets that were not probed lately, and notes that they are now.
func (p *path) due(now time.Time, ids []fleet.Target, n int) []fleet.Target {
	var out []fleet.Target
	for _, id := range ids {
		c := p.connection(id)
		if len(out) == n || now.Sub(c.probedAt) < probePeriod {
			continue
		}
		c.probedAt = now
		out = append(out, id)
	}
	return out
}

// Lost records that no connection to a target could be opened, given all targets of its
// service. It returns the other targets to which connections are to be opened, and whether
// the path counts as failed from now on.
func (t *Tracker) Lost(now time.Time, service fleet.Service, id fleet.Target, all []fleet.Target) (probe []fleet.Target, cut bool) {
	p := t.path(service)
	p.forget(all)
	p.connection(id).lostAt = now
	p.inRow = nil
	if p.cut {
		return nil, false
	}
	lost, reached := p.count(now)
	if lost >= min(minLost, len(all)) && lost > reached {
		p.cut, p.probedAt = true, now
		return nil, true
	}
	return p.due(now, t.shuffledOthers(id, all), othersToProbe), false
}

// shuffledOthers returns all targets but one in random order.
func (t *Tracker) shuffledOthers(id fleet.Target, all []fleet.Target) []fleet.Target {
	out := slices.DeleteFunc(slices.Clone(all), func(other fleet.Target) bool { return other == id })
	t.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// forget drops the targets that are not listed any more.
func (p *path) forget(all []fleet.Target) {
	for id := range p.targets {
		if !slices.Contains(all, id) {
			delete(p.targets, id)
		}
	}
}

// count returns the numbers of targets that were lost and reached last.
func (p *path) count(now time.Time) (lost, reached int) {
	for _, c := range p.targets {
		switch {
		case c.lost(now):
			lost++
		case c.reached(now):
			reached++
		}
	}
	return lost, reached
}

// Reached records that a connection to a target was opened, or that it responded on one,
// and reports whether that restores the path.
func (t *Tracker) Reached(now time.Time, service fleet.Service, id fleet.Target) (restored bool) {
	p := t.path(service)
	p.connection(id).reachedAt = now
	if !p.cut || slices.Contains(p.inRow, id) {
		return false
	}
	p.inRow = append(p.inRow, id)
	if len(p.inRow) < min(minReached, len(p.targets)) {
		return false
	}
	// What was lost says nothing of the targets.
	p.cut, p.inRow = false, nil
	for _, c := range p.targets {
		c.lostAt = time.Time{}
	}
	return true
}

// IsCut reports whether the path to a service counts as failed.
func (t *Tracker) IsCut(service fleet.Service) bool {
	p, ok := t.services[service]
	return ok && p.cut
}

// CutServices returns the number of services whose path counts as failed.
func (t *Tracker) CutServices() int {
	n := 0
	for _, p := range t.services {
		if p.cut {
			n++
		}
	}
	return n
}

// Reachable reports whether requests to a target may be sent straight to it: the path to
// its service is sound, or it was reached lately all the same.
func (t *Tracker) Reachable(now time.Time, service fleet.Service, id fleet.Target) bool {
	p, ok := t.services[service]
	if !ok || !p.cut {
		return true
	}
	c, ok := p.targets[id]
	return ok && c.reached(now)
}

// ReachedSince reports whether another target of a service was reached after a time, so
// that a target which was not failed by itself.
func (t *Tracker) ReachedSince(since time.Time, service fleet.Service, id fleet.Target) bool {
	for other, c := range t.path(service).targets {
		if other != id && c.reachedAt.After(since) {
			return true
		}
	}
	return false
}

// Probes returns the target of each service with a failed path to which a connection is
// to be opened now: the one for which none was tried for longest.
func (t *Tracker) Probes(now time.Time) map[fleet.Service]fleet.Target {
	out := make(map[fleet.Service]fleet.Target)
	for name, p := range t.services {
		if !p.cut || now.Sub(p.probedAt) < cutPeriod {
			continue
		}
		var oldest fleet.Target
		for id, c := range p.targets {
			if oldest == "" || c.probedAt.Before(p.targets[oldest].probedAt) {
				oldest = id
			}
		}
		if oldest == "" {
			p.cut = false // no target is left
			continue
		}
		p.probedAt, p.targets[oldest].probedAt = now, now
		out[name] = oldest
	}
	return out
}
