package app

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestUnframedResponsesAsCallersSeeThem covers responses that have neither a length nor
// chunks, from all targets: whole ones are passed on whole, broken ones never look whole.
func TestUnframedResponsesAsCallersSeeThem(t *testing.T) {
	for _, c := range []struct {
		route  string
		fault  workerd.Fault
		status int
		broken bool
		runs   int
	}{
		{"order", workerd.FaultUnframed, 200, false, 1},
		{"status", workerd.FaultUnframed, 200, false, 1},
		{"chat", workerd.FaultUnframed, 200, false, 1},
		{"draft", workerd.FaultUnframed, 200, false, 1},
		{"order", workerd.FaultUnframedReset, 502, false, 1},
		{"status", workerd.FaultUnframedReset, 502, false, 2},
		{"chat", workerd.FaultUnframedReset, 200, true, 2},
		{"draft", workerd.FaultUnframedReset, 200, true, 1},
		{"chat", workerd.FaultUnframedCut, 200, true, 2},
		{"draft", workerd.FaultUnframedCut, 200, true, 1},
		{"chat", workerd.FaultUnframedEmpty, 502, false, 2},
		{"draft", workerd.FaultUnframedEmpty, 502, false, 1},
	} {
		t.Run(fmt.Sprint(c.route, " ", c.fault), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				b.fault(c.fault)
				a := b.call("1", c.route)
				must.Eq(t, c.status, a.status)
				must.Eq(t, c.broken, a.err != nil, must.Sprint("error: ", a.err))
				must.Eq(t, c.runs, b.runs())
				stream := c.route == "chat" || c.route == "draft"
				switch {
				case stream && c.broken:
					must.StrHasPrefix(t, a.body, wholeStream(6))
					must.NotEq(t, wholeStream(6), a.body)
				case stream && c.status == 200:
					must.Eq(t, wholeStream(6), a.body)
				case c.status == 200:
					must.StrHasPrefix(t, "answer of p", a.body)
					must.StrHasSuffix(t, " to r1", a.body)
				}
			})
		})
	}
}

// TestBrokenUnframedResponseIsReplaced breaks an unframed response off at the target
// that holds the request: another one repeats it or goes on with its stream.
func TestBrokenUnframedResponseIsReplaced(t *testing.T) {
	for _, c := range []struct {
		route string
		fault workerd.Fault
	}{
		{"status", workerd.FaultUnframedReset},
		{"chat", workerd.FaultUnframedReset},
		{"chat", workerd.FaultUnframedCut},
		{"chat", workerd.FaultUnframedEmpty},
	} {
		t.Run(fmt.Sprint(c.route, " ", c.fault), func(t *testing.T) {
			onSite(t, func(t *testing.T, b *siteBed) {
				first, second := b.holder(c.route)
				before := len(b.workers[first].Runs())
				b.workers[first].Set(c.fault)
				b.workers[second].Set(workerd.FaultUnframed)
				a := b.call("1", c.route)
				must.NoError(t, a.err)
				must.Eq(t, 200, a.status)
				must.Len(t, before+1, b.workers[first].Runs())
				if c.route == "chat" {
					must.Eq(t, wholeStream(6), a.body)
				} else {
					must.StrHasPrefix(t, "answer of "+second, a.body)
				}
			})
		})
	}
}

// TestResumedUnframedStream covers streams that go on after an event that the caller or
// the router has, and of which nothing may be left.
func TestResumedUnframedStream(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.fault(workerd.FaultUnframed)
		a := b.callAfter("1", "chat", "4")
		must.NoError(t, a.err)
		must.Eq(t, wholeStream(6), wholeStream(4)+a.body)
		a = b.callAfter("1", "chat", "6")
		must.NoError(t, a.err, must.Sprint("nothing is left"))
		must.Eq(t, 200, a.status)
		must.Eq(t, "", a.body)
		must.Eq(t, 3, b.runs(), must.Sprint("two targets say that nothing is left"))
	})
	onSite(t, func(t *testing.T, b *siteBed) {
		first, second := b.holder("chat")
		b.workers[first].Set(workerd.FaultUnframedCut)
		b.workers[second].Set(workerd.FaultUnframedEmpty)
		a := b.call("1", "chat")
		must.Error(t, a.err, must.Sprint("the engine that was to go on has sent nothing"))
		must.StrHasPrefix(t, a.body, wholeStream(6))
	})
}

// TestEmptyRestOfAStreamIsAskedForTwice takes streams up while one of two engines ends its
// responses before the first event, as one that crashes after the head does.
func TestEmptyRestOfAStreamIsAskedForTwice(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.workers["e1"].Set(workerd.FaultUnframedEmpty)
		for i := range 5 {
			a := b.send("1", "chat", "4", "aa", fmt.Sprint("b", i))
			must.Eq(t, 200, a.status)
			must.True(t, strings.HasSuffix(wholeStream(6), a.body) && a.body != "", must.Sprintf("%+v", a))
			b.wait(3 * time.Second) // for the retry budget
		}
		must.SliceNotEmpty(t, b.workers["e1"].Runs())
	})
}
