package members_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer/peertest"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

// fakePlatform is a VM list that tests change.
type fakePlatform struct {
	mu   sync.Mutex
	rows []fleet.VMInfo
	err  error
}

func (*fakePlatform) Name() string            { return platform.Name }
func (*fakePlatform) Log() logstream.Log      { return nil }
func (f *fakePlatform) VMList() vmlist.Source { return f }
func (f *fakePlatform) set(rows []fleet.VMInfo, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows, f.err = rows, err
}

func (f *fakePlatform) Fetch(context.Context) (vmlist.List, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return vmlist.List{VMs: f.rows}, f.err
}

type fakeIdentity struct {
	row fleet.VMInfo
	inc fleet.Incarnation
}

func (*fakeIdentity) Name() string                         { return identity.Name }
func (f *fakeIdentity) Self() fleet.VMInfo                 { return f.row }
func (f *fakeIdentity) Incarnation() fleet.Incarnation     { return f.inc }
func (f *fakeIdentity) Listens(identity.Interface, string) {}

func rows(names ...fleet.VM) []fleet.VMInfo {
	var out []fleet.VMInfo
	for _, name := range names {
		out = append(out, fleet.VMInfo{VM: name, DataCentre: "dc1", Site: "gent", State: fleet.VMLive, PeerAddr: "127.0.0.1:1"})
	}
	return out
}

func startMember(ctx context.Context, t *testing.T, hub *peertest.Hub, list *fakePlatform, name fleet.VM, extensions ...members.Extension) *members.Service {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	k := kernel.New(kernel.Env{Log: logger, Seed: 1}, nil, nil)
	must.NoError(t, k.Use(hub.Join(ctx, name)))
	must.NoError(t, k.Use(list))
	must.NoError(t, k.Use(&fakeIdentity{row: rows(name)[0], inc: fleet.Incarnation(time.Now().UnixNano())}))
	must.NoError(t, k.Provision(members.Name))
	s, err := kernel.Find[*members.Service](k, members.Name)
	must.NoError(t, err)
	for _, e := range extensions {
		s.Attach(e)
	}
	must.NoError(t, k.Start(ctx))
	return s
}

func status(s *members.Service, vm fleet.VM) members.State {
	m, _ := s.Snapshot().Find(vm)
	return m.Status
}

func TestViewFollowsListAndHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hub, list := peertest.NewHub(time.Millisecond), &fakePlatform{}
		list.set(rows("a", "b", "c"), nil)
		a := startMember(ctx, t, hub, list, "a")
		b := startMember(ctx, t, hub, list, "b")
		startMember(ctx, t, hub, list, "c")
		time.Sleep(8 * time.Second)
		for _, vm := range []fleet.VM{"a", "b", "c"} {
			must.Eq(t, members.StateAlive, status(a, vm))
		}
		must.True(t, a.Snapshot().Agreed)

		hub.Isolate("c", true)
		time.Sleep(2 * time.Second)
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

func TestListOutageKeepsView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hub, list := peertest.NewHub(time.Millisecond), &fakePlatform{}
		list.set(nil, errors.New("down"))
		a := startMember(ctx, t, hub, list, "a")
		startMember(ctx, t, hub, list, "b")
		time.Sleep(5 * time.Second)
		must.False(t, a.Snapshot().HasList)
		list.set(rows("a", "b"), nil)
		time.Sleep(5 * time.Second)
		must.Eq(t, members.StateAlive, status(a, "b"))
		list.set(nil, errors.New("down"))
		time.Sleep(time.Minute)
		must.Eq(t, members.StateAlive, status(a, "b"))
	})
}

func TestPartsReachPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hub, list := peertest.NewHub(time.Millisecond), &fakePlatform{}
		list.set(rows("a", "b"), nil)
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
