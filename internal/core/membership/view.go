package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// View is one router's view of all routers of its site. It is not safe for
// concurrent use.
type View struct {
	params  Params
	self    fleet.VM
	leaving bool

	// records hold every known router, self included.
	records map[fleet.VM]*record
	// listed holds the names on the VM list, sorted.
	listed []fleet.VM
	// listHash covers the names and data centres of the listed VMs, rowsHash
	// their states and addresses too. Both are zero before the first list.
	listHash uint32
	rowsHash uint16
	// listChangedAt is the time of the last change of listHash. It is valid if
	// listChanged; the first list is no change.
	listChangedAt time.Time
	// rowsChangedAt is the time of the last change of rowsHash.
	rowsChangedAt time.Time
	// heartbeatsBuilt counts the heartbeats built.
	heartbeatsBuilt int
	listChanged     bool
}

// record is what a view knows of one router.
type record struct {
	info        fleet.VMInfo
	listed      bool
	incarnation fleet.Incarnation
	// lastHeard is the latest time at which the router is known to have been
	// alive.
	lastHeard time.Time
	// lastDirect is the time of the last heartbeat received from the router
	// itself.
	lastDirect time.Time
	// period is the time that the router announced until its next heartbeat.
	period  time.Duration
	leaving bool
	// listHash is the last list hash that the router sent, settling is from its
	// last heartbeat.
	listHash uint32
	settling bool
	status   State
	// flapPenalty is the penalty at flapPenaltyAt; it decays from then on.
	// damped is true while the router is held back for flapping.
	flapPenalty   float64
	flapPenaltyAt time.Time
	damped        bool
}

// New returns a view that knows only the router itself.
func New(self fleet.VMInfo, incarnation fleet.Incarnation, params Params, now time.Time) *View {
	v := &View{params: params, self: self.VM, records: make(map[fleet.VM]*record)}
	v.records[self.VM] = &record{
		info:        self,
		incarnation: incarnation,
		lastHeard:   now,
		period:      params.Period,
		status:      StateAlive,
	}
	return v
}

// SetParams replaces the timing rules.
func (v *View) SetParams(p Params) { v.params = p }

// SetLeaving marks the router itself as leaving and reports whether the view
// changed.
func (v *View) SetLeaving(now time.Time) bool {
	v.leaving = true
	return v.Tick(now)
}

// ApplyList applies a VM list and reports whether the view changed. A list
// without any VM of the site is ignored: it must be wrong, because this router
// runs on one.
func (v *View) ApplyList(now time.Time, vms []fleet.VMInfo) bool {
	site := v.records[v.self].info.Site
	own := make([]fleet.VMInfo, 0, len(vms))
	for _, vm := range vms {
		if vm.Site == site {
			own = append(own, vm)
		}
	}
	if len(own) == 0 {
		return false
	}
	slices.SortFunc(own, func(a, b fleet.VMInfo) int { return strings.Compare(string(a.VM), string(b.VM)) })
	for _, r := range v.records {
		r.listed = false
	}
	v.listed = v.listed[:0]
	changed := false
	for _, vm := range own {
		changed = v.addListed(vm, now) || changed
		v.listed = append(v.listed, vm.VM)
	}
	v.updateHashes(own, now)
	return v.Tick(now) || changed
}

// addListed adds or updates the record of a listed VM and reports whether it
// changed.
func (v *View) addListed(vm fleet.VMInfo, now time.Time) bool {
	r, ok := v.records[vm.VM]
	if !ok {
		r = &record{period: v.params.Period, status: StateJoining, flapPenaltyAt: now}
		v.records[vm.VM] = r
	}
	changed := !ok || r.info != vm
	r.listed = true
	r.info = vm
	return changed
}

