package keyedlog

import (
	"cmp"
	"time"
)

// Topics that operators and workers write.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
)

// born is the start of workers that name none, a Unix time in milliseconds.
const born = 1_700_000_000_000

// Worker is what a worker writes about itself.
type Worker struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	// Born is the start of the worker as a Unix time in milliseconds, zero for one
	// that all workers share.
	Born int64
	// Version is the version of the worker's software, empty for v1.
	Version string
}

// PutWorker writes a worker's entry.
func (s *Store) PutWorker(w Worker) {
	state := "ready"
	if w.Leaving {
		state = "draining"
	}
	s.PutJSON(topicWorkers, w.ID, map[string]any{
		"Service": w.Service, "Addr": w.Address, "Zone": w.DataCentre, "Slots": w.Slots, "State": state,
		"ColdLeftMs": 0, "Seq": 1, "born": cmp.Or(w.Born, born),
		"Version": cmp.Or(w.Version, "v1"),
	})
}

// Route is one route of a configuration.
type Route struct {
	Name string
	// Kind is safe, unsafe or stream.
	Kind      string
	Service   string
	Attempts  int
	Resumable bool
}

// Config is a configuration of one host with one account. The path prefix of a
// route is its name.
type Config struct {
	Version int
	Host    string
	Routes  []Route
	// Engines and Plain are the names of services.
	Engines   []string
	Plain     []string
	Account   string
	Key       string
	BodyBytes int
	Idle      time.Duration
}

// Figures of all configurations here.
const (
	timeoutMS   = 4000
	objectiveMS = 150
	coldSeconds = 3.0
	coldRate    = 10.0
)

// Publish writes a configuration.
func (s *Store) Publish(c Config) {
	routes := []any{}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"Name": r.Name, "Host": c.Host, "PathPrefix": "/" + r.Name + "/", "Kind": r.Kind, "TimeoutMs": timeoutMS,
			"TargetLatencyMs": objectiveMS, "Service": r.Service, "Attempts": r.Attempts, "Resumable": r.Resumable,
		})
	}
	services := []any{}
	for _, name := range c.Engines {
		services = append(services, map[string]any{"Name": name, "Engine": map[string]any{}, "ColdS": coldSeconds, "ColdPerS": coldRate})
	}
	for _, name := range c.Plain {
		services = append(services, map[string]any{"Name": name})
	}
	s.PutJSON(topicOperator, "config", map[string]any{
		"Version":  c.Version,
		"Routes":   routes,
		"Services": services,
		"Limits":   map[string]any{"MaxBodyBytes": c.BodyBytes, "IdleTimeoutMs": c.Idle.Milliseconds()},
		"Tenants":  []any{map[string]any{"Name": c.Account, "ApiKeys": []any{c.Key}}},
	})
}

// Drain takes a data centre out.
func (s *Store) Drain(dc string) { s.Put(topicOperator, "evacuate/"+dc, []byte("{}")) }

// Order orders a roll-out.
func (s *Store) Order(service, to string, seconds float64) {
	s.PutJSON(topicOperator, "rollout/"+service, map[string]any{"Service": service, "To": to, "DurationS": seconds})
}

// Withdraw withdraws the order of a roll-out.
func (s *Store) Withdraw(service string) { s.Put(topicOperator, "rollout/"+service, nil) }

// Return takes a data centre back.
func (s *Store) Return(dc string) { s.Put(topicOperator, "evacuate/"+dc, nil) }

// ForgetAll deletes the history of what operators and workers wrote.
func (s *Store) ForgetAll() {
	s.Forget(topicOperator)
	s.Forget(topicWorkers)
}
