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

	records map[fleet.VM]*record
	// listed holds the names on the VM list in order.
	listed []fleet.VM
	// listHash identifies listed and their data centres.
	listHash  uint32
	rowsHash  uint16
	changedAt time.Time
	// listedAt is the time of the last change of any row.
	listedAt time.Time
	beats    int
	changed  bool
}

type record struct {
	info        fleet.VMInfo
	listed      bool
	incarnation fleet.Incarnation
	lastHeard   time.Time
	// direct is the time of the last heartbeat from the router itself.
	direct  time.Time
	period  time.Duration
	leaving bool
	// listHash and settling come from the router's last heartbeat.
	listHash  uint32
	settling  bool
	status    State
	penalty   float64
	penaltyAt time.Time
	damped    bool
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

// SetParams replaces the rules.
func (v *View) SetParams(p Params) { v.params = p }

// SetLeaving marks the router itself as leaving.
func (v *View) SetLeaving(now time.Time) bool {
	v.leaving = true
	return v.Tick(now)
}

// ApplyList takes a fetched VM list and reports whether the view changed. A
// list without any VM of the site is ignored: this router runs on one.
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
		changed = v.list(vm, now) || changed
		v.listed = append(v.listed, vm.VM)
	}
	v.rehash(own, now)
	return v.Tick(now) || changed
}

func (v *View) list(vm fleet.VMInfo, now time.Time) bool {
	r, ok := v.records[vm.VM]
	if !ok {
		r = &record{period: v.params.Period, status: StateJoining, penaltyAt: now}
		v.records[vm.VM] = r
	}
	changed := !ok || r.info != vm
	r.listed = true
	r.info = vm
	return changed
}

// rehash notes a change of the set of listed VMs. The first list is no change.
func (v *View) rehash(own []fleet.VMInfo, now time.Time) {
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
		v.rowsHash, v.listedAt = rows, now
	}
	if v.listHash != 0 && sum != v.listHash {
		v.changed, v.changedAt = true, now
	}
	v.listHash = sum
}

// ApplyHeartbeat takes a heartbeat from another router and reports whether the view
// changed. A heartbeat of an older incarnation is ignored while the newer one
// is not dead.
func (v *View) ApplyHeartbeat(now time.Time, from fleet.VM, hb Heartbeat) bool {
	if from == v.self {
		return false
	}
	r, ok := v.records[from]
	if !ok {
		r = &record{info: fleet.VMInfo{VM: from}, status: StateJoining, penaltyAt: now}
		v.records[from] = r
	}
	if hb.Incarnation < r.incarnation && r.status != StateDead {
		return false
	}
	if hb.Incarnation != r.incarnation && r.incarnation != 0 {
		v.penalise(r, now)
		r.leaving = false
	}
	r.incarnation = hb.Incarnation
	r.period = hb.Period
	r.leaving = hb.Leaving
	r.settling = hb.Settling
	if hb.ListHash != 0 {
		r.listHash = hb.ListHash
	}
	r.direct = now
	v.heardAt(r, now, now)
	v.applyAges(now, hb)
	return v.Tick(now)
}

// heardAt notes that the router behind r was alive at t.
func (v *View) heardAt(r *record, t, now time.Time) {
	if !t.After(r.lastHeard) {
		return
	}
	if r.status == StateSuspect || r.status == StateDead {
		v.penalise(r, now)
	}
	r.lastHeard = t
}

func (v *View) penalise(r *record, now time.Time) {
	r.penalty = v.decayed(r, now) + 1
	r.penaltyAt = now
	if r.penalty >= v.params.FlapLimit {
		r.damped = true
	}
}

func (v *View) decayed(r *record, now time.Time) float64 {
	if r.penalty == 0 {
		return 0
	}
	halves := now.Sub(r.penaltyAt).Seconds() / v.params.FlapHalfLife.Seconds()
	return r.penalty * math.Exp2(-halves)
}

