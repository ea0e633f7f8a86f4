package routing

import (
	"strings"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Table is a configuration compiled for look-ups. It is immutable.
type Table struct {
	Config   *Config
	hosts    map[string]map[string]*Route
	keys     map[string]*Account
	services map[fleet.Service]*Service
}

// Compile indexes a configuration, which must not change afterwards.
func Compile(c *Config) *Table {
	t := &Table{
		Config:   c,
		hosts:    make(map[string]map[string]*Route),
		keys:     make(map[string]*Account),
		services: make(map[fleet.Service]*Service),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		byPrefix := t.hosts[r.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Route)
			t.hosts[r.Host] = byPrefix
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

// Match returns the route with the longest prefix of path at host. The path is
// cut at slashes, since every prefix ends with one.
func (t *Table) Match(host, path string) (*Route, bool) {
	byPrefix := t.hosts[hostName(host)]
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

// hostName drops a port and folds the case of a Host header.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Account returns the account that holds a key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok
}

// Service returns the service of that name, nil when there is none.
func (t *Table) Service(name fleet.Service) *Service { return t.services[name] }

// PickService draws a service by weight; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) fleet.Service {
	total := 0
	for _, s := range r.Services {
		total += max(s.Weight, 0)
	}
	at := draw * float64(total)
	for _, s := range r.Services {
		at -= float64(max(s.Weight, 0))
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[0].Service
}

// PriorityFor returns the priority of a request: that of its account where it has
// one, else that of the route.
func (r *Route) PriorityFor(a *Account) int {
	if a != nil && a.Ranked {
		return a.Priority
	}
	return r.Priority
}
