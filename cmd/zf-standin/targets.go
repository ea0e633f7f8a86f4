package main

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
	"github.com/zinniafork/zinniafork/internal/standin/plaind"
	"github.com/zinniafork/zinniafork/internal/target"
)

type engineFlags struct {
	Slots              int           `help:"Requests that the warm engine bears at once." default:"8"`
	ColdSlots          int           `help:"Requests that the cold engine bears; 0 means that it is never cold." default:"0"`
	Queue              int           `help:"Requests that may wait for a slot." default:"0"`
	Prefill            time.Duration `help:"Time before the first token of an empty prompt." default:"20ms"`
	PrefillPerToken    time.Duration `help:"Time that each token of the prompt adds that is not cached." default:"100us"`
	PerToken           time.Duration `help:"Time between tokens of a request that runs alone." default:"5ms"`
	Tokens             int           `help:"Tokens in an answer." default:"20"`
	CacheTokens        int           `help:"Tokens of prompts that the cache holds." default:"100000"`
	CacheBytesPerToken int           `help:"Size of exported KV cache." default:"0"`
	ReportLag          time.Duration `help:"Age of load reports." default:"0s"`
	EventDelay         time.Duration `help:"Delay of cache events." default:"0s"`
	EventLoss          float64       `help:"Share of cache events that are lost." default:"0"`
	ResumeGrace        time.Duration `help:"Time for which an answer is kept after its reader has gone." default:"0s"`
	QuietCold          bool          `help:"Keep the incarnation when the engine turns cold."`
	IgnoresFencing     bool          `help:"Apply orders whatever their fencing number."`
	Models             []string      `help:"Models that are loaded at the start; none means any."`
	LoadTime           time.Duration `help:"Time that an order to load takes." default:"0s"`
}

func (f *engineFlags) build(name string, seed uint64) standin {
	opt := engined.Options{
		Name:               name,
		Slots:              f.Slots,
		ColdSlots:          f.ColdSlots,
		Queue:              f.Queue,
		Prefill:            f.Prefill,
		PrefillPerToken:    f.PrefillPerToken,
		PerToken:           f.PerToken,
		Tokens:             f.Tokens,
		CacheTokens:        f.CacheTokens,
		CacheBytesPerToken: f.CacheBytesPerToken,
		ReportLag:          f.ReportLag,
		EventDelay:         f.EventDelay,
		EventLoss:          f.EventLoss,
		ResumeGrace:        f.ResumeGrace,
		QuietCold:          f.QuietCold,
		IgnoresFencing:     f.IgnoresFencing,
		LoadTime:           f.LoadTime,
		Seed:               seed,
	}
	for _, m := range f.Models {
		opt.Models = append(opt.Models, target.LoadedModel{Model: fleet.Model(m)})
	}
	s := engined.New(opt)
	return standin{
		service: s.Handler(),
		admin:   s.AdminHandler(),
		records: func() any { return s.Runs() },
	}
}

type engineCommand struct {
	commonFlags
	engineFlags
	Name string `help:"Name of the engine." default:"engine"`
}

// Run serves an engine.
func (c *engineCommand) Run(ctx context.Context) error { return c.run(ctx, c.build(c.Name, c.Seed)) }

type plainFlags struct {
	Slots         int           `help:"Calls that the worker bears at once; 0 means any." default:"0"`
	Work          time.Duration `help:"Time that a call takes." default:"0s"`
	StatusLookup  bool          `help:"Tell the outcome of a key at /v1/status/KEY."`
	RunsAbandoned bool          `help:"Finish calls whose caller has gone."`
}

func (f *plainFlags) build(name string) standin {
	s := plaind.NewWith(plaind.Options{
		Name:          name,
		Slots:         f.Slots,
		Work:          f.Work,
		StatusLookup:  f.StatusLookup,
		RunsAbandoned: f.RunsAbandoned,
	})
	return standin{service: s.Handler(), records: func() any { return s.Runs() }}
}

type plainCommand struct {
	commonFlags
	plainFlags
	Name string `help:"Name of the worker." default:"worker"`
}

// Run serves a worker.
func (c *plainCommand) Run(ctx context.Context) error { return c.run(ctx, c.build(c.Name)) }
