package journal_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/platform/logstream/logtest"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/service/journal"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/peer/peertest"
	"github.com/zinniafork/zinniafork/internal/service/platform"
	"github.com/zinniafork/zinniafork/internal/service/route"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

// startupTime is the time after which all partitions of a new site have
// owners.
const startupTime = 12 * time.Second

// testPlatform is the connection of one router to the log and the VM list.
type testPlatform struct {
	list *servicetest.Platform
	link *logtest.Client
}

func (*testPlatform) Name() string            { return platform.Name }
func (p *testPlatform) Log() logstream.Log    { return p.link }
func (p *testPlatform) VMList() vmlist.Source { return p.list }

// worker is a fake router service that stands for all targets. It counts the
// runs of each key.
type worker struct {
	mu   sync.Mutex
	runs map[string]int
	// faults holds the faults of the next orders, in order; zero for none.
	faults  []fault
	runTime time.Duration
}

// fault is what goes wrong with one order at the worker.
type fault uint8

const (
	notSent      fault = iota + 1 // the order is not sent
	lostResponse                  // the order runs, and the response is lost
	lostOrder                     // the order is sent, but neither runs nor gets a response
)

func (*worker) Name() string { return route.Name }

func (w *worker) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	w.mu.Lock()
	var next fault
	if len(w.faults) > 0 {
		next, w.faults = w.faults[0], w.faults[1:]
	}
	delay := w.runTime
	w.mu.Unlock()
	fail := &call.Error{Code: call.CodeUnavailable, Step: "target", Peer: "print-1", Run: call.RunUnknown, Message: "no response"}
	if next == notSent {
		fail.Run = call.RunNot
		return fail
	}
	if next != lostOrder {
		w.mu.Lock()
		w.runs[req.Key]++
		w.mu.Unlock()
	}
	if (kernel.SystemClock{}).Sleep(ctx, delay) != nil || next != 0 {
		return fail
	}
	body := []byte("done " + req.Key)
	if err := sink.Head(call.Head{Attempt: req.Attempt, Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Target: "print-1"}); err != nil {
		return err
	}
	if err := sink.Chunk(call.Chunk{Attempt: req.Attempt, Data: body}); err != nil {
		return err
	}
	return sink.End(call.End{Attempt: req.Attempt, Length: uint64(len(body)), Digest: xxhash.Sum64(body)})
}

// runCount returns how often the order of a key ran.
func (w *worker) runCount(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

// failNext makes the next orders fail.
func (w *worker) failNext(faults ...fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, faults...)
}

// router is one router of a site.
type router struct {
	orders *journal.Service
	owners *owner.Service
	link   *logtest.Client
	kernel *kernel.Kernel
	stop   context.CancelFunc
}

// site is a group of routers with an in-memory transport and log.
type site struct {
	t       *testing.T
	ctx     context.Context
	hub     *peertest.Hub
	log     *logtest.Log
	list    *servicetest.Platform
	worker  *worker
	config  *config.Config
	routers map[fleet.VM]*router
	serial  int
}

// runSite runs a test with a site of routers in a synctest bubble, once all
// partitions have owners.
func runSite(t *testing.T, test func(s *site), vms ...fleet.VM) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &site{
			t: t, ctx: ctx,
			hub:     peertest.NewHub(500 * time.Microsecond),
			log:     logtest.New(2 * time.Millisecond),
			list:    &servicetest.Platform{},
			worker:  &worker{runs: make(map[string]int), runTime: 20 * time.Millisecond},
			config:  config.Defaults(),
			routers: make(map[fleet.VM]*router),
		}
		s.config.Orders.Partitions = 2
		s.config.Orders.Window = config.Duration(20 * time.Minute)
		s.config.Services = []config.Service{{Name: "print", OrderMethods: []string{http.MethodPost}}}
		s.list.Set(servicetest.Rows(vms...), nil)
		for _, vm := range vms {
			s.start(vm)
		}
		time.Sleep(startupTime)
		test(s)
		cancel()
		time.Sleep(time.Minute)
	})
}

