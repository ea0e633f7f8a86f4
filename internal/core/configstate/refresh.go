package configstate

import "time"

// Terms of snapshots.
const (
	// snapshotEvery is the number of versions after which a snapshot is due,
	// so that a new reader has few records to replay.
	snapshotEvery = 128
	// rankVersions and rankShare delay the snapshot of a router of higher
	// rank, so that one router does it unless it fails.
	rankVersions = 16
	rankShare    = 32
	// maxRank limits the delay, so that the last rank acts before the log
	// drops anything.
	maxRank = 8
)

// cover tracks how much of the log a new reader needs.
type cover struct {
	// since is the log time of the oldest record that a new reader needs, zero
	// when the log does not hold all that it needs.
	since time.Time
	// versions counts the versions accepted after the newest snapshot.
	versions int
}

func (c *cover) publish(first bool, r Record) {
	if first {
		c.since = r.Time
	}
	c.versions++
}

// snapshot notes a snapshot at record r. A snapshot that lies above its base
// needs the records between, which are older by the time of one append.
func (c *cover) snapshot(s *Snapshot, r Record) {
	if s.Base+snapshotEvery < r.Offset {
		return
	}
	c.since = r.Time
	c.versions = 0
}

// SnapshotDue reports whether this reader should append a snapshot now. The
// router that holds the role has rank 0, the others act in the order of their
// ranks when it does not. retention is the time for which the log keeps
// records.
func (s *State) SnapshotDue(now time.Time, retention time.Duration, rank int) bool {
	if !s.anchored || s.confirmed.head.Version.Hash == "" {
		return false
	}
	rank = min(max(rank, 0), maxRank)
	if s.cover.versions >= snapshotEvery+rank*rankVersions {
		return true
	}
	wait := retention/4 + time.Duration(rank)*retention/rankShare
	return now.Sub(s.cover.since) >= wait
}

// Snapshot returns the record that lets a new reader start at this position.
func (s *State) Snapshot(nonce string) ([]byte, error) {
	return EncodeSnapshot(s.confirmed.snapshot(s.next, nonce))
}
