package route_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/peer/peertest"
	"github.com/zinniafork/zinniafork/internal/service/route"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
)

const (
	engineSlots = 6
	engineCold  = 2
)

// site is a complete site in one process on a synthetic clock, with routers that run
// the route service and with model engines that serve HTTP over pipes.
type site struct {
	t       *testing.T
	hub     *peertest.Hub
	list    *servicetest.Platform
	network *servicetest.Network
	config  map[fleet.VM]*servicetest.Config
	rules   *config.Config
	routers map[fleet.VM]route.Router
	owners  map[fleet.VM]*owner.Service
	stop    map[fleet.VM]context.CancelFunc
	engines map[fleet.Target]*engined.Server
	names   []fleet.VM
	nextID  atomic.Int64
	// down holds the names of the routers that were killed.
	down sync.Map
}

// runSite runs a test on a site of six routers and the given number of engines in
// two data centres, after all targets have owners.
func runSite(t *testing.T, engines int, test func(ctx context.Context, t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &site{
			t:       t,
			hub:     peertest.NewHub(500 * time.Microsecond),
			list:    &servicetest.Platform{},
			network: servicetest.NewNetwork(),
			config:  make(map[fleet.VM]*servicetest.Config),
			routers: make(map[fleet.VM]route.Router),
			owners:  make(map[fleet.VM]*owner.Service),
			stop:    make(map[fleet.VM]context.CancelFunc),
			engines: make(map[fleet.Target]*engined.Server),
			names:   []fleet.VM{"dc1a", "dc1b", "dc1c", "dc2a", "dc2b", "dc2c"},
		}
		s.startEngines(ctx, engines)
		s.list.Set(servicetest.Rows(s.names...), nil)
		for _, vm := range s.names {
			s.startRouter(ctx, vm)
		}
		s.publish()
		s.waitForOwners()
		test(ctx, t, s)
		cancel()
		time.Sleep(2 * time.Minute)
	})
}

// startEngines starts n warm engines and configures them as targets, in the two
// data centres by turns.
func (s *site) startEngines(ctx context.Context, n int) {
	s.rules = config.Defaults()
	s.rules.DataCentres = []config.DataCentre{{Name: "dc1"}, {Name: "dc2"}}
	for i := range n {
		name := fleet.Target(fmt.Sprint("engine-", i))
		e := engined.New(engined.Options{
			Name: string(name), Slots: engineSlots, ColdSlots: engineCold,
			Prefill: 20 * time.Millisecond, PerToken: 20 * time.Millisecond, Tokens: 20,
		})
		e.WarmUp()
		address := string(name) + ":80"
		s.network.Serve(ctx, s.t, address, e.Handler())
		s.engines[name] = e
		s.rules.Targets = append(s.rules.Targets, config.Target{
			Name: name, DataCentre: fleet.DataCentre(fmt.Sprint("dc", 1+i%2)), URL: "http://" + address,
			Models: []fleet.Model{"m"}, Slots: engineSlots, ColdSlots: engineCold,
		})
	}
}

// startRouter starts a router with the route service and those that it needs.
func (s *site) startRouter(ctx context.Context, vm fleet.VM) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	s.stop[vm] = cancel
	s.config[vm] = &servicetest.Config{}
	k := servicetest.NewKernelOn(s.t, s.network, s.hub.Join(ctx, vm), s.list, s.config[vm], servicetest.NewIdentity(vm))
	must.NoError(s.t, k.Provision(route.Name))
	must.NoError(s.t, k.Start(ctx))
	var err error
	s.routers[vm], err = kernel.Find[route.Router](k, route.Name)
	must.NoError(s.t, err)
	s.owners[vm], err = kernel.Find[*owner.Service](k, owner.Name)
	must.NoError(s.t, err)
}

// publish applies the rules at all routers.
func (s *site) publish() {
	for _, c := range s.config {
		c.Set(s.rules)
	}
}

// waitForOwners waits until every router knows the owners of all targets.
func (s *site) waitForOwners() {
	s.t.Helper()
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		ready := true
		for _, o := range s.owners {
			ready = ready && o.OwnersKnown()
		}
		if ready {
			return
		}
	}
	s.t.Fatal("targets have no owners after 10 s")
}

// kill stops and isolates a router, as a crash does.
func (s *site) kill(vm fleet.VM) {
	s.stop[vm]()
	s.hub.Isolate(vm, true)
	s.down.Store(vm, true)
}

// response records what a caller receives.
type response struct {
	mu       sync.Mutex
	target   fleet.Target
	chunks   int
	complete bool
}

func (r *response) Head(h call.Head) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = h.Target
	return nil
}

func (r *response) Chunk(call.Chunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks++
	return nil
}

func (r *response) End(call.End) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
	return nil
}

// result is the outcome of one request.
type result struct {
	target   fleet.Target
	complete bool
	err      *call.Error
	took     time.Duration
}

// chat sends one chat request through a router.
func (s *site) chat(ctx context.Context, vm fleet.VM, account fleet.Account, chat string) result {
	start := time.Now()
	req := &call.Request{
		ID: call.ID(fmt.Sprint("r", s.nextID.Add(1))), Attempt: 1, Kind: call.KindChat, Account: account, Member: "m",
		Model: "m", Chat: chat, Prefix: 7, Repeatable: true, Deadline: start.Add(20 * time.Second),
		Body: []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"` + chat + `"}]}`),
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	received := &response{}
	err := s.routers[vm].Run(ctx, req, received)
	out := result{target: received.target, complete: received.complete, took: time.Since(start)}
	if err != nil {
		out.err = call.AsError(err)
	}
	return out
}

// load sends n chats at a fixed interval, through all running routers in turn, and
// returns the results.
func (s *site) load(ctx context.Context, n int, interval time.Duration, account fleet.Account) []result {
	results := make([]result, n)
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(interval)
		vm := s.alive(i)
		wg.Go(func() { results[i] = s.chat(ctx, vm, account, fmt.Sprint(account, "-", i)) })
	}
	wg.Wait()
	return results
}

// alive returns the i-th router, or the next one that was not killed.
func (s *site) alive(i int) fleet.VM {
	for {
		vm := s.names[i%len(s.names)]
		if _, down := s.down.Load(vm); !down {
			return vm
		}
		i++
	}
}

// served counts the requests with a complete response and logs the others.
func (s *site) served(results []result) int {
	n := 0
	for i, r := range results {
		if r.complete && r.err == nil {
			n++
		} else {
			s.t.Logf("request %d after %v: %v", i, r.took, r.err)
		}
	}
	return n
}

// mostRunning returns the largest number of requests that an engine ran at once
// from a time on, according to the engine's record.
func (s *site) mostRunning(target fleet.Target, from time.Time) int {
	most := 0
	for _, r := range s.engines[target].Runs() {
		if !r.Started.Before(from) {
			most = max(most, r.Running)
		}
	}
	return most
}

// startedAfter counts the requests that an engine started after a time.
func (s *site) startedAfter(target fleet.Target, from time.Time) int {
	n := 0
	for _, r := range s.engines[target].Runs() {
		if r.Started.After(from) {
			n++
		}
	}
	return n
}

// ownerOf returns the running router that owns a target, empty if none does.
func (s *site) ownerOf(target fleet.Target) fleet.VM {
	for vm, o := range s.owners {
		if _, down := s.down.Load(vm); !down && o.Holds(owner.TargetResource(target)) {
			return vm
		}
	}
	return ""
}
