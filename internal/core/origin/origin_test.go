package origin_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/origin"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

var v1, v2 = origin.Origin{Service: "llm", Version: "v1"}, origin.Origin{Service: "llm", Version: "v2"}

// TestOriginsOfStreams checks what a router tells of stream 7 at 100 s.
func TestOriginsOfStreams(t *testing.T) {
	other := origin.Origin{Service: "other", Version: "v9"}
	for name, c := range map[string]struct {
		play    func(q *origin.Tracker)
		version string
		want    origin.Verdict
	}{
		"one version":       {func(q *origin.Tracker) { q.TargetChanged(at(1), "a", v1) }, "v1", origin.Uniform},
		"no target":         {func(*origin.Tracker) {}, "", origin.Uniform},
		"no version":        {func(q *origin.Tracker) { q.TargetChanged(at(1), "a", origin.Origin{Service: "llm"}) }, "", origin.Uniform},
		"another service":   {func(q *origin.Tracker) { q.TargetChanged(at(1), "a", v1); q.TargetChanged(at(1), "b", other) }, "v1", origin.Uniform},
		"two versions":      {func(q *origin.Tracker) { q.TargetChanged(at(1), "a", v1); q.TargetChanged(at(2), "b", v2) }, "", origin.Unknown},
		"began here":        {func(q *origin.Tracker) { q.TargetChanged(at(1), "b", v2); q.Began(at(90), 7, v1) }, "v1", origin.Known},
		"began elsewhere":   {func(q *origin.Tracker) { q.Learn(at(90), at(90), []origin.Record{{Stream: 7, Origin: v2}}) }, "v2", origin.Known},
		"another of a kind": {func(q *origin.Tracker) { q.Learn(at(90), at(90), []origin.Record{{Stream: 8, Origin: v2}}) }, "v2", origin.Uniform},
		"heard of another": {func(q *origin.Tracker) {
			q.TargetChanged(at(1), "a", v1)
			q.Learn(at(90), at(90), []origin.Record{{Stream: 8, Origin: v2}})
		}, "v1", origin.Inferred},
		"heard long ago": {func(q *origin.Tracker) {
			q.TargetChanged(at(1), "a", v1)
			q.Learn(at(79), at(79), []origin.Record{{Stream: 8, Origin: v2}})
		}, "", origin.Unknown},
		"heard shortly after the start": {func(q *origin.Tracker) {
			q.TargetChanged(at(1), "a", v1)
			q.Learn(at(59), at(59), []origin.Record{{Stream: 8, Origin: v2}})
		}, "", origin.Unknown},
		"one version for too short": {func(q *origin.Tracker) {
			q.TargetChanged(at(98), "a", v1)
			q.TargetChanged(at(99), "b", v2)
		}, "", origin.Unknown},
		"one version in the log": {func(q *origin.Tracker) {
			q.TargetChanged(at(98), "a", v1)
			q.TargetChanged(at(98), "b", v2)
			q.Heard(at(99), []origin.Origin{v1})
			q.HeardBases(at(99), []origin.Origin{v1}, nil)
		}, "v1", origin.Inferred},
		"one in the log, another now": {func(q *origin.Tracker) {
			q.TargetChanged(at(98), "a", v2)
			q.Heard(at(99), []origin.Origin{v1})
			q.HeardBases(at(99), []origin.Origin{v1}, nil)
		}, "v1", origin.Inferred},
		"a base in the log": {func(q *origin.Tracker) {
			q.TargetChanged(at(98), "b", v2)
			q.Heard(at(99), []origin.Origin{v1, v2})
			q.HeardBases(at(99), []origin.Origin{v1, v2}, []origin.Base{{Origin: v1, MixedAt: at(81)}})
		}, "v1", origin.Inferred},
		"a base of long ago in the log": {func(q *origin.Tracker) {
			q.TargetChanged(at(98), "b", v2)
			q.Heard(at(99), []origin.Origin{v1, v2})
			q.HeardBases(at(99), []origin.Origin{v1, v2}, []origin.Base{{Origin: v1, MixedAt: at(79)}})
		}, "", origin.Unknown},
		"a base of a log that was restored": {func(q *origin.Tracker) {
			q.TargetChanged(at(1), "a", v1)
			q.TargetChanged(at(99), "b", v2)
			q.ForgetBases()
		}, "", origin.Unknown},
		"a router that began others unrecorded": {func(q *origin.Tracker) {
			q.TargetChanged(at(1), "a", v1)
			q.TargetChanged(at(98), "b", v2)
			q.Hold(at(99), []origin.Record{{Stream: 8, Origin: v2}})
		}, "", origin.Unknown},
		"a target went": {func(q *origin.Tracker) {
			q.TargetChanged(at(1), "a", v1)
			q.TargetChanged(at(2), "b", v2)
			q.TargetGone(at(50), "a")
		}, "", origin.Unknown},
		"it went long ago": {func(q *origin.Tracker) {
			q.TargetChanged(at(1), "a", v1)
			q.TargetChanged(at(2), "b", v2)
			q.TargetGone(at(39), "a")
		}, "v2", origin.Uniform},
		"another in a name": {func(q *origin.Tracker) { q.TargetChanged(at(1), "a", v1); q.TargetChanged(at(99), "a", v2) }, "v1", origin.Inferred},
		"recorded too early": {func(q *origin.Tracker) {
			q.TargetChanged(at(1), "a", v1)
			q.Learn(at(99), at(39), []origin.Record{{Stream: 8, Origin: v2}})
		}, "v1", origin.Uniform},
	} {
		q := origin.New(start)
		c.play(q)
		q.Expire(at(100))
		o, got := q.Decide(at(100), 7, "llm")
		must.Eq(t, c.want, got, must.Sprint(name))
		must.Eq(t, c.version, o.Version, must.Sprint(name))
	}
	q := origin.New(at(90))
	q.TargetChanged(at(90), "a", v1)
	_, got := q.Decide(at(100), 7, "llm")
	must.Eq(t, origin.Unaware, got, must.Sprint("started just now"))
	q.HistoryRead()
	_, got = q.Decide(at(100), 7, "llm")
	must.Eq(t, origin.Uniform, got, must.Sprint("and has read the log"))
}

