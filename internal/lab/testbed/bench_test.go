package testbed_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/caller"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
)

// start runs a fleet without delays whose engines answer at once.
func start(b *testing.B, routers int) (*testbed.Testbed, *caller.Load) {
	b.Helper()
	shape, err := site.ByName("trinidad", routers, 0)
	must.NoError(b, err)
	shape.ClientDelay, shape.DataCentreDelay = 0, 0
	bed, err := testbed.Start(b.Context(), testbed.Options{Shape: shape, Seed: 1, InstantEngines: true})
	must.NoError(b, err)
	b.Cleanup(func() { must.NoError(b, bed.Close()) })
	must.NoError(b, bed.WaitReady(b.Context()))
	load := caller.NewLoad(bed, nil, 1)
	b.Cleanup(load.Close)
	return bed, load
}

// run sends arrivals one after another. Figures include the caller and the
// stand-in, which share the process.
func run(b *testing.B, load *caller.Load, next func(i int64) workload.Arrival) {
	b.Helper()
	var n, failed atomic.Int64
	b.ReportAllocs()
	for b.Loop() {
		a := next(n.Add(1))
		r := load.Clients[a.Account.Name].Do(b.Context(), a, time.Now())
		if !r.Whole() || r.Answer != r.Want {
			failed.Add(1)
		}
	}
	b.ReportMetric(float64(failed.Load())/float64(b.N), "failed/op")
}

func chat(shape site.Shape, tokens int, direct bool) func(int64) workload.Arrival {
	return func(i int64) workload.Arrival {
		id := fmt.Sprintf("r%d", i)
		return workload.Arrival{
			ID:      id,
			Kind:    history.KindChat,
			Account: shape.Accounts[0],
			Chat:    fmt.Sprintf("chat%d", i%100),
			Direct:  direct,
			Prompt: engined.ChatRequest{
				Model:     string(shape.Model),
				Stream:    true,
				Messages:  []engined.Message{{Role: "user", Content: "Hello"}},
				User:      id,
				MaxTokens: tokens,
			},
		}
	}
}

func BenchmarkChat(b *testing.B) {
	for _, tokens := range []int{1, 50} {
		b.Run(fmt.Sprintf("direct/%d-tokens", tokens), func(b *testing.B) {
			bed, load := start(b, 1)
			run(b, load, chat(bed.Shape(), tokens, true))
		})
		for _, routers := range []int{1, 9} {
			b.Run(fmt.Sprintf("%d-routers/%d-tokens", routers, tokens), func(b *testing.B) {
				bed, load := start(b, routers)
				run(b, load, chat(bed.Shape(), tokens, false))
			})
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	bed, load := start(b, 9)
	account := bed.Shape().Accounts[0]
	run(b, load, func(i int64) workload.Arrival {
		return workload.Arrival{
			ID:      fmt.Sprintf("o%d", i),
			Kind:    history.KindOrder,
			Account: account,
			Order:   fmt.Sprintf(`{"order":%d}`, i),
		}
	})
}
