package app

import (
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRouterThatKnowsNoWork guards against a router without the measure of work, as one of an
// earlier release is, that can't work beside others that send it in their digests.
func TestRouterThatKnowsNoWork(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		b.extra = "[forward]\nwork_load = true\n"
		for _, name := range []string{"2", "3"} {
			b.stop(name)
			b.router(name)
		}
		b.wait(4 * time.Second)
		for _, route := range []string{"chat", "status"} {
			answers, _ := loadSite(b, route, 50*time.Millisecond, 4*time.Second)
			for _, a := range answers {
				must.NoError(t, a.err)
				must.Eq(t, http.StatusOK, a.status)
			}
		}
		must.Eq(t, 0, b.workCount("1"))
		must.Eq(t, 160, b.workCount("2"))
		must.Eq(t, 160, b.workCount("3"))
		for _, name := range []string{"1", "2", "3"} {
			must.Eq(t, 0, b.lines.of(name, "Failed to decode load digest."))
		}
	})
}

var workCounts = regexp.MustCompile(`zinniafork_forward_work_actual_seconds_count (\d+)`)

// workCount returns the number of responses whose work a router has recorded.
func (b *siteBed) workCount(router string) int {
	found := workCounts.FindStringSubmatch(b.get("10.0.0."+router+":83", "/metrics").body)
	if found == nil {
		return 0
	}
	n, err := strconv.Atoi(found[1])
	must.NoError(b.t, err)
	return n
}
