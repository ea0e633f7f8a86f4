package sitestate_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/sitestate"
)

// orderUpdate returns an update of an era with the records of orders between two offsets.
func orderUpdate(era, from, end int64, whole bool, records ...sitestate.Record[sitestate.Rollout]) *sitestate.Update {
	return &sitestate.Update{
		Rollouts: records, From: sitestate.Positions{Operator: from, Era: era}, End: sitestate.Positions{Operator: end, Targets: 1, VMs: 1, Era: era},
		WholeOperator: whole, WholeTargets: whole, WholeVMs: whole,
	}
}

func order(to string, offset, era int64) sitestate.Record[sitestate.Rollout] {
	return sitestate.Record[sitestate.Rollout]{
		Key: "s", Offset: offset, Value: sitestate.Rollout{Service: "s", To: to, Duration: time.Minute, Offset: offset, Era: era},
	}
}

// TestMalformedOrderLeavesTheOneBeforeItInForce covers reads of changes and of the whole topic.
func TestMalformedOrderLeavesTheOneBeforeItInForce(t *testing.T) {
	for _, whole := range []bool{false, true} {
		s, now := sitestate.New(), time.Unix(1000, 0)
		must.Len(t, 1, s.Apply(now, orderUpdate(1, 0, 6, true, order("v2", 5, 1))).Rollouts)
		bad := sitestate.Record[sitestate.Rollout]{Key: "s", Offset: 7, Value: sitestate.Rollout{Malformed: true}}
		must.SliceEmpty(t, s.Apply(now, orderUpdate(1, 6, 8, whole, bad)).Rollouts)
		must.Eq(t, "v2", s.Since(now, sitestate.Positions{}).Rollouts[0].Value.To)
		gone := sitestate.Record[sitestate.Rollout]{Key: "s", Offset: 9, Gone: true}
		must.True(t, s.Apply(now, orderUpdate(1, 8, 10, false, gone)).Rollouts[0].Gone)
	}
}

// TestOrderStandsThatARestoredLogLacks lets the log return from a copy without the order. It stands
// for a while, keeps its identity if it is written again, and is withdrawn if not.
func TestOrderStandsThatARestoredLogLacks(t *testing.T) {
	for _, rewritten := range []bool{false, true} {
		s, now := sitestate.New(), time.Unix(1000, 0)
		s.Apply(now, orderUpdate(1, 0, 6, true, order("v2", 5, 1)))
		must.SliceEmpty(t, s.Apply(now, orderUpdate(2, 0, 3, true)).Rollouts)
		if rewritten {
			must.SliceEmpty(t, s.Apply(now.Add(time.Second), orderUpdate(2, 3, 4, false, order("v2", 3, 2))).Rollouts)
			now = now.Add(time.Minute)
			must.SliceEmpty(t, s.Apply(now, orderUpdate(2, 4, 4, false)).Rollouts)
			must.Eq(t, 5, s.Since(now, sitestate.Positions{}).Rollouts[0].Value.Offset)
			continue
		}
		must.SliceEmpty(t, s.Apply(now.Add(29*time.Second), orderUpdate(2, 3, 3, false)).Rollouts)
		changes := s.Apply(now.Add(31*time.Second), orderUpdate(2, 3, 3, false))
		must.Len(t, 1, changes.Rollouts)
		must.True(t, changes.Rollouts[0].Gone)
	}
}
