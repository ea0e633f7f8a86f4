package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Ages are encoded in units of ageUnit, up to maxAgeUnits. ageLeaving and
// ageUnknown mark a router that leaves and one that was never heard.
const (
	ageUnit     = 100 * time.Millisecond
	maxAgeUnits = 250
	ageLeaving  = 254
	ageUnknown  = 255
)

// ages returns the encoded age of every listed VM, one byte each in list order.
func (v *View) ages(now time.Time) []byte {
	out := make([]byte, len(v.listed))
	for i, name := range v.listed {
		out[i] = v.ageOf(v.records[name], now)
	}
	return out
}

// ageOf returns the encoded age of a router. It rounds up, so that relayed
// information gets older with each router that passes it on.
func (v *View) ageOf(r *record, now time.Time) byte {
	switch {
	case r.lastHeard.IsZero():
		return ageUnknown
	case r.leaving:
		return ageLeaving
	}
	units := now.Sub(r.lastHeard)/ageUnit + 1
	return byte(min(units, maxAgeUnits))
}

// applyAges applies the ages of a heartbeat. They refer to positions in the
// sender's list, so they are ignored unless both lists are the same.
func (v *View) applyAges(now time.Time, hb Heartbeat) {
	if hb.ListHash != v.listHash || len(hb.Ages) != len(v.listed) {
		return
	}
	for i, age := range hb.Ages {
		r := v.records[v.listed[i]]
		if r.lastDirect.IsZero() {
			r.leaving = age == ageLeaving
		}
		if v.listed[i] != v.self && age < maxAgeUnits {
			v.recordHeard(r, now.Add(-time.Duration(age)*ageUnit), now)
		}
	}
}

// Neighbours returns the routers that self exchanges heartbeats with. With at
// most mesh routers these are all others. Beyond that, they form a random graph
// in which each router chooses degree others and is chosen by about as many.
// The choice depends only on the names, so both ends of a connection compute
// the same result.
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

// chooses reports whether router by chooses router to: to is among the degree
// routers with the highest edge hash from by.
func chooses(by, to uint64, ids []uint64, degree int) bool {
	limit := edgeHash(by, to)
	higher := 0
	for _, other := range ids {
		if other != by && edgeHash(by, other) > limit {
			higher++
		}
		if higher >= degree {
			return false
		}
	}
	return true
}

// edgeHash mixes two name hashes into one that depends on their order.
func edgeHash(from, to uint64) uint64 {
	h := (from ^ bits.RotateLeft64(to, 32)) * 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}
