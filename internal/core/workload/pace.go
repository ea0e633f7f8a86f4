package workload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// minPace and maxPace bound what is learned of a target.
	minPace = 0.08
	maxPace = 3.0
	// maxSample bounds the logarithm of one observation, so that a single one that waited for
	// something else does not move the pace far.
	maxSample = 1.0
	// The weights of an observation in the pace. First bytes show more of the waiting than
	// of the pace.
	firstByteWeight = 0.04
	streamWeight    = 0.15
	plainWeight     = 0.1
	// minPacedEvents is the number of events from which their intervals show the pace.
	minPacedEvents = 5
	// A pace counts in full for paceHold after the last response, as one router may get a
	// response of a target only every 15 s, and not at all from paceHold + paceFade on.
	paceHold = 30 * time.Second
	paceFade = 60 * time.Second
	// reportLifetime is the age at which a report counts no more. The pace of a machine
	// changes many times a second.
	reportLifetime = 600 * time.Millisecond
	// maxReported bounds the factor by which a report moves the pace, reportMemory weights
	// a report in the usual one of its target.
	maxReported  = 2.0
	reportMemory = 0.05
	// Reports count while the mean error of predictions with them is below errorRatio x
	// that without them, judged after minJudged responses. A target whose responses
	// contradict its reports starts anew.
	errorRatio  = 0.95
	errorMemory = 0.05
	minJudged   = 20
	// slowLogPace is the logarithm of the pace below which other routers are told of a target,
	// so that digests stay small. maxFresh bounds the targets observed between two digests. maxRemoteWeight bounds the
	// weight of what other routers observed, and maxLogPace what counts as a pace.
	slowLogPace     = -0.25
	maxFresh        = 1024
	maxRemoteWeight = 0.6
	maxLogPace      = 5.0
	// maxExcessRatio bounds the requests that a report adds to the known ones, as a ratio
	// of the slots.
	maxExcessRatio = 0.5
)

// target holds what is known of the speed of one target.
type target struct {
	// logPace is the logarithm of the pace and pace its value, as of seenAt.
	logPace float64
	pace    float64
	seenAt  time.Time
	// usual is the mean logarithm of the reported slowdown, and report the factor by which
	// the last one moves the pace. excess is the number of requests that it reported beyond
	// the known ones.
	usual      float64
	reports    int
	report     float64
	reportedAt time.Time
	excess     float64
	// trusted is set while reports count. withError and withoutError are the mean errors
	// of the predictions with and without them.
	trusted      bool
	withError    float64
	withoutError float64
	judged       int
}

func newTarget() *target { return &target{pace: 1, report: 1} }

func (m *Model) target(ref fleet.Ref) *target { return lookup(m.targets, ref, newTarget) }

// fade returns 1 for something at now and 0 from lifetime on.
func fade(now, at time.Time, lifetime time.Duration) float64 {
	return min(max(1-float64(now.Sub(at))/float64(lifetime), 0), 1)
}

// Speed returns the pace of a target in relation to the usual one, and the number of
// requests that it reported lately beyond those that were known.
func (m *Model) Speed(now time.Time, ref fleet.Ref) (pace, excess float64) {
	t, ok := m.targets.Peek(ref)
	if !ok {
		return 1, 0
	}
	base := 1 + fade(now, t.seenAt.Add(paceHold), paceFade)*(t.pace-1)
	weight := t.reportWeight(now)
	if t.trusted {
		base *= 1 + weight*(t.report-1)
	}
	return base, weight * t.excess
}

// reportWeight returns how much the last report counts, by its age.
func (t *target) reportWeight(now time.Time) float64 {
	if t.reports == 0 {
		return 0
	}
	return fade(now, t.reportedAt, reportLifetime)
}

// logPaces returns the logarithms of the pace without and with the last report. The second
// one is meant also while reports don't count.
func (t *target) logPaces(now time.Time) (without, with float64) {
	without = fade(now, t.seenAt.Add(paceHold), paceFade) * t.logPace
	if t.reports == 0 {
		return without, without
	}
	return without, without + math.Log(1+t.reportWeight(now)*(t.report-1))
}

// Report is what a target says of itself.
type Report struct {
	// Requests is the number of requests that run and wait, and Slots that of its slots.
	Requests int
	Slots    int
	// Slowdown is how long work takes in relation to the usual time, zero if unknown.
	Slowdown float64
}

