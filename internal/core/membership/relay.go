package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Ages are written in units of ageUnit; larger ones are cut off at ageMax.
const (
	ageUnit    = 100 * time.Millisecond
	ageMax     = 250
	ageLeaving = 254
	ageUnknown = 255
)

// ages tells how long ago each listed VM was last heard, one byte for each in
// the order of the list.
func (v *View) ages(now time.Time) []byte {
	out := make([]byte, len(v.listed))
	for i, name := range v.listed {
		out[i] = v.age(v.records[name], now)
	}
	return out
}

// age rounds up, so that news grows older with each router that passes it on.
func (v *View) age(r *record, now time.Time) byte {
	switch {
	case r.lastHeard.IsZero():
		return ageUnknown
	case r.leaving:
		return ageLeaving
	}
	units := now.Sub(r.lastHeard)/ageUnit + 1
	return byte(min(units, ageMax))
}

// applyAges takes the ages of a heartbeat. They refer to positions in the
// sender's list, so they count only when both lists are the same.
func (v *View) applyAges(now time.Time, hb Heartbeat) {
	if hb.ListHash != v.listHash || len(hb.Ages) != len(v.listed) {
		return
	}
	for i, age := range hb.Ages {
		r := v.records[v.listed[i]]
		if r.direct.IsZero() {
			r.leaving = age == ageLeaving
		}
		if v.listed[i] != v.self && age < ageMax {
			v.heardAt(r, now.Add(-time.Duration(age)*ageUnit), now)
		}
	}
}

// Neighbours returns the routers that self exchanges heartbeats with: all of
// them when there are at most mesh, else those of a random graph in which every
// router chooses degree others and is chosen by about as many.
func Neighbours(self fleet.VM, all []fleet.VM, mesh, degree int) []fleet.VM {
	if len(all) <= mesh {
		return slices.DeleteFunc(slices.Clone(all), func(vm fleet.VM) bool { return vm == self })
	}
	ids := make([]uint64, len(all))
	for i, vm := range all {
		ids[i] = xxhash.Sum64String(string(vm))
	}
	own := xxhash.Sum64String(string(self))
	var out []fleet.VM
	for i, vm := range all {
		if vm != self && (chooses(own, ids[i], ids, degree) || chooses(ids[i], own, ids, degree)) {
			out = append(out, vm)
		}
	}
	return out
}

// chooses reports whether the router by has to among the degree others with
// the highest edge hash.
func chooses(by, to uint64, ids []uint64, degree int) bool {
	limit := edge(by, to)
	higher := 0
	for _, other := range ids {
		if other != by && edge(by, other) > limit {
			higher++
		}
		if higher >= degree {
			return false
		}
	}
	return true
}

// edge mixes two hashes into one that depends on their order.
func edge(from, to uint64) uint64 {
	h := (from ^ bits.RotateLeft64(to, 32)) * 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}
