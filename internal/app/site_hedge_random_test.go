package app

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/siteclient"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// hedgeFaults are the faults that random plays of hedges draw from.
var hedgeFaults = []workerd.Fault{
	workerd.FaultNone, workerd.FaultNone, workerd.FaultSilent, workerd.FaultSilentHead, workerd.FaultSilentLong,
	workerd.FaultMute, workerd.FaultCut, workerd.FaultLose, workerd.FaultFail, workerd.FaultRefuse, workerd.FaultCutLong,
	workerd.FaultEndlessHead, workerd.FaultEndlessRefusal, workerd.FaultUnframed, workerd.FaultLeaving,
}

// hedgeCall is a request of a random play and what its caller got.
type hedgeCall struct {
	id, route string
	// leaves is the time after which the caller leaves, zero if it stays.
	leaves time.Duration
	// endedAt is when it left or had its answer.
	endedAt time.Time
	answer  answer
}

// play sends the request.
func (b *siteBed) play(c *hedgeCall, deadline time.Duration) {
	request := &siteclient.Request{ID: c.id, Host: "a.example", Route: c.route, Key: "key", Deadline: deadline, Body: "body"}
	if c.route == "chat" || c.route == "draft" {
		request.Prompt = []string{"aa", "bb", c.id}
	}
	defer func() { c.endedAt = time.Now() }()
	ctx, cancel := context.WithCancel(b.t.Context())
	defer cancel()
	if c.leaves > 0 {
		stop := time.AfterFunc(c.leaves, cancel)
		defer stop.Stop()
	}
	r, err := request.HTTP(ctx, "10.0.0.1:80")
	must.NoError(b.t, err)
	resp, err := b.client.Do(r)
	if err != nil {
		c.answer = answer{err: err}
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.answer = answer{status: resp.StatusCode, body: string(body), header: resp.Header, err: err}
}

// checkPlay checks what the caller got, and what the targets ran, against the rules.
func (b *siteBed) checkPlay(c *hedgeCall) {
	ran, ended := 0, true
	for _, w := range b.workers {
		for _, run := range w.Runs() {
			if run.Request != c.id {
				continue
			}
			ran++
			ended = ended && !run.Ended.IsZero()
			if c.route != "order" {
				must.LessEq(b.t, 100*time.Millisecond, run.Ended.Sub(c.endedAt), must.Sprint("work goes on without a caller", c))
			}
		}
	}
	attempts := 2
	if c.route == "order" || c.route == "draft" {
		attempts = 1
	}
	must.LessEq(b.t, attempts, ran, must.Sprint("runs", c))
	must.True(b.t, ended, must.Sprint("a run has not ended", c))
	if c.answer.status == 503 {
		must.Eq(b.t, 0, ran, must.Sprint("refused after a run", c))
	}
	whole := wholeStream(6)
	switch {
	case c.answer.status != 200:
	case c.route == "chat" || c.route == "draft":
		must.True(b.t, strings.HasPrefix(whole, c.answer.body), must.Sprint(c))
		if c.answer.err == nil {
			must.Eq(b.t, whole, c.answer.body, must.Sprint("events", c))
		}
	case c.answer.err == nil && len(c.answer.body) == 1<<20:
	case c.answer.err == nil:
		must.StrHasSuffix(b.t, " to "+c.id, c.answer.body, must.Sprint("body", c))
	}
}

// TestRandomSilencesKeepRules plays silences, breaks and refusals of all targets at
// random against several requests at once, whose callers may leave.
func TestRandomSilencesKeepRules(t *testing.T) {
	for seed := range uint64(hedgePlays) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onSite(t, func(_ *testing.T, b *siteBed) {
				random := rand.New(rand.NewPCG(seed, 1))
				b.worker("e3", "llm", workerd.Options{})
				b.worker("p3", "plain", workerd.Options{})
				for i := 1; i <= 3; i++ {
					pause := time.Duration(random.IntN(8)) * 300 * time.Millisecond
					b.restartWorker(fmt.Sprint("e", i), "llm", workerd.Options{Slots: 64, Events: 6, Work: 20 * time.Millisecond, Silence: pause})
					b.restartWorker(fmt.Sprint("p", i), "plain", workerd.Options{Slots: 64, Work: 30 * time.Millisecond, Silence: pause})
				}
				b.stop("2") // leaves the whole retry budget to the router in use
				b.stop("3")
				b.wait(5 * time.Second)
				var calls []*hedgeCall
				for range 6 {
					for _, w := range b.workers {
						w.Set(hedgeFaults[random.IntN(len(hedgeFaults))])
					}
					var wg sync.WaitGroup
					for range 4 {
						c := &hedgeCall{id: fmt.Sprintf("c%d", len(calls)), route: []string{"chat", "status", "chat", "status", "order", "draft"}[random.IntN(6)]}
						if random.IntN(4) == 0 {
							c.leaves = time.Duration(1+random.IntN(25)) * 100 * time.Millisecond
						}
						deadline := time.Duration(500+500*random.IntN(6)) * time.Millisecond
						calls = append(calls, c)
						wg.Go(func() { b.play(c, deadline) })
						b.wait(time.Duration(random.IntN(4)) * 10 * time.Millisecond)
					}
					wg.Wait()
				}
				b.wait(5 * time.Second)
				for _, c := range calls {
					b.checkPlay(c)
				}
			})
		})
	}
}

// hedgePlays is the number of plays.
const hedgePlays = 20
