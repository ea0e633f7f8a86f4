package orders_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

var minted = time.UnixMilli(1_800_000_000_123)

func TestParseKey(t *testing.T) {
	dated := string(orders.NewKey(minted, [10]byte{1}))
	ticket := string((&orders.Ticket{Partition: 3, Claim: 17, Router: "vm-1", MintedMS: minted.UnixMilli(), Serial: 4}).Key())
	cases := map[string]struct {
		text string
		ok   bool
	}{
		"UUID of version 7":                {dated, true},
		"upper case is the same key":       {strings.ToUpper(dated), true},
		"ticket":                           {ticket, true},
		"UUID of version 4":                {"5a3c1f0e-8d5b-4c53-9a1b-1f2e3d4c5b6a", false},
		"free text":                        {"order-1", false},
		"empty":                            {"", false},
		"ticket with an invalid character": {ticket[:len(ticket)-1] + "!", false},
		"ticket with trailing characters":  {ticket + "AA", false},
		"ticket prefix only":               {"zt1.", false},
		"UUID of version 7 in brackets":    {"{" + dated + "}", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := orders.ParseKey(c.text)
			if !c.ok {
				must.ErrorIs(t, err, orders.ErrInvalidKey)
				return
			}
			must.NoError(t, err)
			must.Eq(t, minted.UnixMilli(), got.Minted.UnixMilli())
		})
	}
	upper, err := orders.ParseKey(strings.ToUpper(dated))
	must.NoError(t, err)
	must.Eq(t, orders.Key(dated), upper.Key)
}

func TestPartition(t *testing.T) {
	ticket, err := orders.ParseKey(string((&orders.Ticket{Partition: 3}).Key()))
	must.NoError(t, err)
	must.Eq(t, 3, ticket.Partition(8))
	counts := make([]int, 8)
	for i := range 8000 {
		k, err := orders.ParseKey(string(orders.NewKey(minted, [10]byte{8: byte(i >> 8), 9: byte(i)})))
		must.NoError(t, err)
		counts[k.Partition(8)]++
	}
	for _, n := range counts {
		must.Between(t, 800, n, 1200)
	}
}

func TestRecordRoundTrip(t *testing.T) {
	r := orders.Record{
		Kind: orders.KindDone, Key: "k", Identity: orders.Identity{Account: "a", Service: "s", Digest: [16]byte{1, 2}},
		Nonce: orders.Nonce{Process: 1 << 63, Seq: 2}, Claim: 9, Router: "vm-1", Incarnation: 4, SendDeadlineMS: 5,
		Outcome: &orders.Outcome{Run: orders.RunDone, Status: 201, ContentType: "text/plain", Body: []byte("done"), Target: "print-1"},
	}
	data, err := r.Encode()
	must.NoError(t, err)
	got, err := orders.DecodeRecord(data)
	must.NoError(t, err)
	must.Eq(t, r, got)
	_, err = orders.DecodeRecord([]byte("not a record"))
	must.Error(t, err)
}
