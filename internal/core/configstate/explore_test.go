package configstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// simulation runs several readers over one log and injects faults of the log,
// the operators and the routers.
type simulation struct {
	log     *fakeLog
	readers []*State
	// minOffsets holds, for each reader, the offset below which its version
	// must not fall.
	minOffsets []uint64
	// inFlight are records that have yet to reach the log.
	inFlight [][]byte
	// nonces counts the publications; each uses the count as its nonce.
	nonces int
	// highestBase is the highest base of a snapshot in the log.
	highestBase uint64
}

// newSimulation returns a simulation whose log holds one version.
func newSimulation(readers int) *simulation {
	sim := &simulation{log: newFakeLog(), minOffsets: make([]uint64, readers)}
	for range readers {
		sim.readers = append(sim.readers, New())
	}
	mustPublish(sim.log, sim.readers[0], Base, "start = 0\n", "genesis")
	return sim
}

// pickReader draws a reader and returns it with its index.
func (sim *simulation) pickReader(t *rapid.T) (int, *State) {
	i := rapid.IntRange(0, len(sim.readers)-1).Draw(t, "reader")
	return i, sim.readers[i]
}

// publish proposes a change and appends its record at once, twice, later, or
// truncated.
func (sim *simulation) publish(t *rapid.T) {
	_, s := sim.pickReader(t)
	sim.nonces++
	scope := rapid.SampledFrom([]Scope{Base, Overlay("gent"), Overlay("trinidad")}).Draw(t, "scope")
	text := fmt.Sprintf("start = 0\nvalue = %d\n", sim.nonces)
	p, err := s.Propose(Proposal{Scope: scope, Text: text, Author: "ada", Nonce: fmt.Sprint(sim.nonces), At: sim.log.now()})
	must.NoError(t, err)
	switch rapid.SampledFrom([]string{"now", "now", "twice", "later", "cut"}).Draw(t, "append") {
	case "now":
		sim.log.append(p.Record())
	case "twice":
		sim.log.append(p.Record())
		sim.inFlight = append(sim.inFlight, p.Record())
	case "later":
		sim.inFlight = append(sim.inFlight, p.Record())
	case "cut":
		data := p.Record()
		sim.log.append(data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")])
	}
}

// snapshot appends a reader's snapshot, at once or after other records.
func (sim *simulation) snapshot(t *rapid.T) {
	_, s := sim.pickReader(t)
	if !s.Anchored() || s.Confirmed().Hash == "" {
		return
	}
	data, err := s.Snapshot("")
	must.NoError(t, err)
	if rapid.Bool().Draw(t, "delayed") {
		sim.inFlight = append(sim.inFlight, data)
		return
	}
	sim.log.append(data)
	sim.highestBase = max(sim.highestBase, s.Position())
}

// deliver appends one of the delayed records.
func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "record")
	sim.log.append(sim.inFlight[i])
	sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
}

// read lets a reader read up to four records.
func (sim *simulation) read(t *rapid.T) {
	_, s := sim.pickReader(t)
	sim.log.read(s, rapid.IntRange(1, 4).Draw(t, "limit"))
}

// replaceReader replaces a reader by a new one, which starts at offset zero or
// anywhere in the log.
func (sim *simulation) replaceReader(t *rapid.T) {
	i, _ := sim.pickReader(t)
	sim.readers[i], sim.minOffsets[i] = New(), 0
	if rapid.Bool().Draw(t, "window") {
		sim.readers[i].Restart(rapid.Uint64Range(sim.log.earliest, sim.log.next()).Draw(t, "from"))
	}
}

// offer lets one reader offer its version to another.
func (sim *simulation) offer(t *rapid.T) {
	_, from := sim.pickReader(t)
	_, to := sim.pickReader(t)
	have, _ := to.Current()
	o, err := from.OfferTo(have.Version)
	if err != nil {
		return
	}
	_, _ = to.ApplyOffer(o, sim.log.now())
}

// dropOldRecords drops old records from the log, but never those that a new
// reader needs.
func (sim *simulation) dropOldRecords(t *rapid.T) {
	if sim.highestBase > sim.log.earliest {
		sim.log.earliest = rapid.Uint64Range(sim.log.earliest, sim.highestBase).Draw(t, "earliest")
	}
}

// check compares every reader with the reference reader. No reader may use a
// version that was never accepted or fall back to an earlier one.
func (sim *simulation) check(t *rapid.T) {
	heads := referenceHeads(sim.log.records)
	accepted := map[Version]referenceHead{}
	for _, h := range heads {
		accepted[h.version] = h
	}
	for i, s := range sim.readers {
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
		must.GreaterEq(t, sim.minOffsets[i], head.Version.Offset)
		sim.minOffsets[i] = head.Version.Offset
	}
}

// TestReadersAgree checks that all readers derive the same version from the log
// under any schedule of publications, lost, delayed and truncated appends,
// restarts, offers and dropped records.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3)
		t.Repeat(map[string]func(*rapid.T){
			"publish":  sim.publish,
			"publish2": sim.publish,
			"snapshot": sim.snapshot,
			"land":     sim.deliver,
			"read":     sim.read,
			"read2":    sim.read,
			"boot":     sim.replaceReader,
			"offer":    sim.offer,
			"expire":   sim.dropOldRecords,
			"":         sim.check,
		})
		heads := referenceHeads(sim.log.records)
		for _, s := range sim.readers {
			sim.log.catchUp(s)
			head, _ := s.Current()
			must.True(t, s.Anchored())
			must.Eq(t, heads[len(heads)-1].version, head.Version)
		}
	})
}

// TestForgedOffersAreDropped checks that a reader drops versions that a router
// invented, although they match their own hashes, and ends at the version in
// the log.
func TestForgedOffersAreDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(2)
		forger, victim := sim.readers[0], sim.readers[1]
		sim.log.catchUp(victim)
		private := newFakeLog()
		private.records = append(private.records, sim.log.records...)
		for i := range rapid.IntRange(1, 3).Draw(t, "forged") {
			mustPublish(private, forger, Base, fmt.Sprintf("forged = %d\n", i), fmt.Sprint("forged", i))
		}
		have, _ := victim.Current()
		o, err := forger.OfferTo(have.Version)
		must.NoError(t, err)
		_, err = victim.ApplyOffer(o, sim.log.now())
		must.NoError(t, err)

		honest := New()
		sim.log.catchUp(honest)
		for i := range rapid.IntRange(0, 4).Draw(t, "honest") {
			mustPublish(sim.log, honest, Base, fmt.Sprintf("honest = %d\n", i), fmt.Sprint("honest", i))
		}
		now := sim.log.now()
		for step := range 4 {
			at := now.Add(time.Duration(step+1) * UnconfirmedTimeout)
			victim.ApplyPage(sim.log.page(victim.Position(), 100), at, at)
		}
		want, _ := honest.Current()
		got, _ := victim.Current()
		must.Eq(t, want.Version, got.Version)
		_, err = victim.ApplyOffer(o, now)
		must.Error(t, err)
	})
}
