package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// TestCheckerFindsEachBrokenPromise gives the checker a history that breaks one
// promise each.
func TestCheckerFindsEachBrokenPromise(t *testing.T) {
	good := Call{ID: "r1", Route: "order", Status: 200, Body: "answer of w3 to r1", Stamp: "s", Whole: true}
	stream := Call{ID: "r1", Route: "draft", Status: 200, Stamp: "s", Whole: true}
	for i := 1; i <= events; i++ {
		stream.Body += strings.ReplaceAll("id: N\ndata: piece N\n\n", "N", string(rune('0'+i)))
	}
	ran := workerd.Run{Request: "r1", Account: "acme"}
	long := good
	long.Body = strings.Repeat("x", workerd.LongBytes)
	ranLong := workerd.Run{Request: "r1", Account: "acme", Fault: workerd.FaultSilentChunked}
	for name, c := range map[string]struct {
		call Call
		runs []workerd.Run
		edit func(*Call)
		want string
	}{
		"good":              {call: good, runs: []workerd.Run{ran}},
		"good stream":       {call: stream, runs: []workerd.Run{ran}},
		"good cut":          {call: stream, runs: []workerd.Run{ran}, edit: func(c *Call) { c.Whole = false; c.Body = "id: 1\n" }},
		"good refusal":      {call: good, edit: func(c *Call) { c.Status = 503 }},
		"ran twice":         {call: good, runs: []workerd.Run{ran, ran}, want: "ran 2 times"},
		"false not run":     {call: good, runs: []workerd.Run{ran}, edit: func(c *Call) { c.Status = 503 }, want: "not to have run"},
		"other answer":      {call: good, runs: []workerd.Run{ran}, edit: func(c *Call) { c.Body = "answer of w3 to r2" }, want: "another answer"},
		"no stamp":          {call: good, runs: []workerd.Run{ran}, edit: func(c *Call) { c.Stamp = "" }, want: "another answer"},
		"short stream":      {call: stream, runs: []workerd.Run{ran}, edit: func(c *Call) { c.Body = c.Body[:40] }, want: "another answer"},
		"short answer":      {call: good, runs: []workerd.Run{ran}, edit: func(c *Call) { c.Body = c.Body[:12] }, want: "another answer"},
		"good long answer":  {call: long, runs: []workerd.Run{ranLong}},
		"short long answer": {call: long, runs: []workerd.Run{ranLong}, edit: func(c *Call) { c.Body = c.Body[:workerd.LongBytes/2] }, want: "another answer of 524288 bytes"},
		"long, but not run": {call: long, runs: []workerd.Run{ran}, want: "another answer"},
		"entry is named":    {call: stream, runs: []workerd.Run{ran}, edit: func(c *Call) { c.Router, c.Program, c.Body = 2, "zf-router", "" }, want: "router 2 of zf-router,"},
		"repeated event":    {call: stream, runs: []workerd.Run{ran}, edit: func(c *Call) { c.Body += c.Body[:20] }, want: "another answer"},
		"key passed on":     {call: good, runs: []workerd.Run{{Request: "r1", Account: "acme", Key: "k"}}, want: "key was passed"},
		"wrong account":     {call: good, runs: []workerd.Run{{Request: "r1"}}, want: "for account"},
		"nobody sent it":    {call: good, runs: []workerd.Run{ran, {Request: "r9", Account: "acme"}}, want: "nobody sent it"},
		"cut by a stop":     {call: good, edit: func(c *Call) { c.Status, c.Calm, c.Read = 0, true, true }, want: "planned stop"},
		"answer cut by one": {call: stream, runs: []workerd.Run{ran}, edit: func(c *Call) { c.Calm, c.Whole = true, false }, want: "planned stop"},
	} {
		if c.edit != nil {
			c.edit(&c.call)
		}
		found := check([]Call{c.call}, map[string][]workerd.Run{"w": c.runs})
		if c.want == "" {
			must.SliceEmpty(t, found, must.Sprint(name))
			continue
		}
		must.Len(t, 1, found, must.Sprint(name))
		must.StrContains(t, found[0], c.want, must.Sprint(name))
	}
}

