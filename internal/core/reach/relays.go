package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// relayPause is how long a router that could not relay to a service is left out.
	relayPause = 2 * time.Second
	// unsupportedPause replaces it for a router of a release that relays nothing.
	unsupportedPause = 30 * time.Second
)

// Relay is a router that may pass requests on to targets.
type Relay struct {
	VM         fleet.VM
	DataCentre fleet.DataCentre
}

// Relays chooses the routers by which requests reach the targets of a service. It is not
// safe for concurrent use.
type Relays struct {
	rng    *rand.Rand
	paused map[relayKey]time.Time
}

type relayKey struct {
	vm      fleet.VM
	service fleet.Service
}

// NewRelays returns a Relays that takes all routers for able to relay.
func NewRelays(rng *rand.Rand) *Relays {
	return &Relays{rng: rng, paused: make(map[relayKey]time.Time)}
}

// Choose returns a router that may relay to a service, without the excluded ones, and false
// if there is none. Routers of the preferred data centre go first, so that requests don't
// leave it, unless one of them was excluded: a partition may hold for all of them.
func (r *Relays) Choose(now time.Time, service fleet.Service, prefer fleet.DataCentre, all []Relay, exclude []fleet.VM) (fleet.VM, bool) {
	local := true
	var near, far []fleet.VM
	for _, relay := range all {
		switch {
		case slices.Contains(exclude, relay.VM):
			local = local && relay.DataCentre != prefer
		case now.Before(r.paused[relayKey{relay.VM, service}]):
		case relay.DataCentre == prefer:
			near = append(near, relay.VM)
		default:
			far = append(far, relay.VM)
		}
	}
	if len(near) == 0 || !local && len(far) > 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	return near[r.rng.IntN(len(near))], true
}

// Failed records that a router could not relay to a service. Unsupported is true if it is
// of a release that relays nothing.
func (r *Relays) Failed(now time.Time, vm fleet.VM, service fleet.Service, unsupported bool) {
	pause := relayPause
	if unsupported {
		pause = unsupportedPause
	}
	r.paused[relayKey{vm, service}] = now.Add(pause)
}

// Expire forgets pauses that have ended.
func (r *Relays) Expire(now time.Time) {
	for key, until := range r.paused {
		if !now.Before(until) {
			delete(r.paused, key)
		}
	}
}