// TestOriginsAreRecordedWhileVersionsDiffer checks which streams a router has recorded.
func TestOriginsAreRecordedWhileVersionsDiffer(t *testing.T) {
	q := origin.New(start)
	q.TargetChanged(start, "a", v1)
	must.True(t, q.Began(at(1), 9, v1), must.Sprint("there may have been others"))
	must.Eq(t, []origin.Record{{Stream: 9, Origin: v1}}, q.TakeUnsent())
	q = origin.New(start)
	q.TargetChanged(start, "a", v1)
	q.HistoryRead()
	must.False(t, q.Began(at(1), 1, v1))
	must.SliceEmpty(t, q.TakeUnsent(), must.Sprint("one version"))
	q.TargetChanged(at(2), "b", v2)
	first := []origin.Record{{Stream: 1, Origin: v1}}
	must.Eq(t, first, q.TakeUnsent(), must.Sprint("what began before"))
	q.Unsent(first)
	must.True(t, q.Began(at(3), 2, v2))
	must.Eq(t, append(first, origin.Record{Stream: 2, Origin: v2}), q.TakeUnsent())
	q.Learn(at(3), at(3), []origin.Record{{Stream: 3, Origin: v1}})
	q.Requeue()
	must.Len(t, 2, q.TakeUnsent(), must.Sprint("what others began is theirs to tell"))
	must.Len(t, 3, q.Recorded())
	q.TargetGone(at(5), "a")
	must.True(t, q.Began(at(60), 4, v2), must.Sprint("a stream of v1 may still come back"))
	q.TakeUnsent()
	q.Expire(at(66))
	must.False(t, q.Began(at(67), 5, v2))
}