// TestCheckerFindsIgnoredReports gives the checker histories in which a router heeds or
// ignores what a worker said.
func TestCheckerFindsIgnoredReports(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	at := begin.Add
	call := func(id string, router int, began time.Duration) Call {
		return Call{ID: id, Router: router, Status: 200, Whole: true, Began: at(began), Ended: at(began + 10*time.Millisecond)}
	}
	said := workerd.Run{Request: "a", At: at(0), Leaving: true}
	later := workerd.Run{Request: "b", At: at(1100 * time.Millisecond)}
	asked := workerd.Refusal{Request: "a", At: at(0), Pause: true}
	paused := []workerd.Run{{Request: "b", At: at(600 * time.Millisecond)}, {Request: "c", At: at(700 * time.Millisecond)}, {Request: "d", At: at(800 * time.Millisecond)}}
	calls := []Call{call("a", 0, 0), call("b", 0, 1050*time.Millisecond), call("c", 0, 0), call("d", 0, 0)}
	others := []Call{call("a", 0, 0), call("b", 1, 1050*time.Millisecond)}
	for name, c := range map[string]struct {
		calls  []Call
		worker workerHistory
		starts []time.Time
		want   string
	}{
		"leaves":                   {calls: calls, worker: workerHistory{runs: []workerd.Run{said, later}}, want: "that it leaves"},
		"leaves, another router":   {calls: others, worker: workerHistory{runs: []workerd.Run{said, later}}},
		"leaves, worker restarted": {calls: calls, worker: workerHistory{runs: []workerd.Run{said, later}, starts: []time.Time{at(time.Second)}}},
		"leaves, router restarted": {calls: calls, worker: workerHistory{runs: []workerd.Run{said, later}}, starts: []time.Time{at(time.Second)}},
		"pause":                    {calls: calls, worker: workerHistory{runs: paused, refused: []workerd.Refusal{asked}}, want: "3 requests"},
		"pause, two":               {calls: calls, worker: workerHistory{runs: paused[:2], refused: []workerd.Refusal{asked}}},
	} {
		found := checkReports(c.calls, []*router{{index: 0, starts: c.starts}}, c.worker)
		if c.want == "" {
			must.SliceEmpty(t, found, must.Sprint(name))
			continue
		}
		must.Len(t, 1, found, must.Sprint(name))
		must.StrContains(t, found[0], c.want, must.Sprint(name))
	}
}

// TestCheckerFindsCutAnswers gives the checker calls whose answers were cut off, and
// what excuses that.
func TestCheckerFindsCutAnswers(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	at := begin.Add
	cut := Call{ID: "a", Status: 200, Began: at(0), Ended: at(1500 * time.Millisecond)}
	silent := workerd.Run{Request: "a", At: at(5 * time.Millisecond), Fault: workerd.FaultSilent}
	broken := workerd.Run{Request: "a", At: at(5 * time.Millisecond), Fault: workerd.FaultCut}
	during := func(from, to time.Duration) *spans { return &spans{list: []span{{from: at(from), to: at(to)}}} }
	for name, c := range map[string]struct {
		edit   func(*Call)
		runs   []workerd.Run
		router *spans
		link   *spans
		crash  time.Duration
		want   bool
	}{
		"cut":                {runs: []workerd.Run{silent}, want: true},
		"no answer":          {edit: func(c *Call) { c.Status = 0 }, runs: []workerd.Run{silent}, want: true},
		"broken, then cut":   {runs: []workerd.Run{broken, silent}, want: true},
		"other sent nothing": {runs: []workerd.Run{silent, {Request: "a", At: at(time.Second), Fault: workerd.FaultEndlessHead}}, want: true},
		"taken over":         {runs: []workerd.Run{silent, {Request: "a", At: at(time.Second), Fault: workerd.FaultCut}}},
		"whole":              {edit: func(c *Call) { c.Whole = true }, runs: []workerd.Run{silent}},
		"failure":            {edit: func(c *Call) { c.Status, c.Whole = 502, true }, runs: []workerd.Run{silent}},
		"never run":          {edit: func(c *Call) { c.Status = 0 }},
		"broken":             {runs: []workerd.Run{broken}},
		"deadline":           {edit: func(c *Call) { c.Ended = at(clientDeadline) }, runs: []workerd.Run{silent}},
		"router killed":      {runs: []workerd.Run{silent}, router: &spans{list: []span{{from: at(time.Second)}}}},
		"killed after":       {runs: []workerd.Run{silent}, router: &spans{list: []span{{from: at(2 * time.Second)}}}, want: true},
		"paused":             {runs: []workerd.Run{silent}, router: during(-time.Second, time.Millisecond)},
		"paused before":      {runs: []workerd.Run{silent}, router: during(-time.Second, -time.Millisecond), want: true},
		"link cut":           {runs: []workerd.Run{silent}, link: during(time.Second, 2*time.Second)},
		"link cut long ago":  {runs: []workerd.Run{silent}, link: during(-time.Second, 0), want: true},
		"worker crashed":     {runs: []workerd.Run{silent}, crash: time.Second},
		"crashed after":      {runs: []workerd.Run{silent}, crash: 2 * time.Second, want: true},
	} {
		call, router, link := cut, c.router, c.link
		if c.edit != nil {
			c.edit(&call)
		}
		if router == nil {
			router = new(spans)
		}
		if link == nil {
			link = new(spans)
		}
		found := checkCuts([]Call{call}, []routerHistory{{stopped: router}}, []workerHistory{{id: "w", runs: c.runs, link: link, crashes: []time.Time{at(c.crash)}}})
		must.Eq(t, c.want, len(found) == 1, must.Sprint(name, found))
	}
}

