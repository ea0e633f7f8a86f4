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

// convergeLimit is the time within which a change must be in force on every
// router.
const convergeLimit = 3 * time.Second

// silentReadTimeout is the time after which a read without an answer fails: the
// default read wait plus the grace time.
const silentReadTimeout = 23 * time.Second

// baseDocument returns a base document that sets the queue length.
func baseDocument(queue int) string { return fmt.Sprintf("[load]\nqueue_length = %d\n", queue) }

func (n *network) publish(nd *node, queueLength int) (configstate.Entry, error) {
	ctx, cancel := context.WithTimeout(n.ctx, 30*time.Second)
	defer cancel()
	return nd.Publish(ctx, configstate.Proposal{Scope: configstate.Base, Text: baseDocument(queueLength), Author: string(nd.vm)})
}

func (n *network) mustPublish(nd *node, queueLength int) configstate.Entry {
	n.t.Helper()
	entry, err := n.publish(nd, queueLength)
	must.NoError(n.t, err)
	return entry
}

func (nd *node) queueLength() int {
	if c := nd.Current(); c != nil {
		return c.Load.QueueLength
	}
	return 0
}

// mustConverge waits convergeLimit and checks that every node has the queue length in
// force and never went back to an older version.
func (n *network) mustConverge(queueLength int) {
	n.t.Helper()
	time.Sleep(convergeLimit)
	for _, nd := range n.all() {
		must.Eq(n.t, queueLength, nd.queueLength(), must.Sprint(nd.vm))
		must.False(n.t, nd.appliedOlder(), must.Sprint(nd.vm))
	}
}

// startNetwork runs a test on a network of three routers with a first version in
// force.
func startNetwork(t *testing.T, run func(n *network, a, b, c *node)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.stream.Append(configsync.Stream, configsync.Genesis([]byte(baseDocument(1))))
		a, b, c := n.boot("vm-a", servicetest.LogFaults{}), n.boot("vm-b", servicetest.LogFaults{}), n.boot("vm-c", servicetest.LogFaults{})
		n.mustConverge(1)
		run(n, a, b, c)
	})
}

