package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/siteclient"
	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

const (
	// killPause and killDown bound the time between two kills of a series and the time for
	// which the routers are down.
	killPause = 600 * time.Millisecond
	killDown  = 500 * time.Millisecond
	// relayLimit is the time within which a router that is cut off must serve.
	relayLimit = 5 * time.Second
	// relayRounds is the number of times that routers that relay are killed, relayedCalls the
	// number of requests then at each router that is cut off, of which one in plainPart is
	// plain, and one in repeatedPart is sent again in each round. relayedAfter is the time from
	// their start to the kill.
	relayRounds  = 3
	relayedCalls = 12
	plainPart    = 3
	repeatedPart = 2
	relayedAfter = 180 * time.Millisecond
	// relayHealed is the time after the cut from which everything must be served.
	relayHealed = 2 * time.Second
	// quarantineRetry is the least Retry-After in seconds of requests in quarantine.
	quarantineRetry = 30
)

// killRelays cuts some routers off from all workers, and kills one or two of the others again
// and again meanwhile.
func killRelays(b *bed, random *rand.Rand) (string, func()) {
	cut, what, heal := cutRouters(b, random, services...)
	relays := without(b.routers, cut)
	own := rand.New(rand.NewPCG(random.Uint64(), 0))
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for len(relays) > 0 {
			time.Sleep(time.Duration(own.Int64N(int64(killPause))))
			var killed []*router
			for _, i := range own.Perm(len(relays))[:min(1+own.IntN(2), len(relays))] {
				relays[i].signal(syscall.SIGKILL)
				killed = append(killed, relays[i])
			}
			time.Sleep(time.Duration(own.Int64N(int64(killDown))))
			b.restart(killed...)
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	return what, func() {
		close(stop)
		<-done
		heal()
	}
}

// without returns the routers that are not among others.
func without(all, others []*router) []*router {
	return slices.DeleteFunc(slices.Clone(all), func(r *router) bool { return slices.Contains(others, r) })
}

// checkLostRelays cuts routers off from all workers and kills those that relay for them, while
// streams and long plain answers in chunks run. No answer may look whole with a part of its body,
// which check sees, no request may be taken for one that crashes workers, and all is served in
// the end.
func (r *run) checkLostRelays() {
	if len(r.bed.routers) == 1 {
		return // nobody relays
	}
	r.calm.Store(0)
	cut, what, heal := cutRouters(r.bed, r.random, services...)
	for _, one := range cut {
		if !r.awaitRelays(one) {
			r.violation("%s does not serve %s after it was cut off from the workers (%s)", one, relayLimit, what)
		}
	}
	before := r.countedCrashes(cut)
	r.setPlain(workerd.FaultSilentChunked)
	var calls []Call
	relayed := 0
	for i := range relayRounds {
		c, n := r.loseRelays(cut, i+1)
		calls, relayed = append(calls, c...), relayed+n
	}
	r.setPlain(workerd.FaultNone)
	for i, n := range r.countedCrashes(cut) {
		if n > before[i] {
			r.violation("%s took %d lost answers of routers that relay for crashes of workers", cut[i], n-before[i])
		}
	}
	heal()
	if !r.awaitReady() {
		r.violation("routers did not get ready after those that relay had been killed")
	}
	time.Sleep(relayHealed)
	whole := 0
	for i := range calls {
		if calls[i].Whole && calls[i].Status == http.StatusOK && calls[i].genuine(true) {
			whole++
		}
	}
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("relaying routers killed (%s): %d of %d answers whole, %d were relayed by routers that were killed",
		what, whole, len(calls), relayed))
	if relayed == 0 {
		r.violation("no killed router relayed requests of those that were cut off (%s)", what)
	}
	calls = append(calls, r.checkServedAfterKills()...)
	for i := range calls {
		if c := &calls[i]; c.quarantined() {
			r.violation("request %s (%s, %s): sound, but refused as one that crashes workers", c.ID, c.Route, routerName(c.Router, c.Program))
		}
	}
}

// checkServedAfterKills expects every router to serve new requests and those whose relaying
// routers were killed, and returns the calls.
func (r *run) checkServedAfterKills() (calls []Call) {
	for _, one := range r.bed.routers {
		for _, route := range []string{"order", "status", "chat", "draft"} {
			for _, request := range []*siteclient.Request{r.clients.request(route), r.repeated(route)} {
				c := r.clients.do(request, one.caller)
				calls = append(calls, c)
				if c.Status != http.StatusOK || !c.Whole {
					r.violation("%s does not serve %s (%q) after routers that relay had been killed: status %d", one, route, request.Body, c.Status)
				}
			}
		}
	}
	return calls
}

