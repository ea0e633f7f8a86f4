// Package loadgen sends a bounded load of chats and orders to routers on the
// loopback network and measures what their callers would see.
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/lab/caller"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
)

// Bounds of a load.
const (
	MaxDuration = 10 * time.Minute
	MaxRequests = 100_000
)

// Options shape a load.
type Options struct {
	// Addresses are the caller addresses of routers, host:port.
	Addresses []string
	// Key is the client account's key.
	Key     string
	Model   fleet.Model
	Service fleet.Service
	// ChatRate and OrderRate are arrivals a second.
	ChatRate  float64
	OrderRate float64
	Duration  time.Duration
	// Requests limits the number of requests.
	Requests int
	Seed     uint64
}

// Latency holds quantiles in milliseconds, counted from the intended start.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Result is what the callers saw.
type Result struct {
	Requests int `json:"requests"`
	// Whole counts requests with a whole answer, InTime those in time.
	Whole  int `json:"whole"`
	InTime int `json:"in_time"`
	// Attempts counts the tries of all requests.
	Attempts     int            `json:"attempts"`
	Refusals     map[string]int `json:"refusals,omitempty"`
	FirstTokenMS Latency        `json:"first_token_ms"`
	TotalMS      Latency        `json:"total_ms"`
	// Rate is the number of whole answers a second.
	Rate float64 `json:"rate"`
}

// Validate checks that the load is bounded and stays on this machine.
func (o *Options) Validate() error {
	switch {
	case len(o.Addresses) == 0:
		return errors.New("load: want at least one address")
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return fmt.Errorf("load: duration %s: want more than 0 and at most %s", o.Duration, MaxDuration)
	case o.Requests <= 0 || o.Requests > MaxRequests:
		return fmt.Errorf("load: %d requests: want 1 to %d", o.Requests, MaxRequests)
	}
	for _, address := range o.Addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return fmt.Errorf("load: address %q: want host:port: %w", address, err)
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("load: address %q: want a loopback address such as 127.0.0.1", address)
		}
	}
	return nil
}

// Run sends the load and waits for all answers.
func Run(ctx context.Context, opt Options) (Result, error) {
	if err := opt.Validate(); err != nil {
		return Result{}, err
	}
	account := site.Account{Name: "load", Share: 1, Key: opt.Key}
	shape := site.Shape{
		Accounts:  []site.Account{account},
		Model:     opt.Model,
		Services:  []fleet.Service{opt.Service},
		ChatRate:  opt.ChatRate,
		OrderRate: opt.OrderRate,
	}
	plan := workload.Plan(workload.Options{Shape: shape, Seed: opt.Seed, Duration: opt.Duration})
	addresses := make(map[fleet.VM]string)
	for i, address := range opt.Addresses {
		addresses[fleet.VM(fmt.Sprintf("router-%d", i+1))] = address
	}
	client := caller.New(caller.Options{
		Account:   account,
		Dial:      kernel.SystemNetwork{}.DialContext,
		Addresses: addresses,
		Service:   opt.Service,
		Seed:      opt.Seed,
	})
	load := caller.Load{
		Clients: map[fleet.Account]*caller.Client{account.Name: client},
		Plan:    plan[:min(len(plan), opt.Requests)],
	}
	defer load.Close()
	start := time.Now()
	results := load.Run(ctx, start)
	return summarize(results.Requests, time.Since(start)), nil
}

const (
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	precision     = 3
)

func summarize(requests []history.Request, took time.Duration) Result {
	out := Result{Requests: len(requests), Refusals: make(map[string]int)}
	first := hdrhistogram.New(lowestMicros, highestMicros, precision)
	total := hdrhistogram.New(lowestMicros, highestMicros, precision)
	for i := range requests {
		r := &requests[i]
		out.Attempts += len(r.Attempts)
		for _, a := range r.Attempts {
			if a.Code != "" {
				out.Refusals[a.Code]++
			}
		}
		if !r.Whole() {
			continue
		}
		out.Whole++
		if r.Latency() <= r.Limit {
			out.InTime++
		}
		_ = total.RecordValue(r.Latency().Microseconds())
		if r.Kind == history.KindChat {
			_ = first.RecordValue(r.FirstByte().Microseconds())
		}
	}
	out.FirstTokenMS, out.TotalMS = latency(first), latency(total)
	out.Rate = float64(out.Whole) / took.Seconds()
	return out
}

func latency(h *hdrhistogram.Histogram) Latency {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		P50: millis(h.ValueAtQuantile(50)),
		P95: millis(h.ValueAtQuantile(95)),
		P99: millis(h.ValueAtQuantile(99)),
		Max: millis(h.Max()),
	}
}
