package fault

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
)

// DrainDataCentre takes a data centre out and brings it back.
func (p *Plan) DrainDataCentre(from, back time.Duration) {
	dc := p.dataCentre()
	p.mark(from, back, "data centre "+string(dc), func(ctx context.Context, bed *testbed.Testbed) (testbed.Lift, error) {
		return bed.DrainDataCentre(ctx, dc)
	})
}

// DrainTarget takes an engine out and brings it back.
func (p *Plan) DrainTarget(from, back time.Duration) {
	target := p.engine()
	p.mark(from, back, "engine "+string(target), func(ctx context.Context, bed *testbed.Testbed) (testbed.Lift, error) {
		return bed.DrainTarget(ctx, target)
	})
}

// mark publishes a drain mark and its removal, repeating each until it is
// accepted.
func (p *Plan) mark(from, back time.Duration, what string, publish func(context.Context, *testbed.Testbed) (testbed.Lift, error)) {
	var (
		mu   sync.Mutex
		lift testbed.Lift
	)
	p.add(from, "drain "+what, func(ctx context.Context, bed *testbed.Testbed) error {
		mu.Lock()
		defer mu.Unlock()
		err := insist(ctx, func(ctx context.Context) (err error) {
			lift, err = publish(ctx, bed)
			return err
		})
		bed.Note("drain mark on %s accepted", what)
		return err
	})
	p.add(back, "return "+what, func(ctx context.Context, bed *testbed.Testbed) error {
		mu.Lock()
		defer mu.Unlock()
		if lift == nil {
			return fmt.Errorf("%s was never marked", what)
		}
		err := insist(ctx, lift)
		bed.Note("drain mark on %s lifted", what)
		return err
	})
}

// RestartRouter stops a router as planned and starts it again.
func (p *Plan) RestartRouter(at time.Duration) {
	vm := p.vm()
	p.add(at, "restart router "+string(vm), func(ctx context.Context, bed *testbed.Testbed) error {
		bed.Note("%s stops as planned", vm)
		if err := bed.StopRouter(ctx, vm); err != nil {
			return err
		}
		bed.Note("%s starts again", vm)
		return bed.StartRouter(ctx, vm)
	})
}

// RaceConfig lets operators publish at the same moment.
func (p *Plan) RaceConfig(at time.Duration, operators int) {
	p.add(at, fmt.Sprintf("%d operators publish at once", operators), func(ctx context.Context, bed *testbed.Testbed) error {
		accepted, err := bed.Race(ctx, operators)
		bed.Note("%d of %d racing operators were accepted", accepted, operators)
		return err
	})
}

// Surge multiplies the load of the largest accounts.
func (p *Plan) Surge(from, to time.Duration, accounts int, factor float64) {
	for i := range min(accounts, len(p.Shape.Accounts)) {
		p.surges = append(p.surges, workload.Surge{
			Account: p.Shape.Accounts[i].Name,
			From:    from,
			To:      to,
			Factor:  factor,
		})
	}
	p.add(from, fmt.Sprintf("%d accounts surge", accounts), func(_ context.Context, bed *testbed.Testbed) error {
		bed.Note("%d accounts send %.0f times their load", accounts, factor)
		return nil
	})
	p.add(to, "surge ends", func(_ context.Context, bed *testbed.Testbed) error {
		bed.Note("the surge ends")
		return nil
	})
}

// Surging returns the accounts that surge at some time.
func (p *Plan) Surging() map[fleet.Account]bool {
	out := make(map[fleet.Account]bool)
	for _, s := range p.surges {
		out[s.Account] = true
	}
	return out
}
