// Package quarantine finds the requests that crash targets, and keeps them from being
// sent.
//
// It answers a load pattern that failing targets alone do not explain: the query of
// death. A request makes each target crash that runs it, and comes again; or one part of
// a prompt makes each engine crash that begins to write an answer on it, whatever else
// the request holds. Judged by its failures, the target is at fault; it is left out, and
// the next such request crashes the next one, together with all that the target ran.
// Each router sees few of these requests, and sound requests share their account, route
// and other parts. What the crashes have in common is only the request or the part, and
// only over all routers.
//
// What is said of parts below holds for the content of a request too, which is all that
// it holds but its ID. Content is more specific: a request is known by it wherever it
// comes again, and requests that differ say nothing of it. So is its resource, which is its
// path, account and body, where a caller tells its retries apart by the rest.
//
// A part goes through these states:
//
//   - unknown: no crash counts against it. A part that was served in the last minutes
//     is familiar.
//   - suspected: sends with it were broken off by a target. For a part of a prompt only
//     those before the first event of their response count. A crash counts once for each
//     process, and not if the part was served shortly before: connections also break for
//     other reasons.
//   - quarantined: minCrashes processes crashed, one more for a familiar part, and it
//     was not served in between. Requests with it are refused. Of the parts of a request
//     only one is quarantined, since the others may only have been near it.
//   - While a router serves nothing of a service and requests without the part break off
//     as well, the targets or its path to them fail: nothing is quarantined, and nothing
//     reported. A familiar part is only quarantined by a router that serves requests
//     without it.
//   - A response to a request with the part clears it in any state. Single requests, as
//     in the half-open state of a circuit breaker, probe a quarantined part now and
//     then. The quarantine also ends when no request with the part has come for long.
//
// Routers exchange their evidence as Notices. They may be delayed, lost, repeated and
// out of order: a lost crash only delays the quarantine, which is announced again while
// requests with the part come.
package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// minCrashes is the number of engine processes from which a part is quarantined.
	minCrashes = 3
	// isolateCrashes is the number from which a request with the part is not repeated.
	isolateCrashes = 2
	// crashesAfterOutage is the number that is needed after an outage in which the part
	// would have been quarantined.
	crashesAfterOutage = 2
	// sameEvent is the time in which crashes of different engines count once against a
	// part of a prompt: connections that break together point to the network or to a VM.
	sameEvent = 100 * time.Millisecond
	// maxCrashAge bounds the age of a crash that another router reports.
	maxCrashAge = 5 * time.Second
	// recentService is the time after a response in which crashes do not count against
	// the parts of its request.
	recentService = 2 * time.Second
	// suspectTTL is the time after the last crash for which a part is suspected, and
	// quarantineTTL the time after the last request for which one is quarantined.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = 10 * time.Minute
	// minProbeWait is the time until the first probe of a part, and familiarProbeWait
	// that of a familiar one, which many sound requests may share. It doubles with each
	// probe, up to maxProbeWait.
	minProbeWait      = 10 * time.Minute
	familiarProbeWait = time.Minute
	maxProbeWait      = 4 * time.Hour
	// announcePeriod is the interval at which a quarantine is announced again while
	// requests with the part come: routers that could not be reached must know of it soon
	// after they can.
	announcePeriod = time.Second
	// expirePeriod is the interval of checks for what has expired.
	expirePeriod = time.Second
	// maxParts is the number of parts of one request that a crash counts against, more than
	// the header of a request has room for. Any of them may be the one to blame.
	maxParts = 8192
	// maxRecords bounds the parts that are suspected or quarantined. Several requests of
	// maxParts must fit, as the part to blame is found among those of three. recordsDropped
	// is the number that makes room at a time.
	maxRecords     = 4 * maxParts
	recordsDropped = maxRecords / 4
	// maxEngines bounds the engine processes that are kept for each part, and maxNotices the
	// notices of one kind between two digests.
	maxEngines = 8
	maxNotices = 64
	// maxAccused is the number of processes from which those that no record names are dropped.
	maxAccused = 1024
	// maxNoticeParts is the number of parts in the crashes of one digest, 128 KiB.
	maxNoticeParts = 16 << 10
)

