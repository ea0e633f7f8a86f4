package configstate

import "time"

// Rules for the time of snapshots.
const (
	// snapshotVersions is the number of versions after which a snapshot is due.
	// It limits the number of records that a new reader replays.
	snapshotVersions = 128
	// rankVersions and rankRetentionDivisor delay the snapshot of routers of
	// higher rank, so that normally only one router appends it. Each rank adds
	// rankVersions versions, or 1/rankRetentionDivisor of the retention time.
	rankVersions         = 16
	rankRetentionDivisor = 32
	// maxRank limits the delay, so that even the last rank appends a snapshot
	// before the log drops records that are still needed.
	maxRank = 8
)

// replayLength tracks how much of the log a new reader has to replay.
type replayLength struct {
	// oldestTime is the log time of the oldest record that a new reader needs,
	// zero if the log does not hold all of them.
	oldestTime time.Time
	// versions counts the versions accepted since the newest snapshot.
	versions int
}

// addVersion counts a version accepted at record r; first is true for the first
// version of the log.
func (l *replayLength) addVersion(first bool, r Record) {
	if first {
		l.oldestTime = r.Time
	}
	l.versions++
}

// addSnapshot restarts the count at the snapshot in record r. A new reader also
// needs the records between the base and r. They are older only by the time of
// one append, unless r is far above the base; such a snapshot does not count.
func (l *replayLength) addSnapshot(s *Snapshot, r Record) {
	if s.Base+snapshotVersions < r.Offset {
		return
	}
	l.oldestTime = r.Time
	l.versions = 0
}

// SnapshotDue reports whether this reader should append a snapshot now. The
// router in charge of snapshots has rank 0; the others step in by rank when it
// does not act. retention is how long the log keeps records.
func (s *State) SnapshotDue(now time.Time, retention time.Duration, rank int) bool {
	if !s.anchored || s.confirmed.head.Version.Hash == "" {
		return false
	}
	rank = min(max(rank, 0), maxRank)
	if s.replay.versions >= snapshotVersions+rank*rankVersions {
		return true
	}
	wait := retention/4 + time.Duration(rank)*retention/rankRetentionDivisor
	return now.Sub(s.replay.oldestTime) >= wait
}

// Snapshot returns the record of the confirmed state, from which a new reader
// can start at the current position.
func (s *State) Snapshot(nonce string) ([]byte, error) {
	return EncodeSnapshot(s.confirmed.snapshot(s.next, nonce))
}
