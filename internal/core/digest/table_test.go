package digest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/digest"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

var start = time.Unix(1000, 0)

func newDigest(resource string, term uint64, seq uint8, load uint16) digest.Digest {
	return digest.Digest{
		Resource: digest.KeyOf(resource),
		Term:     term,
		Seq:      seq,
		State:    digest.StateOf(health.Warm),
		Slots:    8,
		Load:     load,
	}
}

func load(t *digest.Table, resource string) int {
	e, ok := t.Get(digest.KeyOf(resource))
	if !ok {
		return -1
	}
	return int(e.Load)
}

func TestMergeKeepsNewest(t *testing.T) {
	table := digest.NewTable("a")
	must.Len(t, 1, table.Merge(start, "b", []digest.Digest{newDigest("x", 2, 5, 3)}))
	cases := []struct {
		name string
		d    digest.Digest
		at   time.Time
		want int
	}{
		{"same digest", newDigest("x", 2, 5, 9), start, 3},
		{"older", newDigest("x", 2, 4, 9), start, 3},
		{"earlier owner", newDigest("x", 1, 9, 9), start, 3},
		{"later", newDigest("x", 2, 6, 4), start, 4},
		{"later owner", newDigest("x", 3, 1, 5), start, 5},
		{"sequence number wrapped around", newDigest("x", 3, 130, 6), start, 5},
		{"lower term long after", newDigest("x", 1, 1, 6), start.Add(time.Minute), 6},
	}
	for _, c := range cases {
		table.Merge(c.at, "c", []digest.Digest{c.d})
		must.Eq(t, c.want, load(table, "x"), must.Sprint(c.name))
	}
}

func TestOwnDigestIsNotReplaced(t *testing.T) {
	table := digest.NewTable("a")
	table.SetOwn(start, []digest.Digest{newDigest("x", 1, 0, 2)})
	must.Len(t, 0, table.Merge(start, "b", []digest.Digest{newDigest("x", 9, 9, 7)}))
	must.Eq(t, 2, load(table, "x"))
	e, _ := table.Get(digest.KeyOf("x"))
	must.Eq(t, "a", e.OwnerVM)
}

func TestSumWithoutFreshDigests(t *testing.T) {
	table := digest.NewTable("a")
	out := newDigest("out", 1, 1, 0)
	out.Slots = 0
	table.Merge(start, "b", []digest.Digest{newDigest("x", 1, 1, 3), out})
	targets := []digest.TargetCapacity{
		{Resource: digest.KeyOf("x"), Capacity: 99},
		{Resource: digest.KeyOf("out"), Capacity: 99},
		{Resource: digest.KeyOf("unheard"), Capacity: 5},
	}
	must.Eq(t, digest.Sum{Load: 3, Capacity: 13}, table.Sum(start.Add(time.Second), targets, time.Second))
	must.Eq(t, digest.Sum{Load: 1, Capacity: 13}, table.Sum(start.Add(1500*time.Millisecond), targets, time.Second))
	must.Eq(t, digest.Sum{Load: 0, Capacity: 13}, table.Sum(start.Add(2*time.Second), targets, time.Second))
}

// TestRelay passes digests along a chain of routers: each must arrive once, with its
// owner and a growing age, and none may go back to its sender.
func TestRelay(t *testing.T) {
	vms := []fleet.VM{"a", "b", "c", "d"}
	tables := make([]*digest.Table, len(vms))
	for i, vm := range vms {
		tables[i] = digest.NewTable(vm)
		tables[i].SetRouters(vms)
	}
	tables[0].SetOwn(start, []digest.Digest{newDigest("x", 1, 0, 3), newDigest("y", 1, 0, 4)})
	now := start
	for i := range len(vms) - 1 {
		now = now.Add(100 * time.Millisecond)
		sent := tables[i].ForPeer(now, vms[i+1], 10)
		must.Len(t, 2, sent)
		must.Len(t, 2, tables[i+1].Merge(now, vms[i], sent))
		must.Len(t, 0, tables[i+1].ForPeer(now, vms[i], 10), must.Sprint("nothing is sent back"))
	}
	e, _ := tables[3].Get(digest.KeyOf("y"))
	must.Eq(t, "a", e.OwnerVM)
	must.True(t, e.At.Before(start.Add(200*time.Millisecond)), must.Sprint("age grows at each hop"))
	must.Len(t, 0, tables[1].ForPeer(now, "c", 10), must.Sprint("sent once"))
}

// TestMergeIsOrderIndependent merges the same digests in two orders.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []digest.Digest
		for range rapid.IntRange(1, 30).Draw(t, "digests") {
			name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "resource")
			term := rapid.Uint64Range(1, 3).Draw(t, "term")
			seq := rapid.Uint8Range(1, 20).Draw(t, "seq")
			all = append(all, newDigest(name, term, seq, uint16(term*100)+uint16(seq)))
		}
		shuffled := rapid.Permutation(all).Draw(t, "order")
		a, b := digest.NewTable("a"), digest.NewTable("a")
		a.Merge(start, "b", all)
		for _, d := range shuffled {
			b.Merge(start, "b", []digest.Digest{d})
		}
		for _, name := range []string{"x", "y", "z"} {
			must.Eq(t, load(a, name), load(b, name))
		}
	})
}

func TestStatesRoundTrip(t *testing.T) {
	for _, s := range []health.State{health.Unknown, health.Cold, health.Warming, health.Warm, health.Suspect, health.Leaving, health.Out} {
		must.Eq(t, s, digest.StateOf(s).Health())
	}
}

func BenchmarkMerge(b *testing.B) {
	sizes := []struct{ targets, routers int }{{3, 9}, {30, 9}, {300, 90}, {1200, 390}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("targets=%d/routers=%d", size.targets, size.routers), func(b *testing.B) {
			table := digest.NewTable("self")
			perRouter := max(1, size.targets/size.routers)
			batches := make([][]digest.Digest, size.routers)
			for r := range batches {
				for i := range perRouter {
					batches[r] = append(batches[r], newDigest(fmt.Sprint(r, "/", i), 1, 0, 3))
				}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				batch := batches[n%size.routers]
				for i := range batch {
					batch[i].Seq++
				}
				table.Merge(start, "peer", batch)
			}
		})
	}
}

func BenchmarkSum(b *testing.B) {
	for _, n := range []int{3, 30, 300, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := digest.NewTable("self")
			var targets []digest.TargetCapacity
			for i := range n {
				d := newDigest(fmt.Sprint(i), 1, 1, 3)
				table.Merge(start, "peer", []digest.Digest{d})
				targets = append(targets, digest.TargetCapacity{Resource: d.Resource, Capacity: 8})
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Sum(start, targets, time.Second)
			}
		})
	}
}
