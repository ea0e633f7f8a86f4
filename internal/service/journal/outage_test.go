package journal_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// setLogDown disconnects the routers vms from the log or reconnects them;
// without vms, all routers.
func (s *site) setLogDown(down bool, vms ...fleet.VM) {
	for vm, r := range s.routers {
		named := len(vms) == 0
		for _, v := range vms {
			named = named || v == vm
		}
		if named {
			r.link.SetDown(down)
		}
	}
}

// ticket returns a new ticket of a router.
func (s *site) ticket(vm fleet.VM) string {
	s.t.Helper()
	keys, err := s.routers[vm].orders.Tickets(s.ctx, "shop", 1)
	must.NoError(s.t, err)
	must.Len(s.t, 1, keys)
	return keys[0]
}

// Tickets minted before and during an outage run once, and are recorded after
// it, so that their responses survive the crash of the router that ran one.
func TestTicketsRunDuringLogOutage(t *testing.T) {
	runSite(t, func(s *site) {
		early := s.ticket("dc1a")
		s.setLogDown(true)
		time.Sleep(5 * time.Second)
		late := s.ticket("dc1b")
		for _, key := range []string{early, late} {
			for vm := range s.routers {
				s.requireRan(s.submit(vm, request(key, "x")), key)
			}
		}
		s.setLogDown(false)
		time.Sleep(10 * time.Second)
		records := 0
		for _, stream := range []string{"orders-gent-0", "orders-gent-1"} {
			records += len(s.log.Records(stream))
		}
		must.Greater(t, 2, records)
		s.kill("dc1b")
		time.Sleep(20 * time.Second)
		s.requireRan(s.submit("dc2a", request(late, "x")), late)
	}, "dc1a", "dc1b", "dc2a", "dc2b", "dc3a")
}

// During an outage an order that had run gets its recorded response, and a new
// order with a key of the caller is refused within a second without a run.
func TestOtherKeysDuringLogOutage(t *testing.T) {
	runSite(t, func(s *site) {
		recorded := s.newKey()
		s.requireRan(s.submit(s.nonOwner(recorded), request(recorded, "x")), recorded)
		s.setLogDown(true)
		time.Sleep(5 * time.Second)
		s.requireRan(s.submit(s.nonOwner(recorded), request(recorded, "x")), recorded)
		key := s.newKey()
		start := time.Now()
		resp := s.submit(s.nonOwner(key), request(key, "x"))
		s.requireFailed(resp, call.RunNot, call.CodeLogUnavailable)
		must.Positive(t, resp.err.RetryAfter)
		must.Less(t, time.Second, time.Since(start))
		s.setLogDown(false)
		time.Sleep(5 * time.Second)
		s.requireRan(s.submit(s.nonOwner(key), request(key, "x")), key)
	}, threeRouters...)
}

// TestFailuresDuringLogOutage covers failures of routers, claims and the log
// around an outage. Each case is a fault that comes before a ticket or an
// order is submitted again, and the expected run state. No case may run an
// order twice.
func TestFailuresDuringLogOutage(t *testing.T) {
	five := []fleet.VM{"dc1a", "dc1b", "dc2a", "dc2b", "dc3a"}
	cases := map[string]struct {
		ticket bool
		// ranFirst submits the key once before the fault.
		ranFirst bool
		fault    func(s *site, key string, minter fleet.VM)
		run      call.Run
	}{
		"ticket unused, log unavailable to the minter only": {true, false, func(s *site, _ string, minter fleet.VM) {
			s.setLogDown(true, minter)
		}, call.RunDone},
		"ticket unused, log unavailable to all others": {true, false, func(s *site, _ string, minter fleet.VM) {
			s.setLogDown(true)
			s.setLogDown(false, minter)
		}, call.RunDone},
		"ticket ran in the outage, minter crashed in it": {true, true, func(s *site, _ string, minter fleet.VM) {
			s.kill(minter)
		}, call.RunUnknown},
		"ticket unused, minter crashed": {true, false, func(s *site, _ string, minter fleet.VM) {
			s.kill(minter)
		}, call.RunUnknown},
		"ticket unused, minter restarted": {true, false, func(s *site, _ string, minter fleet.VM) {
			s.kill(minter)
			time.Sleep(time.Second)
			s.hub.Isolate(minter, false)
			s.start(minter)
		}, call.RunUnknown},
		"ticket ran in the outage, log recovered, minter crashed": {true, true, func(s *site, _ string, minter fleet.VM) {
			s.setLogDown(false)
			time.Sleep(10 * time.Second)
			s.kill(minter)
		}, call.RunDone},
		"ticket ran in the outage, minter isolated from its peers": {true, true, func(s *site, _ string, minter fleet.VM) {
			s.hub.Isolate(minter, true)
		}, call.RunUnknown},
		"order ran before, owner crashed, log unavailable": {false, true, func(s *site, key string, _ fleet.VM) {
			s.setLogDown(true)
			s.kill(s.ownerOf(key))
		}, call.RunUnknown},
		"order ran before, owner crashed, log recovered": {false, true, func(s *site, key string, _ fleet.VM) {
			s.setLogDown(true)
			s.kill(s.ownerOf(key))
			time.Sleep(10 * time.Second)
			s.setLogDown(false)
		}, call.RunDone},
		"order ran before, owner isolated from log and peers": {false, true, func(s *site, key string, _ fleet.VM) {
			owner := s.ownerOf(key)
			s.setLogDown(true, owner)
			s.hub.Isolate(owner, true)
		}, call.RunDone},
		"order did not run, owner crashed, log unavailable": {false, false, func(s *site, key string, _ fleet.VM) {
			s.setLogDown(true)
			s.kill(s.ownerOf(key))
		}, call.RunUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runSite(t, func(s *site) {
				minter := fleet.VM("dc1b")
				key := s.newKey()
				if c.ticket {
					key = s.ticket(minter)
					s.setLogDown(true)
					time.Sleep(5 * time.Second)
				}
				if c.ranFirst {
					s.requireRan(s.submit(minter, request(key, "x")), key)
					time.Sleep(time.Second) // the outcome is recorded now
				}
				c.fault(s, key, minter)
				time.Sleep(15 * time.Second)
				vm := fleet.VM("dc3a")
				if _, ok := s.routers[vm]; !ok {
					vm = "dc2a"
				}
				resp := s.submit(vm, request(key, "x"))
				switch c.run {
				case call.RunDone:
					s.requireRan(resp, key)
				default:
					must.NotNil(t, resp.err)
					must.Eq(t, c.run, resp.err.Run, must.Sprintf("%v", resp.err))
				}
				must.LessEq(t, 1, s.worker.runCount(key))
			}, five...)
		})
	}
}
