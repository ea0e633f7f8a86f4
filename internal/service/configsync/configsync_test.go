package configsync_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

// convergeLimit is the time in which a change must be in force everywhere.
const convergeLimit = 3 * time.Second

// silentReadLimit is the time after which a read counts as lost.
const silentReadLimit = 23 * time.Second

func base(queue int) string { return fmt.Sprintf("[load]\nqueue_length = %d\n", queue) }

func (n *network) publish(nd *node, queue int) (configstate.Entry, error) {
	ctx, cancel := context.WithTimeout(n.ctx, 30*time.Second)
	defer cancel()
	return nd.Publish(ctx, configstate.Proposal{Scope: configstate.Base, Text: base(queue), Author: string(nd.vm)})
}

func (n *network) mustPublish(nd *node, queue int) configstate.Entry {
	n.t.Helper()
	entry, err := n.publish(nd, queue)
	must.NoError(n.t, err)
	return entry
}

func (nd *node) queue() int {
	if c := nd.Current(); c != nil {
		return c.Load.QueueLength
	}
	return 0
}

// mustConverge waits the time that a change may take and checks every node.
func (n *network) mustConverge(queue int) {
	n.t.Helper()
	time.Sleep(convergeLimit)
	for _, nd := range n.all() {
		must.Eq(n.t, queue, nd.queue(), must.Sprint(nd.vm))
		must.False(n.t, nd.wentBack(), must.Sprint(nd.vm))
	}
}

// start runs a network of three routers with a first version in force.
func start(t *testing.T, run func(n *network, a, b, c *node)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.stream.Append(configsync.Stream, configsync.Genesis([]byte(base(1))))
		a, b, c := n.boot("vm-a", servicetest.LogFaults{}), n.boot("vm-b", servicetest.LogFaults{}), n.boot("vm-c", servicetest.LogFaults{})
		n.mustConverge(1)
		run(n, a, b, c)
	})
}

func TestChangeReachesEveryRouter(t *testing.T) {
	start(t, func(n *network, a, b, c *node) {
		for i := 2; i < 6; i++ {
			entry := n.mustPublish(a, i)
			n.mustConverge(i)
			must.Eq(t, entry.Version.Hash, b.Current().Hash)
			must.Eq(t, entry.Version.Offset, c.Current().Offset)
		}
		for _, r := range a.Status(n.ctx).Routers {
			must.Eq(t, a.Current().Offset, r.InForce.Offset)
		}
	})
}

// TestLogFaults cuts routers off from the log in several ways while another
// one publishes.
func TestLogFaults(t *testing.T) {
	cases := map[string]servicetest.LogFaults{
		"down":   {Down: true},
		"silent": {Silent: true},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			start(t, func(n *network, a, b, c *node) {
				b.log.Set(fault)
				c.log.Set(fault)
				n.mustPublish(a, 2)
				n.mustConverge(2)
				a.log.Set(fault)
				fresh := n.boot("vm-d", fault)
				n.mustConverge(2)
				must.Eq(t, a.Current().Hash, fresh.Current().Hash)
				for _, nd := range n.all() {
					nd.log.Set(servicetest.LogFaults{})
				}
				time.Sleep(time.Minute)
				must.Eq(t, a.Current().Offset, fresh.Status(n.ctx).Confirmed.Offset)
				n.mustPublish(fresh, 3)
				n.mustConverge(3)
			})
		})
	}
}

// TestReturn cuts a router off from the log and from all peers, and brings
// back either way: it has the newest version within the limit. Alone with a
// read on a connection that is silent for good, it first waits until that read
// has lasted too long.
func TestReturn(t *testing.T) {
	for _, fault := range []servicetest.LogFaults{{Down: true}, {Silent: true}} {
		for _, way := range []string{"log", "peers", "both"} {
			start(t, func(n *network, a, _, c *node) {
				c.log.Set(fault)
				c.cut.Store(true)
				n.mustPublish(a, 2)
				time.Sleep(time.Minute)
				must.Eq(t, 1, c.queue())
				if way != "peers" {
					c.log.Set(servicetest.LogFaults{})
				}
				if way != "log" {
					c.cut.Store(false)
				}
				if way == "log" && fault.Silent {
					time.Sleep(silentReadLimit)
				}
				n.mustConverge(2)
			})
		}
	}
}

func TestLostAnswerPublishesOnce(t *testing.T) {
	start(t, func(n *network, a, b, _ *node) {
		a.log.Set(servicetest.LogFaults{LoseAnswers: 3})
		n.mustPublish(a, 2)
		n.mustConverge(2)
		must.Eq(t, 2, len(b.History()))
	})
}

// TestSlowLog publishes through a log whose reads take longer than the steps
// in which a publication looks at it. No peer helps.
func TestSlowLog(t *testing.T) {
	start(t, func(n *network, a, b, c *node) {
		a.cut.Store(true)
		for i, slow := range []time.Duration{700 * time.Millisecond, 2 * time.Second} {
			for _, nd := range []*node{a, b, c} {
				nd.log.Set(servicetest.LogFaults{SlowReads: slow})
			}
			time.Sleep(time.Minute)
			n.mustPublish(a, 2+i)
			n.mustConverge(2 + i)
			must.Len(t, 2+i, b.History())
		}
	})
}

