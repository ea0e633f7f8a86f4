// Package origin decides at which software version of a service a stream may go on.
//
// It answers the load of a release: targets of several versions serve side by side while
// targets, routers and callers' connections fail. What two versions write does not fit
// together, so that a stream that broke off may go on only at the version that began it.
// Targets do not check that, and the router that a caller returns to may know nothing of
// the stream, as may all routers after a loss of all of them.
//
// A service is in one of these states:
//
//   - uniform: all its targets of the last HistoryTime had one version. Nothing need be
//     known of a stream: whoever began it, it was that version. A router tells what it
//     begins to one other, a holder, as it may be lost shortly before the service gets mixed.
//   - mixed: there were more. Routers record the origins of the streams that they begin,
//     with those that they have begun before, or hold for another.
//   - A uniform service gets mixed with the first target, or the first origin that is
//     heard of, of another version. A mixed one gets uniform once HistoryTime has passed
//     since the last target of another version went.
//
// The version of a uniform service that gets mixed is its base. All streams that begin at
// another version are recorded, as whoever sends one there knows that the service is mixed.
// So a stream that was not recorded began at the base, whoever else is lost. This holds for
// BaseTime, in which the callers of routers that were lost come back.
//
// A router that has just started cannot tell uniform from mixed until HistoryTime has
// passed, or it has read what was recorded: origins, and the versions that there were. A
// version may have gone while no router ran.
package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// HistoryTime is the time from the first event of a stream in which it may be taken up.
	// Requests last no longer.
	HistoryTime = 60 * time.Second
	// BaseTime is the time after a service got mixed in which a stream that was not recorded
	// is taken for one of the base.
	BaseTime = 20 * time.Second
	// soleTime is the time for which a router must have known a version as the only one, so
	// that it is the base. Targets of several versions do not all get known at once to a
	// router that starts.
	soleTime = 2 * time.Second
	// maxStreams is the number of streams in one generation. One that is full is followed
	// by the next one early.
	maxStreams = 64 << 10
	// maxUntold is the number of streams that wait to be told to a holder. The oldest make
	// room.
	maxUntold = 4096
)

// Stream identifies a stream by the hash of the ID of the attempt that began it.
type Stream uint64

// Origin is where a stream began.
type Origin struct {
	Service fleet.Service
	Version string
}

// Record is the origin of one stream.
type Record struct {
	Stream Stream
	Origin Origin
}

// Base is the version that a service had alone until it got mixed.
type Base struct {
	Origin  Origin
	MixedAt time.Time
}

// Verdict tells what is known of the origin of a stream.
type Verdict uint8

// Verdicts.
const (
	// Unaware: the router does not know the service for long enough.
	Unaware Verdict = iota
	// Unknown: the service is mixed, and the origin was not recorded.
	Unknown
	// Uniform: the service has only one version.
	Uniform
	// Known: the origin was recorded.
	Known
	// Inferred: the service is mixed, and the stream began at its base unless its origin was
	// recorded where this router has not looked yet.
	Inferred
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"unaware", "unknown", "uniform", "known", "inferred"}[v]
}

// Tracker knows the versions of services and the origins of streams. It is not safe for
// concurrent use.
type Tracker struct {
	startedAt time.Time
	// historyRead is true once the recorded origins were read.
	historyRead bool
	targets     map[fleet.Target]Origin
	// seen holds when each version was last seen at a target that is gone, or in a record.
	seen map[Origin]time.Time
	// mixed holds the services that are known to be mixed.
	mixed map[fleet.Service]bool
	// sole are the versions of uniform services, and bases those of mixed ones.
	sole  map[fleet.Service]soleVersion
	bases map[fleet.Service]Base
	// recent and old are two generations of streams.
	recent, old map[Stream]entry
	turnedAt    time.Time
	// unsent are the streams that began here and are still to be recorded.
	unsent []Stream
	// untold are the streams of uniform services that began here and are still to be told
	// to a holder.
	untold []Stream
}

