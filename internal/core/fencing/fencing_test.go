package fencing_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/fencing"
)

const lease = 2 * time.Second

var (
	start = time.UnixMilli(1_800_000_000_000)
	first = fencing.Claim{Target: "engine-1", Router: "vm-1", Nonce: fencing.Nonce{Process: 1, Seq: 1}}
	later = fencing.Claim{Target: "engine-1", Router: "vm-2", Nonce: fencing.Nonce{Process: 2, Seq: 1}}
	other = fencing.Claim{Target: "engine-2", Router: "vm-2", Nonce: fencing.Nonce{Process: 2, Seq: 2}}
)

func TestCheck(t *testing.T) {
	cases := map[string]struct {
		log    []fencing.Claim
		own    fencing.Nonce
		checks bool
		after  time.Duration
		want   fencing.Decision
	}{
		"checking target, newest claim":         {[]fencing.Claim{first}, first.Nonce, true, 0, fencing.Proceed},
		"checking target, older claim":          {[]fencing.Claim{first, later}, first.Nonce, true, time.Hour, fencing.Superseded},
		"other target, previous lease in force": {[]fencing.Claim{first, later}, later.Nonce, false, lease - 1, fencing.Wait},
		"other target, previous lease expired":  {[]fencing.Claim{first, later}, later.Nonce, false, lease, fencing.Proceed},
		"other target, resumed earlier owner":   {[]fencing.Claim{first, later}, first.Nonce, false, time.Hour, fencing.Superseded},
		"claims of another target":              {[]fencing.Claim{first, other}, first.Nonce, true, 0, fencing.Proceed},
		"claim not read":                        {nil, first.Nonce, true, time.Hour, fencing.Superseded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := fencing.NewClaimTable()
			for i, claim := range c.log {
				b.Apply(start, uint64(i), claim)
			}
			got, left := b.Check(start.Add(c.after), c.own, "engine-1", c.checks, lease)
			must.Eq(t, c.want, got)
			must.Eq(t, c.want == fencing.Wait, left > 0)
		})
	}
}

func TestTokensIncrease(t *testing.T) {
	b := fencing.NewClaimTable()
	b.SkipTo(7)
	b.Apply(start, 7, first)
	before, _ := b.Newest("engine-1")
	b.SkipRecord(8)
	b.Apply(start, 9, later)
	b.Apply(start, 7, first)
	after, _ := b.Newest("engine-1")
	must.Less(t, after.Token(), before.Token())
	must.Eq(t, later.Nonce, after.Nonce)
	must.Positive(t, before.Token())
}
