package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/lab/caller"
	"github.com/zinniafork/zinniafork/internal/lab/check/answers"
	"github.com/zinniafork/zinniafork/internal/lab/check/drain"
	"github.com/zinniafork/zinniafork/internal/lab/check/orders"
	"github.com/zinniafork/zinniafork/internal/lab/check/overhead"
	"github.com/zinniafork/zinniafork/internal/lab/check/reuse"
	"github.com/zinniafork/zinniafork/internal/lab/check/service"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
)

// load sends chats and orders while a data centre leaves and comes back.
func (d *demo) load(ctx context.Context) error {
	plan := workload.Plan(workload.Options{Shape: d.shape, Seed: seed, Duration: loadTime})
	load := caller.NewLoad(d.bed, plan, seed)
	defer load.Close()
	d.say("Load: %d requests of %d client accounts in %s.", len(plan), len(d.shape.Accounts), loadTime)
	var (
		wg       sync.WaitGroup
		results  caller.Results
		drainErr error
	)
	wg.Go(func() { results = load.Run(ctx, time.Now()) })
	wg.Go(func() { drainErr = d.drain(ctx) })
	wg.Wait()
	if drainErr != nil {
		return drainErr
	}
	h := d.bed.History()
	h.Requests = results.Requests
	return d.summary(h)
}

func (d *demo) drain(ctx context.Context) error {
	dc := d.shape.DataCentres[0]
	clock := kernel.SystemClock{}
	if err := clock.Sleep(ctx, drainAt); err != nil {
		return err
	}
	lift, err := d.bed.DrainDataCentre(ctx, dc)
	if err != nil {
		return err
	}
	d.say("Operators take data centre %s out.", dc)
	if err := clock.Sleep(ctx, returnAt-drainAt); err != nil {
		return err
	}
	if err := lift(ctx); err != nil {
		return err
	}
	d.say("Operators bring %s back.", dc)
	return nil
}

func (d *demo) summary(h *history.History) error {
	s, _ := service.Check(h, service.Limits{})
	o, _ := orders.Check(h)
	wrong, _ := answers.Check(h)
	last, _ := drain.Check(h)
	t := table.NewWriter()
	t.SetOutputMirror(d.opt.Out)
	t.SetStyle(table.StyleLight)
	t.AppendRows([]table.Row{
		{"requests", s.All},
		{"completed once and in time", fmt.Sprintf("%d (%.2f%%)", s.Served, 100*s.Service)},
		{"first token, 95 in 100 within", overhead.FirstToken(h, 95).Round(time.Millisecond)},
		{"prompt tokens from cache", fmt.Sprintf("%.0f%%", 100*reuse.Measure(h))},
		{"orders run twice, lost", fmt.Sprintf("%d, %d", o.Duplicated, o.Lost)},
		{"wrong answers", wrong},
		{"last new work after the drain mark", last.Round(time.Millisecond)},
	})
	t.Render()
	if o.Duplicated+o.Lost+wrong > 0 || s.Served == 0 {
		return fmt.Errorf("demo: %d of %d requests served, %d orders run twice, %d lost, %d wrong answers",
			s.Served, s.All, o.Duplicated, o.Lost, wrong)
	}
	return nil
}

func (d *demo) next() {
	fmt.Fprint(d.opt.Out, `
Where to look next:
  go run ./cmd/zf-lab demo --keep         leaves this fleet running, with curl lines to try
  go run ./cmd/zf-lab run dc-drain        plays an experiment and judges it
  go run ./cmd/zf-router --help           the daemon itself
  docs/ops, docs/design                   pages for operators and developers
`)
}

// keep leaves the fleet running until ctx ends.
func (d *demo) keep(ctx context.Context) {
	vm := d.shape.VMs[0].Name
	fmt.Fprintf(d.opt.Out, `
The fleet goes on until you press Ctrl-C. Try:

curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'X-Chat-Id: my-chat' \
  -d '{"model":"%[3]s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Hello"}]}'

curl http://%[1]s/v1/services/%[4]s/orders -H 'Authorization: Bearer %[2]s' \
  -H 'Idempotency-Key: %[8]s' -d '{"plates":2}'

curl 'http://%[1]s/v1/entry?chat=my-chat' -H 'Authorization: Bearer %[2]s'

Operators: the status page is http://%[5]s/ with the key %[6]s, and

echo %[6]s >operator.key
go run ./cmd/zfctl status --router http://%[5]s --key-file operator.key
go run ./cmd/zfctl drain data-centre %[7]s --router http://%[5]s --key-file operator.key
`, d.bed.Addresses()[vm], d.shape.Accounts[0].Key, d.shape.Model, d.shape.Services[0],
		d.bed.AdminAddress(vm), testbed.OperatorKey, d.shape.DataCentres[0], uuid.Must(uuid.NewV7()))
	<-ctx.Done()
}
