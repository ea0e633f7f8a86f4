package app

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestPathOfARelayEjectsNoTarget partitions a relaying router from all targets as well. The
// router that asked it must not hold that against the targets, which the third router reaches.
func TestPathOfARelayEjectsNoTarget(t *testing.T) {
	for _, cut := range []kerneltest.Cut{kerneltest.CutHang, kerneltest.CutRefuse} {
		t.Run(string(cut), func(t *testing.T) { losePathOfRelay(t, cut) })
	}
}

// TestResetPathOfARelayEjectsNoTarget is the same with a partition that resets open connections.
func TestResetPathOfARelayEjectsNoTarget(t *testing.T) { losePathOfRelay(t, kerneltest.CutReset) }

func losePathOfRelay(t *testing.T, cut kerneltest.Cut) {
	t.Helper()
	onSite(t, func(t *testing.T, b *siteBed) {
		all := b.engines(workerd.Options{Slots: 64, Events: 6, Work: 100 * time.Millisecond, Gap: 100 * time.Millisecond})
		b.views["1"].Partition(cut, all...)
		b.warmRelays()
		b.streams("1", time.Second)
		ejected := b.lines.of("1", "Target ejected after failures.")
		time.AfterFunc(500*time.Millisecond, func() { b.views["2"].Partition(cut, all...) })
		b.streams("1", 6*time.Second)
		must.Eq(t, ejected, b.lines.of("1", "Target ejected after failures."))
	})
}
