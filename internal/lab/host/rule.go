package host

import (
	"context"
	"slices"
	"sync"
)

// Match chooses the direction from one host to another.
type Match func(from, to *Host) bool

// Between matches both directions between two hosts.
func Between(a, b string) Match {
	return func(from, to *Host) bool {
		return from.name == a && to.name == b || from.name == b && to.name == a
	}
}

// BetweenZones matches both directions between the hosts of two zones.
func BetweenZones(a, b string) Match {
	return func(from, to *Host) bool {
		return from.zone == a && to.zone == b || from.zone == b && to.zone == a
	}
}

// Of matches both directions between a host and all others.
func Of(name string) Match {
	return func(from, to *Host) bool { return from.name == name || to.name == name }
}

// OneWay matches the direction from a host to another.
func OneWay(a, b string) Match {
	return func(from, to *Host) bool { return from.name == a && to.name == b }
}

// CutMode tells how new connections fail across a cut.
type CutMode int

// Modes of a cut. Bytes on open connections wait until the cut is healed, as
// those of a TCP connection that retransmits.
const (
	// Refuse fails new connections at once.
	Refuse CutMode = iota
	// Lose leaves new connections without an answer.
	Lose
)

type rule struct {
	match  Match
	mode   CutMode
	healed chan struct{}
}

// Cut stops the traffic that match chooses. The returned function heals it.
func (f *Fabric) Cut(match Match, mode CutMode) (heal func()) {
	r := &rule{match: match, mode: mode, healed: make(chan struct{})}
	f.change(func(rules []*rule) []*rule { return append(rules, r) })
	return sync.OnceFunc(func() {
		f.change(func(rules []*rule) []*rule {
			return slices.DeleteFunc(rules, func(other *rule) bool { return other == r })
		})
		close(r.healed)
	})
}

// Silence makes bytes on the open connections that match chooses vanish for
// good, and returns the number of those connections. New ones work.
func (f *Fabric) Silence(match Match) int {
	n := 0
	for _, c := range f.openConns() {
		if match(c.from, c.to) || match(c.to, c.from) {
			c.silent.Store(true)
			n++
		}
	}
	return n
}

func (f *Fabric) change(edit func([]*rule) []*rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := edit(slices.Clone(*f.rules.Load()))
	f.rules.Store(&next)
}

// cut returns the rule that stops traffic from one host to another, or nil.
func (f *Fabric) cut(from, to *Host) *rule {
	for _, r := range *f.rules.Load() {
		if r.match(from, to) {
			return r
		}
	}
	return nil
}

// waitOpen waits until nothing stops traffic from one host to another, or
// until done is closed.
func (f *Fabric) waitOpen(from, to *Host, done <-chan struct{}) bool {
	for {
		r := f.cut(from, to)
		if r == nil {
			return true
		}
		select {
		case <-r.healed:
		case <-done:
			return false
		}
	}
}

// admit decides on a new connection: nil, ErrRefused, or the end of ctx.
func (f *Fabric) admit(ctx context.Context, from, to *Host) error {
	for {
		r := f.cut(from, to)
		if r == nil {
			r = f.cut(to, from)
		}
		if r == nil {
			return to.answers(ctx)
		}
		if r.mode == Refuse {
			return ErrRefused
		}
		select {
		case <-r.healed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
