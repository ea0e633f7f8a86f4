package forward

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/core/balance"
	"github.com/zinniafork/zinniafork/internal/core/hubs"
	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/core/outlier"
	"github.com/zinniafork/zinniafork/internal/core/quarantine"
	"github.com/zinniafork/zinniafork/internal/core/ratelimit"
	"github.com/zinniafork/zinniafork/internal/core/reach"
	"github.com/zinniafork/zinniafork/internal/core/selfreport"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// digestSite is some routers that exchange digests, each with its own view of the others.
type digestSite struct {
	routers map[fleet.VM]*Service
	queue   []queuedDigest
	// seen counts the outcomes of seenTarget that each router received, and largest is the
	// size of the largest digest.
	seen    map[fleet.VM]int
	largest int
}

type queuedDigest struct {
	from, to fleet.VM
	payload  []byte
}

const seenTarget = fleet.Ref(7)

// digestPeers is the transport of one router of a digestSite.
type digestPeers struct {
	peer.Peers
	site *digestSite
	self fleet.VM
}

func (p digestPeers) Send(to fleet.VM, _ peer.Kind, payload []byte) error {
	p.site.queue = append(p.site.queue, queuedDigest{p.self, to, payload})
	return nil
}

// join adds a router with a view of the others.
func (d *digestSite) join(self fleet.VM, view []membership.Member) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &Service{
		clock: kernel.SystemClock{}, logger: logrus.NewEntry(logger), metrics: newRequestMetrics(metrics.NewRegistry()),
		balancer: balance.New("dc", rand.New(rand.NewPCG(1, 1))), outliers: outlier.New(), reports: selfreport.New(),
		limits: ratelimit.New(), brittle: ratelimit.New(), quarantine: quarantine.New(), paths: reach.New(rand.New(rand.NewPCG(1, 1))), decoder: loadtable.NewDecoder(),
		peers: digestPeers{site: d, self: self}, self: self, digestWake: make(chan struct{}, 1),
	}
	tree := hubs.New(self, view)
	s.tree.Store(tree)
	s.digestTimer = hubs.NewDigestTimer(time.Now(), tree)
	s.encoders = s.newEncoders()
	d.routers[self] = s
}

// run lets the routers exchange digests for a while.
func (d *digestSite) run(length time.Duration) {
	const step = 5 * time.Millisecond
	for range length / step {
		time.Sleep(step)
		arrived := d.queue
		d.queue = nil
		for _, m := range arrived {
			d.largest = max(d.largest, len(m.payload))
			if s, ok := d.routers[m.to]; ok {
				d.count(m)
				s.handleDigest(m.from, m.payload)
			}
		}
		for _, s := range d.routers {
			if !time.Now().Before(s.digestTimer.NextDue()) {
				s.sendDue()
			}
		}
	}
}

// count adds up the outcomes of seenTarget in a digest.
func (d *digestSite) count(m queuedDigest) {
	var got digest
	if wire.Unmarshal(m.payload, &got) != nil {
		return
	}
	for rest := got.Outcomes; len(rest) >= 3; rest = rest[3:] {
		d.seen[m.to] += int(rest[1])
	}
}

// routersOfView returns routers of two data centres as one router sees them, without the
// suspected ones. The others are as many as it takes to form a tree.
func routersOfView(suspected ...fleet.VM) []membership.Member {
	weights := map[fleet.VM]float64{"a1": 0.9, "a2": 0.8, "a3": 0.7, "c1": 0.9, "c2": 0.8}
	for i := range 16 {
		weights[fleet.VM(fmt.Sprintf("a-filler%d", i))] = 0.1
	}
	var out []membership.Member
	for vm, weight := range weights {
		m := membership.Member{Status: membership.StateAlive}
		m.VM, m.Weight, m.DataCentre = vm, weight, fleet.DataCentre(vm[:1])
		for _, s := range suspected {
			if s == vm {
				m.Status = membership.StateSuspect
			}
		}
		out = append(out, m)
	}
	return out
}

// TestDigestsDoNotCirculate covers routers that disagree about who is a hub, as while a
// partition begins or ends: what one router saw reaches each other one, but is passed on
// neither in a circle nor more and more often.
func TestDigestsDoNotCirculate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &digestSite{routers: make(map[fleet.VM]*Service), seen: make(map[fleet.VM]int)}
		d.join("a1", routersOfView())
		d.join("a2", routersOfView("a1"))
		d.join("a3", routersOfView("a1", "a2", "c1"))
		d.join("c1", routersOfView())
		d.join("c2", routersOfView("c1"))
		d.run(time.Second)
		d.routers["a1"].outliers.Observe(time.Now(), seenTarget, outlier.OK)
		d.run(10 * time.Second)
		for _, vm := range []fleet.VM{"a2", "a3", "c1", "c2"} {
			must.Positive(t, d.seen[vm], must.Sprint("router ", vm))
		}
		for vm, times := range d.seen {
			must.LessEq(t, len(d.routers), times, must.Sprint("router ", vm, " is told so often of one outcome"))
		}
		must.LessEq(t, 1000, d.largest, must.Sprint("bytes of the largest digest"))
	})
}

// TestQuarantineNeedsNoTable lets a router miss a digest, and with it a part of the sender's table
// of targets. The next digest tells it of a quarantine, and it passes that on.
func TestQuarantineNeedsNoTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &digestSite{routers: make(map[fleet.VM]*Service), seen: make(map[fleet.VM]int)}
		for _, vm := range []fleet.VM{"a1", "a2", "c1"} {
			d.join(vm, routersOfView())
		}
		sender := d.routers["a2"]
		sender.encoders.own.Begin()
		sender.encoders.own.Encode([]balance.Load{{Target: seenTarget, Running: 1}})
		payload, err := wire.Marshal(newDigest(time.Now(), sender.encoders.own, []balance.Load{{Target: seenTarget, Running: 2}}, updates{
			parts: quarantine.Notices{Quarantined: []uint64{666}},
		}))
		must.NoError(t, err)
		d.routers["a1"].handleDigest("a2", payload)
		must.Eq(t, []uint64{666}, d.routers["a1"].quarantine.Parts())
		d.run(time.Second)
		must.Eq(t, []uint64{666}, d.routers["c1"].quarantine.Parts(), must.Sprint("another data centre"))
	})
}