// Reported records the report of a target at which known requests were known to be.
func (m *Model) Reported(now time.Time, ref fleet.Ref, r Report, known float64) {
	t := m.target(ref)
	t.reportedAt = now
	t.excess = min(max(float64(r.Requests)-known, 0), maxExcessRatio*float64(r.Slots))
	if r.Slowdown > 0 {
		slow := math.Log(r.Slowdown)
		if t.reports == 0 {
			t.usual = slow
		}
		t.usual += reportMemory * (slow - t.usual)
		t.report = min(max(math.Exp(t.usual-slow), 1/maxReported), maxReported)
	}
	t.reports++
}

// learnPace records that work took exp(slow) x the usual time.
func (m *Model) learnPace(now time.Time, j *Job, slow, weight float64) {
	t := m.target(j.target)
	slow = min(max(slow, -j.base-maxSample), -j.base+maxSample)
	t.judge(j, -slow)
	t.learn(now, -slow, weight)
	s, known := m.fresh[j.target]
	if known || len(m.fresh) < maxFresh {
		m.fresh[j.target] = s.merge(Speed{Target: j.target, LogPace: -slow, Weight: weight})
	}
}

// learn moves the pace towards an observation.
func (t *target) learn(now time.Time, logPace, weight float64) {
	current, _ := t.logPaces(now)
	t.logPace = min(max(current+weight*(logPace-current), math.Log(minPace)), math.Log(maxPace))
	t.pace, t.seenAt = math.Exp(t.logPace), now
}

// Speed is what the responses of a target have shown of its pace.
type Speed struct {
	Target fleet.Ref
	// LogPace is the mean logarithm of the pace, and Weight the sum of the weights.
	LogPace float64
	Weight  float64
}

// merge returns the mean of two observations.
func (s Speed) merge(o Speed) Speed {
	sum := s.Weight + o.Weight
	if sum <= 0 {
		return s
	}
	return Speed{Target: o.Target, LogPace: (s.LogPace*s.Weight + o.LogPace*o.Weight) / sum, Weight: sum}
}

// TakeSpeeds returns what responses to this router have shown of slow targets since the last
// call. In a large site a router gets a response of a target only every 15 s, all routers
// together several a second.
func (m *Model) TakeSpeeds() []Speed {
	var out []Speed
	for ref, s := range m.fresh {
		if t, ok := m.targets.Peek(ref); ok && t.logPace < slowLogPace {
			out = append(out, s)
		}
	}
	clear(m.fresh)
	slices.SortFunc(out, func(a, b Speed) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// MergeSpeeds adds observations to those of other routers.
func MergeSpeeds(sums, more []Speed) []Speed {
	for _, s := range more {
		i := slices.IndexFunc(sums, func(o Speed) bool { return o.Target == s.Target })
		if i < 0 {
			sums = append(sums, s)
		} else {
			sums[i] = sums[i].merge(s)
		}
	}
	return sums
}

// LearnSpeeds records what responses to other routers have shown.
func (m *Model) LearnSpeeds(now time.Time, speeds []Speed) {
	for _, s := range speeds {
		if s.Weight > 0 && math.Abs(s.LogPace) < maxLogPace {
			m.target(s.Target).learn(now, s.LogPace, min(s.Weight, maxRemoteWeight))
		}
	}
}

// judge compares the predictions with and without the report of a target with what
// happened.
func (t *target) judge(j *Job, actual float64) {
	if j.base == j.reported {
		return
	}
	t.withoutError += errorMemory * (math.Abs(actual-j.base) - t.withoutError)
	t.withError += errorMemory * (math.Abs(actual-j.reported) - t.withError)
	t.judged++
	if t.judged < minJudged {
		return
	}
	helps := t.withError < errorRatio*t.withoutError
	if t.trusted && !helps {
		t.judged, t.withError, t.withoutError = 0, 0, 0
	}
	t.trusted = helps
}

// Forget discards what is known of a target, after it restarted.
func (m *Model) Forget(ref fleet.Ref) { m.targets.Remove(ref) }

// Paces calls f with the pace of each known target.
func (m *Model) Paces(now time.Time, f func(ref fleet.Ref, pace float64)) {
	for _, ref := range m.targets.Keys() {
		pace, _ := m.Speed(now, ref)
		f(ref, pace)
	}
}