// TestNoStreamIsTakenForAnotherVersion plays routers that begin streams at the targets of
// a release, tell a recorder, and are killed, one by one or all together. Whoever is asked
// names the version of a stream or does not know it.
func TestNoStreamIsTakenForAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newReleases(rapid.IntRange(1, 6).Draw(t, "routers"))
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			f.step(rapid.IntRange(0, 9).Draw(t, "step"), rapid.IntRange(0, len(f.routers)-1).Draw(t, "router"))
			for id, began := range f.began {
				o, verdict := f.find(rapid.IntRange(0, len(f.routers)-1).Draw(t, "asked"), id)
				if verdict == origin.Known || verdict == origin.Uniform {
					must.Eq(t, began.Version, o.Version, must.Sprintf("stream %d is %s", id, verdict))
				}
				if f.now.Sub(f.beganAt[id]) > origin.HistoryTime/2 {
					delete(f.began, id)
				}
			}
		}
	})
}

// releases is a service whose targets change their version, and routers that know them.
type releases struct {
	now     time.Time
	routers []*origin.Tracker
	targets map[fleet.Target]origin.Origin
	log     []logged
	// versions and bases are those that the log has, and read is true if the first router
	// has read it.
	versions []origin.Origin
	bases    []origin.Base
	read     bool
	began    map[origin.Stream]origin.Origin
	beganAt  map[origin.Stream]time.Time
	serial   int
}

type logged struct {
	at      time.Time
	records []origin.Record
}

func newReleases(routers int) *releases {
	f := &releases{
		now: start, targets: make(map[fleet.Target]origin.Origin),
		began: make(map[origin.Stream]origin.Origin), beganAt: make(map[origin.Stream]time.Time),
	}
	for range routers {
		f.routers = append(f.routers, origin.New(start))
	}
	f.change("a", v1)
	f.publish()
	return f
}

// change starts a target, or another process of it. All routers are told.
func (f *releases) change(id fleet.Target, o origin.Origin) {
	f.targets[id] = o
	for _, r := range f.routers {
		r.TargetChanged(f.now, id, o)
	}
	f.send()
}

// send lets all routers tell the first one, which writes the log.
func (f *releases) send() {
	for _, r := range f.routers {
		if records := r.TakeUnsent(); len(records) > 0 {
			f.routers[0].Learn(f.now, f.now, records)
			f.log = append(f.log, logged{f.now, records})
		}
	}
}

// publish lets the first router write the versions, once it has read what was there.
func (f *releases) publish() {
	f.readLog()
	f.versions, f.bases = f.routers[0].Versions(f.now), f.routers[0].Bases(f.now)
}

// readLog lets the first router read the log.
func (f *releases) readLog() {
	recorder := f.routers[0]
	for _, l := range f.log {
		if f.now.Sub(l.at) < origin.HistoryTime {
			recorder.Learn(f.now, l.at, l.records)
		}
	}
	if !f.read {
		recorder.Heard(f.now, f.versions)
		recorder.HeardBases(f.now, f.versions, f.bases)
	}
	f.read = true
	recorder.HistoryRead()
}

// kill replaces a router by one that knows the targets only.
func (f *releases) kill(router int) {
	f.routers[router] = origin.New(f.now)
	for id, o := range f.targets {
		f.routers[router].TargetChanged(f.now, id, o)
	}
	if router == 0 {
		f.read = false
		for _, r := range f.routers {
			r.Requeue()
		}
		f.send()
	}
}

// find asks a router for a stream, and then the first one, which reads the log.
func (f *releases) find(router int, id origin.Stream) (origin.Origin, origin.Verdict) {
	if o, verdict := f.routers[router].Decide(f.now, id, "llm"); verdict == origin.Known {
		return o, verdict
	}
	recorder := f.routers[0]
	if o, verdict := recorder.Decide(f.now, id, "llm"); verdict == origin.Known || verdict == origin.Uniform {
		return o, verdict
	}
	f.readLog()
	o, verdict := recorder.Decide(f.now, id, "llm")
	if verdict == origin.Inferred { // the log was read, so that nothing recorded is missing
		verdict = origin.Known
	}
	return o, verdict
}

