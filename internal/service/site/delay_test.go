package site_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/peer/peertest"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
	"github.com/zinniafork/zinniafork/internal/service/site"
)

// fakeLog is a platform's log with configurations and rows of the VM list. It stands for
// the source of one router on a log that all share.
type fakeLog struct {
	*sharedLog
}

type sharedLog struct {
	mu       sync.Mutex
	versions []int64
	rows     []sitestate.Record[sitestate.VM]
	reads    int
}

func (fakeLog) Name() string { return site.SourceName }

func (fakeLog) Era() int64 { return 1 }

// publish writes a configuration.
func (l *sharedLog) publish(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version)
}

// count returns the number of reads.
func (l *sharedLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l fakeLog) Read(_ context.Context, from sitestate.Positions, _ bool) (*sitestate.Update, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	end := sitestate.Positions{Operator: int64(len(l.versions)), VMs: int64(len(l.rows)), Era: 1}
	u := &sitestate.Update{From: from, End: end, VMs: l.rows[from.VMs:]}
	for i := from.Operator; i < end.Operator; i++ {
		content := &routing.Config{Version: l.versions[i]}
		u.Config = append(u.Config, sitestate.Record[sitestate.Config]{Key: sitestate.ConfigKey, Offset: i, Value: sitestate.Config{Content: content}})
	}
	if from == (sitestate.Positions{}) {
		u.WholeOperator, u.WholeTargets, u.WholeVMs = true, true, true
	}
	return u, nil
}

func (l fakeLog) Announce(_ context.Context, row fleet.VMInfo) (sitestate.Record[sitestate.VM], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := sitestate.Record[sitestate.VM]{Key: string(row.VM), Offset: int64(len(l.rows)), Value: sitestate.VM{Row: row}}
	l.rows = append(l.rows, r)
	return r, nil
}

// startRouter starts the site service of a router. The one with the greatest weight reads
// the log for the others.
func startRouter(ctx context.Context, t *testing.T, hub *peertest.Hub, log *sharedLog, vm fleet.VM, weight float64) *site.Service {
	t.Helper()
	id := servicetest.NewIdentity(vm)
	id.Row.Weight = weight
	k := servicetest.NewKernel(t, hub.Join(ctx, vm), id, new(site.VMListSource), fakeLog{log})
	must.NoError(t, k.Provision(site.Name))
	s, err := kernel.Find[*site.Service](k, site.Name)
	must.NoError(t, err)
	must.NoError(t, k.Start(ctx))
	return s
}

// version returns the version of the configuration that a router has, zero if none.
func version(s *site.Service) int64 {
	if table := s.Table(); table != nil {
		return table.Config.Version
	}
	return 0
}

// TestStateThatArrivesLateIsNotFresh covers a router to which messages of the others take
// longer and longer, as through a link that fills up, until they take three seconds. What
// they say of the age of the state is as old as that: the router must read the log by
// itself to have a configuration in time.
func TestStateThatArrivesLateIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hub, log := peertest.NewHub(time.Millisecond), new(sharedLog)
		log.publish(1)
		startRouter(ctx, t, hub, log, "a1", 0.9)
		late := startRouter(ctx, t, hub, log, "a2", 0.5)
		startRouter(ctx, t, hub, log, "a3", 0.1)
		time.Sleep(8 * time.Second)
		must.Eq(t, 1, version(late))

		for delay := time.Duration(0); delay < 3*time.Second; delay += 50 * time.Millisecond {
			hub.Delay("a2", delay)
			time.Sleep(200 * time.Millisecond)
		}
		for v := int64(2); v < 8; v++ {
			log.publish(v)
			time.Sleep(2 * time.Second)
			must.Eq(t, v, version(late), must.Sprint("the configuration two seconds after it was written"))
			time.Sleep(4 * time.Second)
		}
	})
}

// TestOneRouterReadsTheLogWhileMessagesAreFast checks that the delays of usual messages
// make nobody else read the log.
func TestOneRouterReadsTheLogWhileMessagesAreFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		hub, log := peertest.NewHub(20*time.Millisecond), new(sharedLog)
		log.publish(1)
		startRouter(ctx, t, hub, log, "a1", 0.9)
		startRouter(ctx, t, hub, log, "a2", 0.5)
		startRouter(ctx, t, hub, log, "a3", 0.1)
		time.Sleep(8 * time.Second)
		before := log.count()
		time.Sleep(30 * time.Second)
		must.LessEq(t, 45, log.count()-before, must.Sprint("reads in 30 s; one router reads each 0.7 to 0.8 s"))
	})
}