// start starts a router.
func (s *site) start(vm fleet.VM) *router {
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.ctx)
	r := &router{link: s.log.Client(), stop: cancel}
	src := &servicetest.Config{}
	r.kernel = servicetest.NewKernel(s.t, s.hub.Join(ctx, vm), &testPlatform{list: s.list, link: r.link}, src,
		s.worker, servicetest.NewIdentity(vm))
	must.NoError(s.t, r.kernel.Provision(journal.Name))
	must.NoError(s.t, r.kernel.Start(ctx))
	var err error
	r.orders, err = kernel.Find[*journal.Service](r.kernel, journal.Name)
	must.NoError(s.t, err)
	r.owners, err = kernel.Find[*owner.Service](r.kernel, owner.Name)
	must.NoError(s.t, err)
	s.routers[vm] = r
	src.Set(s.config)
	return r
}

// kill stops a router as a crash does.
func (s *site) kill(vm fleet.VM) {
	s.routers[vm].stop()
	s.hub.Isolate(vm, true)
	delete(s.routers, vm)
}

// newKey returns a new key, as a caller generates it.
func (s *site) newKey() string {
	s.serial++
	return string(orders.NewKey(time.Now(), [10]byte{8: byte(s.serial >> 8), 9: byte(s.serial)}))
}

// ownerOf returns the router that owns the key's partition.
func (s *site) ownerOf(key string) fleet.VM {
	s.t.Helper()
	parsed, err := orders.ParseKey(key)
	must.NoError(s.t, err)
	resource := owner.Resource(fmt.Sprintf("orders/%d", parsed.Partition(s.config.Orders.Partitions)))
	for vm, r := range s.routers {
		if r.owners.Holds(resource) {
			return vm
		}
	}
	s.t.Fatalf("%s has no owner", resource)
	return ""
}

// nonOwner returns a router that does not own the key's partition.
func (s *site) nonOwner(key string) fleet.VM {
	s.t.Helper()
	own := s.ownerOf(key)
	for _, vm := range []fleet.VM{"dc1a", "dc1b", "dc2a", "dc2b", "dc3a"} {
		if _, ok := s.routers[vm]; ok && vm != own {
			return vm
		}
	}
	s.t.Fatal("no other router")
	return ""
}

// response is a sink that keeps what a caller received.
type response struct {
	status   int
	body     string
	replayed bool
	complete bool
	err      *call.Error
}

func (r *response) Head(h call.Head) error {
	r.status = h.Status
	r.replayed = h.Header.Get(journal.HeaderReplayed) != ""
	return nil
}

func (r *response) Chunk(c call.Chunk) error {
	r.body += string(c.Data)
	return nil
}

func (r *response) End(e call.End) error {
	if int(e.Length) != len(r.body) || e.Digest != xxhash.Sum64String(r.body) {
		return errors.New("length or digest is wrong")
	}
	r.complete = true
	return nil
}

func request(key, body string) *call.Request {
	return &call.Request{
		ID: call.ID("r-" + key), Attempt: 1, Kind: call.KindService, Account: "shop", Member: "gent",
		Service: "print", Method: http.MethodPost, Path: "/orders", Body: []byte(body), Key: key,
		Deadline: time.Now().Add(10 * time.Second),
	}
}

// submit submits an order to a router and waits for the response.
func (s *site) submit(vm fleet.VM, req *call.Request) *response {
	ctx, cancel := context.WithDeadline(s.ctx, req.Deadline)
	defer cancel()
	resp := &response{}
	if err := s.routers[vm].orders.Submit(ctx, req, resp); err != nil {
		resp.err = call.AsError(err)
	}
	return resp
}

// requireRan requires that the response is complete and that the order ran
// once.
func (s *site) requireRan(resp *response, key string) {
	s.t.Helper()
	if resp.err != nil {
		s.t.Fatalf("order failed: %v", resp.err)
	}
	must.Eq(s.t, "done "+key, resp.body)
	must.True(s.t, resp.complete)
	must.Eq(s.t, 1, s.worker.runCount(key))
}

// requireFailed requires an error with a run state and a code, and a status
// link if the outcome is unknown.
func (s *site) requireFailed(resp *response, run call.Run, code call.Code) {
	s.t.Helper()
	must.NotNil(s.t, resp.err)
	must.Eq(s.t, run, resp.err.Run, must.Sprintf("%v", resp.err))
	must.Eq(s.t, code, resp.err.Code, must.Sprintf("%v", resp.err))
	if run == call.RunUnknown {
		must.NotEq(s.t, "", resp.err.StatusLink)
	}
}
