package ratelimit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	process = ratelimit.Process{Target: 1, Born: 10}
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestLimitEndsWithARequestSentAfterIt covers a response without a limit that overtakes
// or follows one with it: it ends the limit only if its request was sent later.
func TestLimitEndsWithARequestSentAfterIt(t *testing.T) {
	tr := ratelimit.New()
	must.True(t, tr.Named(after(100), process, 2))
	must.False(t, tr.Named(after(200), process, 2))
	must.False(t, tr.NotNamed(after(300), process, after(150)), must.Sprint("sent before it was last named"))
	rate, ok := tr.Limit(process)
	must.True(t, ok)
	must.Eq(t, 2, rate)
	must.True(t, tr.NotNamed(after(300), process, after(250)))
	_, ok = tr.Limit(process)
	must.False(t, ok)
	must.False(t, tr.NotNamed(after(400), process, after(350)), must.Sprint("known"))
	must.True(t, tr.Named(after(500), process, 3))
	_, ok = tr.Limit(ratelimit.Process{Target: 1, Born: 11})
	must.False(t, ok, must.Sprint("another process of the target"))
}

// TestReportsOfOtherRouters checks that the later of two reports holds, whichever
// arrives first, and that a report is not announced by those who only heard of it.
func TestReportsOfOtherRouters(t *testing.T) {
	tr := ratelimit.New()
	limited := ratelimit.Report{Process: process, Limited: true, Rate: 2, At: after(100)}
	ended := ratelimit.Report{Process: process, At: after(200)}
	must.True(t, tr.Reported(after(300), limited))
	must.True(t, tr.Reported(after(300), ended))
	must.False(t, tr.Reported(after(310), limited), must.Sprint("older than the end"))
	must.SliceEmpty(t, tr.TakeDue(after(320)))
	must.Eq(t, []ratelimit.Report{ended}, tr.Reports())
	old := ratelimit.Report{Process: ratelimit.Process{Target: 2}, Limited: true, Rate: 2, At: start.Add(-time.Minute)}
	must.False(t, tr.Reported(start, old))
}

// TestLimitIsAnnouncedAgain checks that a limit is announced when it changes, once a
// second while it holds, and by one of the routers that see it.
func TestLimitIsAnnouncedAgain(t *testing.T) {
	a, b := ratelimit.New(), ratelimit.New()
	a.Named(after(0), process, 2)
	first := a.TakeDue(after(10))
	must.Len(t, 1, first)
	must.True(t, b.Reported(after(20), first[0]))
	a.Named(after(500), process, 2)
	b.Named(after(500), process, 2)
	must.SliceEmpty(t, a.TakeDue(after(510)))
	must.SliceEmpty(t, b.TakeDue(after(510)))
	a.Named(after(1100), process, 2)
	must.Len(t, 1, a.TakeDue(after(1110)))
	b.Reported(after(1120), a.Reports()[0])
	b.Named(after(1200), process, 2)
	must.SliceEmpty(t, b.TakeDue(after(1210)))
	a.NotNamed(after(1300), process, after(1250))
	must.Eq(t, []ratelimit.Report{{Process: process, At: after(1250)}}, a.TakeDue(after(1310)))
}

func TestForgottenLimits(t *testing.T) {
	tr := ratelimit.New()
	tr.Named(start, process, 2)
	tr.Expire(start.Add(time.Minute))
	must.Eq(t, 1, tr.Count())
	tr.Expire(start.Add(time.Hour))
	must.Eq(t, 0, tr.Count())
	tr.Named(start, process, 2)
	tr.Forget(process.Target)
	must.SliceEmpty(t, tr.Reports())
}
