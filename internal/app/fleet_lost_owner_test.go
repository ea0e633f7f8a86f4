package app

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/target"
)

// fleetRequest is one kind of request, and the resource whose owner is lost meanwhile.
type fleetRequest struct {
	name   string
	stream bool
	order  bool
	// ofKey is true if the owner of the order's key is lost, and not that of the target.
	ofKey    bool
	framings []string
}

var fleetRequests = []fleetRequest{
	{name: "stream", stream: true, framings: []string{"chunked", "unframed"}},
	{name: "long response", framings: []string{"chunked", "length", "unframed"}},
	{name: "order, owner of the worker lost", order: true, framings: []string{"chunked"}},
	{name: "order, owner of the key lost", order: true, ofKey: true, framings: []string{"chunked"}},
}

// resource returns the resource whose owner is to be lost.
func (k fleetRequest) resource(key orders.Key) owner.Resource {
	switch {
	case k.ofKey:
		parsed, err := orders.ParseKey(string(key))
		if err != nil {
			panic(err)
		}
		return owner.Resource(fmt.Sprintf("orders/%d", parsed.Partition(fleetConfig().Orders.Partitions)))
	case k.stream:
		return owner.TargetResource("engine")
	default:
		return owner.TargetResource("worker")
	}
}

// send sends the request.
func (k fleetRequest) send(b *fleetBed, vm fleet.VM, account int, key orders.Key) answer {
	switch {
	case k.stream:
		return b.send(vm, account, http.MethodPost, "/v1/chat/completions", `{"model":"model","stream":true,"messages":[{"role":"user","content":"hello"}]}`, nil)
	case k.order:
		return b.send(vm, account, http.MethodPost, "/v1/services/docs/order", "plates", map[string]string{callerapi.HeaderIdempotencyKey: string(key)})
	default:
		return b.send(vm, account, http.MethodGet, "/v1/services/docs/long", "", nil)
	}
}

// looksComplete reports whether a caller takes the response for a whole one.
func (a *answer) looksComplete() bool {
	return a.err == nil && a.status == http.StatusOK && !strings.Contains(a.body, "event: error")
}

// withoutEventIDs removes the IDs and comments that the router adds to a stream.
func withoutEventIDs(body string) string {
	var out strings.Builder
	for line := range strings.Lines(strings.ReplaceAll(body, ": waiting\n\n", "")) {
		if !strings.HasPrefix(line, "id: ") {
			out.WriteString(line)
		}
	}
	return out.String()
}

// TestLostOwnerEndsNoResponse kills the owner router, or cuts it off from the other routers for a
// moment, while responses are under way through another one. No part of a response may look complete, no request that has run may be called not
// run, no order may run twice, and no target may be held to have failed.
func TestLostOwnerEndsNoResponse(t *testing.T) {
	losses := map[string][]string{
		"chunked": {"EOF", "reset", "mid-frame", "links", "stop"}, "length": {"EOF", "reset"}, "unframed": {"EOF", "reset"},
	}
	for _, k := range fleetRequests {
		for _, framing := range k.framings {
			for _, how := range losses[framing] {
				for _, after := range []time.Duration{50 * time.Millisecond, 1100 * time.Millisecond} {
					t.Run(fmt.Sprint(k.name, " ", framing, " ", how, " after ", after), func(t *testing.T) {
						onFleet(t, func(t *testing.T, b *fleetBed) { loseOwner(t, b, k, framing, how, after, 8) })
					})
				}
			}
		}
	}
}

// loseOwner plays one case with a request of each of some accounts, and returns the number of
// responses that are whole.
func loseOwner(t *testing.T, b *fleetBed, k fleetRequest, framing, how string, after time.Duration, requests int) (whole int) {
	t.Helper()
	b.targets.setFraming(framing)
	key := func(i int) orders.Key { return orders.NewKey(time.Now(), [10]byte{9: byte(i)}) }
	lost := b.ownerOf(k.resource(key(0)))
	entry := b.entryBut(lost)
	keys := make([]orders.Key, requests)
	answers := make(chan answer, requests)
	for i := range requests {
		keys[i] = key(i)
		go func() { answers <- k.send(b, entry, i, keys[i]) }()
	}
	time.Sleep(after)
	switch how {
	case "links":
		b.routers[lost].network.cutLinks()
	case "stop":
		b.stop(lost)
	default:
		b.kill(lost, how)
	}
	for range requests {
		a := <-answers
		if a.looksComplete() {
			whole++
			must.Eq(t, fleetBody(k.stream), withoutEventIDs(a.body))
		}
		if strings.Contains(a.body, `"run":"not_run"`) {
			time.Sleep(5 * time.Second)
			must.Eq(t, 0, b.targets.runs(a.header.Get(target.HeaderRequestID)), must.Sprint(a.body))
		}
	}
	for _, key := range keys {
		must.LessEq(t, 1, b.targets.runs(string(key)))
	}
	time.Sleep(8 * time.Second)
	o, err := kernel.Find[owner.Targets](b.routers[entry].Kernel, owner.Name)
	must.NoError(t, err)
	for _, report := range o.Targets() {
		must.Eq(t, owner.TargetWarm, report.State, must.Sprint(report.Target))
	}
	return whole
}

// TestRequestsOfALostOwnerAreServed loses the owner of the only target before and after the first
// byte of responses that may run again. The target has not failed: its next owner serves them.
func TestRequestsOfALostOwnerAreServed(t *testing.T) {
	for _, k := range fleetRequests[:2] {
		for _, how := range []string{"EOF", "reset", "links", "stop"} {
			for _, after := range []time.Duration{50 * time.Millisecond, 1100 * time.Millisecond} {
				t.Run(fmt.Sprint(k.name, " ", how, " after ", after), func(t *testing.T) {
					onFleet(t, func(t *testing.T, b *fleetBed) {
						must.Eq(t, 8, loseOwner(t, b, k, "chunked", how, after, 8))
					})
				})
			}
		}
	}
}

// TestLostOwnerTakesNoRetriesOfItsTargets loses an owner with the requests of 30 accounts at one
// target, more than the retries that a target is allowed after failures of its own.
func TestLostOwnerTakesNoRetriesOfItsTargets(t *testing.T) {
	for _, k := range fleetRequests[:2] {
		for _, after := range []time.Duration{50 * time.Millisecond, 1100 * time.Millisecond} {
			t.Run(fmt.Sprint(k.name, " after ", after), func(t *testing.T) {
				onFleet(t, func(t *testing.T, b *fleetBed) {
					must.Eq(t, 30, loseOwner(t, b, k, "chunked", "EOF", after, 30))
				})
			})
		}
	}
}
