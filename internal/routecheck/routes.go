package routecheck

import (
	"net/url"
	"slices"
	"strings"
	"unicode"

	"github.com/zinniafork/zinniafork/internal/core/attempt"
	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// place is what requests are matched by.
type place struct {
	host, prefix string
}

// routes checks the routes. Of routes with the same host and prefix, the last one
// is in force.
func (k *checker) routes() {
	if len(k.c.Routes) == 0 {
		k.Error("routes_missing", "Routes", "there are no routes: every request gets 404")
	}
	names := make(map[string]int, len(k.c.Routes))
	last := make(map[place]int, len(k.c.Routes))
	for i := range k.c.Routes {
		last[place{k.c.Routes[i].Host, k.c.Routes[i].Prefix}] = i
	}
	for i := range k.c.Routes {
		r := &k.c.Routes[i]
		path := entry("Routes", i)
		k.name(names, "Routes", i, r.Name)
		if j := last[place{r.Host, r.Prefix}]; j != i {
			k.hidden[i] = true
			k.NeverMatches("route_hidden", path, "Routes[%d] has the same host %q and prefix %q and replaces it", j, r.Host, r.Prefix)
		}
		k.host(path+".Host", r.Host)
		k.prefix(path+".Prefix", r.Prefix)
		k.routeLimits(path, r)
		k.split(i, r)
	}
}

// name checks the name of a row against those of the rows before it.
func (k *checker) name(seen map[string]int, section string, i int, name string) {
	path := entry(section, i) + ".Name"
	if name == "" {
		k.Error("name_missing", path, "the entry has no name")
		return
	}
	if j, ok := seen[name]; ok {
		k.Error("name_repeated", path, "the name %q is also that of entry %d of the list", name, j)
		return
	}
	seen[name] = i
}

// host checks the host of a route. Requests are matched by the Host header in
// lower case and without the port.
func (k *checker) host(path, host string) {
	switch {
	case host == "":
		k.Error("host_missing", path, "the host is empty, which is matched by requests without a host only")
	case strings.ToLower(host) != host:
		k.NeverMatches("host_upper_case", path, "the host %q has upper case letters, but requests are matched in lower case", host)
	case strings.ContainsAny(host, " /\\?#@*") || strings.ContainsFunc(host, notASCII):
		k.Error("host_invalid", path, "%q is not a host name as requests have it", host)
	case strings.Contains(host, ":") && !strings.HasSuffix(host, "]"):
		k.Error("host_has_port", path, "the host %q has a port or is an IPv6 address without brackets; requests are matched without the port", host)
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// notASCII reports what a Host header can't have: names of other scripts come in
// their ASCII form.
func notASCII(r rune) bool { return isControl(r) || r > unicode.MaxASCII }

// prefix checks the path prefix of a route. Requests are matched by their escaped
// path, which begins with a slash, up to a slash.
func (k *checker) prefix(path, prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		k.NeverMatches("prefix_slash", path, "the prefix %q does not begin with a slash", prefix)
	case !strings.HasSuffix(prefix, "/"):
		k.NeverMatches("prefix_slash", path, "the prefix %q does not end with a slash", prefix)
	case !isEscapedPath(prefix):
		k.NeverMatches("prefix_not_escaped", path, "the prefix %q has characters that are escaped in the path of a request", prefix)
	}
}

// isEscapedPath reports whether the path of a request can have this form.
func isEscapedPath(path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil {
		return false
	}
	u := url.URL{Path: plain, RawPath: path}
	return u.EscapedPath() == path
}

// routeLimits checks times, attempts and flags of a route.
func (k *checker) routeLimits(path string, r *routing.Route) {
	k.negativeTime(path+".Timeout", "timeout", r.Timeout)
	k.negativeTime(path+".Objective", "latency objective", r.Objective)
	k.notNegative(path+".Priority", "priority", int64(r.Priority))
	if r.Timeout > routing.MaxTimeLimit {
		k.Contradiction("timeout_above_limit", path+".Timeout",
			"the timeout of %v has no effect, since routers end every request after %v", r.Timeout, routing.MaxTimeLimit)
	}
	limit := r.TimeLimit()
	if r.Objective > limit {
		k.Contradiction("objective_above_timeout", path+".Objective",
			"the latency objective of %v is above the timeout of %v", r.Objective, limit)
	}
	// Requests that may run once only are sent again only after a refusal, which
	// comes at once.
	second := r.FirstByteTimeout() + attempt.MinTimeLeft
	if r.Attempts > 1 && r.Idempotent() && limit <= second {
		k.Contradiction("timeout_leaves_one_attempt", path+".Attempts",
			"%d attempts with a timeout of %v: a second target is tried after %v without a response, if %v are left", r.Attempts, limit, r.FirstByteTimeout(), attempt.MinTimeLeft)
	}
	if r.Resumable && r.Kind != routing.Stream {
		k.Contradiction("resumable_without_stream", path+".Resumable", "only routes of kind stream can be resumed")
	}
	if r.Public && !k.c.Keyed {
		k.Contradiction("public_without_keys", path+".Public", "no request needs a key, so that public has no effect")
	}
}

// split checks the services of a route with their weights.
func (k *checker) split(index int, r *routing.Route) {
	path := entry("Routes", index)
	if len(r.Services) == 0 {
		k.Error("service_missing", path+".Services", "the route has no service: its requests get 503")
		return
	}
	used := !k.hidden[index]
	positive := slices.ContainsFunc(r.Services, func(s routing.WeightedService) bool { return s.Weight > 0 })
	total, broken := 0, false
	seen := make(map[fleet.Service]int, len(r.Services))
	for j, s := range r.Services {
		at := path + "." + entry("Services", j)
		k.splitService(at, s.Service, index, used && (s.Weight > 0 || !positive && j == 0))
		if first, ok := seen[s.Service]; ok {
			k.Contradiction("split_repeated", at, "the service %q is also that of part %d of the split; their weights add up", string(s.Service), first)
		} else {
			seen[s.Service] = j
		}
		switch {
		case s.Weight < 0:
			k.Error("number_negative", at+".Weight", "the weight is negative: %d; it counts as zero", s.Weight)
		case s.Weight > maxWeight:
			broken = true
			k.Error("weight_too_large", at+".Weight", "the weight %d is above %d", s.Weight, maxWeight)
		default:
			total += s.Weight
		}
	}
	if broken {
		return
	}
	if total == 0 {
		k.Error("weights_zero", path+".Services", "no weight is above zero: all requests go to the first service, %q", string(r.Services[0].Service))
	}
	for j, s := range r.Services {
		if s.Weight <= 0 && (j > 0 || total > 0) {
			k.NeverMatches("weight_zero", path+"."+entry("Services", j), "the service %q gets no requests by this route, since its weight is not above zero", string(s.Service))
		}
	}
}

// splitService checks that a service of a route is there. If the route sends requests
// to it, the route is noted as its user.
func (k *checker) splitService(path string, name fleet.Service, route int, used bool) {
	if _, ok := k.services[name]; !ok {
		effect := ""
		if used {
			effect = ": its requests get 503"
		}
		if name == "" {
			k.Error("service_missing", path+".Service", "the route names no service%s", effect)
		} else {
			k.Error("service_missing", path+".Service", "there is no service %q%s", string(name), effect)
		}
		return
	}
	if u := k.users[name]; used && (len(u) == 0 || u[len(u)-1] != route) {
		k.users[name] = append(u, route)
	}
}