// updateHashes updates the hashes of the list and notes when they changed.
func (v *View) updateHashes(own []fleet.VMInfo, now time.Time) {
	h := xxhash.New()
	for _, vm := range own {
		_, _ = h.WriteString(string(vm.VM))
		_, _ = h.WriteString("\x00" + string(vm.DataCentre) + "\x00")
	}
	sum := uint32(h.Sum64())
	for _, vm := range own {
		_, _ = h.WriteString(string(vm.State) + "\x00" + vm.PeerAddr + "\x00")
	}
	if rows := uint16(h.Sum64()); rows != v.rowsHash {
		v.rowsHash, v.rowsChangedAt = rows, now
	}
	if v.listHash != 0 && sum != v.listHash {
		v.listChanged, v.listChangedAt = true, now
	}
	v.listHash = sum
}

// ApplyHeartbeat applies a heartbeat received from another router and reports
// whether the view changed. A heartbeat of an older incarnation is ignored
// unless the newer one is dead.
func (v *View) ApplyHeartbeat(now time.Time, from fleet.VM, hb Heartbeat) bool {
	if from == v.self {
		return false
	}
	r, ok := v.records[from]
	if !ok {
		r = &record{info: fleet.VMInfo{VM: from}, status: StateJoining, flapPenaltyAt: now}
		v.records[from] = r
	}
	if hb.Incarnation < r.incarnation && r.status != StateDead {
		return false
	}
	if hb.Incarnation != r.incarnation && r.incarnation != 0 {
		v.addFlapPenalty(r, now)
		r.leaving = false
	}
	r.incarnation = hb.Incarnation
	r.period = hb.Period
	r.leaving = hb.Leaving
	r.settling = hb.Settling
	if hb.ListHash != 0 {
		r.listHash = hb.ListHash
	}
	r.lastDirect = now
	v.recordHeard(r, now, now)
	v.applyAges(now, hb)
	return v.Tick(now)
}

// recordHeard records that the router was alive at t. A return from suspect or
// dead counts as a flap.
func (v *View) recordHeard(r *record, t, now time.Time) {
	if !t.After(r.lastHeard) {
		return
	}
	if r.status == StateSuspect || r.status == StateDead {
		v.addFlapPenalty(r, now)
	}
	r.lastHeard = t
}

// addFlapPenalty adds one flap to the decayed penalty and holds the router back
// if the limit is reached.
func (v *View) addFlapPenalty(r *record, now time.Time) {
	r.flapPenalty = v.decayedPenalty(r, now) + 1
	r.flapPenaltyAt = now
	if r.flapPenalty >= v.params.FlapLimit {
		r.damped = true
	}
}

// decayedPenalty returns the flap penalty at now.
func (v *View) decayedPenalty(r *record, now time.Time) float64 {
	if r.flapPenalty == 0 {
		return 0
	}
	halves := now.Sub(r.flapPenaltyAt).Seconds() / v.params.FlapHalfLife.Seconds()
	return r.flapPenalty * math.Exp2(-halves)
}

// Tick updates the states for the time now, removes routers that are long gone,
// and reports whether anything changed.
func (v *View) Tick(now time.Time) bool {
	changed := false
	for name, r := range v.records {
		if name == v.self {
			r.lastHeard = now
			r.leaving = v.leaving
		}
		if r.damped && v.decayedPenalty(r, now) < v.params.FlapLimit/2 {
			r.damped = false
		}
		next := v.nextState(r, now)
		if next != r.status {
			r.status = next
			changed = true
		}
		if v.expired(r, now) {
			delete(v.records, name)
			changed = true
		}
	}
	return changed
}

// nextState returns the state of a router at now:
//
//	any      -> joining  never heard, not listed, or held back for flapping
//	any      -> leaving  the list or the router itself says that it leaves
//	any      -> suspect  SuspectPeriods heartbeats are missing
//	suspect  -> dead     DeadPeriods heartbeats are missing
//	any      -> alive    listed and heard
func (v *View) nextState(r *record, now time.Time) State {
	if r.info.VM == v.self {
		if v.leaving || r.info.State == fleet.VMLeaving {
			return StateLeaving
		}
		return StateAlive
	}
	if r.lastHeard.IsZero() {
		return StateJoining
	}
	silence := now.Sub(r.lastHeard)
	switch {
	case silence > v.silenceLimit(r, v.params.DeadPeriods):
		return StateDead
	case r.leaving || r.info.State == fleet.VMLeaving:
		return StateLeaving
	case silence > v.silenceLimit(r, v.params.SuspectPeriods):
		return StateSuspect
	case !r.listed || r.damped:
		return StateJoining
	default:
		return StateAlive
	}
}