// repeated returns a request of a route that its caller has sent before.
func (r *run) repeated(route string) *siteclient.Request {
	out := r.clients.request(route)
	out.Body = "repeated"
	if len(out.Prompt) > 0 {
		out.Prompt = []string{"aa", "bb"}
	}
	return out
}

// quarantined reports whether the request was refused as one that crashes workers.
func (c *Call) quarantined() bool {
	seconds, err := strconv.ParseFloat(c.RetryAfter, 64)
	return c.Status == http.StatusServiceUnavailable && err == nil && seconds >= quarantineRetry
}

// crashesMetric counts the answers that a router took for cut off by a crash of their worker.
const crashesMetric = "zinniafork_forward_engine_crashes_total "

// countedCrashes returns the number of crashes of workers that each router has counted.
func (r *run) countedCrashes(routers []*router) []int {
	out := make([]int, len(routers))
	for i, one := range routers {
		text, err := r.get(one.metrics, "/metrics")
		_, rest, found := strings.Cut("\n"+text, "\n"+crashesMetric)
		if err == nil && !found {
			err = fmt.Errorf("no metric %s", crashesMetric)
		}
		if err == nil {
			line, _, _ := strings.Cut(rest, "\n")
			out[i], err = strconv.Atoi(line)
		}
		if err != nil {
			r.violation("%s does not tell its metrics: %v", one, err)
		}
	}
	return out
}

// get returns the content of a path at an address of a router.
func (r *run) get(address, path string) (string, error) {
	request, err := http.NewRequestWithContext(r.bed.ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return "", err
	}
	resp, err := r.probe.Do(request)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// setPlain replaces the fault of the plain workers.
func (r *run) setPlain(f workerd.Fault) {
	for _, w := range r.bed.workers {
		if w.service == "plain" {
			w.Set(f)
		}
	}
}

// awaitRelays waits until a router that is cut off serves plain requests and streams.
func (r *run) awaitRelays(one *router) bool {
	for end := time.Now().Add(relayLimit); time.Now().Before(end); {
		served := 0
		for _, route := range []string{"status", "draft"} {
			if c := r.clients.call(route, one.caller); c.Status == http.StatusOK && c.Whole {
				served++
			}
		}
		if served == 2 {
			return true
		}
	}
	return false
}

// loseRelays sends requests to routers that are cut off, and kills some of the others
// meanwhile, those that relay most of them first. It returns the calls and the number that the
// killed routers relayed.
func (r *run) loseRelays(cut []*router, kills int) (calls []Call, relayed int) {
	var running sync.WaitGroup
	ids := make(map[string]bool)
	var requests []*siteclient.Request
	for i := range relayedCalls * len(cut) {
		n := i / len(cut)
		route := []string{"chat", "draft"}[n%2]
		if n%plainPart == 0 {
			route = []string{"order", "status"}[n%2]
		}
		request := r.clients.request(route)
		if n/2%repeatedPart == 0 {
			request = r.repeated(route)
		}
		requests = append(requests, request)
		ids[request.ID] = true
	}
	calls = make([]Call, len(requests))
	for i, request := range requests {
		running.Add(1)
		go func() {
			defer running.Done()
			calls[i] = r.clients.do(request, cut[i%len(cut)].caller)
		}()
	}
	time.Sleep(relayedAfter)
	count := r.countSenders(ids)
	relays := without(r.bed.routers, cut)
	slices.SortStableFunc(relays, func(a, b *router) int {
		return cmp.Compare(count[b.paths.source.String()], count[a.paths.source.String()])
	})
	relays = relays[:min(kills, len(relays))]
	for _, one := range relays {
		relayed += count[one.paths.source.String()]
		one.kill()
	}
	r.bed.restart(relays...)
	running.Wait()
	if !r.awaitReady() {
		r.violation("routers did not get ready after those that relay had been killed")
	}
	return calls, relayed
}

// countSenders returns how many of some requests run that each address sent.
func (r *run) countSenders(ids map[string]bool) map[string]int {
	count := make(map[string]int)
	for _, w := range r.bed.workers {
		for _, one := range w.Runs() {
			if ids[one.Request] && one.Ended.IsZero() {
				count[one.From]++
			}
		}
	}
	return count
}
