package configsync

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
)

const (
	// snapshotPeriod is the interval of the checks for a snapshot that is due.
	snapshotPeriod = 5 * time.Second
	// snapshotTimeout is the time that a snapshot may take to appear in the log
	// before the next one is appended.
	snapshotTimeout = 30 * time.Second
)

// appendSnapshot appends a snapshot of the configuration when one is due, so that
// the log always keeps the records that a new reader needs.
func (s *Service) appendSnapshot(ctx context.Context, now time.Time) {
	rank := snapshotRank(s.members.Self().VM, s.members.Snapshot())
	s.mu.Lock()
	due := now.Sub(s.lastSnapshot) >= snapshotTimeout && s.state.SnapshotDue(now, s.settings.Retention.Std(), rank)
	var data []byte
	var err error
	if due {
		s.lastSnapshot = now
		data, err = s.state.Snapshot(uuid.NewString())
	}
	s.mu.Unlock()
	if !due || err != nil {
		return
	}
	if err := appendRecord(ctx, s.clock, s.log, data); err != nil {
		s.logger.WithError(err).Warn("Cannot append a configuration snapshot.")
		return
	}
	s.logger.WithField("bytes", len(data)).Info("Configuration snapshot appended.")
}

// snapshotRank returns this router's position among the live ones, in an order that
// is the same on all of them. State.SnapshotDue uses it to choose the router that
// appends.
func snapshotRank(self fleet.VM, view *members.Snapshot) int {
	var live []fleet.VM
	for _, m := range view.Members {
		if m.Status == members.StateAlive || m.VM == self {
			live = append(live, m.VM)
		}
	}
	slices.SortFunc(live, func(a, b fleet.VM) int {
		return cmp.Compare(xxhash.Sum64String(string(a)+Stream), xxhash.Sum64String(string(b)+Stream))
	})
	return slices.Index(live, self)
}