// TestSilentReadWhilePublishing publishes while the router's read hangs on a
// connection that is silent for good.
func TestSilentReadWhilePublishing(t *testing.T) {
	start(t, func(n *network, a, _, _ *node) {
		a.log.Set(servicetest.LogFaults{Silent: true})
		n.stream.Append("other", nil)
		time.Sleep(time.Second)
		a.log.Set(servicetest.LogFaults{})
		n.mustPublish(a, 2)
		n.mustConverge(2)
	})
}

// TestOutageDuringPublish lets the log go away before the append has an
// answer: the outcome stays unknown until the log shows it.
func TestOutageDuringPublish(t *testing.T) {
	start(t, func(n *network, a, b, _ *node) {
		a.log.Set(servicetest.LogFaults{Down: true})
		_, err := n.publish(a, 2)
		must.ErrorIs(t, err, configsync.ErrOutcomeUnknown)
		n.mustPublish(b, 3)
		a.log.Set(servicetest.LogFaults{})
		n.mustConverge(3)
	})
}

func TestRaceHasOneWinner(t *testing.T) {
	start(t, func(n *network, a, b, c *node) {
		outcomes := make(chan error, 3)
		seen, _ := a.Newest()
		for i, nd := range []*node{a, b, c} {
			go func() {
				_, err := nd.Publish(n.ctx, configstate.Proposal{
					Scope: configstate.Base, Text: base(10 + i), Author: string(nd.vm), Parent: &seen.Version,
				})
				outcomes <- err
			}()
		}
		won := 0
		for range 3 {
			err := <-outcomes
			if err == nil {
				won++
				continue
			}
			var lost *configsync.ConflictError
			must.True(t, errors.As(err, &lost) || errors.Is(err, configstate.ErrStaleParent), must.Sprint(err))
		}
		must.Eq(t, 1, won)
		time.Sleep(convergeLimit)
		n.mustConverge(a.queue())
	})
}

// TestUnusableVersion puts a version on the log that cannot be decoded as a
// configuration: the one before stays in force, and the next is used.
func TestUnusableVersion(t *testing.T) {
	start(t, func(n *network, a, b, _ *node) {
		_, err := a.Publish(n.ctx, configstate.Proposal{Scope: configstate.Base, Text: "load = 7\n", Author: "ada"})
		must.NoError(t, err)
		n.mustConverge(1)
		status := b.Status(n.ctx)
		must.Greater(t, b.Current().Offset, status.Newest.Version.Offset)
		for _, r := range status.Routers {
			must.StrContains(t, r.Problem, "load")
		}
		n.mustPublish(b, 4)
		n.mustConverge(4)
	})
}

// TestEmergencyDrain takes a target out while the log is away: every router
// follows, also one that starts meanwhile, and the drain ends by itself, by
// lifting it, and not by a new version.
func TestEmergencyDrain(t *testing.T) {
	start(t, func(n *network, a, b, c *node) {
		drained := func(nd *node) bool { return nd.Current().VMDrained("vm-x", "dc1") }
		all := func(want bool) {
			t.Helper()
			time.Sleep(convergeLimit)
			for _, nd := range n.all() {
				must.Eq(t, want, drained(nd), must.Sprint(nd.vm))
			}
		}
		mark := func(nd *node, drain bool) {
			now := time.Now()
			nd.SetEmergency(configstate.EmergencyMark{
				Site: "gent", Section: "vms", Name: "vm-x", Drain: drain, Author: "ada", Until: now.Add(10 * time.Minute),
			})
		}
		must.True(t, a.LogReadable(n.ctx))
		for _, nd := range n.all() {
			nd.log.Set(servicetest.LogFaults{Down: true})
		}
		must.False(t, a.LogReadable(n.ctx))
		mark(a, true)
		all(true)
		n.boot("vm-d", servicetest.LogFaults{Down: true})
		time.Sleep(convergeLimit)
		all(true)
		for _, nd := range n.all() {
			nd.log.Set(servicetest.LogFaults{})
		}
		time.Sleep(time.Minute)
		n.mustPublish(b, 7)
		n.mustConverge(7)
		all(true)
		mark(c, false)
		all(false)
		mark(b, true)
		all(true)
		must.Len(t, 1, c.Emergencies())
		time.Sleep(10 * time.Minute)
		all(false)
		must.Len(t, 0, c.Emergencies())
	})
}

// TestRetention keeps routers and log running far beyond the log's retention:
// one router alone appends snapshots, and a new router can always start.
func TestRetention(t *testing.T) {
	start(t, func(n *network, a, _, _ *node) {
		version := a.Current().Offset
		for range 24 {
			time.Sleep(testRetention / 4)
			n.stream.Expire(configsync.Stream, testRetention)
		}
		page := n.stream.Page(configsync.Stream, 0, 1)
		must.Greater(t, 0, page.Earliest)
		snapshots := int(page.Next) - 1
		must.Between(t, 20, snapshots, 24)
		n.stopAll()
		fresh := n.boot("vm-z", servicetest.LogFaults{})
		n.mustConverge(1)
		must.Eq(t, version, fresh.Current().Offset)
	})
}

// TestLongHistory boots a router behind more records than it reads at first.
func TestLongHistory(t *testing.T) {
	start(t, func(n *network, a, _, _ *node) {
		for i := range 3 * configstate.BootWindow {
			n.mustPublish(a, 100+i)
		}
		n.stopAll()
		n.boot("vm-z", servicetest.LogFaults{})
		n.mustConverge(100 + 3*configstate.BootWindow - 1)
	})
}
