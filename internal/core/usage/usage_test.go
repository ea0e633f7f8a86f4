package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

func TestRingKeepsTheWindow(t *testing.T) {
	var r Ring
	start := time.Unix(1_800_000_000, 0)
	id := ID{Member: "north", Account: "shop"}
	for i := range 90 {
		r.Add(start.Add(time.Duration(i)*BucketWidth), id, Counts{Requests: 1, BusyMS: 10})
	}
	now := start.Add(89 * BucketWidth)
	must.Eq(t, uint64(bucketCount), r.Sum(now)[id].Requests)
	must.Eq(t, uint64(1), r.Sum(now.Add(Window - BucketWidth))[id].Requests)
	must.MapEmpty(t, r.Sum(now.Add(Window)))
}

func TestSharesAndInTimeRatio(t *testing.T) {
	totals := Totals{
		{Member: "b", Account: "y"}: {Requests: 4, InTime: 3, BusyMS: 300},
		{Member: "a", Account: "x"}: {Requests: 1, InTime: 1, BusyMS: 100},
	}
	entries := totals.Entries()
	must.Eq(t, fleet.Account("x"), entries[0].Account)
	must.Eq(t, 0.25, entries[0].Share)
	must.Eq(t, 0.75, entries[1].InTimeRatio())
	must.Eq(t, 1.0, Counts{}.InTimeRatio())
	members := ByMember(append(entries, Entry{ID: ID{Member: "b", Account: "z"}, Counts: Counts{BusyMS: 400}}))
	must.Eq(t, 0.875, members[1].Share)
}

// TestTreeReachesTheRoot follows the parents of every router up to the root, and
// limits the depth of the tree and the number of children.
func TestTreeReachesTheRoot(t *testing.T) {
	for _, n := range []int{1, 2, 9, 33, 390} {
		var live []fleet.VM
		for i := range n {
			live = append(live, fleet.VM(fmt.Sprintf("vm-%03d", i)))
		}
		children := make(map[fleet.VM]int)
		for _, vm := range live {
			depth := 0
			for p := TreePositionOf(vm, live); !p.Root; p = TreePositionOf(p.Parent, live) {
				depth++
			}
			must.LessEq(t, 5, depth)
			if p := TreePositionOf(vm, live); !p.Root {
				children[p.Parent]++
				must.LessEq(t, treeWidth, children[p.Parent])
			}
		}
	}
}
