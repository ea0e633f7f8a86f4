package forward

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

func TestDigestCarriesLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var u updates
		for range rapid.IntRange(2, 20).Draw(t, "reports") {
			r := ratelimit.Report{
				Process: ratelimit.Process{Target: fleet.Ref(rapid.Uint32().Draw(t, "target")), Born: rapid.Uint32().Draw(t, "born")},
				Limited: rapid.Bool().Draw(t, "limited"),
				At:      start.Add(-time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond),
			}
			if r.Limited {
				r.Rate = float64(rapid.IntRange(0, 4_000_000).Draw(t, "rate")) / 1000
			}
			u.limits = append(u.limits, r)
		}
		d, refs := decodeDigest(t, newDigest(start, loadtable.NewEncoder(1), nil, u))
		must.Eq(t, u.limits, d.limits(start, refs))
		must.SliceEmpty(t, d.limits(start, nil), must.Sprint("unknown targets"))
		d.Limits = d.Limits[:len(d.Limits)-rapid.IntRange(1, limitSize).Draw(t, "lost bytes")]
		must.Eq(t, u.limits[:len(u.limits)-1], d.limits(start, refs), must.Sprint("up to the incomplete one"))
	})
}

// silentPeers are routers that do not answer queries.
type silentPeers struct {
	peer.Peers
}

func (silentPeers) Query(context.Context, fleet.VM, peer.Kind, []byte) ([]byte, error) {
	return nil, errors.New("no answer")
}

// TestCallerThatLeavesBlamesNoRouter covers a question for a grant that ends because its
// caller has left: the router that was asked is not at fault, unlike one that is silent.
func TestCallerThatLeavesBlamesNoRouter(t *testing.T) {
	for _, left := range []bool{true, false} {
		s := sentRequest(&routing.Route{Kind: routing.Safe, Attempts: 2}, new(twoTargets)).s
		s.peers, s.grantRouters = silentPeers{}, []fleet.VM{"other"}
		target := s.site.Available("llm")[0]
		s.limits.Named(time.Now(), processOf(&target), 2)
		ctx, cancel := context.WithCancel(t.Context())
		if left {
			cancel()
		}
		must.False(t, s.obtainGrant(ctx, &target))
		must.Eq(t, left, s.asker.Usable(time.Now())("other"))
		cancel()
	}
}

// TestGrantQueryWithoutARate covers a malformed question of another router: it gets an
// error, and grants nothing.
func TestGrantQueryWithoutARate(t *testing.T) {
	s := sentRequest(&routing.Route{Kind: routing.Safe, Attempts: 2}, new(twoTargets)).s
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		payload, err := wire.Marshal(&grantQuery{Target: 1, Rate: rate})
		must.NoError(t, err)
		_, err = s.handleGrant(t.Context(), "other", payload)
		must.Error(t, err)
	}
	must.SliceEmpty(t, s.limits.Reports())
}
