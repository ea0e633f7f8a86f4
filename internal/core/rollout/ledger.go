package rollout

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// minStep is the least number of requests by which Granted is written ahead, and
	// stepShare the part of the budget so far that is written ahead at once.
	minStep   = 10
	stepShare = 0.1
	// urgentPart of the budget may be granted to streams that go on at the new version,
	// which the canary leaves over.
	urgentPart = 0.9
)

// Ledger divides the requests that the new version may get among routers. At any time, the sum
// of what routers have sent and of what they still may send is within the budget.
//
// A grant counts until a report shows that the router follows a later reply: then it can't be
// used any more. That of a router that is not heard any more counts for good.
type Ledger struct {
	limits Limits
	rng    *rand.Rand
	// carried counts what earlier controllers and processes may have sent, carriedSent the
	// requests of the service that earlier processes sent.
	carried, carriedSent int64
	// authorized is the highest Granted that is written.
	authorized int64
	accounts   map[fleet.VM]*account
}

// account is what a router has sent and may send.
type account struct {
	incarnation fleet.Incarnation
	// base is the number of requests to the new version at the first report: they are
	// carried.
	base, new, sent int64
	// held is the number of grants that are held for requests that were not sent yet.
	held   int64
	grants []grant
	// rate is the number of requests a second, as of ratedAt.
	rate     float64
	ratedAt  time.Time
	sentThen int64
}

// grant is the limit that a reply named.
type grant struct {
	seq   uint64
	limit int64
}

// NewLedger returns the ledger of a controller. granted is what earlier ones may have granted.
func NewLedger(limits Limits, granted int64, rng *rand.Rand) *Ledger {
	return &Ledger{limits: limits, rng: rng, carried: granted, authorized: granted, accounts: make(map[fleet.VM]*account)}
}

// bound returns the most requests that a router may have sent to the new version.
func (a *account) bound() int64 {
	out := a.new + a.held
	for _, g := range a.grants {
		out = max(out, g.limit)
	}
	return out
}

// Report takes the counts of a router. first is true for the first report of a process to a
// controller that took over: what was sent to the new version before is carried already.
func (l *Ledger) Report(now time.Time, vm fleet.VM, r *Report, tookOver bool) {
	a, ok := l.accounts[vm]
	if ok && a.incarnation != r.Incarnation {
		l.carried += a.bound() - a.base
		l.carriedSent += a.sent
		ok = false
	}
	if !ok {
		a = &account{incarnation: r.Incarnation, ratedAt: now, sentThen: r.Sent}
		if tookOver {
			a.base = r.New
		}
		l.accounts[vm] = a
	}
	if r.New >= a.new && r.Sent >= a.sent { // a report that was overtaken shows an earlier state
		a.held = r.Held
	}
	a.new, a.sent = max(a.new, r.New), max(a.sent, r.Sent)
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.seq >= r.Applied {
			kept = append(kept, g)
		}
	}
	a.grants = kept
	if elapsed := now.Sub(a.ratedAt).Seconds(); elapsed >= rateWindow.Seconds() {
		a.rate = float64(a.sent-a.sentThen) / elapsed
		a.ratedAt, a.sentThen = now, a.sent
	}
}

// rateWindow is the time over which the rate of a router is measured.
const rateWindow = time.Second

// totals are sums over all routers.
type totals struct {
	// sent counts the requests of the service since the order, bound the most that the new
	// version may have got, and spent those that it is known to have got, with those carried.
	sent, bound, spent int64
	rate               float64
}

// totals adds up all accounts.
func (l *Ledger) totals() totals {
	out := totals{sent: l.carriedSent, bound: l.carried, spent: l.carried}
	for _, a := range l.accounts {
		out.sent += a.sent
		out.bound += a.bound() - a.base
		out.spent += a.new + a.held - a.base
		out.rate += a.rate
	}
	return out
}

// Sent returns the requests of the service that are known to have been sent since the order.
func (l *Ledger) Sent() int64 { return l.totals().sent }

// Bound returns the most requests that the new version may have got.
func (l *Ledger) Bound() int64 { return l.totals().bound }

// budget returns a part of the requests that the new version may get so far.
func (l *Ledger) budget(t totals, part float64) int64 {
	return int64(part * (l.limits.ExposeShare*float64(t.sent) + l.limits.ExposeSlack))
}

// Need returns the Granted that must be written for grants to go on, and whether that is more
// than what is written.
func (l *Ledger) Need(part float64) (granted int64, write bool) {
	t := l.totals()
	budget := l.budget(t, part)
	step := max(minStep, int64(stepShare*float64(budget)))
	if l.authorized >= budget || l.authorized-t.spent >= step/2 {
		return l.authorized, false
	}
	return min(budget, max(l.authorized, t.bound)+step), true
}

// Authorized records that Granted was written.
func (l *Ledger) Authorized(granted int64) { l.authorized = max(l.authorized, granted) }

// Grant returns the limit for a router within a part of the budget. Routers with more requests
// get more; those with few get one at random, so that each request has the same chance.
func (l *Ledger) Grant(vm fleet.VM, seq uint64, part float64, urgent int) int64 {
	a := l.accounts[vm]
	t := l.totals()
	ceiling := min(l.budget(t, part), l.authorized)
	free := max(ceiling-t.spent, 0)
	weight := 1 / float64(len(l.accounts))
	if t.rate > 0 {
		weight = a.rate / t.rate
	}
	share := weight * float64(free)
	want := int64(math.Floor(share))
	if l.rng.Float64() < share-math.Floor(share) {
		want++
	}
	limit := min(a.new+a.held+want, a.bound()+max(ceiling-t.bound, 0))
	if urgent > 0 {
		more := min(l.budget(t, urgentPart), l.authorized) - t.bound
		limit = max(limit, min(a.new+a.held+int64(urgent), a.bound()+max(more, 0)))
	}
	a.grants = append(a.grants, grant{seq: seq, limit: limit})
	return limit
}
