package site

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// TestRouterOfAnEarlierReleaseReadsOrders decodes an update with orders as a router does that knows
// none, and an update of such a router.
func TestRouterOfAnEarlierReleaseReadsOrders(t *testing.T) {
	type earlier struct {
		Drains []sitestate.Record[sitestate.Drain]
		End    sitestate.Positions
	}
	data, err := encodeUpdate(&sitestate.Update{
		Drains:   []sitestate.Record[sitestate.Drain]{{Key: "dc1", Offset: 4}},
		Rollouts: []sitestate.Record[sitestate.Rollout]{{Key: "s", Offset: 5, Value: sitestate.Rollout{Service: "s", To: "v2"}}},
		End:      sitestate.Positions{Operator: 6},
	})
	must.NoError(t, err)
	var old earlier
	must.NoError(t, wire.Unmarshal(data[1:], &old))
	must.Len(t, 1, old.Drains)
	must.Eq(t, 6, old.End.Operator)
	data, err = wire.Marshal(&old)
	must.NoError(t, err)
	u, err := decodeUpdate(append([]byte{messagePlain}, data...))
	must.NoError(t, err)
	must.SliceEmpty(t, u.Rollouts)
}
