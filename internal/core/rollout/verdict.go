package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// singleAlarm is the CUSUM at which a version with a single target counts as bad.
	singleAlarm = 9.0
	// minOldLatencies is the number of old latencies from which a quantile is used.
	minOldLatencies = 30
	// blockResponses is the number of old responses of which a share of bad ones is taken as
	// reference for the cutover.
	blockResponses = 200
	// quantileMargin is the number of buckets above a quantile from which a latency counts
	// as slow, so that a small difference does not move a narrow distribution over it.
	quantileMargin = 1
)

// ratios are the ratios of the odds of a bad response at the new version to those at the old
// ones for which evidence is collected.
var ratios = [...]float64{2, 5, 20}

// aspect is one way in which a response can be bad.
type aspect struct {
	name string
	// quantile is that of the old latencies above which a response is slow, zero for
	// failures.
	quantile float64
	// tolerance is the ratio of the odds, and allowance the share of bad responses more,
	// up to which a version counts as equally good.
	tolerance, allowance float64
	// cutoverTolerance and cutoverAllowance hold in the cutover, when the old versions serve
	// no more and the new one bears the whole load.
	cutoverTolerance, cutoverAllowance float64
	// alarm is the CUSUM at which a version counts as bad, if the CUSUM without any one of its
	// targets reaches rest. In 120 plays each of six good versions with 64 routers, none reached
	// both; the highest single CUSUM was 7.6.
	alarm, rest float64
}

var aspects = [...]aspect{
	{name: "failures", tolerance: 1.25, allowance: 0.003, cutoverTolerance: 1.5, cutoverAllowance: 0.01, alarm: 7.5, rest: 3},
	{name: "slow (tail)", quantile: 0.99, tolerance: 1.25, cutoverTolerance: 3, cutoverAllowance: 0.03, alarm: 7.5, rest: 3},
	{name: "slow", quantile: 0.9, tolerance: 1.5, cutoverTolerance: 3, cutoverAllowance: 0.05, alarm: 9, rest: 4.5},
}

// Finding is the evidence behind a roll-back.
type Finding struct {
	// Class is the class of responses that shows it, empty for all together.
	Class  string
	Aspect string
	// New, NewBad, Old and OldBad are the responses since the order.
	New, NewBad, Old, OldBad float64
	Score                    float64
}

// String returns the figures of the finding.
func (f Finding) String() string {
	return fmt.Sprintf("%s in %q: new %.0f of %.0f, old %.0f of %.0f, score %.1f", f.Aspect, cmp.Or(f.Class, "all"), f.NewBad, f.New, f.OldBad, f.Old, f.Score)
}

// sums are the CUSUMs by ratio.
type sums [len(ratios)]float64

// track is the evidence on one aspect of one class.
type track struct {
	all sums
	// without holds the evidence without that of one target. A version is bad only if that
	// is enough too: one failing target is no bad version.
	without                  map[fleet.Ref]*sums
	new, newBad, old, oldBad float64
	// block collects old responses, worst is the highest share of bad ones in a full block.
	blockOld, blockBad, worst float64
}

// Test compares the new version with the old ones.
type Test struct {
	history map[string]*histogram
	tracks  map[string]*[len(aspects)]track
	window  cells
}

// NewTest returns a test without evidence.
func NewTest() *Test {
	return &Test{history: make(map[string]*histogram), tracks: make(map[string]*[len(aspects)]track), window: make(cells)}
}

// Add adds responses to the present window.
func (t *Test) Add(c *Cell) { t.window.add(c) }

// side counts the responses of one version in a window, for one aspect.
type side struct{ bad, all float64 }

// sample is what a window shows on one aspect of a class.
type sample struct {
	old side
	new map[fleet.Ref]side
}

// Close evaluates the window. In the cutover the new version is compared with what the old ones
// did before. It returns a finding once the new version is bad.
func (t *Test) Close(cutover bool) (Finding, bool) {
	var found Finding
	isBad := false
	classes := make(map[string]bool)
	for key := range t.window {
		classes[key.class] = true
	}
	var pooled [len(aspects)]sample
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		for i := range aspects {
			s, ok := t.sample(class, &aspects[i])
			if !ok {
				continue
			}
			pool(&pooled[i], s)
			if f, bad := t.observe(class, i, s, cutover); bad && !isBad {
				found, isBad = f, true
			}
		}
	}
	for i := range aspects {
		if f, bad := t.observe("", i, pooled[i], cutover); bad && !isBad {
			found, isBad = f, true
		}
	}
	t.learn()
	return found, isBad
}

