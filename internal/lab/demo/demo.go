// Package demo shows a small fleet at work in one process: chats that return,
// an order, a short load, and a data centre that leaves and comes back.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/caller"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/testbed"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
)

const (
	seed = 1
	// loadTime is the length of the demo's load, drainAt and returnAt are when
	// a data centre leaves and comes back.
	loadTime = 4 * time.Second
	drainAt  = time.Second
	returnAt = 3 * time.Second
	// answerTokens is the length of the shown answers.
	answerTokens = 8
)

// Options shape a demo.
type Options struct {
	// Keep leaves the fleet running until ctx ends.
	Keep bool
	Out  io.Writer
}

type demo struct {
	opt   Options
	bed   *testbed.Testbed
	shape site.Shape
	began time.Time
}

// Run shows the demo and fails when something went wrong.
func Run(ctx context.Context, opt Options) (err error) {
	d := &demo{opt: opt, shape: site.Demo(), began: time.Now()}
	d.introduce()
	d.bed, err = testbed.Start(ctx, testbed.Options{Shape: d.shape, Seed: seed})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.bed.Close()) }()
	if err := d.bed.WaitReady(ctx); err != nil {
		return err
	}
	d.say("All routers are ready.")
	if err := d.show(ctx); err != nil {
		return err
	}
	d.next()
	if opt.Keep {
		d.keep(ctx)
	}
	return nil
}

func (d *demo) show(ctx context.Context) error {
	if err := d.chat(ctx); err != nil {
		return err
	}
	if err := d.order(ctx); err != nil {
		return err
	}
	return d.load(ctx)
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.opt.Out, "%5.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) introduce() {
	d.say("Starting %d routers in %d data centres, %d engines, %d workers of %v, a log service and a VM list.",
		len(d.shape.VMs), len(d.shape.DataCentres), len(d.shape.Engines()),
		len(d.shape.Targets)-len(d.shape.Engines()), d.shape.Services)
}

// chat sends two turns of one chat.
func (d *demo) chat(ctx context.Context) error {
	load := caller.NewLoad(d.bed, nil, seed)
	defer load.Close()
	account := d.shape.Accounts[0]
	messages := []engined.Message{
		{Role: "system", Content: strings.Repeat("You write short promo copy. ", 20)},
		{Role: "user", Content: "A card for mangoes, please."},
	}
	for turn, question := range []string{"", "Shorter, please."} {
		if question != "" {
			messages = append(messages, engined.Message{Role: "user", Content: question})
		}
		a := workload.Arrival{
			ID:      fmt.Sprintf("demo-chat-%d", turn+1),
			Kind:    history.KindChat,
			Account: account,
			Chat:    "demo-chat",
			Prompt: engined.ChatRequest{
				Model:     string(d.shape.Model),
				Stream:    true,
				Messages:  messages,
				MaxTokens: answerTokens,
			},
		}
		a.Prompt.User = a.ID
		r := load.Clients[account.Name].Do(ctx, a, time.Now())
		if !r.Whole() || r.Answer != r.Want {
			return fmt.Errorf("chat: turn %d had no right answer: %+v", turn+1, r.Last())
		}
		messages = append(messages, engined.Message{Role: "assistant", Content: r.Answer})
		d.sayTurn(turn+1, r)
	}
	return nil
}

func (d *demo) sayTurn(turn int, r history.Request) {
	for _, run := range d.bed.History().EngineRuns {
		if run.Request == r.ID {
			d.say("Chat, turn %d: %q from %s by way of %s, first token after %s, %d of %d prompt tokens from cache.", turn,
				strings.TrimSpace(r.Answer[:min(len(r.Answer), 24)])+" ...", run.Target, r.Last().VM,
				r.FirstByte().Round(time.Millisecond), run.CachedTokens, run.PromptTokens)
		}
	}
}

// order sends an order, and once more under the same key.
func (d *demo) order(ctx context.Context) error {
	load := caller.NewLoad(d.bed, nil, seed)
	defer load.Close()
	account := d.shape.Accounts[0]
	a := workload.Arrival{
		ID:      "demo-order",
		Kind:    history.KindOrder,
		Account: account,
		Order:   `{"plates":2,"text":"MANGO 9.95"}`,
	}
	first := load.Clients[account.Name].Do(ctx, a, time.Now())
	a.Key = first.Key
	again := load.Clients[account.Name].Do(ctx, a, time.Now())
	for _, r := range []history.Request{first, again} {
		if !r.Whole() || r.Answer != r.Want {
			return fmt.Errorf("order had no right answer: %+v", r.Last())
		}
	}
	var ran []fleet.Target
	for _, run := range d.bed.History().WorkerRuns {
		if run.Key == first.Key {
			ran = append(ran, run.Target)
		}
	}
	if len(ran) != 1 {
		return fmt.Errorf("order ran %d times, on %v", len(ran), ran)
	}
	d.say("Order, sent twice under one key: ran once, on %s; answered after %s by way of %s, the second time after %s by way of %s.", ran[0],
		first.Latency().Round(time.Millisecond), first.Last().VM, again.Latency().Round(time.Millisecond), again.Last().VM)
	return nil
}
