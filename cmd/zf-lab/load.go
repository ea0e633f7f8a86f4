package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/lab/loadgen"
)

type loadCommand struct {
	Addresses []string      `arg:"" help:"Caller addresses of routers on the loopback network, host:port."`
	Key       string        `help:"Key of the client account." required:""`
	Model     string        `help:"Model that chats ask for." default:"copydesk"`
	Service   string        `help:"Plain service that takes the orders." default:"print"`
	Chats     float64       `help:"Chats a second." default:"20"`
	Orders    float64       `help:"Orders a second." default:"2"`
	Duration  time.Duration `help:"Length of the load, at most 10m." default:"10s"`
	Requests  int           `help:"Largest number of requests, at most 100000." default:"10000"`
	Seed      uint64        `help:"Seed of the load." default:"1"`
}

// Run sends the load and prints the result as the last line.
func (c *loadCommand) Run(ctx context.Context) error {
	opt := loadgen.Options{
		Addresses: c.Addresses,
		Key:       c.Key,
		Model:     fleet.Model(c.Model),
		Service:   fleet.Service(c.Service),
		ChatRate:  c.Chats,
		OrderRate: c.Orders,
		Duration:  c.Duration,
		Requests:  c.Requests,
		Seed:      c.Seed,
	}
	fmt.Fprintf(os.Stderr, "sending %.1f chats and %.1f orders a second for %s\n", c.Chats, c.Orders, c.Duration)
	result, err := loadgen.Run(ctx, opt)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}
