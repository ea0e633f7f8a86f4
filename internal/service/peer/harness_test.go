package peer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/settings"
)

const waitLimit = 10 * time.Second

// router is one running peer service.
type router struct {
	*Service
	kernel  *kernel.Kernel
	metrics metrics.Registry
}

func (r *router) count(name string) int64 {
	c, ok := r.metrics.Get("peer." + name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

func (r *router) total() Traffic {
	var sum Traffic
	for _, t := range r.Traffic() {
		sum.Sent += t.Sent
		sum.Received += t.Received
	}
	return sum
}

// startRouter starts a peer service on network; setUp may add handlers.
func startRouter(t testing.TB, name string, network kernel.Network, extra string, setUp func(*Service)) *router {
	t.Helper()
	text := fmt.Sprintf("[vm]\nname=%q\ndata_centre=\"dc\"\nsite=\"site\"\n[peer]\nlisten=\"127.0.0.1:0\"\n%s", name, extra)
	file, err := settings.Parse("test", []byte(text))
	must.NoError(t, err)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	registry := metrics.NewRegistry()
	k := kernel.New(kernel.Env{Log: quiet, Net: network, Metrics: registry, Seed: 1}, file, nil)
	must.NoError(t, k.Provision(Name))
	s, err := kernel.Find[*Service](k, Name)
	must.NoError(t, err)
	if setUp != nil {
		setUp(s)
	}
	must.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { must.NoError(t, k.Stop(context.Background())) })
	return &router{Service: s, kernel: k, metrics: registry}
}

func (r *router) info(t testing.TB) fleet.VMInfo {
	t.Helper()
	id, err := kernel.Find[identity.Identity](r.kernel, identity.Name)
	must.NoError(t, err)
	return id.Self()
}

// introduceAll makes all routers peers of each other.
func introduceAll(t testing.TB, routers ...*router) {
	t.Helper()
	var vms []fleet.VMInfo
	for _, r := range routers {
		vms = append(vms, r.info(t))
	}
	for _, r := range routers {
		r.SetPeers(vms)
	}
}

// recorded keeps an answer.
type recorded struct {
	mu    sync.Mutex
	head  call.Head
	body  []byte
	end   call.End
	ended bool
	onGet func()
}

func (r *recorded) Head(h call.Head) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = h
	return nil
}

func (r *recorded) Chunk(c call.Chunk) error {
	r.mu.Lock()
	r.body = append(r.body, c.Data...)
	r.mu.Unlock()
	if r.onGet != nil {
		r.onGet()
	}
	return nil
}

func (r *recorded) End(e call.End) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end, r.ended = e, true
	return nil
}

// eventually polls until ok is true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s did not happen within %v", what, waitLimit)
}
