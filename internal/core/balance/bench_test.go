package balance_test

import (
	"testing"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// BenchmarkChoose chooses among 90 engines for a prompt with 16 holders.
func BenchmarkChoose(b *testing.B) {
	targets := engines(90)
	var loads []balance.Load
	for i := range targets {
		loads = append(loads, balance.Load{Target: targets[i].ID.Ref(), Running: uint32(10 + i%7), WorkMS: float32(200 + i)})
	}
	estimate := workload.Estimate{Tokens: 11812, TokenMS: 1.0 / 56, PrefixTokens: []int{8000, 10512}, Events: 45, EventMS: 29}
	for name, e := range map[string]*workload.Estimate{"requests": nil, "work": &estimate} {
		for prompt, prefixes := range map[string][]uint64{"cached": {1, 2}, "new": {3, 4}, "none": nil} {
			b.Run(name+"/"+prompt, func(b *testing.B) {
				bal, model := newBalancer("dc0"), workload.New()
				bal.SetSpeeds(model)
				bal.SetRelayed(true)
				bal.SetTotalLoads(start, fleet.VM("hub"), loads)
				for i := range 16 {
					model.Reported(start, targets[i].ID.Ref(), workload.Report{Requests: 10, Slots: 64, Slowdown: 1}, 10)
					bal.RequestStarted(start, targets[i].ID, []uint64{1, 2})
				}
				r := &balance.Request{Prefixes: prefixes, Estimate: e, MaxLoadPerSlot: 1}
				b.ReportAllocs()
				for b.Loop() {
					bal.Choose(start.Add(time.Millisecond), r, targets, allowAll{})
				}
			})
		}
	}
}
