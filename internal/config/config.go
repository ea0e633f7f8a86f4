// Package config holds the content of the fleet's configuration: one shared
// base and an overlay for each site, and the effective configuration of a site
// that results from both.
package config

import (
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Duration is a time span written with its unit, such as "250ms" or "2s".
type Duration time.Duration

// UnmarshalText parses a time span with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a time span with a unit such as \"250ms\" or \"2s\", have %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the time span with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the span as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Config is the content of a document, and of the effective configuration of
// one site.
type Config struct {
	Site        fleet.Site   `toml:"site" json:"site"`
	Sites       []SiteRow    `toml:"sites" json:"sites,omitempty"`
	Members     []Member     `toml:"members" json:"members"`
	DataCentres []DataCentre `toml:"data_centres" json:"data_centres"`
	VMs         []VM         `toml:"vms" json:"vms"`
	Models      []Model      `toml:"models" json:"models"`
	Services    []Service    `toml:"services" json:"services"`
	Targets     []Target     `toml:"targets" json:"targets"`
	Accounts    []Account    `toml:"accounts" json:"accounts"`
	Operators   []Operator   `toml:"operators" json:"operators"`
	Load        Load         `toml:"load" json:"load"`
	Deadlines   Deadlines    `toml:"deadlines" json:"deadlines"`
	Retry       Retry        `toml:"retry" json:"retry"`
	Control     Control      `toml:"control" json:"control"`
	Orders      Orders       `toml:"orders" json:"orders"`
}

// Member is one member of the consortium.
type Member struct {
	Name fleet.Member `toml:"name" json:"name"`
	// Weight is the member's share of a contended target.
	Weight float64 `toml:"weight" json:"weight"`
}

// SiteRow names one site and the member that runs it. Only the base holds it.
type SiteRow struct {
	Name   fleet.Site   `toml:"name" json:"name"`
	Member fleet.Member `toml:"member" json:"member"`
}

// DataCentre is one data centre of the site.
type DataCentre struct {
	Name   fleet.DataCentre `toml:"name" json:"name"`
	Region string           `toml:"region" json:"region"`
	Mark   fleet.Mark       `toml:"mark" json:"mark,omitempty"`
	// Nearest lists the other data centres, the nearest first.
	Nearest []fleet.DataCentre `toml:"nearest" json:"nearest,omitempty"`
}

// VM carries an operator's mark on one VM. VMs without a mark need no row.
type VM struct {
	Name fleet.VM   `toml:"name" json:"name"`
	Mark fleet.Mark `toml:"mark" json:"mark,omitempty"`
}

// Model is one model that callers may ask for.
type Model struct {
	Name     fleet.Model `toml:"name" json:"name"`
	Version  string      `toml:"version" json:"version,omitempty"`
	Adapters []string    `toml:"adapters" json:"adapters,omitempty"`
}

// Service is one plain service that callers may use.
type Service struct {
	Name fleet.Service `toml:"name" json:"name"`
	// OrderMethods lists the HTTP methods whose calls may run at most once.
	OrderMethods []string `toml:"order_methods" json:"order_methods,omitempty"`
	// StatusPath is the path, with {key} for the idempotency key, at which a
	// target tells the outcome of an order; empty when it has none.
	StatusPath string `toml:"status_path" json:"status_path,omitempty"`
}

// Target is one model engine or one worker of a plain service.
type Target struct {
	Name       fleet.Target     `toml:"name" json:"name"`
	DataCentre fleet.DataCentre `toml:"data_centre" json:"data_centre"`
	// URL is the base URL of the target.
	URL     string        `toml:"url" json:"url"`
	Models  []fleet.Model `toml:"models" json:"models,omitempty"`
	Service fleet.Service `toml:"service" json:"service,omitempty"`
	// Slots is the number of requests that the target may run at once when
	// warm; ColdSlots is the number while it is cold.
	Slots     int `toml:"slots" json:"slots"`
	ColdSlots int `toml:"cold_slots" json:"cold_slots"`
	// ChecksFencing is true for a target that refuses orders, such as a model
	// load, that carry an old fencing number.
	ChecksFencing bool `toml:"checks_fencing" json:"checks_fencing,omitempty"`
	// Resumes is true for an engine that resumes a cut stream.
	Resumes bool `toml:"resumes" json:"resumes,omitempty"`
	// MovesCache is true for an engine that exports and imports KV cache.
	MovesCache bool       `toml:"moves_cache" json:"moves_cache,omitempty"`
	Mark       fleet.Mark `toml:"mark" json:"mark,omitempty"`
}

// IsEngine reports whether the target is a model engine.
func (t *Target) IsEngine() bool { return t.Service == "" }

// Account is one client account of a member.
type Account struct {
	Name   fleet.Account `toml:"name" json:"name"`
	Member fleet.Member  `toml:"member" json:"member"`
	// Weight is the account's share within its member's share.
	Weight float64 `toml:"weight" json:"weight"`
	// KeyHashes are the SHA-256 hashes of the account's keys, in hex.
	KeyHashes []string `toml:"key_hashes" json:"-"`
	// MaxConcurrent limits the account's requests in progress at one router.
	MaxConcurrent int `toml:"max_concurrent" json:"max_concurrent,omitempty"`
}

// Role is what an operator may do.
type Role string

// Roles of operators, each includes those before it.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
	RoleAdmin    Role = "admin"
)