// TestCheckerFindsCutRelayedAnswers gives the checker calls whose answers were cut off while another
// router relayed them, and what excuses that.
func TestCheckerFindsCutRelayedAnswers(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	during := func(from, to int) *spans { return &spans{list: []span{{from: at(from), to: at(to)}}} }
	for name, c := range map[string]struct {
		from  string
		edit  func(entry, relay *routerHistory)
		later workerd.Run
		want  bool
	}{
		"cut":                         {from: "relay", edit: func(_, _ *routerHistory) {}, want: true},
		"relay killed":                {from: "relay", edit: func(_, relay *routerHistory) { relay.stopped = during(100, 200) }},
		"relay killed before":         {from: "relay", edit: func(_, relay *routerHistory) { relay.stopped = during(-100, -10) }, want: true},
		"killed router didn't relay":  {from: "entry", edit: func(_, relay *routerHistory) { relay.stopped = during(100, 200) }, want: true},
		"link to the relay":           {from: "relay", edit: func(_, relay *routerHistory) { relay.link = during(100, 200) }},
		"link to the entry":           {from: "relay", edit: func(entry, _ *routerHistory) { entry.link = during(100, 200) }},
		"link, but not relayed":       {from: "entry", edit: func(entry, _ *routerHistory) { entry.link = during(100, 200) }, want: true},
		"entry cut off":               {from: "entry", edit: func(entry, _ *routerHistory) { entry.cut["llm"] = during(100, 200) }},
		"entry cut off, relayed":      {from: "relay", edit: func(entry, _ *routerHistory) { entry.cut["llm"] = during(-100, 200) }, want: true},
		"relay cut off":               {from: "relay", edit: func(_, relay *routerHistory) { relay.cut["llm"] = during(100, 200) }},
		"cut off from others":         {from: "entry", edit: func(entry, _ *routerHistory) { entry.cut["plain"] = during(100, 200) }, want: true},
		"taken over by a lost relay":  {from: "entry", edit: func(_, relay *routerHistory) { relay.stopped = during(300, 400) }, later: workerd.Run{Request: "a", From: "relay", At: at(250)}},
		"taken over by a sound relay": {from: "entry", edit: func(_, _ *routerHistory) {}, later: workerd.Run{Request: "a", From: "relay", At: at(250)}, want: true},
	} {
		history := func(index int, address string) routerHistory {
			return routerHistory{index: index, address: address, stopped: new(spans), link: new(spans), cut: map[string]*spans{"llm": new(spans), "plain": new(spans)}}
		}
		entry, relay := history(0, "entry"), history(1, "relay")
		c.edit(&entry, &relay)
		runs := []workerd.Run{{Request: "a", From: c.from, At: at(5)}}
		if c.later.Request != "" {
			runs = append(runs, c.later)
		}
		call := Call{ID: "a", Status: 200, Began: at(0), Ended: at(1500)}
		found := checkCuts([]Call{call}, []routerHistory{entry, relay}, []workerHistory{{id: "w", service: "llm", runs: runs, link: new(spans)}})
		must.Eq(t, c.want, len(found) == 1, must.Sprint(name, found))
	}
}