// State is the state of a part.
type State uint8

// States of a part. A part in none of the others is Cleared.
const (
	Cleared State = iota
	Suspected
	Quarantined
)

// Change is a part that has reached a state. Suspected is reported from isolateCrashes
// on, since most parts are near some crash at some time.
type Change struct {
	Part  uint64
	State State
	// Released is true for a part that was in quarantine before.
	Released bool
	// Crashes is the number of engine processes that count against the part.
	Crashes int
}

// Tracker keeps the evidence about parts. It is not safe for concurrent use.
type Tracker struct {
	records map[uint64]*record
	served  memory
	outages map[fleet.Service]*outage
	notices Notices
	// down holds when processes were found to be down.
	down map[processKey]time.Time
	// accused holds the processes whose crashes count against a part, or may do so.
	accused map[processKey]bool
	// quarantined is the number of records in quarantine, and held that of those that may
	// be due to an outage.
	quarantined int
	held        int
	expiredAt   time.Time
}

// record is what is known about a part that is suspected or quarantined.
type record struct {
	crashes []noted
	// together are crashes that count as one with another, unless their engine is found to
	// be down.
	together []noted
	// familiar is true if the part was served before its first crash, here or, as told
	// by a notice, at another router. toldFamiliar is true once this router has told so.
	familiar     bool
	toldFamiliar bool
	// content is true if the record is of the content or the resource of requests.
	content bool
	// held is the outage for which the part was not quarantined, nil if there is none.
	held        *outage
	quarantined bool
	// changedAt is the time of the last crash, or in quarantine of the last request.
	changedAt   time.Time
	announcedAt time.Time
	probeAt     time.Time
	probeWait   time.Duration
}

// noted is a crash that counts against a part.
type noted struct {
	at     time.Time
	engine Engine
	// request holds all parts of the request.
	request *partSet
}

// New returns a tracker without evidence.
func New() *Tracker {
	return &Tracker{
		records: make(map[uint64]*record), served: newMemory(), outages: make(map[fleet.Service]*outage),
		down: make(map[processKey]time.Time), accused: make(map[processKey]bool),
	}
}

// outage returns what tells an outage of a service from a part that crashes its targets.
func (t *Tracker) outage(service fleet.Service) *outage {
	o, ok := t.outages[service]
	if !ok {
		o = new(outage)
		t.outages[service] = o
	}
	return o
}

// Count returns the number of parts in quarantine.
func (t *Tracker) Count() int { return t.quarantined }

// TakeNotices returns the notices for the other routers since the last call. Crashes for which
// a digest has no room wait for the next one.
func (t *Tracker) TakeNotices() Notices {
	n := t.notices
	t.notices = Notices{}
	n.Crashes, t.notices.Crashes = TakeCrashes(n.Crashes)
	return n
}

// Snapshot returns the notices for a router that has just started. Suspicions are not
// among them: the crashes that it sees are reported to the others, and count there.
func (t *Tracker) Snapshot() Notices { return Notices{Quarantined: t.Parts()} }

// Parts returns the parts in quarantine.
func (t *Tracker) Parts() []uint64 {
	if t.quarantined == 0 {
		return nil
	}
	var out []uint64
	for part, r := range t.records {
		if r.quarantined {
			out = append(out, part)
		}
	}
	return out
}

// Crashed records a crash that this router has seen.
func (t *Tracker) Crashed(now time.Time, c Crash) []Change {
	c.At = now
	outage := t.outage(c.Engine.Service)
	outage.broke(now, c.hashes())
	c = c.without(func(hash uint64) bool { return t.served.within(now, hash, recentService) })
	if slices.ContainsFunc(c.hashes(), t.inQuarantine) {
		return nil // explained by that part
	}
	reported := c.without(func(hash uint64) bool {
		return outage.lasts(now, hash, t.served.has(hash), c.isContent(hash))
	})
	if len(reported.hashes()) > 0 && len(t.notices.Crashes) < maxNotices {
		t.notices.Crashes = append(t.notices.Crashes, reported)
	}
	return t.crashed(now, c)
}

