package forward

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// TestSpeedsOfDigest guards against paces that arrive for another target or far off, and against
// malformed entries that end a router.
func TestSpeedsOfDigest(t *testing.T) {
	sent := []workload.Speed{{Target: 9, LogPace: -1.5, Weight: 0.5}, {Target: 7, LogPace: -99, Weight: 99}}
	d := newDigest(time.Unix(1, 0), loadtable.NewEncoder(1), []balance.Load{{Target: 7, Running: 1}}, updates{speeds: sent})
	data, err := wire.Marshal(d)
	must.NoError(t, err)
	var got digest
	must.NoError(t, wire.Unmarshal(data, &got))
	refs, ok := loadtable.NewDecoder().Targets(&got.Loads)
	must.True(t, ok)
	must.Eq(t, []workload.Speed{{Target: 9, LogPace: -1.5, Weight: 0.5}, {Target: 7, LogPace: -4, Weight: 255.0 / 32}}, decodeSpeeds(refs, got.Speeds))
	must.Len(t, 1, decodeSpeeds(refs, got.Speeds[:speedSize+1]))
	must.Len(t, 0, decodeSpeeds([]fleet.Ref{}, got.Speeds))
	must.Len(t, maxSpeeds, decodeSpeeds(refs, bytes.Repeat(got.Speeds[:speedSize], 2*maxSpeeds)), must.Sprint("more than a digest may hold"))

	var u updates
	u.merge(updates{speeds: sent})
	u.merge(updates{speeds: []workload.Speed{{Target: 9, LogPace: -0.5, Weight: 0.5}}})
	must.Eq(t, workload.Speed{Target: 9, LogPace: -1, Weight: 1}, u.speeds[0])
	must.Len(t, 2, u.speeds)
}
