package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// TestFirstPartOfALongPromptIsQuarantined covers a part that crashes engines and stands
// before many others that are each request's own.
func TestFirstPartOfALongPromptIsQuarantined(t *testing.T) {
	for _, length := range []int{2, 17, 40, 250, 256, 1000, 4095} {
		tracker := quarantine.New()
		now := time.Unix(1_700_000_000, 0)
		const deadly = uint64(7)
		next := uint64(1000)
		for i := range 4 {
			parts := []uint64{deadly}
			for len(parts) < length {
				next++
				parts = append(parts, next)
			}
			now = now.Add(time.Second)
			tracker.Served(now, []uint64{next + 1_000_000}, quarantine.Engine{Target: 99, Service: "llm"}, now)
			tracker.Crashed(now, quarantine.Crash{Engine: quarantine.Engine{Target: fleet.Ref(i), Service: "llm"}, Parts: parts, Content: next * 3})
		}
		part, refused := tracker.Refuses(now, []uint64{deadly, 5, 6}, func(uint64) bool { return false })
		must.True(t, refused, must.Sprint("prompts of ", length, " parts"))
		must.Eq(t, deadly, part)
		_, refused = tracker.Refuses(now, []uint64{next, 5, 6}, func(uint64) bool { return false })
		must.False(t, refused, must.Sprint("another part, in prompts of ", length))
	}
}
