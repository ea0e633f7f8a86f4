package app

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestFullEnginesRefuseAtOnce sends more streams at the same time than the engines
// have slots. Those in excess must be refused at once as not run, with the time at
// which to return, and the others must be served.
func TestFullEnginesRefuseAtOnce(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		const calls = 20 // the two engines list 6 slots each
		answers := make(chan answer, calls)
		started := time.Now()
		took := make(chan time.Duration, calls)
		for range calls {
			go func() {
				a := b.call("1", "draft")
				if a.status == 503 {
					took <- time.Since(started)
				}
				answers <- a
			}()
		}
		served, refused := 0, 0
		for range calls {
			switch a := <-answers; a.status {
			case 200:
				must.Eq(t, wholeStream(6), a.body)
				served++
			case 503:
				after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				must.NoError(t, err)
				must.Positive(t, after)
				must.Less(t, 50*time.Millisecond, <-took)
				refused++
			default:
				t.Fatalf("status %d", a.status)
			}
		}
		must.Positive(t, refused)
		must.GreaterEq(t, 12, served)
		must.Eq(t, served, b.runs())
	})
}
