package loadtable_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// earlierMessage is loadtable.Message as routers of the release before know it.
type earlierMessage struct {
	Table   uint64   `msgpack:"t,omitempty"`
	First   uint32   `msgpack:"f,omitempty"`
	Targets []byte   `msgpack:"n,omitempty"`
	Counts  []byte   `msgpack:"c,omitempty"`
	Large   []uint32 `msgpack:"x,omitempty"`
}

func encode(loads []loadtable.Load) loadtable.Message {
	e := loadtable.NewEncoder(1)
	e.Begin()
	return e.Encode(loads)
}

// TestWorkReturnsWithinAStep guards against work that is assigned to another target or lost,
// for targets without a load and with an unknown work among them.
func TestWorkReturnsWithinAStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads, want []loadtable.Load
		for i := range rapid.IntRange(1, 90).Draw(t, "targets") {
			l := loadtable.Load{Target: fleet.Ref(i + 1), Running: uint32(rapid.IntRange(0, 40).Draw(t, "running"))}
			l.WorkMS = float32(rapid.SampledFrom([]float64{0, 0.3, 7, 211, 1500, 90_000}).Draw(t, "work"))
			loads = append(loads, l)
			if l.Running > 0 {
				want = append(want, l)
			}
		}
		m := encode(loads)
		refs, ok := loadtable.NewDecoder().Targets(&m)
		must.True(t, ok)
		got, ok := m.Loads(refs)
		must.True(t, ok)
		must.Len(t, len(want), got)
		for i := range want {
			must.Eq(t, want[i].Target, got[i].Target)
			must.Eq(t, want[i].Running, got[i].Running)
			must.Eq(t, want[i].WorkMS > 0, got[i].WorkMS > 0)
			must.InDelta(t, float64(want[i].WorkMS), float64(got[i].WorkMS), 0.1+0.03*float64(want[i].WorkMS))
		}
	})
}

// TestEarlierReleaseIgnoresWork guards against digests that a router of the release before
// can't read, and against ones of it that this release can't.
func TestEarlierReleaseIgnoresWork(t *testing.T) {
	m := encode([]loadtable.Load{{Target: 7, Running: 3, WorkMS: 120}, {Target: 9, Running: 20, WorkMS: 500}})
	data, err := wire.Marshal(&m)
	must.NoError(t, err)
	var earlier earlierMessage
	must.NoError(t, wire.Unmarshal(data, &earlier))
	must.Eq(t, m.Counts, earlier.Counts)
	must.Eq(t, m.Large, earlier.Large)
	must.Eq(t, m.Targets, earlier.Targets)

	data, err = wire.Marshal(&earlier)
	must.NoError(t, err)
	var back loadtable.Message
	must.NoError(t, wire.Unmarshal(data, &back))
	refs, ok := loadtable.NewDecoder().Targets(&back)
	must.True(t, ok)
	loads, ok := back.Loads(refs)
	must.True(t, ok)
	must.Eq(t, []loadtable.Load{{Target: 7, Running: 3}, {Target: 9, Running: 20}}, loads)
}

// TestNoWorkFieldWithoutWork guards against digests that grow where the work isn't measured.
func TestNoWorkFieldWithoutWork(t *testing.T) {
	must.Nil(t, encode([]loadtable.Load{{Target: 7, Running: 3}}).Work)
	must.Len(t, 2, encode([]loadtable.Load{{Target: 7, Running: 3, WorkMS: 1}, {Target: 8}, {Target: 9, Running: 1}}).Work)
}

// TestTooFewBytesOfWork guards against a malformed digest that ends a router.
func TestTooFewBytesOfWork(t *testing.T) {
	m := encode([]loadtable.Load{{Target: 7, Running: 3, WorkMS: 5}, {Target: 9, Running: 1, WorkMS: 5}})
	m.Work = m.Work[:1]
	refs, _ := loadtable.NewDecoder().Targets(&m)
	loads, ok := m.Loads(refs)
	must.True(t, ok)
	must.Eq(t, float32(0), loads[1].WorkMS)
}
