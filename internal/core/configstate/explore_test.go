package configstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// world drives a few readers over one log with every fault that the log, the
// operators and the routers may show.
type world struct {
	log      *fakeLog
	readers  []*State
	floors   []uint64
	inFlight [][]byte
	nonces   int
	// coveredTo is the highest base of a snapshot that is in the log.
	coveredTo uint64
}

func newWorld(readers int) *world {
	w := &world{log: newFakeLog(), floors: make([]uint64, readers)}
	for range readers {
		w.readers = append(w.readers, New())
	}
	mustPublish(w.log, w.readers[0], Base, "start = 0\n", "genesis")
	return w
}

func (w *world) pick(t *rapid.T) (int, *State) {
	i := rapid.IntRange(0, len(w.readers)-1).Draw(t, "reader")
	return i, w.readers[i]
}

// publish appends at once, twice, later, or cut.
func (w *world) publish(t *rapid.T) {
	_, s := w.pick(t)
	w.nonces++
	scope := rapid.SampledFrom([]Scope{Base, Overlay("gent"), Overlay("trinidad")}).Draw(t, "scope")
	text := fmt.Sprintf("start = 0\nvalue = %d\n", w.nonces)
	p, err := s.Propose(Proposal{Scope: scope, Text: text, Author: "ada", Nonce: fmt.Sprint(w.nonces), At: w.log.now()})
	must.NoError(t, err)
	switch rapid.SampledFrom([]string{"now", "now", "twice", "later", "cut"}).Draw(t, "append") {
	case "now":
		w.log.append(p.Record())
	case "twice":
		w.log.append(p.Record())
		w.inFlight = append(w.inFlight, p.Record())
	case "later":
		w.inFlight = append(w.inFlight, p.Record())
	case "cut":
		data := p.Record()
		w.log.append(data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")])
	}
}

// snapshot appends the state of a reader now, or later when it is out of date.
func (w *world) snapshot(t *rapid.T) {
	_, s := w.pick(t)
	if !s.Anchored() || s.Confirmed().Hash == "" {
		return
	}
	data, err := s.Snapshot("")
	must.NoError(t, err)
	if rapid.Bool().Draw(t, "delayed") {
		w.inFlight = append(w.inFlight, data)
		return
	}
	w.log.append(data)
	w.coveredTo = max(w.coveredTo, s.Position())
}

func (w *world) land(t *rapid.T) {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "record")
	w.log.append(w.inFlight[i])
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
}

func (w *world) read(t *rapid.T) {
	_, s := w.pick(t)
	w.log.read(s, rapid.IntRange(1, 4).Draw(t, "limit"))
}

// boot replaces a reader by one that knows nothing and starts anywhere.
func (w *world) boot(t *rapid.T) {
	i, _ := w.pick(t)
	w.readers[i], w.floors[i] = New(), 0
	if rapid.Bool().Draw(t, "window") {
		w.readers[i].Restart(rapid.Uint64Range(w.log.earliest, w.log.next()).Draw(t, "from"))
	}
}

func (w *world) offer(t *rapid.T) {
	_, from := w.pick(t)
	_, to := w.pick(t)
	have, _ := to.Current()
	o, err := from.OfferTo(have.Version)
	if err != nil {
		return
	}
	_, _ = to.ApplyOffer(o, w.log.now())
}

// expire drops old records, but never those that a new reader needs.
func (w *world) expire(t *rapid.T) {
	if w.coveredTo > w.log.earliest {
		w.log.earliest = rapid.Uint64Range(w.log.earliest, w.coveredTo).Draw(t, "earliest")
	}
}

// check compares every reader with the naive one.
func (w *world) check(t *rapid.T) {
	heads := naiveHeads(w.log.records)
	accepted := map[Version]naiveHead{}
	for _, h := range heads {
		accepted[h.version] = h
	}
	for i, s := range w.readers {
		if s.Anchored() {
			must.Eq(t, heads[s.Position()].version, s.Confirmed())
		}
		head, docs := s.Current()
		want, ok := accepted[head.Version]
		must.True(t, ok, must.Sprintf("reader %d uses version %d, which was never accepted", i, head.Version.Offset))
		for scope, text := range want.texts {
			got, _ := docs.Text(scope)
			must.Eq(t, text, got)
		}
		must.GreaterEq(t, w.floors[i], head.Version.Offset)
		w.floors[i] = head.Version.Offset
	}
}

// TestEveryReaderAgrees explores schedules of publishing, lost and delayed
// appends, cut records, restarts, offers and retention.
func TestEveryReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		t.Repeat(map[string]func(*rapid.T){
			"publish":  w.publish,
			"publish2": w.publish,
			"snapshot": w.snapshot,
			"land":     w.land,
			"read":     w.read,
			"read2":    w.read,
			"boot":     w.boot,
			"offer":    w.offer,
			"expire":   w.expire,
			"":         w.check,
		})
		heads := naiveHeads(w.log.records)
		for _, s := range w.readers {
			w.log.catchUp(s)
			head, _ := s.Current()
			must.True(t, s.Anchored())
			must.Eq(t, heads[len(heads)-1].version, head.Version)
		}
	})
}

// TestForgedOffersAreCorrected lets a router invent versions that agree with
// their own hashes. The log's order must win in the end.
func TestForgedOffersAreCorrected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(2)
		forger, victim := w.readers[0], w.readers[1]
		w.log.catchUp(victim)
		private := newFakeLog()
		private.records = append(private.records, w.log.records...)
		for i := range rapid.IntRange(1, 3).Draw(t, "forged") {
			mustPublish(private, forger, Base, fmt.Sprintf("forged = %d\n", i), fmt.Sprint("forged", i))
		}
		have, _ := victim.Current()
		o, err := forger.OfferTo(have.Version)
		must.NoError(t, err)
		_, err = victim.ApplyOffer(o, w.log.now())
		must.NoError(t, err)

		honest := New()
		w.log.catchUp(honest)
		for i := range rapid.IntRange(0, 4).Draw(t, "honest") {
			mustPublish(w.log, honest, Base, fmt.Sprintf("honest = %d\n", i), fmt.Sprint("honest", i))
		}
		now := w.log.now()
		for step := range 4 {
			at := now.Add(time.Duration(step+1) * UnconfirmedTimeout)
			victim.ApplyPage(w.log.page(victim.Position(), 100), at, at)
		}
		want, _ := honest.Current()
		got, _ := victim.Current()
		must.Eq(t, want.Version, got.Version)
		_, err = victim.ApplyOffer(o, now)
		must.Error(t, err)
	})
}
