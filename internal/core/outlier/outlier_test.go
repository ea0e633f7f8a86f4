package outlier_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/outlier"
)

var start = time.Unix(1_700_000_000, 0)

const id = 7

func TestEjection(t *testing.T) {
	ok, failed, unreachable := outlier.OK, outlier.Failed, outlier.Unreachable
	for _, c := range []struct {
		name     string
		outcomes []outlier.Outcome
		want     outlier.State
	}{
		{"nothing known", nil, outlier.InUse},
		{"one failure", []outlier.Outcome{failed}, outlier.InUse},
		{"unreachable once", []outlier.Outcome{ok, ok, unreachable}, outlier.Ejected},
		{"four in a row", []outlier.Outcome{ok, failed, failed, failed, failed}, outlier.Ejected},
		{"one in seven, as at healthy targets", []outlier.Outcome{ok, ok, ok, failed, ok, ok, ok, ok, ok, ok, failed, ok, ok, ok}, outlier.InUse},
		{"four in ten", []outlier.Outcome{failed, ok, ok, failed, ok, failed, ok, ok, ok, failed}, outlier.Ejected},
	} {
		d := outlier.New()
		for _, o := range c.outcomes {
			d.Observe(start, id, o)
		}
		must.Eq(t, c.want, d.State(start, id), must.Sprint(c.name))
	}
}

func TestRemoteFailuresCount(t *testing.T) {
	d := outlier.New()
	must.False(t, d.ObserveRemote(start, id, outlier.Counts{OK: 6, Failed: 3}))
	must.True(t, d.ObserveRemote(start, id, outlier.Counts{OK: 1, Failed: 2}))
	must.Eq(t, outlier.Ejected, d.State(start, id))
}

// TestTrialsReturnTarget follows an ejected target: one trial at a time, each
// after twice the time of the one before, until one succeeds.
func TestTrialsReturnTarget(t *testing.T) {
	d := outlier.New()
	d.Observe(start, id, outlier.Unreachable)
	now := start.Add(499 * time.Millisecond)
	must.Eq(t, outlier.Ejected, d.State(now, id))
	now = start.Add(500 * time.Millisecond)
	must.Eq(t, outlier.Trial, d.State(now, id))
	d.StartTrial(id)
	must.Eq(t, outlier.Ejected, d.State(now, id), must.Sprint("one trial at a time"))
	d.Observe(now, id, outlier.Failed)
	must.Eq(t, outlier.Ejected, d.State(now.Add(900*time.Millisecond), id))
	now = now.Add(time.Second)
	must.Eq(t, outlier.Trial, d.State(now, id))
	d.StartTrial(id)
	d.Observe(now, id, outlier.OK)
	must.Eq(t, outlier.InUse, d.State(now, id))
}

func TestCancelledTrialIsRepeated(t *testing.T) {
	d := outlier.New()
	d.Observe(start, id, outlier.Unreachable)
	now := start.Add(time.Second)
	d.StartTrial(id)
	d.CancelTrial(id)
	must.Eq(t, outlier.Trial, d.State(now, id))
}

func TestFailuresLeaveTheWindow(t *testing.T) {
	d := outlier.New()
	for range 3 {
		d.Observe(start, id, outlier.Failed)
	}
	d.Observe(start, id, outlier.OK)
	later := start.Add(10 * time.Second)
	for range 9 {
		must.False(t, d.Observe(later, id, outlier.OK))
	}
	must.False(t, d.Observe(later, id, outlier.Failed))
}

func TestAtMostHalfMayBeEjected(t *testing.T) {
	must.True(t, outlier.MayEject(1, 3))
	must.False(t, outlier.MayEject(2, 3))
	must.True(t, outlier.MayEject(6, 12))
	must.False(t, outlier.MayEject(7, 12))
}

func TestLocalCountsAreTakenOnce(t *testing.T) {
	d := outlier.New()
	d.Observe(start, id, outlier.OK)
	d.Observe(start, id, outlier.Failed)
	must.Eq(t, outlier.Counts{OK: 1, Failed: 1}, d.TakeLocalCounts()[id])
	must.MapEmpty(t, d.TakeLocalCounts())
}

// TestHalfFailingTargetStaysEjectedMostly guards against a target that fails
// every other request and so passes every other trial: without probation it
// would return after each passed trial.
func TestHalfFailingTargetStaysEjectedMostly(t *testing.T) {
	d := outlier.New()
	served, failed := 0, 0
	for i := range 600 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		switch d.State(now, id) {
		case outlier.Ejected:
			continue
		case outlier.Trial:
			d.StartTrial(id)
		}
		o := outlier.OK
		if served++; served%2 == 0 {
			o = outlier.Failed
			failed++
		}
		d.Observe(now, id, o)
	}
	must.Less(t, 50, failed, must.Sprint("of 300 failures without ejection"))
}

func TestHealthyTargetPassesProbation(t *testing.T) {
	d := outlier.New()
	d.Observe(start, id, outlier.Unreachable)
	now := start.Add(time.Second)
	d.StartTrial(id)
	for i := range 13 {
		o := outlier.OK
		if i == 6 {
			o = outlier.Failed
		}
		must.False(t, d.Observe(now, id, o))
	}
	d.Observe(now, id, outlier.Failed)
	d.Observe(now, id, outlier.OK)
	must.Eq(t, outlier.InUse, d.State(now, id))
}

// TestOwnSuccessOutweighsLateReports guards against a success of this router that ejects its
// target, since failures that other routers saw before the target returned were reported since.
func TestOwnSuccessOutweighsLateReports(t *testing.T) {
	d := outlier.New()
	for range 4 {
		d.Observe(start, id, outlier.Failed)
	}
	now := start.Add(time.Second)
	d.StartTrial(id)
	for range 4 {
		must.False(t, d.Observe(now, id, outlier.OK))
	}
	must.False(t, d.ObserveRemote(now, id, outlier.Counts{OK: 3, Failed: 40}))
	must.False(t, d.Observe(now, id, outlier.OK))
	must.Eq(t, outlier.InUse, d.State(now, id))
	must.True(t, d.Observe(now, id, outlier.Failed), must.Sprint("it fails here as well"))
}

// TestRequestsInFlightAreNoTrials guards against a crash with many requests in flight that ejects
// its target for as long as a row of failed trials.
func TestRequestsInFlightAreNoTrials(t *testing.T) {
	d := outlier.New()
	for range 12 {
		d.Observe(start, id, outlier.Failed)
	}
	now := start.Add(500 * time.Millisecond)
	must.Eq(t, outlier.Trial, d.State(now, id))
	d.StartTrial(id)
	must.True(t, d.Observe(now, id, outlier.Failed))
	for range 12 {
		must.False(t, d.Observe(now, id, outlier.Failed), must.Sprint("sent while too many targets were ejected"))
	}
	now = now.Add(time.Second)
	must.Eq(t, outlier.Trial, d.State(now, id))
}

// TestOutcomeTimedBeforeTheFirst records an outcome with a time before that of the first one, as of
// a router that was held up after it had read the clock (index out of range).
func TestOutcomeTimedBeforeTheFirst(t *testing.T) {
	d := outlier.New()
	d.Observe(start, id, outlier.OK)
	early := start.Add(-10 * time.Second)
	must.False(t, d.Observe(early, id, outlier.Failed))
	must.False(t, d.ObserveRemote(early, id, outlier.Counts{OK: 8, Failed: 2}))
	must.True(t, d.ObserveRemote(start, id, outlier.Counts{Failed: 2}), must.Sprint("five of 14"))
}
