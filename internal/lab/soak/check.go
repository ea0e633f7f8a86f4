package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// Call is one request as its caller saw it.
type Call struct {
	ID    string
	Route string
	// Router is the one that was called, and Program the name of its program.
	Router  int
	Program string
	// Status is zero when no answer came.
	Status int
	Body   string
	Stamp  string
	// RetryAfter is the header of that name.
	RetryAfter string
	// Whole is true when the answer ended as whole.
	Whole bool
	// Resumes is the attempt that began the stream that the call takes up, and After the
	// number of events that its caller has; empty and zero for other calls.
	Resumes string
	After   int
	// Calm is true when no fault was there from well before the request until
	// its end, but for planned stops.
	Calm bool
	// Read is true when the router may have read the request.
	Read bool
	// Began and Ended are the times at which the caller sent the request and had its
	// answer.
	Began, Ended time.Time
}

// notRun are the statuses that promise that a request did not run.
var notRun = map[int]bool{408: true, 421: true, 429: true, 503: true}

// check returns what breaks the promises in a history.
func check(calls []Call, runs map[string][]workerd.Run) []string {
	var out []string
	byID := make(map[string]int)
	long := make(map[string]bool)
	for _, list := range runs {
		for _, r := range list {
			byID[r.Request]++
			long[r.Request] = long[r.Request] || r.Fault == workerd.FaultSilentChunked
			if r.Key != "" {
				out = append(out, fmt.Sprintf("request %s: the key was passed to a worker", r.Request))
			}
			if r.Account != account {
				out = append(out, fmt.Sprintf("request %s: ran for account %q", r.Request, r.Account))
			}
		}
	}
	known := make(map[string]bool)
	for i := range calls {
		c := &calls[i]
		known[c.ID] = true
		for _, broken := range c.check(byID[c.ID], long[c.ID]) {
			out = append(out, fmt.Sprintf("request %s (%s, %s, status %d): %s", c.ID, c.Route, routerName(c.Router, c.Program), c.Status, broken))
		}
	}
	for id := range byID {
		if !known[id] {
			out = append(out, fmt.Sprintf("request %s: ran, but nobody sent it", id))
		}
	}
	return out
}

// attempts is the most runs of a request by route.
var attempts = map[string]int{"order": 1, "draft": 1, "status": 2, "chat": 2}

// maxShown is how much of a wrong answer is shown.
const maxShown = 200

// check returns what is wrong with one call that ran so many times, and may have a long answer.
func (c *Call) check(ran int, long bool) []string {
	var out []string
	if most, ok := attempts[c.Route]; ok && ran > most {
		out = append(out, fmt.Sprintf("ran %d times", ran))
	}
	if notRun[c.Status] && ran > 0 && attempts[c.Route] == 1 {
		out = append(out, "was said not to have run, but ran")
	}
	if c.Status == 200 && c.Whole && !c.genuine(long) {
		out = append(out, fmt.Sprintf("got another answer of %d bytes: %q", len(c.Body), c.Body[:min(len(c.Body), maxShown)]))
	}
	if c.Calm && c.Read && c.Status == 0 {
		out = append(out, "was cut off by a planned stop")
	}
	if c.Calm && c.Status == 200 && !c.Whole {
		out = append(out, "had its answer cut off by a planned stop")
	}
	return out
}

// longBody is the long answer of workers.
var longBody = strings.Repeat("x", workerd.LongBytes)

// genuine reports whether the answer is that of the request, and all of it.
func (c *Call) genuine(long bool) bool {
	if c.Stamp == "" {
		return false
	}
	if long && c.Body == longBody {
		return true
	}
	if c.Route != "chat" && c.Route != "draft" {
		return strings.HasPrefix(c.Body, "answer of ") && strings.HasSuffix(c.Body, " to "+c.ID)
	}
	var want strings.Builder
	for i := c.After + 1; i <= events; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return c.Body == want.String()
}