// Tick moves routers between states as time passes and reports whether any
// state changed.
func (v *View) Tick(now time.Time) bool {
	changed := false
	for name, r := range v.records {
		if name == v.self {
			r.lastHeard = now
			r.leaving = v.leaving
		}
		if r.damped && v.decayed(r, now) < v.params.FlapLimit/2 {
			r.damped = false
		}
		next := v.next(r, now)
		if next != r.status {
			r.status = next
			changed = true
		}
		if v.forgettable(r, now) {
			delete(v.records, name)
			changed = true
		}
	}
	return changed
}

// next returns the state that a router is in at now:
//
//	any      -> joining  never heard, not listed, or held back for flapping
//	any      -> leaving  the list or the router itself says that it leaves
//	any      -> suspect  SuspectPeriods heartbeats are missing
//	suspect  -> dead     DeadPeriods heartbeats are missing
//	any      -> alive    listed and heard
func (v *View) next(r *record, now time.Time) State {
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
	case silence > v.limit(r, v.params.DeadPeriods):
		return StateDead
	case r.leaving || r.info.State == fleet.VMLeaving:
		return StateLeaving
	case silence > v.limit(r, v.params.SuspectPeriods):
		return StateSuspect
	case !r.listed || r.damped:
		return StateJoining
	default:
		return StateAlive
	}
}

// relayPeriods is the allowance, in periods, for news that arrives by way of
// other routers.
const relayPeriods = 4

func (v *View) limit(r *record, periods int) time.Duration {
	period := max(r.period, v.params.Period)
	if r.direct.Before(r.lastHeard) {
		periods += relayPeriods
	}
	return time.Duration(periods) * period
}

func (v *View) forgettable(r *record, now time.Time) bool {
	if r.listed || r.info.VM == v.self {
		return false
	}
	return r.status == StateDead && now.Sub(r.lastHeard) > 2*v.limit(r, v.params.DeadPeriods)
}

// Members returns all routers sorted by VM name.
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

// HasList reports whether a VM list of the site has been seen.
func (v *View) HasList() bool { return v.listHash != 0 }

// Settling reports whether the list changed within the settle time.
func (v *View) Settling(now time.Time) bool {
	return v.changed && now.Sub(v.changedAt) < v.params.SettleTime
}

// Agreed reports whether no router can be acting on another VM list: every
// listed one is heard and has the same list as this one, or all that are heard
// have it and have had it for the settle time.
func (v *View) Agreed(now time.Time) bool {
	if !v.HasList() {
		return false
	}
	if v.allHeardAgree() {
		return true
	}
	if v.Settling(now) {
		return false
	}
	for name, r := range v.records {
		if name == v.self || r.direct.IsZero() || r.status == StateDead {
			continue
		}
		if r.listHash != v.listHash || r.settling {
			return false
		}
	}
	return true
}

func (v *View) allHeardAgree() bool {
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

// hashEvery is the number of heartbeats of which one carries the hashes of a
// list that has not changed lately.
const hashEvery = 8

// Heartbeat returns this router's heartbeat. Period is the time until the next one.
func (v *View) Heartbeat(now time.Time, period time.Duration, withAges bool) Heartbeat {
	hb := Heartbeat{
		Incarnation: v.records[v.self].incarnation,
		Period:      period,
		Leaving:     v.leaving,
		Settling:    v.Settling(now),
	}
	v.beats++
	if withAges || v.beats%hashEvery == 1 || now.Sub(v.listedAt) < v.params.SettleTime {
		hb.ListHash, hb.RowsHash = v.listHash, v.rowsHash
	}
	if withAges {
		hb.Ages = v.ages(now)
	}
	return hb
}

// ListDiffers reports whether a heartbeat shows a VM list other than this view's.
func (v *View) ListDiffers(hb Heartbeat) bool {
	return hb.ListHash != 0 && (hb.ListHash != v.listHash || hb.RowsHash != v.rowsHash)
}
