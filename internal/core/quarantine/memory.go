package quarantine

import (
	"slices"
	"time"
)

const (
	// memoryGeneration is the length of a generation of served parts. A part is
	// remembered for one to two generations.
	memoryGeneration = 5 * time.Minute
	// maxGeneration is the number of parts in one generation, about 1 MB. A generation
	// that is full is followed by the next one early.
	maxGeneration = 32 << 10
)

// memory remembers when parts were last served, in two generations.
type memory struct {
	recent, old map[uint64]time.Time
	startedAt   time.Time
}

func newMemory() memory { return memory{recent: make(map[uint64]time.Time)} }

// add records that a part was served.
func (m *memory) add(now time.Time, part uint64) {
	if _, ok := m.recent[part]; !ok && len(m.recent) >= maxGeneration {
		m.turn(now)
	}
	m.recent[part] = now
}

// expire starts a new generation when it is time.
func (m *memory) expire(now time.Time) {
	if now.Sub(m.startedAt) >= memoryGeneration {
		m.turn(now)
	}
}

func (m *memory) turn(now time.Time) {
	m.old, m.recent, m.startedAt = m.recent, make(map[uint64]time.Time), now
}

// last returns when a part was last served.
func (m *memory) last(part uint64) (time.Time, bool) {
	if at, ok := m.recent[part]; ok {
		return at, true
	}
	at, ok := m.old[part]
	return at, ok
}

// has reports whether a part was served in the last generations.
func (m *memory) has(part uint64) bool {
	_, ok := m.last(part)
	return ok
}

// within reports whether a part was served in the given time before now.
func (m *memory) within(now time.Time, part uint64, d time.Duration) bool {
	at, ok := m.last(part)
	return ok && now.Sub(at) < d
}

// maxBreaks is the number of broken sends that are remembered to tell an outage from a
// part that crashes engines.
const maxBreaks = 32

// outage remembers the last response at this router and the sends that have broken off
// since.
type outage struct {
	servedAt time.Time
	breaks   []brokenSend
}

type brokenSend struct {
	at      time.Time
	request *partSet
}

// broke records a send that broke off.
func (o *outage) broke(now time.Time, parts []uint64) {
	if len(o.breaks) >= maxBreaks {
		o.breaks = slices.Delete(o.breaks, 0, 1)
	}
	o.breaks = append(o.breaks, brokenSend{at: now, request: newPartSet(parts)})
}

// explains reports whether an outage explains the crashes of a part since a given time:
// nothing was served since, and the part is familiar or sends without it broke off too.
// Content that is not familiar is no part of what else broke off.
func (o *outage) explains(part uint64, familiar, content bool, since time.Time) bool {
	if o.servedAt.After(since) {
		return false
	}
	return familiar || !content && slices.ContainsFunc(o.breaks, func(b brokenSend) bool {
		return !b.at.Before(since) && !b.request.has(part)
	})
}

// lasts reports whether an outage has lasted for recentService, and explains the crashes
// of a part.
func (o *outage) lasts(now time.Time, part uint64, familiar, content bool) bool {
	return now.Sub(o.servedAt) > recentService && o.explains(part, familiar, content, o.servedAt)
}
