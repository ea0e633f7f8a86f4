package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/siteclient"
)

const (
	// prompts is the number of prompts that requests share.
	prompts = 7
	// clientPause is the mean time between a client's requests.
	clientPause = 25 * time.Millisecond
	// clientDeadline is how long a client waits for an answer.
	clientDeadline = 3 * time.Second
	// addressTTL is how long clients keep addresses: three times what they are
	// told, as some do.
	addressTTL = 3 * time.Second
)

// clients send requests and note what they get.
type clients struct {
	bed    *bed
	http   *http.Client
	calm   *atomic.Int64 // the time since which no fault was there, 0 while one is
	serial atomic.Int64

	mu    sync.Mutex
	calls []Call
}

func newClients(b *bed, calm *atomic.Int64) *clients {
	return &clients{bed: b, calm: calm, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}}
}

// run sends requests until ctx ends.
func (c *clients) run(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	routes := []string{"order", "status", "chat", "draft"}
	stays := seed%2 == 1 // with one router until its process has gone
	var addresses []string
	var asked time.Time
	for ctx.Err() == nil {
		if !stays && time.Since(asked) > addressTTL || len(addresses) == 0 {
			if fresh := c.resolve(random); len(fresh) > 0 {
				addresses, asked = fresh, time.Now()
			}
		}
		if len(addresses) > 0 {
			address := pick(random, addresses)
			last := c.call(pick(random, routes), address)
			c.goOn(&last, func() string { return pick(random, addresses) })
			if stays {
				addresses = []string{address}
			}
			if stays && last.Status == 0 {
				addresses = nil
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * clientPause))))
	}
}

// resolve asks a directory for addresses.
func (c *clients) resolve(random *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := pick(random, c.bed.routers)
	addresses, err := siteclient.Addresses(ctx, c.http, r.directory, host, "dc1")
	if err != nil {
		return nil // a router that is down; another one is asked next
	}
	return addresses
}

// routerOf returns the router that has an address, and its program.
func (c *clients) routerOf(address string) (index int, program string) {
	for _, r := range c.bed.routers {
		if r.caller == address {
			return r.index, r.programName()
		}
	}
	return -1, ""
}

// call sends one request and notes it. Requests to status are polls that are all alike.
func (c *clients) call(route, address string) Call {
	r := c.request(route)
	if route == "status" {
		r.Body = "poll"
	}
	return c.do(r, address)
}

// request returns a request with a body of its own.
func (c *clients) request(route string) *siteclient.Request {
	id := fmt.Sprintf("r%d", c.serial.Add(1))
	r := &siteclient.Request{ID: id, Host: host, Route: route, Key: key, Deadline: clientDeadline, Body: "body " + id}
	if route == "chat" || route == "draft" {
		r.Prompt = []string{"aa", fmt.Sprintf("p%d", c.serial.Load()%prompts), id}
	}
	return r
}

// do sends one request and notes it.
func (c *clients) do(request *siteclient.Request, address string) Call {
	out := Call{ID: request.ID, Route: request.Route, Resumes: request.Resumes}
	out.Router, out.Program = c.routerOf(address)
	out.After, _ = strconv.Atoi(request.LastEvent) // zero at the beginning
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	out.Began = began
	c.send(ctx, &out, address, request)
	out.Ended = time.Now()
	since := c.calm.Load()
	out.Calm = since != 0 && began.Sub(time.Unix(0, since)) > calmBefore
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, out)
	return out
}

// calmBefore is the time without a fault after which stops must cut nothing.
const calmBefore = 3 * time.Second

func (c *clients) send(ctx context.Context, out *Call, address string, request *siteclient.Request) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { out.Read = false },
		GotFirstResponseByte: func() { out.Read = true },
	})
	r, err := request.HTTP(ctx, address)
	if err != nil {
		return
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	out.Status, out.Body, out.Stamp, out.Whole = resp.StatusCode, string(body), siteclient.Stamp(resp.Header), err == nil
	if out.Body == longBody {
		out.Body = longBody // of which the history holds many
	}
	out.RetryAfter = resp.Header.Get("Retry-After")
}

// history returns the calls so far.
func (c *clients) history() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}