// TestPublishReachesEveryRouter checks that each published version is in force on
// every router within convergeLimit.
func TestPublishReachesEveryRouter(t *testing.T) {
	startNetwork(t, func(n *network, a, b, c *node) {
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

// TestLogFaults checks that routers whose log is down or silent get a version that
// another router publishes, also a router that starts without the log.
func TestLogFaults(t *testing.T) {
	cases := map[string]servicetest.LogFaults{
		"down":   {Down: true},
		"silent": {Silent: true},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			startNetwork(t, func(n *network, a, b, c *node) {
				b.log.Set(fault)
				c.log.Set(fault)
				n.mustPublish(a, 2)
				n.mustConverge(2)
				a.log.Set(fault)
				added := n.boot("vm-d", fault)
				n.mustConverge(2)
				must.Eq(t, a.Current().Hash, added.Current().Hash)
				for _, nd := range n.all() {
					nd.log.Set(servicetest.LogFaults{})
				}
				time.Sleep(time.Minute)
				must.Eq(t, a.Current().Offset, added.Status(n.ctx).Confirmed.Offset)
				n.mustPublish(added, 3)
				n.mustConverge(3)
			})
		})
	}
}

// TestReconnect disconnects a router from the log and all peers, then restores the
// log, the peers or both. The router must have the newest version within
// convergeLimit. If only the log is restored while a read hangs on a silent
// connection, that read must time out first.
func TestReconnect(t *testing.T) {
	for _, fault := range []servicetest.LogFaults{{Down: true}, {Silent: true}} {
		for _, restored := range []string{"log", "peers", "both"} {
			startNetwork(t, func(n *network, a, _, c *node) {
				c.log.Set(fault)
				c.cut.Store(true)
				n.mustPublish(a, 2)
				time.Sleep(time.Minute)
				must.Eq(t, 1, c.queueLength())
				if restored != "peers" {
					c.log.Set(servicetest.LogFaults{})
				}
				if restored != "log" {
					c.cut.Store(false)
				}
				if restored == "log" && fault.Silent {
					time.Sleep(silentReadTimeout)
				}
				n.mustConverge(2)
			})
		}
	}
}

// TestUnansweredAppendPublishesOnce loses the answers to appends: the repeated record
// must become one version only.
func TestUnansweredAppendPublishesOnce(t *testing.T) {
	startNetwork(t, func(n *network, a, b, _ *node) {
		a.log.Set(servicetest.LogFaults{LoseAnswers: 3})
		n.mustPublish(a, 2)
		n.mustConverge(2)
		must.Eq(t, 2, len(b.History()))
	})
}

// TestSlowLog publishes through a log whose reads take longer than the interval at
// which a publication checks for its outcome. The publishing router is cut off from
// its peers.
func TestSlowLog(t *testing.T) {
	startNetwork(t, func(n *network, a, b, c *node) {
		a.cut.Store(true)
		for i, delay := range []time.Duration{700 * time.Millisecond, 2 * time.Second} {
			for _, nd := range []*node{a, b, c} {
				nd.log.Set(servicetest.LogFaults{SlowReads: delay})
			}
			time.Sleep(time.Minute)
			n.mustPublish(a, 2+i)
			n.mustConverge(2 + i)
			must.Len(t, 2+i, b.History())
		}
	})
}

// TestSilentReadWhilePublishing publishes while the router's read hangs on a
// connection that stays silent.
func TestSilentReadWhilePublishing(t *testing.T) {
	startNetwork(t, func(n *network, a, _, _ *node) {
		a.log.Set(servicetest.LogFaults{Silent: true})
		n.stream.Append("other", nil)
		time.Sleep(time.Second)
		a.log.Set(servicetest.LogFaults{})
		n.mustPublish(a, 2)
		n.mustConverge(2)
	})
}

// TestOutageDuringPublish publishes while the log is down: the append has no answer,
// so the outcome must be reported as unknown. After the outage the router must
// follow the version that another one published.
func TestOutageDuringPublish(t *testing.T) {
	startNetwork(t, func(n *network, a, b, _ *node) {
		a.log.Set(servicetest.LogFaults{Down: true})
		_, err := n.publish(a, 2)
		must.ErrorIs(t, err, configsync.ErrOutcomeUnknown)
		n.mustPublish(b, 3)
		a.log.Set(servicetest.LogFaults{})
		n.mustConverge(3)
	})
}

// TestConcurrentPublishAcceptsOne publishes three children of one version at the same
// time: exactly one must be accepted.
func TestConcurrentPublishAcceptsOne(t *testing.T) {
	startNetwork(t, func(n *network, a, b, c *node) {
		outcomes := make(chan error, 3)
		newest, _ := a.Newest()
		for i, nd := range []*node{a, b, c} {
			go func() {
				_, err := nd.Publish(n.ctx, configstate.Proposal{
					Scope: configstate.Base, Text: baseDocument(10 + i), Author: string(nd.vm), Parent: &newest.Version,
				})
				outcomes <- err
			}()
		}
		accepted := 0
		for range 3 {
			err := <-outcomes
			if err == nil {
				accepted++
				continue
			}
			var conflict *configsync.ConflictError
			must.True(t, errors.As(err, &conflict) || errors.Is(err, configstate.ErrStaleParent), must.Sprint(err))
		}
		must.Eq(t, 1, accepted)
		time.Sleep(convergeLimit)
		n.mustConverge(a.queueLength())
	})
}

// TestUnusableVersion publishes a version that cannot be decoded as a configuration:
// the version before must stay in force, and the next valid one must be used.
func TestUnusableVersion(t *testing.T) {
	startNetwork(t, func(n *network, a, b, _ *node) {
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

// TestEmergencyDrain drains a VM while the log is down: every router must apply the
// drain, also one that starts meanwhile. The drain must end when it expires or is
// lifted, and not with a new version.
func TestEmergencyDrain(t *testing.T) {
	startNetwork(t, func(n *network, a, b, c *node) {
		drained := func(nd *node) bool { return nd.Current().VMDrained("vm-x", "dc1") }
		mustBeDrained := func(want bool) {
			t.Helper()
			time.Sleep(convergeLimit)
			for _, nd := range n.all() {
				must.Eq(t, want, drained(nd), must.Sprint(nd.vm))
			}
		}
		setMark := func(nd *node, drain bool) {
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
		setMark(a, true)
		mustBeDrained(true)
		n.boot("vm-d", servicetest.LogFaults{Down: true})
		time.Sleep(convergeLimit)
		mustBeDrained(true)
		for _, nd := range n.all() {
			nd.log.Set(servicetest.LogFaults{})
		}
		time.Sleep(time.Minute)
		n.mustPublish(b, 7)
		n.mustConverge(7)
		mustBeDrained(true)
		setMark(c, false)
		mustBeDrained(false)
		setMark(b, true)
		mustBeDrained(true)
		must.Len(t, 1, c.Emergencies())
		time.Sleep(10 * time.Minute)
		mustBeDrained(false)
		must.Len(t, 0, c.Emergencies())
	})
}

// TestRetention runs routers for several times the retention of the log: only one
// router may append snapshots, and a new router must still be able to start.
func TestRetention(t *testing.T) {
	startNetwork(t, func(n *network, a, _, _ *node) {
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
		added := n.boot("vm-z", servicetest.LogFaults{})
		n.mustConverge(1)
		must.Eq(t, version, added.Current().Offset)
	})
}

// TestStartAfterLongHistory starts a router when the log has more records than a new
// reader reads first.
func TestStartAfterLongHistory(t *testing.T) {
	startNetwork(t, func(n *network, a, _, _ *node) {
		for i := range 3 * configstate.BootWindow {
			n.mustPublish(a, 100+i)
		}
		n.stopAll()
		n.boot("vm-z", servicetest.LogFaults{})
		n.mustConverge(100 + 3*configstate.BootWindow - 1)
	})
}