// sample returns what the window shows on an aspect of a class.
func (t *Test) sample(class string, a *aspect) (sample, bool) {
	out := sample{new: make(map[fleet.Ref]side)}
	slowAbove := 0
	if a.quantile > 0 {
		h := t.history[class]
		if h == nil || h.total < minOldLatencies {
			return out, false
		}
		slowAbove = h.quantile(a.quantile) + quantileMargin
	}
	for key, c := range t.window {
		if key.class != class {
			continue
		}
		s := side{bad: float64(c.Failed), all: float64(c.Ended)}
		if a.quantile > 0 {
			s.bad, s.all = c.tail(slowAbove)
		}
		if key.target == 0 {
			out.old = s
		} else {
			out.new[key.target] = s
		}
	}
	return out, true
}

// pool adds a sample to another one.
func pool(to *sample, s sample) {
	if to.new == nil {
		to.new = make(map[fleet.Ref]side)
	}
	to.old.bad += s.old.bad
	to.old.all += s.old.all
	for ref, n := range s.new {
		to.new[ref] = side{bad: to.new[ref].bad + n.bad, all: to.new[ref].all + n.all}
	}
}

// learn adds the old latencies of the window to the history and empties the window.
func (t *Test) learn() {
	for key, c := range t.window {
		if key.target != 0 {
			continue
		}
		h := t.history[key.class]
		if h == nil {
			h = new(histogram)
			t.history[key.class] = h
		}
		h.add(c)
	}
	clear(t.window)
}

// observe adds a sample to the evidence on an aspect of a class.
func (t *Test) observe(class string, i int, s sample, cutover bool) (Finding, bool) {
	tracks := t.tracks[class]
	if tracks == nil {
		tracks = new([len(aspects)]track)
		t.tracks[class] = tracks
	}
	k := &tracks[i]
	k.addOld(s.old)
	total := side{}
	for ref, n := range s.new {
		total.bad += n.bad
		total.all += n.all
		if k.without == nil {
			k.without = make(map[fleet.Ref]*sums)
		}
		if k.without[ref] == nil {
			before := k.all
			k.without[ref] = &before
		}
	}
	k.new += total.all
	k.newBad += total.bad
	a := &aspects[i]
	reference := k.reference(a)
	k.all.add(a, s.old, total, cutover, reference)
	for ref, sum := range k.without {
		rest := side{bad: total.bad - s.new[ref].bad, all: total.all - s.new[ref].all}
		sum.add(a, s.old, rest, cutover, reference)
	}
	score, bad := k.score(a)
	return Finding{
		Class: class, Aspect: a.name, New: k.new, NewBad: k.newBad, Old: k.old, OldBad: k.oldBad, Score: score,
	}, bad
}

// addOld adds responses of the old versions.
func (k *track) addOld(s side) {
	k.old += s.all
	k.oldBad += s.bad
	k.blockOld += s.all
	k.blockBad += s.bad
	if k.blockOld >= blockResponses {
		k.worst = max(k.worst, k.blockBad/k.blockOld)
		k.blockOld, k.blockBad = 0, 0
	}
}

// reference returns the share of bad responses up to which the new version is good in the
// cutover.
func (k *track) reference(a *aspect) float64 {
	share := max(k.worst, (k.oldBad+1)/(k.old+blockResponses))
	return min(a.cutoverTolerance*share+a.cutoverAllowance, 0.9)
}

// score returns the highest CUSUM, and whether it shows a bad version.
func (k *track) score(a *aspect) (float64, bool) {
	score := slices.Max(k.all[:])
	if len(k.without) < 2 {
		return score, score >= singleAlarm
	}
	if score < a.alarm {
		return score, false
	}
	for _, s := range k.without {
		if slices.Max(s[:]) < a.rest {
			return score, false
		}
	}
	return score, true
}

// add adds a sample to the CUSUMs.
func (s *sums) add(a *aspect, old, now side, cutover bool, reference float64) {
	if now.all == 0 {
		return // without responses to compare, the old ones say nothing
	}
	share := 0.0
	if !cutover {
		share = now.all * a.tolerance / (now.all*a.tolerance + old.all)
		old.bad += a.allowance * old.all
	}
	for i, ratio := range ratios {
		var llr float64
		if cutover {
			llr = now.bad*math.Log(ratio) - now.all*reference*(ratio-1)
		} else {
			mean := 1 + share*(ratio-1)
			llr = now.bad*math.Log(ratio/mean) - old.bad*math.Log(mean)
		}
		s[i] = max(0, s[i]+llr)
	}
}