// soleVersion is the only version of a service, and the time since which this router knows it
// as that. The time is zero if another router has vouched for it.
type soleVersion struct {
	origin Origin
	since  time.Time
}

// entry is what is known of a stream.
type entry struct {
	origin Origin
	// own is true for a stream that began at this router, held for one that another router
	// has told before it was recorded.
	own, held bool
}

// New returns a tracker of a router that starts now.
func New(now time.Time) *Tracker {
	return &Tracker{
		startedAt: now, turnedAt: now, targets: make(map[fleet.Target]Origin), seen: make(map[Origin]time.Time),
		mixed: make(map[fleet.Service]bool), sole: make(map[fleet.Service]soleVersion), bases: make(map[fleet.Service]Base), recent: make(map[Stream]entry),
	}
}

// TargetChanged records the service and version of a target. One without a version says
// nothing.
func (t *Tracker) TargetChanged(now time.Time, id fleet.Target, o Origin) {
	t.TargetGone(now, id)
	if o.Version != "" {
		t.targets[id] = o
		t.update(now, o.Service)
	}
}

// TargetGone records that a target is gone.
func (t *Tracker) TargetGone(now time.Time, id fleet.Target) {
	if o, ok := t.targets[id]; ok {
		t.seen[o] = now
		delete(t.targets, id)
	}
}

// versions returns the versions of a service in the last HistoryTime.
func (t *Tracker) versions(now time.Time, service fleet.Service) map[string]bool {
	out := make(map[string]bool)
	for _, o := range t.targets {
		if o.Service == service {
			out[o.Version] = true
		}
	}
	for o, at := range t.seen {
		if o.Service == service && now.Sub(at) < HistoryTime {
			out[o.Version] = true
		}
	}
	return out
}

// update moves a service between uniform and mixed. Once it is mixed, all streams that
// began here or are held are to be recorded.
func (t *Tracker) update(now time.Time, service fleet.Service) {
	versions := t.versions(now, service)
	mixed := len(versions) > 1
	switch {
	case mixed && !t.mixed[service]:
		t.requeue(func(e entry) bool { return (e.own || e.held) && e.origin.Service == service })
		if sole, ok := t.sole[service]; ok && t.isAware(now) && now.Sub(sole.since) >= soleTime {
			t.bases[service] = Base{Origin: sole.origin, MixedAt: now}
		}
		delete(t.sole, service)
	case len(versions) == 1:
		delete(t.bases, service)
		for version := range versions {
			if o := (Origin{Service: service, Version: version}); t.sole[service].origin != o {
				t.sole[service] = soleVersion{origin: o, since: now}
			}
		}
	}
	t.mixed[service] = mixed
}

// isAware reports whether this router knows all versions of the last HistoryTime.
func (t *Tracker) isAware(now time.Time) bool {
	return t.historyRead || now.Sub(t.startedAt) >= HistoryTime
}

// base returns the base of a mixed service for as long as it matters.
func (t *Tracker) base(now time.Time, service fleet.Service) (Origin, bool) {
	b, ok := t.bases[service]
	return b.Origin, ok && now.Sub(b.MixedAt) < BaseTime
}

// Bases returns the bases of services, in order.
func (t *Tracker) Bases(now time.Time) []Base {
	var out []Base
	for service, b := range t.bases {
		if _, ok := t.base(now, service); ok {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b Base) int { return cmp.Compare(a.Origin.Service, b.Origin.Service) })
	return out
}

// ForgetBases makes streams that were not recorded unknown, as what was recorded may be lost.
func (t *Tracker) ForgetBases() { clear(t.bases) }

// MustRecord reports whether a stream would be taken for one of another version if it were
// not recorded.
func (t *Tracker) MustRecord(now time.Time, o Origin) bool {
	base, ok := t.base(now, o.Service)
	return ok && base != o || !t.isAware(now)
}

// requeue makes streams that match be recorded, again or for the first time.
func (t *Tracker) requeue(match func(entry) bool) {
	for _, generation := range []map[Stream]entry{t.old, t.recent} {
		for id, e := range generation {
			if match(e) {
				t.unsent = append(t.unsent, id)
			}
		}
	}
}