// CrashedElsewhere records a crash that another router has seen. It reports whether the
// crash is news, so that a hub passes it on. If the other router lacks what is known
// here, a notice tells it.
func (t *Tracker) CrashedElsewhere(now time.Time, c Crash) (changes []Change, news bool) {
	if age := now.Sub(c.At); age < 0 || age > maxCrashAge {
		c.At = now
	}
	for _, hash := range c.hashes() {
		if r := t.records[hash]; r != nil && r.quarantined {
			r.changedAt = now
			t.announce(now, hash, r)
			return nil, false
		}
	}
	c = c.without(func(hash uint64) bool {
		served := t.served.within(now, hash, recentService)
		if served {
			tell(&t.notices.Cleared, hash)
		}
		return served
	})
	hashes := c.hashes()
	before := t.countCrashes(hashes)
	changes = t.crashed(now, c)
	for _, hash := range hashes {
		if r := t.records[hash]; r != nil && r.familiar && !r.toldFamiliar && t.served.has(hash) {
			r.toldFamiliar = true
			tell(&t.notices.Familiar, hash)
		}
	}
	return changes, len(changes) > 0 || t.countCrashes(hashes) > before
}

// tell adds a part to a list of notices that is not full.
func tell(list *[]uint64, part uint64) {
	if len(*list) < maxNotices && !slices.Contains(*list, part) {
		*list = append(*list, part)
	}
}

// countCrashes returns the number of crashes that count against any of the parts.
func (t *Tracker) countCrashes(parts []uint64) int {
	n := 0
	for _, part := range parts {
		if r := t.records[part]; r != nil {
			n += len(r.crashes)
		}
	}
	return n
}

func (t *Tracker) inQuarantine(part uint64) bool {
	r := t.records[part]
	return r != nil && r.quarantined
}

// crashed notes a crash against the parts and the content of its request, and quarantines
// the one to blame.
func (t *Tracker) crashed(now time.Time, c Crash) []Change {
	var changes []Change
	hashes := c.hashes()
	if len(hashes) == 0 {
		return nil
	}
	request, down := newPartSet(hashes), t.isDown(now, c.Engine)
	t.accused[c.Engine.key()] = true
	for _, hash := range hashes {
		r := t.record(now, hash)
		r.content = r.content || c.isContent(hash)
		if r.note(&c, request, down) && len(r.crashes) == isolateCrashes {
			changes = append(changes, Change{Part: hash, State: Suspected, Crashes: len(r.crashes)})
		}
	}
	return append(changes, t.judge(now, hashes, c.Engine.Service)...)
}

// judge quarantines the one of some parts and contents that is to blame, if there is one.
func (t *Tracker) judge(now time.Time, hashes []uint64, service fleet.Service) []Change {
	var changes []Change
	part, ok := t.blame(hashes)
	if !ok {
		return changes
	}
	r := t.records[part]
	if outage := t.outage(service); outage.explains(part, r.familiar, r.content, r.crashes[0].at) {
		t.hold(r, outage)
		return changes
	}
	t.quarantine(now, r)
	t.announce(now, part, r)
	changes = append(changes, Change{Part: part, State: Quarantined, Crashes: len(r.crashes)})
	return append(changes, t.explain(part, r)...)
}

// hold records the outage for which a part is not quarantined, or nil.
func (t *Tracker) hold(r *record, o *outage) {
	if r.held != nil {
		t.held--
	}
	if r.held = o; o != nil {
		t.held++
	}
}

// record returns the record of a part, and creates it on first use.
func (t *Tracker) record(now time.Time, part uint64) *record {
	if r, ok := t.records[part]; ok {
		return r
	}
	if len(t.records) >= maxRecords {
		t.makeRoom()
	}
	r := &record{familiar: t.served.has(part), changedAt: now}
	t.records[part] = r
	return r
}

