package owner_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/peer/peertest"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

const partition = owner.Resource("orders/1")

// site runs the owner services of several routers over an in-memory transport.
type site struct {
	hub     *peertest.Hub
	list    *servicetest.Platform
	config  *servicetest.Config
	routers map[fleet.VM]*owner.Service
	stop    map[fleet.VM]context.CancelFunc
}

func startSite(ctx context.Context, t *testing.T, vms ...fleet.VM) *site {
	t.Helper()
	s := &site{
		hub:     peertest.NewHub(500 * time.Microsecond),
		list:    &servicetest.Platform{},
		config:  &servicetest.Config{},
		routers: make(map[fleet.VM]*owner.Service),
		stop:    make(map[fleet.VM]context.CancelFunc),
	}
	s.list.Set(servicetest.Rows(vms...), nil)
	for _, vm := range vms {
		ctx, cancel := context.WithCancel(ctx)
		s.stop[vm] = cancel
		k := servicetest.NewKernel(t, s.hub.Join(ctx, vm), s.list, s.config, servicetest.NewIdentity(vm))
		must.NoError(t, k.Provision(owner.Name))
		must.NoError(t, k.Start(ctx))
		r, err := kernel.Find[*owner.Service](k, owner.Name)
		must.NoError(t, err)
		r.Declare(partition, "dc1")
		s.routers[vm] = r
	}
	s.config.Set(config.Defaults())
	return s
}

func (s *site) owners() []fleet.VM {
	var out []fleet.VM
	for vm, r := range s.routers {
		if r.Holds(partition) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

func (s *site) owner(t *testing.T) fleet.VM {
	t.Helper()
	must.Len(t, 1, s.owners())
	return s.owners()[0]
}

// All routers agree on one owner, and only the owner can confirm its lease.
// After the owner has stopped, another router takes over.
func TestOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := startSite(ctx, t, "dc1a", "dc1b", "dc2a", "dc2b", "dc3a")
		time.Sleep(5 * time.Second)
		first := s.owner(t)
		must.NoError(t, s.routers[first].Confirm(ctx, partition))
		for vm, r := range s.routers {
			believed, ok := r.Owner(partition)
			must.True(t, ok)
			must.Eq(t, first, believed)
			if vm != first {
				must.Error(t, r.Confirm(ctx, partition))
			}
		}

		s.stop[first]()
		delete(s.routers, first)
		s.hub.Isolate(first, true)
		time.Sleep(3 * time.Second)
		must.NotEq(t, first, s.owner(t))
	})
}

// A drain mark on the owner's VM moves the resource to another router well
// before the lease would have expired.
func TestDrainMarkHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := startSite(ctx, t, "dc1a", "dc1b", "dc2a", "dc2b", "dc3a")
		time.Sleep(5 * time.Second)
		first := s.owner(t)
		c := config.Defaults()
		c.VMs = []config.VM{{Name: first, Mark: fleet.MarkDrain}}
		s.config.Set(c)
		time.Sleep(200 * time.Millisecond)
		must.NotEq(t, first, s.owner(t))
	})
}

// An owner that is cut off from its peers still holds a valid lease by its own
// clock. It must not be able to confirm it, and another router takes over.
func TestIsolatedOwnerCannotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := startSite(ctx, t, "dc1a", "dc1b", "dc2a", "dc2b", "dc3a")
		time.Sleep(5 * time.Second)
		first := s.owner(t)
		s.hub.Isolate(first, true)
		short, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		must.Error(t, s.routers[first].Confirm(short, partition))
		time.Sleep(3 * time.Second)
		must.NotEq(t, first, s.owner(t))
	})
}
