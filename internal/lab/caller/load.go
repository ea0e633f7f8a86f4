package caller

import (
	"context"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
)

// Load sends planned requests at their times, whether or not earlier ones
// have been answered.
type Load struct {
	Clients map[fleet.Account]*Client
	Plan    []workload.Arrival
}

// NewLoad returns a load on a testbed with one client for each account.
func NewLoad(bed *testbed.Testbed, plan []workload.Arrival, seed uint64) *Load {
	shape := bed.Shape()
	l := &Load{Clients: make(map[fleet.Account]*Client), Plan: plan}
	for i, a := range shape.Accounts {
		l.Clients[a.Name] = New(Options{
			Account:   a,
			Dial:      bed.CallerHost(a.Name).DialContext,
			Addresses: bed.Addresses(),
			Service:   shape.Services[0],
			DirectURL: bed.DirectURL(),
			Seed:      seed + uint64(i),
		})
	}
	return l
}

// Close drops the clients' idle connections.
func (l *Load) Close() {
	for _, c := range l.Clients {
		c.Close()
	}
}

// Results are the requests of a load as their callers saw them.
type Results struct {
	Requests []history.Request
	Direct   []history.Request
}

// Run sends the plan from start on and waits for all answers.
func (l *Load) Run(ctx context.Context, start time.Time) Results {
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		out Results
	)
	for _, a := range l.Plan {
		intended := start.Add(a.At)
		if clock.Sleep(ctx, time.Until(intended)) != nil {
			break
		}
		wg.Go(func() {
			r := l.Clients[a.Account.Name].Do(ctx, a, intended)
			mu.Lock()
			defer mu.Unlock()
			if a.Direct {
				out.Direct = append(out.Direct, r)
				return
			}
			out.Requests = append(out.Requests, r)
		})
	}
	wg.Wait()
	return out
}
