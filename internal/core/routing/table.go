package routing

import (
	"strings"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Table is a configuration indexed for lookups. It is immutable.
type Table struct {
	Config *Config
	// routes holds the routes by host and prefix, keys the accounts by key.
	routes   map[string]map[string]*Route
	keys     map[string]*Account
	services map[fleet.Service]*Service
}

// Compile indexes a configuration, which must not change afterwards.
func Compile(c *Config) *Table {
	t := &Table{
		Config:   c,
		routes:   make(map[string]map[string]*Route),
		keys:     make(map[string]*Account),
		services: make(map[fleet.Service]*Service),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		byPrefix := t.routes[r.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Route)
			t.routes[r.Host] = byPrefix
		}
		byPrefix[r.Prefix] = r
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.keys[key] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route of a host with the longest prefix of path. Every
// prefix ends with a slash, so only the prefixes of path up to a slash are
// looked up.
func (t *Table) Match(host, path string) (*Route, bool) {
	byPrefix := t.routes[hostName(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r, ok := byPrefix[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// hostName returns the value of a Host header in lower case and without the
// port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Account returns the account that a key belongs to.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok
}

// Service returns the service of that name, nil if there is none.
func (t *Table) Service(name fleet.Service) *Service { return t.services[name] }

// PickService picks a service by weight. fraction is a uniform random number in
// [0, 1). It returns an empty name if the route has no services.
func (r *Route) PickService(fraction float64) fleet.Service {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	remaining := fraction * float64(total)
	for _, s := range r.Services {
		remaining -= float64(max(s.Weight, 0))
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0].Service
}

// PriorityFor returns the priority of a request of an account: that of the
// account if it has one, else that of the route. The account may be nil.
func (r *Route) PriorityFor(a *Account) int {
	if a != nil && a.Ranked {
		return a.Priority
	}
	return r.Priority
}