// relayPeriods is the number of extra periods allowed for information that
// other routers relay.
const relayPeriods = 4

// silenceLimit returns how long a router may be silent before it has missed the
// given number of heartbeats.
func (v *View) silenceLimit(r *record, periods int) time.Duration {
	period := max(r.period, v.params.Period)
	if r.lastDirect.Before(r.lastHeard) {
		periods += relayPeriods
	}
	return time.Duration(periods) * period
}

// expired reports whether the record of a router can be dropped: it is not
// listed, and it has been silent for twice the time after which it counts as
// dead.
func (v *View) expired(r *record, now time.Time) bool {
	if r.listed || r.info.VM == v.self {
		return false
	}
	return r.status == StateDead && now.Sub(r.lastHeard) > 2*v.silenceLimit(r, v.params.DeadPeriods)
}

// Members returns all known routers sorted by VM name.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.records))
	for _, r := range v.records {
		out = append(out, Member{
			VMInfo:      r.info,
			Incarnation: r.incarnation,
			Status:      r.status,
			LastHeard:   r.lastHeard,
			Listed:      r.listed,
		})
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}

// HasList reports whether a VM list of the site has been applied.
func (v *View) HasList() bool { return v.listHash != 0 }

// Settling reports whether the set of listed VMs changed within SettleTime.
func (v *View) Settling(now time.Time) bool {
	return v.listChanged && now.Sub(v.listChangedAt) < v.params.SettleTime
}

// Agreed reports whether no router can be acting on another VM list. That holds
// if every listed router is heard and has the same list as this one, or if all
// routers that are heard have it and none of the lists changed within
// SettleTime.
func (v *View) Agreed(now time.Time) bool {
	if !v.HasList() {
		return false
	}
	if v.allListedAgree() {
		return true
	}
	if v.Settling(now) {
		return false
	}
	for name, r := range v.records {
		if name == v.self || r.lastDirect.IsZero() || r.status == StateDead {
			continue
		}
		if r.listHash != v.listHash || r.settling {
			return false
		}
	}
	return true
}

// allListedAgree reports whether every listed router is heard and has the same
// list as this one.
func (v *View) allListedAgree() bool {
	for _, name := range v.listed {
		r := v.records[name]
		if name == v.self {
			continue
		}
		heard := r.status == StateAlive || r.status == StateLeaving
		if !heard || r.listHash != v.listHash {
			return false
		}
	}
	return true
}

// heartbeatsPerHash is the number of heartbeats of which one carries the hashes
// of a list that has not changed lately.
const heartbeatsPerHash = 8

// Heartbeat returns the next heartbeat of this router. period is the time until
// the one after it; withAges adds the ages of the listed VMs, which other
// routers relay.
func (v *View) Heartbeat(now time.Time, period time.Duration, withAges bool) Heartbeat {
	hb := Heartbeat{
		Incarnation: v.records[v.self].incarnation,
		Period:      period,
		Leaving:     v.leaving,
		Settling:    v.Settling(now),
	}
	v.heartbeatsBuilt++
	if withAges || v.heartbeatsBuilt%heartbeatsPerHash == 1 || now.Sub(v.rowsChangedAt) < v.params.SettleTime {
		hb.ListHash, hb.RowsHash = v.listHash, v.rowsHash
	}
	if withAges {
		hb.Ages = v.ages(now)
	}
	return hb
}

// ListDiffers reports whether a heartbeat shows that its sender has another VM
// list than this view.
func (v *View) ListDiffers(hb Heartbeat) bool {
	return hb.ListHash != 0 && (hb.ListHash != v.listHash || hb.RowsHash != v.rowsHash)
}
