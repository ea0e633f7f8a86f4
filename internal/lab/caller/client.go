// Package caller plays the callers of a site: they ask which addresses to
// use, send chats and orders there, and repeat what failed as a careful
// client does.
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/site"
	"github.com/zinniafork/zinniafork/internal/lab/workload"
)

// Limits of a caller.
const (
	// ChatLimit is 1.5 s to the first token and 35 ms for each of 100 tokens.
	ChatLimit = 5 * time.Second
	// OrderLimit is the time within which an order should be answered.
	OrderLimit = 10 * time.Second
	// orderPatience is how long a caller goes on repeating an order.
	orderPatience = 15 * time.Second
	// progressLimit is the longest silence in an answer.
	progressLimit = time.Second
	// answerLimit is the longest wait for an answer to begin.
	answerLimit  = 2 * time.Second
	connectLimit = time.Second
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
)

var clock kernel.SystemClock

// Options shape a client.
type Options struct {
	Account site.Account
	// Dial opens connections from the callers' machine.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Addresses are the caller addresses that the account knows to begin
	// with.
	Addresses map[fleet.VM]string
	Service   fleet.Service
	// DirectURL is an engine outside the fleet.
	DirectURL string
	Seed      uint64
}

// Client sends the requests of one client account.
type Client struct {
	opt       Options
	http      *http.Client
	directory *directory

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a client.
func New(opt Options) *Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectLimit)
		defer cancel()
		return opt.Dial(ctx, network, address)
	}
	c := &Client{
		opt:  opt,
		http: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConns}},
		rng:  rand.New(rand.NewPCG(opt.Seed, 0)), //nolint:gosec // jitter needs no secret randomness
	}
	c.directory = newDirectory(c.http, opt.Addresses, opt.Account.Key)
	return c
}

// idleConns is the number of idle connections kept to one router.
const idleConns = 16

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends one request and repeats it while that makes sense. intended is the
// time at which the load wanted it to start.
func (c *Client) Do(ctx context.Context, a workload.Arrival, intended time.Time) history.Request {
	if a.Kind == history.KindOrder {
		return c.order(ctx, a, intended)
	}
	return c.chat(ctx, a, intended)
}

// retry calls try with one address after another until it says stop, the
// patience ends, or ctx does.
func (c *Client) retry(ctx context.Context, chat string, until time.Time, try func(ctx context.Context, e entry) (history.Attempt, verdict)) []history.Attempt {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	var attempts []history.Attempt
	pause := firstPause
	for {
		e := c.directory.next(ctx, chat, c.float())
		a, v := try(ctx, e)
		a.VM = e.vm
		attempts = append(attempts, a)
		if v.stop {
			return attempts
		}
		if v.avoid {
			c.directory.avoid(e)
		}
		wait := time.Duration(float64(pause) * (0.5 + c.float()))
		if v.after > 0 {
			wait = v.after
		}
		pause = min(2*pause, longestPause)
		if clock.Sleep(ctx, wait) != nil {
			return attempts
		}
	}
}

// verdict says what follows an attempt.
type verdict struct {
	stop bool
	// avoid is true when the address should not be used for a while.
	avoid bool
	// after is the wait that the router asked for.
	after time.Duration
}

func (c *Client) float() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}
