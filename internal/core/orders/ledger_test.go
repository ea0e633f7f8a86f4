package orders_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

var (
	key     = orders.NewKey(minted, [10]byte{1})
	ownA    = orders.Nonce{Process: 1, Seq: 1}
	ownB    = orders.Nonce{Process: 2, Seq: 1}
	ticketC = (&orders.Ticket{Claim: 0, Router: "vm-1", MintedMS: minted.UnixMilli()}).Key()
)

func intent(k orders.Key, n orders.Nonce, claim uint64) orders.Record {
	return orders.Record{Kind: orders.KindIntent, Key: k, Nonce: n, Claim: claim}
}

func about(kind orders.Kind, k orders.Key, n orders.Nonce) orders.Record {
	return orders.Record{Kind: kind, Key: k, Nonce: n, Outcome: &orders.Outcome{Run: orders.RunDone}}
}

func claim(exclusive bool) orders.Record {
	return orders.Record{Kind: orders.KindClaim, Exclusive: exclusive}
}

func TestLedger(t *testing.T) {
	cases := map[string]struct {
		records []orders.Record
		key     orders.Key
		phase   orders.Phase
		holder  orders.Nonce
	}{
		"first intent stands": {
			[]orders.Record{intent(key, ownA, 0), intent(key, ownB, 0)}, key, orders.PhaseOpen, ownA,
		},
		"release lets a later intent stand": {
			[]orders.Record{intent(key, ownA, 0), about(orders.KindReleased, key, ownA), intent(key, ownB, 0)}, key, orders.PhaseOpen, ownB,
		},
		"an intent between never stands": {
			[]orders.Record{intent(key, ownA, 0), intent(key, ownB, 0), about(orders.KindReleased, key, ownA)}, key, orders.PhaseFree, ownA,
		},
		"late copy of a released intent is void": {
			[]orders.Record{intent(key, ownA, 0), about(orders.KindReleased, key, ownA), intent(key, ownA, 0)}, key, orders.PhaseFree, ownA,
		},
		"release before the intent arrives": {
			[]orders.Record{about(orders.KindReleased, key, ownA), intent(key, ownA, 0), intent(key, ownB, 0)}, key, orders.PhaseOpen, ownB,
		},
		"release of another nonce": {
			[]orders.Record{intent(key, ownA, 0), about(orders.KindReleased, key, ownB)}, key, orders.PhaseOpen, ownA,
		},
		"done is final": {
			[]orders.Record{intent(key, ownA, 0), about(orders.KindDone, key, ownA), about(orders.KindReleased, key, ownA), intent(key, ownB, 0)}, key, orders.PhaseDone, ownA,
		},
		"unknown is not free": {
			[]orders.Record{intent(key, ownA, 0), about(orders.KindUnknown, key, ownA), intent(key, ownB, 0)}, key, orders.PhaseUnknown, ownA,
		},
		"done after unknown": {
			[]orders.Record{intent(key, ownA, 0), about(orders.KindUnknown, key, ownA), about(orders.KindDone, key, ownA)}, key, orders.PhaseDone, ownA,
		},
		"settled gives way to done": {
			[]orders.Record{intent(key, ownA, 0), about(orders.KindSettled, key, ownB), about(orders.KindDone, key, ownA)}, key, orders.PhaseDone, ownA,
		},
		"done does not give way to settled": {
			[]orders.Record{intent(key, ownA, 0), about(orders.KindDone, key, ownA), about(orders.KindSettled, key, ownB)}, key, orders.PhaseDone, ownA,
		},
		"intent under an older claim is void": {
			[]orders.Record{claim(true), claim(true), intent(key, ownA, 0), intent(key, ownB, 1)}, key, orders.PhaseOpen, ownB,
		},
		"claim for tickets only voids nothing": {
			[]orders.Record{claim(true), claim(false), intent(key, ownA, 0)}, key, orders.PhaseOpen, ownA,
		},
		"ticket stands only under its own claim": {
			[]orders.Record{claim(false), claim(true), intent(ticketC, ownB, 1), intent(ticketC, ownA, 0)}, ticketC, orders.PhaseOpen, ownA,
		},
		"ticket of a closed claim is an ordinary key": {
			[]orders.Record{claim(false), claim(true), {Kind: orders.KindCloseClaim, Claim: 0}, intent(ticketC, ownB, 1)}, ticketC, orders.PhaseOpen, ownB,
		},
		"carried state fills a gap": {
			[]orders.Record{{Kind: orders.KindCheckpoint, Key: key, Nonce: ownA, Phase: orders.PhaseUnknown}, intent(key, ownB, 0)}, key, orders.PhaseUnknown, ownA,
		},
		"carried state that is out of date": {
			[]orders.Record{intent(key, ownA, 0), about(orders.KindReleased, key, ownA), {Kind: orders.KindCheckpoint, Key: key, Nonce: ownA, Phase: orders.PhaseOpen}}, key, orders.PhaseFree, ownA,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := orders.NewLedger()
			for i, r := range c.records {
				l.Apply(&orders.LoggedRecord{Offset: uint64(i), Time: minted, Record: r})
			}
			e := l.Entry(c.key)
			must.NotNil(t, e)
			must.Eq(t, c.phase, e.Phase)
			if c.phase != orders.PhaseFree {
				must.Eq(t, c.holder, e.Nonce)
			}
		})
	}
}

func TestLedgerCoverage(t *testing.T) {
	l := orders.NewLedger()
	must.True(t, l.Covers(minted.Add(-time.Hour), time.Minute))
	l.Skip(10, minted)
	must.Eq(t, 10, l.Next())
	must.False(t, l.Covers(minted.Add(time.Minute), time.Minute))
	must.True(t, l.Covers(minted.Add(time.Minute+1), time.Minute))
	l.Skip(5, minted.Add(time.Hour))
	must.True(t, l.Covers(minted.Add(time.Minute+1), time.Minute))
}

func TestLedgerForgetsOnlyWhatIsKnown(t *testing.T) {
	l := orders.NewLedger()
	l.Apply(&orders.LoggedRecord{Offset: 0, Record: intent(key, ownA, 0)})
	l.Prune(minted.Add(2*time.Hour), time.Hour)
	must.NotNil(t, l.Entry(key))
	l.Apply(&orders.LoggedRecord{Offset: 1, Record: about(orders.KindDone, key, ownA)})
	l.Prune(minted.Add(time.Minute), time.Hour)
	must.NotNil(t, l.Entry(key))
	l.Prune(minted.Add(2*time.Hour), time.Hour)
	must.Nil(t, l.Entry(key))
}