// makeRoom drops the records that changed longest ago, quarantined ones only if there are no
// others.
func (t *Tracker) makeRoom() {
	parts := slices.Collect(maps.Keys(t.records))
	slices.SortFunc(parts, func(a, b uint64) int {
		x, y := t.records[a], t.records[b]
		if x.quarantined != y.quarantined {
			if x.quarantined {
				return 1
			}
			return -1
		}
		return x.changedAt.Compare(y.changedAt)
	})
	for _, part := range parts[:recordsDropped] {
		t.remove(part)
	}
}

// remove drops the record of a part.
func (t *Tracker) remove(part uint64) {
	r, ok := t.records[part]
	if !ok {
		return
	}
	if r.quarantined {
		t.quarantined--
	}
	t.hold(r, nil)
	delete(t.records, part)
}

// note adds a crash of a request with these parts, and reports whether it counts. Requests
// with the same content that break off together still have only that in common, and so
// do those with a part that was never served, if their engines are down.
func (r *record) note(c *Crash, request *partSet, down bool) bool {
	n := noted{at: c.At, engine: c.Engine, request: request}
	if len(r.crashes) >= maxEngines || slices.ContainsFunc(r.crashes, func(other noted) bool { return other.engine.is(c.Engine) }) {
		return false
	}
	alone := r.content || down && !r.familiar
	if !alone && slices.ContainsFunc(r.crashes, func(other noted) bool { return other.at.Sub(c.At).Abs() < sameEvent }) {
		if len(r.together) < maxEngines {
			r.together = append(r.together, n)
		}
		return false
	}
	r.crashes = append(r.crashes, n)
	r.changedAt = later(r.changedAt, c.At)
	return true
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// blame returns the part that explains most crashes, if enough count against it. A part
// that is not familiar comes first. If several explain the same, it is the content, then
// the last part in the prompt: fewest sound requests have it. If that is wrong, crashes
// without it go on and count against the others, whose records are kept.
func (t *Tracker) blame(parts []uint64) (uint64, bool) {
	var best uint64
	var most *record
	for _, part := range parts {
		r := t.records[part]
		if r == nil || len(r.crashes) < r.enough() {
			continue
		}
		if most == nil || most.familiar && !r.familiar || most.familiar == r.familiar && len(r.crashes) >= len(most.crashes) {
			best, most = part, r
		}
	}
	return best, most != nil
}

// enough returns the number of engine processes from which the part is quarantined.
func (r *record) enough() int {
	if r.familiar {
		return minCrashes + 1
	}
	return minCrashes
}

// quarantine moves a part into quarantine.
func (t *Tracker) quarantine(now time.Time, r *record) {
	r.quarantined = true
	t.quarantined++
	r.changedAt, r.announcedAt = now, now
	r.probeWait = minProbeWait
	if r.familiar {
		r.probeWait = familiarProbeWait
	}
	r.probeAt = now.Add(r.probeWait)
}

// announce tells the other routers that a part is in quarantine.
func (t *Tracker) announce(now time.Time, part uint64, r *record) {
	r.announcedAt = now
	tell(&t.notices.Quarantined, part)
}

// explain drops the crashes that a part newly in quarantine explains from the parts that
// have fewer, and clears quarantined ones that it explains altogether.
func (t *Tracker) explain(part uint64, by *record) []Change {
	var changes []Change
	for other, r := range t.records {
		if len(r.crashes) == 0 || len(r.crashes) >= len(by.crashes) {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(r.crashes), func(n noted) bool { return n.request.has(part) })
		switch {
		case len(left) == 0:
			if r.quarantined {
				changes = append(changes, Change{Part: other, State: Cleared, Released: true, Crashes: len(r.crashes)})
				tell(&t.notices.Cleared, other)
			}
			t.remove(other)
		case !r.quarantined:
			r.crashes = left
		}
	}
	return changes
}