func (f *releases) step(kind, router int) {
	f.serial++
	defer f.publish()
	switch kind {
	case 0:
		f.change(fleet.Target(rune('a'+f.serial%3)), origin.Origin{Service: "llm", Version: string(rune('0' + f.serial%4))})
	case 1:
		f.kill(router)
	case 2: // all, while targets change
		for i := range f.routers {
			f.routers[i] = origin.New(f.now)
		}
		f.targets = map[fleet.Target]origin.Origin{"a": {Service: "llm", Version: string(rune('0' + f.serial%4))}}
		for i := range f.routers {
			f.kill(i)
		}
	case 3:
		for id := range f.targets {
			if len(f.targets) > 1 {
				delete(f.targets, id)
				for _, r := range f.routers {
					r.TargetGone(f.now, id)
				}
				return
			}
		}
	default:
		for _, o := range f.targets {
			id := origin.Stream(f.serial)
			f.began[id], f.beganAt[id] = o, f.now
			f.routers[router].Began(f.now, id, o)
			break
		}
		f.send()
		for _, r := range f.routers {
			r.Expire(f.now)
		}
	}
}

// TestStreamsAreHeldForARouter checks what a router tells a holder while there is one
// version, and what the holder records once there are two.
func TestStreamsAreHeldForARouter(t *testing.T) {
	q, holder := origin.New(start), origin.New(start)
	q.HistoryRead()
	q.TargetChanged(start, "a", v1)
	holder.TargetChanged(start, "a", v1)
	q.Began(at(1), 1, v1)
	told := []origin.Record{{Stream: 1, Origin: v1}}
	must.Eq(t, told, q.TakeUntold())
	must.SliceEmpty(t, q.TakeUntold(), must.Sprint("told already"))
	q.Untold(told)
	must.Eq(t, told, q.TakeUntold(), must.Sprint("no holder took it"))
	must.False(t, holder.Hold(at(2), told))
	must.SliceEmpty(t, holder.TakeUnsent())
	holder.TargetChanged(at(3), "b", v2)
	must.Eq(t, told, holder.TakeUnsent(), must.Sprint("two versions"))
	holder.Requeue()
	must.SliceEmpty(t, holder.TakeUnsent(), must.Sprint("recorded again by the router that began it"))
	must.True(t, holder.Hold(at(4), []origin.Record{{Stream: 2, Origin: v1}}), must.Sprint("told late"))
	must.Eq(t, []origin.Record{{Stream: 2, Origin: v1}}, holder.TakeUnsent())
	o, verdict := holder.Decide(at(5), 2, "llm")
	must.Eq(t, origin.Known, verdict)
	must.Eq(t, v1, o)
	q.Began(at(3), 3, v1)
	q.TargetChanged(at(3), "b", v2)
	must.SliceEmpty(t, q.TakeUntold(), must.Sprint("recorded instead"))
}

// TestOldestStreamsMakeRoomForAHolder checks what waits without a holder.
func TestOldestStreamsMakeRoomForAHolder(t *testing.T) {
	q := origin.New(start)
	q.HistoryRead()
	q.TargetChanged(start, "a", v1)
	for i := range 5000 {
		q.Began(at(1), origin.Stream(i), v1)
	}
	untold := q.TakeUntold()
	must.SliceLen(t, 4096, untold)
	must.Eq(t, 4999, untold[4095].Stream)
	q.Untold(untold)
	q.Began(at(2), 5000, v1)
	must.Eq(t, 905, q.TakeUntold()[0].Stream)
}

// TestHeldStreamOfAnotherVersionMixesAService tells a holder of a version that it has not
// heard of.
func TestHeldStreamOfAnotherVersionMixesAService(t *testing.T) {
	holder := origin.New(start)
	holder.TargetChanged(start, "a", v1)
	holder.HistoryRead()
	must.True(t, holder.Hold(at(2), []origin.Record{{Stream: 1, Origin: v2}}))
	_, verdict := holder.Decide(at(3), 9, "llm")
	must.Eq(t, origin.Unknown, verdict)
}