// TestCheckerKnowsWhichAnswerWasBegun gives the checker answers that were begun by a worker that
// crashed, while a sound one ran the request too. Only a stream may go on there.
func TestCheckerKnowsWhichAnswerWasBegun(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	lost := workerHistory{id: "w1", runs: []workerd.Run{{Request: "a", At: at(5)}}, crashes: []time.Time{at(700)}, link: new(spans)}
	sound := workerHistory{id: "w2", runs: []workerd.Run{{Request: "a", At: at(500)}}, link: new(spans)}
	for name, c := range map[string]struct {
		call Call
		want bool
	}{
		"plain, begun by the lost one":  {Call{Route: "status", Status: 200, Stamp: "stamp-w1"}, false},
		"plain, begun by the sound one": {Call{Route: "status", Status: 200, Stamp: "stamp-w2"}, true},
		"plain, not begun":              {Call{Route: "status"}, true},
		"plain, without a stamp":        {Call{Route: "status", Status: 200}, true},
		"draft, begun by the lost one":  {Call{Route: "draft", Status: 200, Stamp: "stamp-w1"}, false},
		"chat, begun by the lost one":   {Call{Route: "chat", Status: 200, Stamp: "stamp-w1"}, true},
	} {
		call := c.call
		call.ID, call.Began, call.Ended = "a", at(0), at(705)
		found := checkCuts([]Call{call}, []routerHistory{{stopped: new(spans)}}, []workerHistory{lost, sound})
		must.Eq(t, c.want, len(found) == 1, must.Sprint(name, found))
	}
}

// TestCheckerFindsIgnoredLimits gives the checker requests every 100 ms from two routers to
// a worker that names a limit, and what excuses them.
func TestCheckerFindsIgnoredLimits(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		limit   float64
		starts  []time.Time
		paused  bool
		refused bool
		want    bool
	}{
		"ignored":         {limit: 3, want: true},
		"kept":            {limit: 6},
		"no limit":        {},
		"restarted often": {limit: 3, starts: []time.Time{begin.Add(2 * time.Second), begin.Add(5 * time.Second), begin.Add(8 * time.Second)}},
		"routers paused":  {limit: 3, paused: true},
		"never told":      {limit: 3, refused: true},
	} {
		var calls []Call
		w := workerHistory{id: "w", starts: c.starts}
		for i := range 100 {
			at := begin.Add(time.Duration(i) * 100 * time.Millisecond)
			call := Call{ID: fmt.Sprint(i), Router: i % 2, Status: 200, Whole: !c.refused, Began: at, Ended: at.Add(10 * time.Millisecond)}
			calls = append(calls, call)
			w.runs = append(w.runs, workerd.Run{Request: call.ID, At: at, Limit: c.limit})
		}
		disturbed := map[int]*spans{0: {}, 1: {}}
		if c.paused {
			disturbed[0].list = []span{{from: begin, to: begin.Add(time.Hour)}}
			disturbed[1].list = disturbed[0].list
		}
		found := checkLimits(calls, disturbed, w)
		must.Eq(t, c.want, len(found) == 1, must.Sprint(name, found))
	}
}

func TestProxyModes(t *testing.T) {
	must.Len(t, 5, linkModes)
	total := 0
	for _, f := range table() {
		must.Positive(t, f.weight, must.Sprint(f.name))
		total += f.weight
	}
	must.Positive(t, total)
}

func TestStreamsOfTwoVersionsAreFound(t *testing.T) {
	versions := map[string]string{"w1": "v1", "w2": "v2"}
	calls := []Call{{ID: "r1", Stamp: "stamp-w1"}, {ID: "r2", Stamp: "stamp-w2", Resumes: "r1"}, {ID: "r3"}}
	run := func(request, resumes, last, version string) workerd.Run {
		return workerd.Run{Request: request, Resumes: resumes, LastEvent: last, Version: version}
	}
	for name, c := range map[string]struct {
		run  workerd.Run
		want int
	}{
		"resumed at its version":   {run("r1", "", "2", "v1"), 0},
		"resumed at another":       {run("r1", "", "2", "v2"), 1},
		"taken up at its version":  {run("r2", "r1", "2", "v1"), 0},
		"taken up at another":      {run("r2", "r1", "2", "v2"), 1},
		"sent twice at first":      {run("r1", "", "", "v2"), 0},
		"no event was passed on":   {run("r3", "", "2", "v2"), 0},
		"taken up, began nowhere":  {run("r4", "r3", "2", "v2"), 0},
		"a stream nobody has sent": {run("r9", "r8", "2", "v2"), 0},
	} {
		got := checkVersions(calls, map[string][]workerd.Run{"w": {c.run}}, versions)
		must.Len(t, c.want, got, must.Sprint(name))
	}
}

func TestLastWholeEvent(t *testing.T) {
	c := Call{Status: 200, After: 2, Body: "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\nda"}
	must.Eq(t, 4, c.lastEvent())
	c.Status = 503
	must.Zero(t, c.lastEvent())
}
