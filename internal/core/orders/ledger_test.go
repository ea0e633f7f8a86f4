package orders_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

var (
	key       = orders.NewKey(minted, [10]byte{1})
	nonceA    = orders.Nonce{Process: 1, Seq: 1}
	nonceB    = orders.Nonce{Process: 2, Seq: 1}
	ticketKey = (&orders.Ticket{Claim: 0, Router: "vm-1", MintedMS: minted.UnixMilli()}).Key()
)

func intent(k orders.Key, n orders.Nonce, claim uint64) orders.Record {
	return orders.Record{Kind: orders.KindIntent, Key: k, Nonce: n, Claim: claim}
}

func outcomeRecord(kind orders.Kind, k orders.Key, n orders.Nonce) orders.Record {
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
		winner  orders.Nonce
	}{
		"first intent wins": {
			[]orders.Record{intent(key, nonceA, 0), intent(key, nonceB, 0)}, key, orders.PhaseOpen, nonceA,
		},
		"later intent wins after a release": {
			[]orders.Record{intent(key, nonceA, 0), outcomeRecord(orders.KindReleased, key, nonceA), intent(key, nonceB, 0)}, key, orders.PhaseOpen, nonceB,
		},
		"intent before the release of another never wins": {
			[]orders.Record{intent(key, nonceA, 0), intent(key, nonceB, 0), outcomeRecord(orders.KindReleased, key, nonceA)}, key, orders.PhaseFree, nonceA,
		},
		"late duplicate of a released intent is ignored": {
			[]orders.Record{intent(key, nonceA, 0), outcomeRecord(orders.KindReleased, key, nonceA), intent(key, nonceA, 0)}, key, orders.PhaseFree, nonceA,
		},
		"release before the intent arrives": {
			[]orders.Record{outcomeRecord(orders.KindReleased, key, nonceA), intent(key, nonceA, 0), intent(key, nonceB, 0)}, key, orders.PhaseOpen, nonceB,
		},
		"release of another nonce": {
			[]orders.Record{intent(key, nonceA, 0), outcomeRecord(orders.KindReleased, key, nonceB)}, key, orders.PhaseOpen, nonceA,
		},
		"done is final": {
			[]orders.Record{intent(key, nonceA, 0), outcomeRecord(orders.KindDone, key, nonceA), outcomeRecord(orders.KindReleased, key, nonceA), intent(key, nonceB, 0)}, key, orders.PhaseDone, nonceA,
		},
		"intent after an unknown outcome is ignored": {
			[]orders.Record{intent(key, nonceA, 0), outcomeRecord(orders.KindUnknown, key, nonceA), intent(key, nonceB, 0)}, key, orders.PhaseUnknown, nonceA,
		},
		"done after unknown": {
			[]orders.Record{intent(key, nonceA, 0), outcomeRecord(orders.KindUnknown, key, nonceA), outcomeRecord(orders.KindDone, key, nonceA)}, key, orders.PhaseDone, nonceA,
		},
		"done replaces settled": {
			[]orders.Record{intent(key, nonceA, 0), outcomeRecord(orders.KindSettled, key, nonceB), outcomeRecord(orders.KindDone, key, nonceA)}, key, orders.PhaseDone, nonceA,
		},
		"settled does not replace done": {
			[]orders.Record{intent(key, nonceA, 0), outcomeRecord(orders.KindDone, key, nonceA), outcomeRecord(orders.KindSettled, key, nonceB)}, key, orders.PhaseDone, nonceA,
		},
		"intent under an older claim is ignored": {
			[]orders.Record{claim(true), claim(true), intent(key, nonceA, 0), intent(key, nonceB, 1)}, key, orders.PhaseOpen, nonceB,
		},
		"claim that is not exclusive invalidates no intent": {
			[]orders.Record{claim(true), claim(false), intent(key, nonceA, 0)}, key, orders.PhaseOpen, nonceA,
		},
		"ticket wins only under its own claim": {
			[]orders.Record{claim(false), claim(true), intent(ticketKey, nonceB, 1), intent(ticketKey, nonceA, 0)}, ticketKey, orders.PhaseOpen, nonceA,
		},
		"ticket of a closed claim is an ordinary key": {
			[]orders.Record{claim(false), claim(true), {Kind: orders.KindCloseClaim, Claim: 0}, intent(ticketKey, nonceB, 1)}, ticketKey, orders.PhaseOpen, nonceB,
		},
		"checkpoint restores a dropped state": {
			[]orders.Record{{Kind: orders.KindCheckpoint, Key: key, Nonce: nonceA, Phase: orders.PhaseUnknown}, intent(key, nonceB, 0)}, key, orders.PhaseUnknown, nonceA,
		},
		"outdated checkpoint is ignored": {
			[]orders.Record{intent(key, nonceA, 0), outcomeRecord(orders.KindReleased, key, nonceA), {Kind: orders.KindCheckpoint, Key: key, Nonce: nonceA, Phase: orders.PhaseOpen}}, key, orders.PhaseFree, nonceA,
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
				must.Eq(t, c.winner, e.Nonce)
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

func TestLedgerPrunesOnlyKnownOutcomes(t *testing.T) {
	l := orders.NewLedger()
	l.Apply(&orders.LoggedRecord{Offset: 0, Record: intent(key, nonceA, 0)})
	l.Prune(minted.Add(2*time.Hour), time.Hour)
	must.NotNil(t, l.Entry(key))
	l.Apply(&orders.LoggedRecord{Offset: 1, Record: outcomeRecord(orders.KindDone, key, nonceA)})
	l.Prune(minted.Add(time.Minute), time.Hour)
	must.NotNil(t, l.Entry(key))
	l.Prune(minted.Add(2*time.Hour), time.Hour)
	must.Nil(t, l.Entry(key))
}