// Requeue makes all streams of mixed services that began here be recorded again, as what
// was recorded may be lost.
func (t *Tracker) Requeue() {
	t.unsent = nil
	t.requeue(func(e entry) bool { return e.own && t.mixed[e.origin.Service] })
}

// Began takes a stream that began at a target, and reports whether it is to be recorded. One
// at a target without a version is not. A router that is not aware of all versions records
// what it begins, as others may know the service as mixed.
func (t *Tracker) Began(now time.Time, id Stream, o Origin) bool {
	if o.Version == "" {
		return false
	}
	t.add(now, id, entry{origin: o, own: true})
	record := t.mixed[o.Service] || !t.isAware(now)
	if record {
		t.unsent = append(t.unsent, id)
	} else {
		t.untold = append(t.untold, id)
		t.boundUntold()
	}
	return record
}

// boundUntold drops the oldest streams that wait for a holder.
func (t *Tracker) boundUntold() {
	t.untold = slices.Delete(t.untold, 0, max(0, len(t.untold)-maxUntold))
}

// TakeUntold returns the origins that are to be told to a holder. Those of mixed services
// are recorded instead.
func (t *Tracker) TakeUntold() []Record {
	out := make([]Record, 0, len(t.untold))
	for _, id := range t.untold {
		if e, ok := t.lookup(id); ok && !t.mixed[e.origin.Service] {
			out = append(out, Record{Stream: id, Origin: e.origin})
		}
	}
	t.untold = nil
	return out
}

// Untold takes back origins that no holder took.
func (t *Tracker) Untold(records []Record) {
	for _, r := range records {
		t.untold = append(t.untold, r.Stream)
	}
	t.boundUntold()
}

// Hold takes origins for a router that may be lost, and reports whether some are to be
// recorded at once, as their service is mixed here.
func (t *Tracker) Hold(now time.Time, records []Record) bool {
	before := len(t.unsent)
	services := make(map[fleet.Service]bool)
	for _, r := range records {
		if _, ok := t.lookup(r.Stream); ok {
			continue
		}
		t.add(now, r.Stream, entry{origin: r.Origin, held: true})
		t.contradict(r.Origin)
		if t.mixed[r.Origin.Service] {
			t.unsent = append(t.unsent, r.Stream)
		}
		t.seen[r.Origin] = now
		services[r.Origin.Service] = true
	}
	for service := range services {
		t.update(now, service)
	}
	return len(t.unsent) > before
}

// contradict drops another version that its service was taken to have alone: a router has begun
// streams at this one without recording them.
func (t *Tracker) contradict(o Origin) {
	if sole, ok := t.sole[o.Service]; ok && sole.origin != o {
		delete(t.sole, o.Service)
	}
	if b, ok := t.bases[o.Service]; ok && b.Origin != o {
		delete(t.bases, o.Service)
	}
}

// add remembers a stream.
func (t *Tracker) add(now time.Time, id Stream, e entry) {
	if len(t.recent) >= maxStreams {
		t.turn(now)
	}
	t.recent[id] = e
}

// turn begins a new generation.
func (t *Tracker) turn(now time.Time) {
	t.old, t.recent, t.turnedAt = t.recent, make(map[Stream]entry), now
}

// Learn takes origins that were recorded at a given time.
func (t *Tracker) Learn(now, at time.Time, records []Record) {
	services := make(map[fleet.Service]bool)
	for _, r := range records {
		if _, ok := t.lookup(r.Stream); !ok {
			t.add(now, r.Stream, entry{origin: r.Origin})
		}
		if at.After(t.seen[r.Origin]) {
			t.seen[r.Origin] = at
		}
		services[r.Origin.Service] = true
	}
	for service := range services {
		t.update(now, service)
	}
}

