package routecheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Action tells how an entry differs.
type Action string

// Actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one entry that differs between two configurations.
type Change struct {
	// Kind is route, service, account or limits, and for documents of the project's own
	// format also model, operator or value.
	Kind string `json:"kind"`
	// Name is the host with the prefix for a route, empty for limits, and the key for a
	// value. The site comes before it if documents name sites.
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
	// KeysAdded and KeysRemoved count the keys of an account or operator.
	KeysAdded   int      `json:"keys_added,omitempty"`
	KeysRemoved int      `json:"keys_removed,omitempty"`
	Effects     []Effect `json:"effects,omitempty"`
}

// FieldChange is a value that differs.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Effect is what a change does to callers.
type Effect struct {
	// Code is one of the Effect constants.
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Codes of effects.
const (
	EffectNotFound     = "gets_404"
	EffectUnauthorized = "gets_401"
	EffectUnavailable  = "gets_503"
	EffectTooLarge     = "gets_413_or_431"
	EffectAccessLost   = "access_lost"
	EffectAdmitted     = "admitted"
	EffectMoved        = "moved"
	EffectStreamsEnd   = "streams_end"
	EffectTimeLimit    = "time_limit"
	EffectRepeated     = "may_run_twice"
)

// Field adds a value if it differs.
func (c *Change) Field(name string, before, after any) {
	b, a := fmt.Sprint(before), fmt.Sprint(after)
	if b != a {
		c.Fields = append(c.Fields, FieldChange{Field: name, Before: b, After: a})
	}
}

// Effect adds an effect.
func (c *Change) Effect(code, format string, args ...any) {
	c.Effects = append(c.Effects, Effect{Code: code, Message: fmt.Sprintf(format, args...)})
}

// differ compares two configurations, of which only the entries in force count.
type differ struct {
	before, after *routing.Table
	changes       []Change
}

// Diff returns what differs between two views with the same salt.
func Diff(before, after *View) []Change {
	d := &differ{before: routing.Compile(before.Configuration), after: routing.Compile(after.Configuration)}
	d.routes()
	d.services()
	d.keyed()
	d.accounts()
	d.limits()
	return d.changes
}

// add keeps a change unless nothing differs.
func (d *differ) add(c Change) {
	if c.Action != Changed || len(c.Fields) > 0 || len(c.Effects) > 0 || c.KeysAdded+c.KeysRemoved > 0 {
		d.changes = append(d.changes, c)
	}
}

// routes compares the routes by host and prefix.
func (d *differ) routes() {
	old, current := routesInForce(d.before.Config), routesInForce(d.after.Config)
	for i := range d.before.Config.Routes {
		r := &d.before.Config.Routes[i]
		at := place{r.Host, r.Prefix}
		if old[at] != i {
			continue
		}
		if j, ok := current[at]; ok {
			d.changedRoute(r, &d.after.Config.Routes[j])
		} else {
			d.removedRoute(r)
		}
	}
	for i := range d.after.Config.Routes {
		r := &d.after.Config.Routes[i]
		at := place{r.Host, r.Prefix}
		if _, known := old[at]; !known && current[at] == i {
			d.addedRoute(r)
		}
	}
}

// routesInForce returns the index of the route in force by host and prefix.
func routesInForce(c *routing.Config) map[place]int {
	out := make(map[place]int, len(c.Routes))
	for i := range c.Routes {
		out[place{c.Routes[i].Host, c.Routes[i].Prefix}] = i
	}
	return out
}

// isMatched reports whether requests match a route of a table: a host with a port or a
// prefix without its slashes matches none.
func isMatched(t *routing.Table, r *routing.Route) bool {
	m, ok := t.Match(r.Host, r.Prefix)
	return ok && m == r
}

func (d *differ) removedRoute(r *routing.Route) {
	c := Change{Kind: "route", Name: r.Host + r.Prefix, Action: Removed}
	if !isMatched(d.before, r) {
		d.add(c)
		return
	}
	next, ok := d.after.Match(r.Host, r.Prefix)
	if !ok {
		c.Effect(EffectNotFound, "requests get 404")
		if r.Kind == routing.Stream {
			c.Effect(EffectStreamsEnd, "streams in progress run to their end, but one that breaks off can't be taken up")
		}
	} else {
		c.Effect(EffectMoved, "requests go by the route %q of the prefix %s", next.Name, next.Prefix)
		d.access(&c, r, next)
		d.runs(&c, r, next)
		d.unavailable(&c, r, next)
	}
	d.add(c)
}

func (d *differ) addedRoute(r *routing.Route) {
	c := Change{Kind: "route", Name: r.Host + r.Prefix, Action: Added}
	if !isMatched(d.after, r) {
		d.add(c)
		return
	}
	former, ok := d.before.Match(r.Host, r.Prefix)
	if ok {
		c.Effect(EffectMoved, "requests no longer go by the route %q of the prefix %s", former.Name, former.Prefix)
		d.access(&c, former, r)
		d.runs(&c, former, r)
	} else if slices.ContainsFunc(reached(r), func(name fleet.Service) bool { return d.after.Service(name) != nil }) {
		c.Effect(EffectAdmitted, "requests that got 404 are served")
	}
	d.unavailable(&c, former, r)
	d.add(c)
}

func (d *differ) changedRoute(before, after *routing.Route) {
	c := Change{Kind: "route", Name: after.Host + after.Prefix, Action: Changed}
	c.Field("name", before.Name, after.Name)
	c.Field("kind", kindText(before.Kind), kindText(after.Kind))
	c.Field("timeout", before.Timeout, after.Timeout)
	c.Field("objective", before.Objective, after.Objective)
	c.Field("priority", before.Priority, after.Priority)
	c.Field("services", splitText(before), splitText(after))
	c.Field("attempts", before.Attempts, after.Attempts)
	c.Field("public", before.Public, after.Public)
	c.Field("resumable", before.Resumable, after.Resumable)
	if !isMatched(d.after, after) {
		d.add(c)
		return
	}
	if before.Public != after.Public {
		d.access(&c, before, after)
	}
	d.runs(&c, before, after)
	d.unavailable(&c, before, after)
	d.add(c)
}

// access adds what happens to callers without a key when their requests go from
// one route to another. Whether keys are needed at all is another change.
func (d *differ) access(c *Change, before, after *routing.Route) {
	if !d.before.Config.Keyed || !d.after.Config.Keyed || before.Public == after.Public {
		return
	}
	if before.Public {
		c.Effect(EffectUnauthorized, "requests without a key get 401")
	} else {
		c.Effect(EffectAdmitted, "requests without a key are served")
	}
}

// runs adds what happens to requests and streams that go by another route than
// before. Streams are taken up only at a service of the route.
func (d *differ) runs(c *Change, before, after *routing.Route) {
	if after.TimeLimit() < before.TimeLimit() {
		c.Effect(EffectTimeLimit, "requests that take longer than %v are ended", after.TimeLimit())
	}
	if !isRepeated(before) && isRepeated(after) {
		c.Effect(EffectRepeated, "requests that ran at most once may run more than once")
	}
	if before.Kind != routing.Stream {
		return
	}
	if after.Kind != routing.Stream || before.Resumable && !after.Resumable {
		c.Effect(EffectStreamsEnd, "streams in progress run to their end, but one that breaks off can't be taken up")
		return
	}
	for _, name := range reached(before) {
		if !slices.ContainsFunc(after.Services, func(w routing.WeightedService) bool { return w.Service == name }) {
			c.Effect(EffectStreamsEnd, "streams in progress at the service %q run to their end, but one that breaks off can't be taken up", string(name))
		}
	}
}

// isRepeated reports whether routers may send a request again that may have run.
func isRepeated(r *routing.Route) bool { return r.Idempotent() && r.Attempts > 1 }

// unavailable adds the services of a route that are missing, unless the same share
// of requests met the same lack before. before is the route by which the requests
// went, nil if there was none.
func (d *differ) unavailable(c *Change, before, after *routing.Route) {
	same := before != nil && splitText(before) == splitText(after)
	for _, name := range reached(after) {
		if d.after.Service(name) != nil || same && d.before.Service(name) == nil {
			continue
		}
		c.Effect(EffectUnavailable, "requests for the service %q, which is missing, get 503", string(name))
	}
}

// reached returns the services that requests of a route may go to, as
// Route.PickService picks them.
func reached(r *routing.Route) []fleet.Service {
	var out []fleet.Service
	for _, s := range r.Services {
		if s.Weight > 0 && !slices.Contains(out, s.Service) {
			out = append(out, s.Service)
		}
	}
	if len(out) == 0 {
		out = append(out, r.PickService(0))
	}
	return out
}

func kindText(k routing.Kind) string {
	switch k {
	case routing.Safe:
		return "safe"
	case routing.Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

func splitText(r *routing.Route) string {
	parts := make([]string, 0, len(r.Services))
	for _, s := range r.Services {
		parts = append(parts, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	return strings.Join(parts, ",")
}

// services compares the services by name.
func (d *differ) services() {
	seen, streams := make(map[fleet.Service]bool), d.streams()
	for _, s := range d.before.Config.Services {
		if seen[s.Name] {
			continue
		}
		seen[s.Name] = true
		was, is := d.before.Service(s.Name), d.after.Service(s.Name)
		c := Change{Kind: "service", Name: string(s.Name), Action: Changed}
		if is == nil {
			c.Action = Removed
			if streams[s.Name] {
				c.Effect(EffectStreamsEnd, "streams in progress run to their end, but one that breaks off can't be taken up")
			}
			d.add(c)
			continue
		}
		c.Field("connections", was.MaxConns, is.MaxConns)
		c.Field("cold time", was.ColdFor, is.ColdFor)
		c.Field("cold rate", was.ColdRate, is.ColdRate)
		c.Field("engine", was.Engine, is.Engine)
		d.add(c)
	}
	for _, s := range d.after.Config.Services {
		if !seen[s.Name] {
			seen[s.Name] = true
			d.add(Change{Kind: "service", Name: string(s.Name), Action: Added})
		}
	}
}

// streams returns the services that had streams.
func (d *differ) streams() map[fleet.Service]bool {
	out := make(map[fleet.Service]bool)
	for i := range d.before.Config.Routes {
		r := &d.before.Config.Routes[i]
		if r.Kind != routing.Stream || !isMatched(d.before, r) {
			continue
		}
		for _, name := range reached(r) {
			out[name] = true
		}
	}
	return out
}

// limits compares the limits of callers' requests.
func (d *differ) limits() {
	was, is := d.before.Config.Limits, d.after.Config.Limits
	c := Change{Kind: "limits", Action: Changed}
	c.Field("header bytes", was.HeaderBytes, is.HeaderBytes)
	c.Field("body bytes", was.BodyBytes, is.BodyBytes)
	c.Field("idle timeout", was.IdleTimeout, is.IdleTimeout)
	was, is = was.OrDefaults(), is.OrDefaults()
	if is.HeaderBytes < was.HeaderBytes {
		c.Effect(EffectTooLarge, "requests with headers of more than %d bytes get 431", is.HeaderBytes)
	}
	if is.BodyBytes < was.BodyBytes {
		c.Effect(EffectTooLarge, "requests with a body of more than %d bytes get 413", is.BodyBytes)
	}
	d.add(c)
}
