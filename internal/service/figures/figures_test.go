package figures_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/usage"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/figures"
	"github.com/zinniafork/zinniafork/internal/service/members"
	"github.com/zinniafork/zinniafork/internal/service/peer/peertest"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

// view is a fixed membership.
type view struct {
	members.Membership
	self fleet.VM
	live *atomic.Pointer[[]fleet.VM]
}

func (v view) Name() string                  { return members.Name }
func (v view) Self() fleet.VMInfo            { return servicetest.Row(v.self) }
func (v view) Watch(func(*members.Snapshot)) {}

func (v view) Snapshot() *members.Snapshot {
	out := &members.Snapshot{}
	for _, vm := range *v.live.Load() {
		m := members.Member{VMInfo: servicetest.Row(vm), Status: members.StateAlive}
		out.Members = append(out.Members, m)
	}
	return out
}

// fixedConfig is a configuration in force on all routers but one.
type fixedConfig struct {
	configsync.Config
	lagging fleet.VM
}

func (fixedConfig) Watch(func(*config.Effective)) {}

func (fixedConfig) Name() string { return configsync.Name }

func (fixedConfig) Current() *config.Effective {
	c := config.Defaults()
	c.Accounts = []config.Account{{Name: "shop", Member: "north"}, {Name: "till", Member: "north"}}
	return &config.Effective{Config: c, Offset: 9, Hash: "hash"}
}

func (c fixedConfig) Status(context.Context) configsync.Status {
	return configsync.Status{Routers: []configsync.RouterStatus{{VM: c.lagging}}}
}

// startSite runs the figures service on n routers; stop ends the first.
func startSite(ctx context.Context, t *testing.T, n int) (routers []*figures.Service, live *atomic.Pointer[[]fleet.VM], stop context.CancelFunc) {
	log := servicetest.NewLog()
	hub := peertest.NewHub(time.Millisecond)
	var vms []fleet.VM
	live = new(atomic.Pointer[[]fleet.VM])
	for i := range n {
		vms = append(vms, fleet.VM(fmt.Sprintf("vm%03da", i)))
	}
	live.Store(&vms)
	first, stop := context.WithCancel(ctx)
	for i, vm := range vms {
		ctx := ctx
		if i == 0 {
			ctx = first
		}
		node := hub.Join(ctx, vm)
		k := servicetest.NewKernel(t, node, servicetest.NewLogClient(log, servicetest.LogFaults{}),
			view{self: vm, live: live}, fixedConfig{lagging: "vm002a"})
		must.NoError(t, k.Provision(figures.Name))
		must.NoError(t, k.Start(ctx))
		s, err := kernel.Find[*figures.Service](k, figures.Name)
		must.NoError(t, err)
		routers = append(routers, s)
	}
	return routers, live, stop
}

func sample(account fleet.Account, code call.Code, run call.Run) figures.Sample {
	return figures.Sample{
		Member: "north", Account: account, Code: code, Run: run,
		FirstByte: 20 * time.Millisecond, Total: time.Second, InTime: code == "",
	}
}

// TestSiteSummary counts on every router and reads the site's sums on any.
func TestSiteSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		routers, live, stop := startSite(ctx, t, 9)
		for _, r := range routers {
			r.Record(sample("shop", "", call.RunDone))
			r.Record(sample("shop", call.CodeOverloaded, call.RunNot))
			r.Record(sample("till", call.CodeCut, call.RunUnknown))
		}
		time.Sleep(time.Minute)
		for _, r := range routers {
			all, err := r.Summaries(ctx)
			must.NoError(t, err)
			must.Len(t, 1, all)
			s := all[0]
			must.Eq(t, fleet.Site("gent"), s.Site)
			must.Eq(t, 9, s.Routers)
			must.Eq(t, 0, s.Missing)
			must.Eq(t, uint64(9), s.Version.Offset)
			must.Eq(t, []fleet.VM{"vm002a"}, s.Lagging)
			must.Len(t, 2, s.Accounts)
			shop := s.Accounts[0]
			must.Eq(t, usage.Counts{Requests: 18, Completed: 9, InTime: 9, Refused: 9, FirstByteMS: 360, BusyMS: 9000}, shop.Counts)
			must.Eq(t, 0.5, shop.Share)
			must.Eq(t, uint64(9), s.Accounts[1].Failed)
		}

		// The root goes: the next router takes over and the sums stay whole.
		stop()
		rest := (*live.Load())[1:]
		live.Store(&rest)
		routers[1].Record(sample("shop", "", call.RunDone))
		time.Sleep(time.Minute)
		all, err := routers[5].Summaries(ctx)
		must.NoError(t, err)
		must.Eq(t, 8, all[0].Routers)
		must.Eq(t, uint64(17), all[0].Accounts[0].Requests)
		time.Sleep(usage.Window + time.Minute)
		all, err = routers[5].Summaries(ctx)
		must.NoError(t, err)
		must.SliceEmpty(t, all[0].Accounts)
	})
}

// BenchmarkSumsAtPlannedSize encodes the sums of 270 accounts and reports the
// bytes that a router of 390 sends, and gets from its 4 children.
func BenchmarkSumsAtPlannedSize(b *testing.B) {
	accounts := make([]figures.Figure, 270)
	for i := range accounts {
		accounts[i].Member, accounts[i].Account = "signage-authority", fleet.Account(fmt.Sprintf("account-%d", i))
		accounts[i].Counts = usage.Counts{Requests: 4000, Completed: 3990, InTime: 3980, FirstByteMS: 1_000_000, BusyMS: 40_000_000}
	}
	var payload []byte
	for b.Loop() {
		payload = figures.EncodeSums(accounts, 78)
	}
	perChild := float64(len(payload)) / usage.TreePositionOf("vm1", make([]fleet.VM, 390)).Period.Seconds()
	b.ReportMetric(float64(len(payload)), "bytes/sums")
	b.ReportMetric(perChild, "sent-bytes/s")
	b.ReportMetric(4*perChild, "received-bytes/s")
}