// TakeUnsent returns the origins that are to be recorded.
func (t *Tracker) TakeUnsent() []Record {
	out := make([]Record, 0, len(t.unsent))
	for _, id := range t.unsent {
		if e, ok := t.lookup(id); ok {
			out = append(out, Record{Stream: id, Origin: e.origin})
		}
	}
	t.unsent = nil
	return out
}

// Unsent takes back origins that could not be recorded.
func (t *Tracker) Unsent(records []Record) {
	for _, r := range records {
		t.unsent = append(t.unsent, r.Stream)
	}
}

// Recorded returns the origins of all streams of mixed services, whoever began them.
func (t *Tracker) Recorded() []Record {
	var out []Record
	for _, generation := range []map[Stream]entry{t.old, t.recent} {
		for id, e := range generation {
			if t.mixed[e.origin.Service] {
				out = append(out, Record{Stream: id, Origin: e.origin})
			}
		}
	}
	return out
}

// Versions returns the versions of all services in the last HistoryTime, in order.
func (t *Tracker) Versions(now time.Time) []Origin {
	all := make(map[Origin]bool)
	for _, o := range t.targets {
		all[o] = true
	}
	for o, at := range t.seen {
		if now.Sub(at) < HistoryTime {
			all[o] = true
		}
	}
	return slices.SortedFunc(maps.Keys(all), func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
}

// Heard takes the versions that another router has recorded. Targets of one that is not
// known may have been there until now.
func (t *Tracker) Heard(now time.Time, versions []Origin) {
	for _, o := range versions {
		if _, ok := t.seen[o]; !ok {
			t.seen[o] = now
			t.update(now, o.Service)
		}
	}
}

// HeardBases takes the bases that another router has recorded beside versions. One that is the
// only version of its service there was its only one when that router recorded it. Bases
// that were recorded in a log which has lost records since must not be taken.
func (t *Tracker) HeardBases(now time.Time, versions []Origin, bases []Base) {
	count := make(map[fleet.Service]int)
	for _, o := range versions {
		count[o.Service]++
	}
	for _, o := range versions {
		if count[o.Service] > 1 {
			continue
		}
		if sole, ok := t.sole[o.Service]; ok && sole.origin == o {
			t.sole[o.Service] = soleVersion{origin: o}
		} else if _, ok := t.bases[o.Service]; t.mixed[o.Service] && !ok {
			t.bases[o.Service] = Base{Origin: o, MixedAt: now}
		}
	}
	for _, b := range bases {
		if b.MixedAt.After(now) {
			b.MixedAt = now // another VM's clock is ahead
		}
		if t.mixed[b.Origin.Service] {
			t.bases[b.Origin.Service] = b
		}
	}
}

// HistoryRead records that all origins and versions that were recorded are known.
func (t *Tracker) HistoryRead() { t.historyRead = true }

// lookup returns what is known of a stream.
func (t *Tracker) lookup(id Stream) (entry, bool) {
	if e, ok := t.recent[id]; ok {
		return e, true
	}
	e, ok := t.old[id]
	return e, ok
}

// Decide returns the origin of a stream that a caller takes up at a service, and how it is
// known. The origin holds only with Known, Inferred and Uniform. With Uniform it has no version if
// no target of the service has one.
func (t *Tracker) Decide(now time.Time, id Stream, service fleet.Service) (Origin, Verdict) {
	if e, ok := t.lookup(id); ok {
		return e.origin, Known
	}
	versions := t.versions(now, service)
	switch {
	case len(versions) > 1:
		if base, ok := t.base(now, service); ok {
			return base, Inferred
		}
		return Origin{}, Unknown
	case !t.isAware(now):
		return Origin{}, Unaware
	}
	out := Origin{Service: service}
	for version := range versions {
		out.Version = version
	}
	return out, Uniform
}

// Expire drops what no longer matters.
func (t *Tracker) Expire(now time.Time) {
	if now.Sub(t.turnedAt) >= HistoryTime {
		t.turn(now)
	}
	for o, at := range t.seen {
		if now.Sub(at) >= HistoryTime {
			delete(t.seen, o)
			t.update(now, o.Service)
		}
	}
}
