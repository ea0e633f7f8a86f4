package journal_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// setDown cuts the routers from the log, all of them when none is named.
func (s *site) setDown(down bool, vms ...fleet.VM) {
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

func (s *site) ticket(vm fleet.VM) string {
	s.t.Helper()
	keys, err := s.routers[vm].orders.Tickets(s.ctx, "shop", 1)
	must.NoError(s.t, err)
	must.Len(s.t, 1, keys)
	return keys[0]
}

func TestTicketsRunWhileTheLogIsAway(t *testing.T) {
	inSite(t, func(s *site) {
		before := s.ticket("dc1a")
		s.setDown(true)
		time.Sleep(5 * time.Second)
		after := s.ticket("dc1b")
		for _, key := range []string{before, after} {
			for vm := range s.routers {
				s.ran(s.submit(vm, request(key, "x")), key)
			}
		}
		s.setDown(false)
		time.Sleep(10 * time.Second)
		records := 0
		for _, stream := range []string{"orders-gent-0", "orders-gent-1"} {
			records += len(s.log.Records(stream))
		}
		must.Greater(t, 2, records)
		s.kill("dc1b")
		time.Sleep(20 * time.Second)
		s.ran(s.submit("dc2a", request(after, "x")), after)
	}, "dc1a", "dc1b", "dc2a", "dc2b", "dc3a")
}

func TestOtherKeysWhileTheLogIsAway(t *testing.T) {
	inSite(t, func(s *site) {
		ran := s.key()
		s.ran(s.submit(s.other(ran), request(ran, "x")), ran)
		s.setDown(true)
		time.Sleep(5 * time.Second)
		s.ran(s.submit(s.other(ran), request(ran, "x")), ran)
		key := s.key()
		begin := time.Now()
		a := s.submit(s.other(key), request(key, "x"))
		s.failed(a, call.RunNot, call.CodeLogUnavailable)
		must.Positive(t, a.err.RetryAfter)
		must.Less(t, time.Second, time.Since(begin))
		s.setDown(false)
		time.Sleep(5 * time.Second)
		s.ran(s.submit(s.other(key), request(key, "x")), key)
	}, threeRouters...)
}

// TestRouterClaimAndLogFailInTurn is the failure table of orders in an outage:
// each row says what fails before a ticket or an order is submitted again.
func TestRouterClaimAndLogFailInTurn(t *testing.T) {
	five := []fleet.VM{"dc1a", "dc1b", "dc2a", "dc2b", "dc3a"}
	cases := map[string]struct {
		ticket bool
		// ranFirst submits the key once before the fault.
		ranFirst bool
		fault    func(s *site, key string, minter fleet.VM)
		run      call.Run
	}{
		"ticket, log away for the minter only, unused": {true, false, func(s *site, _ string, minter fleet.VM) {
			s.setDown(true, minter)
		}, call.RunDone},
		"ticket, log away for all others": {true, false, func(s *site, _ string, minter fleet.VM) {
			s.setDown(true)
			s.setDown(false, minter)
		}, call.RunDone},
		"ticket ran in the outage, minter died in it": {true, true, func(s *site, _ string, minter fleet.VM) {
			s.kill(minter)
		}, call.RunUnknown},
		"ticket unused, minter died": {true, false, func(s *site, _ string, minter fleet.VM) {
			s.kill(minter)
		}, call.RunUnknown},
		"ticket unused, minter restarted": {true, false, func(s *site, _ string, minter fleet.VM) {
			s.kill(minter)
			time.Sleep(time.Second)
			s.hub.Isolate(minter, false)
			s.start(minter)
		}, call.RunUnknown},
		"ticket ran in the outage, log came back, minter died": {true, true, func(s *site, _ string, minter fleet.VM) {
			s.setDown(false)
			time.Sleep(10 * time.Second)
			s.kill(minter)
		}, call.RunDone},
		"ticket ran in the outage, minter cut from its peers": {true, true, func(s *site, _ string, minter fleet.VM) {
			s.hub.Isolate(minter, true)
		}, call.RunUnknown},
		"order ran before, owner died, log away": {false, true, func(s *site, key string, _ fleet.VM) {
			s.setDown(true)
			s.kill(s.ownerOf(key))
		}, call.RunUnknown},
		"order ran before, owner died, log back": {false, true, func(s *site, key string, _ fleet.VM) {
			s.setDown(true)
			s.kill(s.ownerOf(key))
			time.Sleep(10 * time.Second)
			s.setDown(false)
		}, call.RunDone},
		"order ran before, owner cut from log and peers": {false, true, func(s *site, key string, _ fleet.VM) {
			own := s.ownerOf(key)
			s.setDown(true, own)
			s.hub.Isolate(own, true)
		}, call.RunDone},
		"order not run, owner died, log away": {false, false, func(s *site, key string, _ fleet.VM) {
			s.setDown(true)
			s.kill(s.ownerOf(key))
		}, call.RunUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inSite(t, func(s *site) {
				minter := fleet.VM("dc1b")
				key := s.key()
				if c.ticket {
					key = s.ticket(minter)
					s.setDown(true)
					time.Sleep(5 * time.Second)
				}
				if c.ranFirst {
					s.ran(s.submit(minter, request(key, "x")), key)
					time.Sleep(time.Second) // the outcome is recorded now
				}
				c.fault(s, key, minter)
				time.Sleep(15 * time.Second)
				by := fleet.VM("dc3a")
				if _, ok := s.routers[by]; !ok {
					by = "dc2a"
				}
				a := s.submit(by, request(key, "x"))
				switch c.run {
				case call.RunDone:
					s.ran(a, key)
				default:
					must.NotNil(t, a.err)
					must.Eq(t, c.run, a.err.Run, must.Sprintf("%v", a.err))
				}
				must.LessEq(t, 1, s.worker.ran(key))
			}, five...)
		})
	}
}
