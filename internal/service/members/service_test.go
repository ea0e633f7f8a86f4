package members_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer/peertest"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

// startMember starts a members service with the given VM name and extensions on
// the hub.
func startMember(ctx context.Context, t *testing.T, hub *peertest.Hub, list *servicetest.Platform, name fleet.VM, extensions ...members.Extension) *members.Service {
	t.Helper()
	k := servicetest.NewKernel(t, hub.Join(ctx, name), list, servicetest.NewIdentity(name))
	must.NoError(t, k.Provision(members.Name))
	s, err := kernel.Find[*members.Service](k, members.Name)
	must.NoError(t, err)
	for _, e := range extensions {
		s.Attach(e)
	}
	must.NoError(t, k.Start(ctx))
	return s
}

// status returns the state of a router in the view of s.
func status(s *members.Service, vm fleet.VM) members.State {
	m, _ := s.Snapshot().Find(vm)
	return m.Status
}

// TestViewTracksListAndHeartbeats isolates a router and reconnects it, and lets
// another one leave. Views must follow in time.
func TestViewTracksListAndHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hub, list := peertest.NewHub(time.Millisecond), &servicetest.Platform{}
		list.Set(servicetest.Rows("a", "b", "c"), nil)
		a := startMember(ctx, t, hub, list, "a")
		b := startMember(ctx, t, hub, list, "b")
		startMember(ctx, t, hub, list, "c")
		time.Sleep(8 * time.Second)
		for _, vm := range []fleet.VM{"a", "b", "c"} {
			must.Eq(t, members.StateAlive, status(a, vm))
		}
		must.True(t, a.Snapshot().Agreed)

		hub.Isolate("c", true)
		// Views are updated whenever the router sends its own heartbeats, every
		// 500 ms.
		time.Sleep(2250 * time.Millisecond)
		must.Eq(t, members.StateSuspect, status(a, "c"))
		time.Sleep(2 * time.Second)
		must.Eq(t, members.StateDead, status(a, "c"))
		hub.Isolate("c", false)
		time.Sleep(time.Second)
		must.Eq(t, members.StateAlive, status(a, "c"))

		b.Leave()
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, members.StateLeaving, status(a, "b"))
	})
}

// TestListOutageKeepsView checks that a router discovers the others after the VM
// list was unavailable at its start, and keeps them through a later outage.
func TestListOutageKeepsView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hub, list := peertest.NewHub(time.Millisecond), &servicetest.Platform{}
		list.Set(nil, errors.New("down"))
		a := startMember(ctx, t, hub, list, "a")
		startMember(ctx, t, hub, list, "b")
		time.Sleep(5 * time.Second)
		must.False(t, a.Snapshot().HasList)
		list.Set(servicetest.Rows("a", "b"), nil)
		time.Sleep(5 * time.Second)
		must.Eq(t, members.StateAlive, status(a, "b"))
		list.Set(nil, errors.New("down"))
		time.Sleep(time.Minute)
		must.Eq(t, members.StateAlive, status(a, "b"))
	})
}

// TestRoutersStartedTogetherConvergeQuickly starts more routers than form a full
// mesh with a VM list that names one of them. After the list names all, the
// routers must know each other within 500 ms, although heartbeats need several
// hops.
func TestRoutersStartedTogetherConvergeQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hub, list := peertest.NewHub(time.Millisecond), &servicetest.Platform{}
		var names []fleet.VM
		for i := range 40 {
			names = append(names, fleet.VM(fmt.Sprintf("vm%d", i)))
		}
		list.Set(servicetest.Rows(names[:1]...), nil)
		var all []*members.Service
		for _, name := range names {
			all = append(all, startMember(ctx, t, hub, list, name))
		}
		time.Sleep(300 * time.Millisecond)
		list.Set(servicetest.Rows(names...), nil)
		for _, m := range all {
			m.RefreshList()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range all {
			for _, name := range names {
				must.Eq(t, members.StateAlive, status(m, name), must.Sprint(m.Self().VM, " of ", name))
			}
		}
	})
}

// TestExtensionsReachPeers checks that the data of an extension arrives at the
// peer it was produced for.
func TestExtensionsReachPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hub, list := peertest.NewHub(time.Millisecond), &servicetest.Platform{}
		list.Set(servicetest.Rows("a", "b"), nil)
		got := make(chan string, 100)
		startMember(ctx, t, hub, list, "a", members.Extension{
			Key:     "x",
			Produce: func(to fleet.VM) []byte { return []byte("to " + to) },
		})
		startMember(ctx, t, hub, list, "b", members.Extension{
			Key:     "x",
			Produce: func(fleet.VM) []byte { return nil },
			Consume: func(from fleet.VM, part []byte) { got <- string(from) + ": " + string(part) },
		})
		time.Sleep(5 * time.Second)
		must.Eq(t, "a: to b", <-got)
	})
}
