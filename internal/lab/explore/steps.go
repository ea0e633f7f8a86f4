package explore

import (
	"fmt"
	"slices"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// kind is one kind of event.
type kind uint8

const (
	submit kind = iota
	mint
	appendAnswered
	appendUnanswered
	appendLate
	lateArrives
	readAnswered
	readFails
	confirmAnswered
	confirmFails
	dispatchRuns
	dispatchUnsure
	dispatchLost
	dispatchRefused
	orphanRuns
	lookupAnswered
	crash
	takeover
	tell
	cut
	heal
	pass
	tick
	closeRouter
	drop
	appendServed
	readServed
	confirmServed
)

var kindNames = []string{
	"submit", "mint", "append answered", "append unanswered", "append late", "late records arrive",
	"read answered", "read fails", "confirm answered", "confirm fails",
	"dispatch runs", "dispatch runs, outcome lost", "dispatch lost", "dispatch refused", "orphan runs",
	"lookup answered", "crash", "takeover", "tell", "cut", "heal", "time passes", "tick", "close", "drop",
	"append takes effect", "read sees the log", "confirm sees the owner",
}

// step is one event: its kind, the router it meets, and an index whose
// meaning depends on the kind.
type step struct {
	kind   kind
	router int
	index  int
}

// String names the step.
func (s step) String() string {
	return fmt.Sprintf("%s (router %d, %d)", kindNames[s.kind], s.router, s.index)
}

// steps lists the events that may happen now.
func (w *world) steps() []step {
	out := make([]step, 0, 32)
	for i := range w.routers {
		out = w.callerSteps(out, i)
		out = w.logSteps(out, i)
		out = w.targetSteps(out, i)
		out = w.routerSteps(out, i)
	}
	return w.globalSteps(out)
}

func (w *world) callerSteps(out []step, i int) []step {
	if w.left.Submits > 0 {
		for k := range w.orders {
			out = append(out, step{submit, i, k})
		}
	}
	if w.left.Mints > 0 {
		out = append(out, step{mint, i, 0})
	}
	return out
}

func (w *world) logSteps(out []step, i int) []step {
	r := w.routers[i]
	out = w.serveSteps(out, i)
	for n := range r.appends {
		if !r.cut {
			out = append(out, step{appendAnswered, i, n})
		}
		if !r.cut && w.left.Losses > 0 {
			out = append(out, step{appendUnanswered, i, n})
		}
		if r.cut || w.left.Losses > 0 {
			out = append(out, step{appendLate, i, n})
		}
	}
	if r.read != nil {
		if !r.cut {
			out = append(out, step{readAnswered, i, 0})
		}
		if r.cut || w.left.Losses > 0 {
			out = append(out, step{readFails, i, 0})
		}
	}
	if len(r.confirms) > 0 {
		out = append(out, step{confirmAnswered, i, 0})
		if w.left.Losses > 0 && w.confirms(i) {
			out = append(out, step{confirmFails, i, 0})
		}
	}
	return out
}

// serveSteps lists what may take effect before its answer arrives.
func (w *world) serveSteps(out []step, i int) []step {
	r := w.routers[i]
	if !w.opt.Delays {
		return out
	}
	for n := range r.appends {
		if !r.cut && !r.appends[n].done {
			out = append(out, step{appendServed, i, n})
		}
	}
	if !r.cut && r.read != nil && r.read.page == nil {
		out = append(out, step{readServed, i, 0})
	}
	if len(r.confirms) > 0 && !r.confirms[0].done {
		out = append(out, step{confirmServed, i, 0})
	}
	return out
}

func (w *world) targetSteps(out []step, i int) []step {
	r := w.routers[i]
	for n := range r.dispatches {
		out = append(out, step{dispatchRuns, i, n})
		if w.left.Unsure > 0 {
			out = append(out, step{dispatchUnsure, i, n}, step{dispatchLost, i, n})
		}
		if w.left.Refused > 0 {
			out = append(out, step{dispatchRefused, i, n})
		}
	}
	for n := range r.lookups {
		out = append(out, step{lookupAnswered, i, n})
	}
	return out
}

func (w *world) routerSteps(out []step, i int) []step {
	r := w.routers[i]
	if w.left.Crashes > 0 {
		out = append(out, step{crash, i, 0})
	}
	if r.told != w.owns(i) || r.told && r.grant != w.grant {
		out = append(out, step{tell, i, 0})
	}
	if !r.cut && w.left.Cuts > 0 {
		out = append(out, step{cut, i, 0})
	}
	if r.cut {
		out = append(out, step{heal, i, 0})
	}
	if r.ticked.Before(w.now) {
		out = append(out, step{tick, i, 0})
	}
	if w.left.Closes > 0 {
		out = append(out, step{closeRouter, i, 0})
	}
	return out
}

func (w *world) globalSteps(out []step) []step {
	for n := range w.late {
		out = append(out, step{lateArrives, 0, n})
	}
	for n := range w.orphans {
		out = append(out, step{orphanRuns, 0, n})
	}
	if w.left.Takeovers > 0 {
		out = append(out, step{takeover, 0, 0})
	}
	if w.left.Advances > 0 {
		out = append(out, step{pass, 0, 0})
	}
	if w.left.Drops > 0 && uint64(len(w.log)) > w.earliest {
		out = append(out, step{drop, 0, 0})
	}
	return out
}

// do carries out one event.
func (w *world) do(s step) {
	switch s.kind {
	case submit, mint:
		w.doCaller(s)
	case appendAnswered, appendUnanswered, appendLate, lateArrives, readAnswered, readFails, drop, appendServed, readServed:
		w.doLog(s)
	case dispatchRuns, dispatchUnsure, dispatchLost, dispatchRefused, orphanRuns, lookupAnswered:
		w.doTarget(s)
	default:
		w.doRouter(s)
	}
}

func (w *world) doCaller(s step) {
	if s.kind == mint {
		w.left.Mints--
		for _, k := range w.mutable(s.router).machine.Mint(w.now, 1) {
			parsed, err := orders.ParseKey(string(k))
			if err != nil {
				panic(err)
			}
			w.addOrder(parsed)
		}
		return
	}
	w.left.Submits--
	o := &w.orders[s.index]
	key := o.key
	if key.Ticket != nil && w.opt.Sabotage == SabotageTicket {
		key = w.forgeTicket(key, s.router)
	}
	id := orders.SubmitID(len(w.attempts))
	w.attempts = append(w.attempts, attempt{key: s.index, router: s.router, sent: o.live})
	w.input(s.router, orders.Submit{ID: id, Key: key, Identity: o.identity, Deadline: w.now.Add(deadline)})
}

// forgeTicket makes a ticket look like one of router i.
func (w *world) forgeTicket(key orders.ParsedKey, i int) orders.ParsedKey {
	for _, own := range w.mutable(i).machine.Mint(w.now, 1) {
		parsed, err := orders.ParseKey(string(own))
		if err != nil {
			panic(err)
		}
		key.Ticket = parsed.Ticket
	}
	return key
}

func (w *world) doLog(s step) {
	r := w.mutable(s.router)
	switch s.kind {
	case appendAnswered:
		a := w.served(takeAt(&r.appends, s.index))
		first := a.first
		if w.opt.Sabotage == SabotageOffset {
			first = min(first, r.machine.Ledger().Next())
		}
		w.input(s.router, orders.Appended{Batch: a.Batch, First: first})
	case appendUnanswered:
		w.left.Losses--
		a := w.served(takeAt(&r.appends, s.index))
		w.input(s.router, orders.AppendLost{Batch: a.Batch})
	case appendLate:
		if !r.cut {
			w.left.Losses--
		}
		a := takeAt(&r.appends, s.index)
		if !a.done {
			w.late = append(w.late, a.Records)
		}
		w.input(s.router, orders.AppendLost{Batch: a.Batch})
	case lateArrives:
		w.write(takeAt(&w.late, s.index))
	case readAnswered:
		page := r.read.page
		if page == nil {
			now := w.page(s.router, r.read.From)
			page = &now
		}
		r.read = nil
		w.input(s.router, *page)
	case appendServed:
		r.appends = slices.Clone(r.appends)
		r.appends[s.index] = w.served(r.appends[s.index])
	case readServed:
		page := w.page(s.router, r.read.From)
		r.read = &pendingRead{Read: r.read.Read, page: &page}
	case readFails:
		if !r.cut {
			w.left.Losses--
		}
		r.read = nil
		w.input(s.router, orders.ReadFailed{})
	case drop:
		w.left.Drops--
		w.earliest += (uint64(len(w.log)) - w.earliest + 1) / 2
	}
}

// served makes an append take effect once.
func (w *world) served(a pendingAppend) pendingAppend {
	if !a.done {
		a.done = true
		a.first = w.write(a.Records)
	}
	return a
}

func (w *world) doTarget(s step) {
	if s.kind == orphanRuns {
		w.execute(takeAt(&w.orphans, s.index))
		return
	}
	r := w.mutable(s.router)
	if s.kind == lookupAnswered {
		w.answerLookup(s.router, takeAt(&r.lookups, s.index))
		return
	}
	d := takeAt(&r.dispatches, s.index)
	var out orders.Outcome
	switch s.kind {
	case dispatchRuns:
		out = w.execute(d)
	case dispatchUnsure:
		w.left.Unsure--
		w.execute(d)
		if w.opt.Sabotage == SabotageRelease {
			out.Run = orders.RunNot
		}
	case dispatchLost:
		w.left.Unsure--
	case dispatchRefused:
		w.left.Refused--
		o := &w.orders[w.find(d.Key)]
		o.live = slices.DeleteFunc(slices.Clone(o.live), func(n orders.Nonce) bool { return n == d.Nonce })
		out.Run = orders.RunNot
	}
	w.input(s.router, orders.DispatchResult{Key: d.Key, Nonce: d.Nonce, Outcome: out})
}

func (w *world) answerLookup(i int, l orders.Lookup) {
	o := &w.orders[w.find(l.Key)]
	in := orders.LookupResult{Key: l.Key, Found: o.executed > 0}
	if in.Found {
		in.Outcome = orders.Outcome{Run: orders.RunDone, Status: 200, Body: []byte(o.output)}
	}
	w.input(i, in)
}

func (w *world) doRouter(s step) {
	r := w.mutable(s.router)
	switch s.kind {
	case confirmAnswered, confirmFails:
		c := takeAt(&r.confirms, 0)
		ok := c.ok
		if !c.done {
			ok = w.confirms(s.router)
		}
		if s.kind == confirmFails {
			w.left.Losses--
			ok = false
		}
		w.input(s.router, orders.OwnershipConfirmation{Round: c.round, OK: ok})
	case confirmServed:
		r.confirms = slices.Clone(r.confirms)
		r.confirms[0].done, r.confirms[0].ok = true, w.confirms(s.router)
	case crash:
		w.left.Crashes--
		w.crash(s.router)
	case takeover:
		w.left.Takeovers--
		w.holder = (w.holder + 1) % len(w.routers)
		w.grant++
	case tell:
		w.tell(s.router)
	case cut:
		w.left.Cuts--
		r.cut = true
	case heal:
		r.cut = false
	case pass:
		w.left.Advances--
		w.now = w.now.Add(advance)
	case tick:
		r.ticked = w.now
		w.input(s.router, orders.Tick{})
	case closeRouter:
		w.left.Closes--
		w.input(s.router, orders.Drain{})
	}
}

// crash ends the process of router i. What it had sent may still arrive.
func (w *world) crash(i int) {
	r := w.routers[i]
	for _, a := range r.appends {
		if !a.done {
			w.late = append(w.late, a.Records)
		}
	}
	w.orphans = append(w.orphans, r.dispatches...)
	for n := range w.attempts {
		if w.attempts[n].router == i {
			w.attempts[n].answered = true
		}
	}
	w.start(i)
	w.grant++
}

// serveAll answers everything that router i waits for, without faults, and
// reports whether there was anything.
func (w *world) serveAll(i int) bool {
	r := w.routers[i]
	switch {
	case len(r.appends) > 0:
		w.do(step{appendAnswered, i, 0})
	case r.read != nil && r.read.Wait == 0:
		w.do(step{readAnswered, i, 0})
	case len(r.confirms) > 0:
		w.do(step{confirmAnswered, i, 0})
	case len(r.dispatches) > 0:
		w.do(step{dispatchRuns, i, 0})
	case len(r.lookups) > 0:
		w.do(step{lookupAnswered, i, 0})
	default:
		return false
	}
	return true
}

// takeAt removes and returns the element at index i.
func takeAt[T any](list *[]T, i int) T {
	taken := (*list)[i]
	*list = slices.Delete(slices.Clone(*list), i, i+1)
	return taken
}
