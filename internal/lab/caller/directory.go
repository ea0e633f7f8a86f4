package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
)

const (
	// avoidTime is how long a caller leaves out an address that failed.
	avoidTime = time.Second
	// lookupLimit is the time for one entry lookup.
	lookupLimit = 500 * time.Millisecond
	// lookupTries is the number of addresses that one lookup asks.
	lookupTries = 3
)

// entry is one address of the fleet.
type entry struct {
	vm  fleet.VM
	url string
}

// listing is the answer to an entry lookup, to be used until it expires.
type listing struct {
	entries []entry
	until   time.Time
}

// directory asks routers which addresses to use and keeps the answers for
// their lifetime.
type directory struct {
	http *http.Client
	key  string
	// known are the addresses to ask; requests go there only while no lookup
	// succeeds.
	known []entry

	mu sync.Mutex
	// listings are kept by chat; the empty one is for other requests.
	listings map[string]listing
	avoided  map[fleet.VM]time.Time
}

func newDirectory(client *http.Client, addresses map[fleet.VM]string, key string) *directory {
	d := &directory{
		http:     client,
		key:      key,
		listings: make(map[string]listing),
		avoided:  make(map[fleet.VM]time.Time),
	}
	for _, vm := range slices.Sorted(maps.Keys(addresses)) {
		d.known = append(d.known, entry{vm: vm, url: "http://" + addresses[vm]})
	}
	return d
}

// next returns the address for the next attempt. A chat takes the best one of
// its listing, other requests any; choice in [0,1) picks among equals.
func (d *directory) next(ctx context.Context, chat string, choice float64) entry {
	entries := d.list(ctx, chat, choice)
	usable := d.usable(entries)
	if chat != "" && len(entries) > 0 {
		return usable[0]
	}
	if len(entries) == 0 {
		usable = d.usable(d.known)
	}
	return pick(usable, choice)
}

func pick(entries []entry, choice float64) entry {
	return entries[int(choice*float64(len(entries)))]
}

// list returns a listing that has not expired, or nothing when no router
// answers the lookup.
func (d *directory) list(ctx context.Context, chat string, choice float64) []entry {
	d.mu.Lock()
	l, ok := d.listings[chat]
	d.mu.Unlock()
	if ok && time.Now().Before(l.until) {
		return l.entries
	}
	for i := range lookupTries {
		ask := d.usable(d.known)
		e := ask[(int(choice*float64(len(ask)))+i)%len(ask)]
		l, err := d.lookup(ctx, e, chat)
		if err != nil {
			d.avoid(e)
			continue
		}
		d.mu.Lock()
		d.listings[chat] = l
		d.mu.Unlock()
		return l.entries
	}
	return nil
}

// lookup asks one router.
func (d *directory) lookup(ctx context.Context, e entry, chat string) (listing, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupLimit)
	defer cancel()
	target := e.url + "/v1/entry"
	if chat != "" {
		target += "?chat=" + url.QueryEscape(chat)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return listing{}, err
	}
	r.Header.Set("Authorization", "Bearer "+d.key)
	asked := time.Now()
	resp, err := d.http.Do(r)
	if err != nil {
		return listing{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return listing{}, fmt.Errorf("entry lookup at %s: status %d", e.vm, resp.StatusCode)
	}
	var in callerapi.EntryResponse
	if err := json.NewDecoder(resp.Body).Decode(&in); err != nil {
		return listing{}, fmt.Errorf("entry lookup at %s: %w", e.vm, err)
	}
	if len(in.Addresses) == 0 {
		return listing{}, fmt.Errorf("entry lookup at %s: no address", e.vm)
	}
	out := listing{until: asked.Add(time.Duration(in.LifetimeMS) * time.Millisecond)}
	for _, a := range in.Addresses {
		out.entries = append(out.entries, entry{vm: a.VM, url: strings.TrimSuffix(a.URL, "/")})
	}
	return out, nil
}

// usable leaves out addresses that failed of late, unless all did.
func (d *directory) usable(entries []entry) []entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var out []entry
	for _, e := range entries {
		if now.After(d.avoided[e.vm]) {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return entries
	}
	return out
}

// avoid leaves an address out for a while.
func (d *directory) avoid(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[e.vm] = time.Now().Add(avoidTime)
}
