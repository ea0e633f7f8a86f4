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

// settleTime is the time in which a new site has owners for all partitions.
const settleTime = 12 * time.Second

// testPlatform gives one router its link to the log and the VM list.
type testPlatform struct {
	list *servicetest.Platform
	link *logtest.Client
}

func (*testPlatform) Name() string            { return platform.Name }
func (p *testPlatform) Log() logstream.Log    { return p.link }
func (p *testPlatform) VMList() vmlist.Source { return p.list }

// worker stands for all targets of the service. It keeps what it ran.
type worker struct {
	mu   sync.Mutex
	runs map[string]int
	// next holds what happens to the next orders.
	next []outcome
	time time.Duration
}

// outcome is what happens to one order at the worker.
type outcome uint8

const (
	refused    outcome = iota + 1 // not sent
	lostAnswer                    // runs, no answer
	lostOrder                     // sent, does not run, no answer
)

func (*worker) Name() string { return route.Name }

func (w *worker) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	w.mu.Lock()
	var what outcome
	if len(w.next) > 0 {
		what, w.next = w.next[0], w.next[1:]
	}
	delay := w.time
	w.mu.Unlock()
	fail := &call.Error{Code: call.CodeUnavailable, Step: "target", Peer: "print-1", Run: call.RunUnknown, Message: "no answer"}
	if what == refused {
		fail.Run = call.RunNot
		return fail
	}
	if what != lostOrder {
		w.mu.Lock()
		w.runs[req.Key]++
		w.mu.Unlock()
	}
	if (kernel.SystemClock{}).Sleep(ctx, delay) != nil || what != 0 {
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

func (w *worker) ran(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

func (w *worker) will(what ...outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next = append(w.next, what...)
}

// router is one router of a site.
type router struct {
	orders *journal.Service
	owners *owner.Service
	link   *logtest.Client
	kernel *kernel.Kernel
	stop   context.CancelFunc
}

// site is several routers over an in-memory transport and log.
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

// inSite runs a test against a settled site in a bubble of its own time.
func inSite(t *testing.T, test func(s *site), vms ...fleet.VM) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &site{
			t: t, ctx: ctx,
			hub:     peertest.NewHub(500 * time.Microsecond),
			log:     logtest.New(2 * time.Millisecond),
			list:    &servicetest.Platform{},
			worker:  &worker{runs: make(map[string]int), time: 20 * time.Millisecond},
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
		time.Sleep(settleTime)
		test(s)
		cancel()
		time.Sleep(time.Minute)
	})
}

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

// kill ends a router as a crash does.
func (s *site) kill(vm fleet.VM) {
	s.routers[vm].stop()
	s.hub.Isolate(vm, true)
	delete(s.routers, vm)
}

// key mints a key as a caller does.
func (s *site) key() string {
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

// other returns a router that does not own the key's partition.
func (s *site) other(key string) fleet.VM {
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

// answer is what a caller got.
type answer struct {
	status   int
	body     string
	repeated bool
	whole    bool
	err      *call.Error
}

func (a *answer) Head(h call.Head) error {
	a.status = h.Status
	a.repeated = h.Header.Get(journal.HeaderReplayed) != ""
	return nil
}

func (a *answer) Chunk(c call.Chunk) error {
	a.body += string(c.Data)
	return nil
}

func (a *answer) End(e call.End) error {
	if int(e.Length) != len(a.body) || e.Digest != xxhash.Sum64String(a.body) {
		return errors.New("length or digest is wrong")
	}
	a.whole = true
	return nil
}

func request(key, body string) *call.Request {
	return &call.Request{
		ID: call.ID("r-" + key), Attempt: 1, Kind: call.KindService, Account: "shop", Member: "gent",
		Service: "print", Method: http.MethodPost, Path: "/orders", Body: []byte(body), Key: key,
		Deadline: time.Now().Add(10 * time.Second),
	}
}

// submit sends an order by way of a router and waits for its answer.
func (s *site) submit(vm fleet.VM, req *call.Request) *answer {
	ctx, cancel := context.WithDeadline(s.ctx, req.Deadline)
	defer cancel()
	a := &answer{}
	if err := s.routers[vm].orders.Submit(ctx, req, a); err != nil {
		a.err = call.AsError(err)
	}
	return a
}

// ran requires that an answer is the whole one of the order.
func (s *site) ran(a *answer, key string) {
	s.t.Helper()
	if a.err != nil {
		s.t.Fatalf("order failed: %v", a.err)
	}
	must.Eq(s.t, "done "+key, a.body)
	must.True(s.t, a.whole)
	must.Eq(s.t, 1, s.worker.ran(key))
}

// failed requires an error with an outcome and a code.
func (s *site) failed(a *answer, run call.Run, code call.Code) {
	s.t.Helper()
	must.NotNil(s.t, a.err)
	must.Eq(s.t, run, a.err.Run, must.Sprintf("%v", a.err))
	must.Eq(s.t, code, a.err.Code, must.Sprintf("%v", a.err))
	if run == call.RunUnknown {
		must.NotEq(s.t, "", a.err.StatusLink)
	}
}
