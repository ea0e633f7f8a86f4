package caller

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// avoidTime is how long a caller leaves out an address that failed.
const avoidTime = time.Second

// entry is one address of the fleet.
type entry struct {
	vm      fleet.VM
	address string
}

func (e entry) url() string { return "http://" + e.address }

// directory keeps the addresses that an account uses.
type directory struct {
	http *http.Client
	key  string

	mu      sync.Mutex
	known   []entry
	avoided map[fleet.VM]time.Time
}

func newDirectory(client *http.Client, addresses map[fleet.VM]string, key string) *directory {
	d := &directory{http: client, key: key, avoided: make(map[fleet.VM]time.Time)}
	for _, vm := range slices.Sorted(maps.Keys(addresses)) {
		d.known = append(d.known, entry{vm: vm, address: addresses[vm]})
	}
	return d
}

// next returns the address for the next attempt; choice in [0,1) picks among
// equals.
func (d *directory) next(_ context.Context, _ string, choice float64) entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var usable []entry
	for _, e := range d.known {
		if now.After(d.avoided[e.vm]) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		usable = d.known
	}
	return usable[int(choice*float64(len(usable)))]
}

// avoid leaves an address out for a while.
func (d *directory) avoid(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[e.vm] = time.Now().Add(avoidTime)
}