// Operator is a person or program that uses the administration API.
type Operator struct {
	Name      string       `toml:"name" json:"name"`
	Member    fleet.Member `toml:"member" json:"member"`
	Role      Role         `toml:"role" json:"role"`
	Sites     []fleet.Site `toml:"sites" json:"sites,omitempty"`
	KeyHashes []string     `toml:"key_hashes" json:"-"`
}

// Load holds the rules of bounded and cold-safe load.
type Load struct {
	// Bound is the largest load of a target as a multiple of the mean.
	Bound float64 `toml:"bound" json:"bound"`
	// QueueLength is the number of requests that may wait at one target.
	QueueLength int `toml:"queue_length" json:"queue_length"`
	// QueueWait is the longest time that a request waits at one target.
	QueueWait Duration `toml:"queue_wait" json:"queue_wait"`
	// StickyWait is the longest time that a returning chat waits at the target
	// that has its prompt in cache before it goes to another one.
	StickyWait Duration `toml:"sticky_wait" json:"sticky_wait"`
	// ProbePeriod is the time between an owner's reads of a target's report.
	ProbePeriod Duration `toml:"probe_period" json:"probe_period"`
	// ReportLag is the age that a target's report may have.
	ReportLag Duration `toml:"report_lag" json:"report_lag"`
	// MemoryEntries is the number of moved chats that one router remembers.
	MemoryEntries int `toml:"memory_entries" json:"memory_entries"`
}

// Deadlines holds the time limits of calls.
type Deadlines struct {
	Chat    Duration `toml:"chat" json:"chat"`
	Service Duration `toml:"service" json:"service"`
	// FirstToken is the time within which a chat's answer should begin.
	FirstToken Duration `toml:"first_token" json:"first_token"`
	// Progress is the longest silence on a hop before it counts as broken.
	Progress Duration `toml:"progress" json:"progress"`
}

// Retry holds the retry budgets.
type Retry struct {
	// AccountRatio and TargetRatio limit retries as a share of requests.
	AccountRatio float64 `toml:"account_ratio" json:"account_ratio"`
	TargetRatio  float64 `toml:"target_ratio" json:"target_ratio"`
	MaxAttempts  int     `toml:"max_attempts" json:"max_attempts"`
}

// Control holds the limits of control traffic.
type Control struct {
	// BytesPerSecond is the budget of one router, all control kinds together.
	BytesPerSecond int `toml:"bytes_per_second" json:"bytes_per_second"`
	// Heartbeat is the period between heartbeats to one peer.
	Heartbeat Duration `toml:"heartbeat" json:"heartbeat"`
	// Lease is the time for which an owner may act without renewal.
	Lease Duration `toml:"lease" json:"lease"`
	// Voters is the number of routers that vote on the owner of a resource.
	Voters int `toml:"voters" json:"voters"`
}

// Orders holds the rules of calls that may run at most once.
type Orders struct {
	Partitions int `toml:"partitions" json:"partitions"`
	// Window is the age beyond which an idempotency key is expired.
	Window Duration `toml:"window" json:"window"`
	// AppendsPerSecond is the log append budget of the whole fleet.
	AppendsPerSecond int `toml:"appends_per_second" json:"appends_per_second"`
}

// Defaults returns a configuration with every rule at its default and no
// members, targets or accounts.
func Defaults() *Config {
	return &Config{
		Load: Load{
			Bound:         1.25,
			QueueLength:   64,
			QueueWait:     Duration(time.Second),
			StickyWait:    Duration(600 * time.Millisecond),
			ProbePeriod:   Duration(time.Second),
			ReportLag:     Duration(time.Second),
			MemoryEntries: 200_000,
		},
		Deadlines: Deadlines{
			Chat:       Duration(60 * time.Second),
			Service:    Duration(10 * time.Second),
			FirstToken: Duration(1500 * time.Millisecond),
			Progress:   Duration(2 * time.Second),
		},
		Retry: Retry{AccountRatio: 0.1, TargetRatio: 0.1, MaxAttempts: 3},
		Control: Control{
			BytesPerSecond: 3000,
			Heartbeat:      Duration(500 * time.Millisecond),
			Lease:          Duration(2 * time.Second),
			Voters:         3,
		},
		Orders: Orders{
			Partitions:       8,
			Window:           Duration(24 * time.Hour),
			AppendsPerSecond: 100,
		},
	}
}
