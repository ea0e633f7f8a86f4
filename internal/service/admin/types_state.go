package admin

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/audit"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/figures"
)

// Spread tells how far the newest version has spread.
type Spread struct {
	configsync.Status
	// Lagging are the routers of this site that do not use the newest version.
	Lagging []fleet.VM `json:"lagging"`
	// Sites tells the same of each site, as its last summary said.
	Sites []SiteSpread `json:"sites"`
}

// SiteSpread tells which version one site uses.
type SiteSpread struct {
	Site    fleet.Site          `json:"site"`
	At      time.Time           `json:"at"`
	Version configstate.Version `json:"version"`
	Routers int                 `json:"routers"`
	Lagging []fleet.VM          `json:"lagging"`
}

// Status is the state of this router's site.
type Status struct {
	Site      fleet.Site          `json:"site"`
	VM        fleet.VM            `json:"vm"`
	At        time.Time           `json:"at"`
	InForce   configstate.Version `json:"in_force"`
	RulesHash string              `json:"rules_hash"`
	// Routers are the routers of the site as this one sees them.
	Routers     []Router          `json:"routers"`
	DataCentres []DataCentre      `json:"data_centres"`
	Capacity    []config.Capacity `json:"capacity"`
	Spread      Spread            `json:"spread"`
	// Emergencies are drains that hold beside the version in force.
	Emergencies []configstate.EmergencyMark `json:"emergencies"`
}

// Router is one router of the site.
type Router struct {
	VM         fleet.VM            `json:"vm"`
	DataCentre fleet.DataCentre    `json:"data_centre"`
	Status     string              `json:"status"`
	Drained    bool                `json:"drained"`
	InForce    configstate.Version `json:"in_force"`
	Problem    string              `json:"problem,omitempty"`
}

// DataCentre sums up one data centre.
type DataCentre struct {
	Name    fleet.DataCentre `json:"name"`
	Region  string           `json:"region"`
	Mark    fleet.Mark       `json:"mark"`
	Routers int              `json:"routers"`
	Alive   int              `json:"alive"`
	Targets int              `json:"targets"`
	// Slots, Running and Queued sum up the targets as their owners report
	// them.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Targets lists the targets of the site.
type Targets struct {
	Site    fleet.Site `json:"site"`
	Targets []Target   `json:"targets"`
}

// Target is one target with its owner's report, if there is one.
type Target struct {
	Name       fleet.Target     `json:"name"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Models     []fleet.Model    `json:"models,omitempty"`
	Service    fleet.Service    `json:"service,omitempty"`
	Mark       fleet.Mark       `json:"mark"`
	// Capacity is the number of slots when warm; Slots those that the owner
	// fills now.
	Capacity int      `json:"capacity"`
	Slots    int      `json:"slots"`
	Running  int      `json:"running"`
	Queued   int      `json:"queued"`
	State    string   `json:"state"`
	Owner    fleet.VM `json:"owner,omitempty"`
	// At is the time of the owner's report.
	At *time.Time `json:"at,omitempty"`
}

// Accounts lists the client accounts with their service of the last minutes.
type Accounts struct {
	Site     fleet.Site          `json:"site"`
	At       time.Time           `json:"at"`
	Window   config.Duration     `json:"window"`
	Members  []figures.Figure    `json:"members"`
	Accounts []Account           `json:"accounts"`
	Version  configstate.Version `json:"version"`
}

// Account is one client account with its figures.
type Account struct {
	Name          fleet.Account `json:"name"`
	Member        fleet.Member  `json:"member"`
	Weight        float64       `json:"weight"`
	MaxConcurrent int           `json:"max_concurrent"`
	Keys          int           `json:"keys"`
	figures.Counts
	Share float64 `json:"share"`
}

// Sites lists what every site says of itself.
type Sites struct {
	Sites []SiteSummary `json:"sites"`
}

// SiteSummary is the last summary of one site.
type SiteSummary struct {
	figures.Summary
	// Age is the time since the summary was made.
	Age config.Duration `json:"age"`
	// Members sums up the accounts.
	Members []figures.Figure `json:"members"`
}

// OrdersQuery chooses orders.
type OrdersQuery struct {
	Account fleet.Account `url:"account,omitempty"`
	Unknown bool          `url:"unknown,omitempty"`
	Limit   int           `url:"limit,omitempty"`
}

// Orders lists orders, the newest first.
type Orders struct {
	Orders []Order `json:"orders"`
}

// Order is what is known of one order.
type Order struct {
	Key     string        `json:"key"`
	Account fleet.Account `json:"account"`
	Service fleet.Service `json:"service"`
	Target  fleet.Target  `json:"target,omitempty"`
	// Router is the VM that ran the order or may have run it.
	Router fleet.VM `json:"router,omitempty"`
	// Run is "ran", "not_run" or "unknown"; Running is true while an answer
	// may still come.
	Run     call.Run  `json:"run"`
	Running bool      `json:"running"`
	At      time.Time `json:"at"`
	// Status is the HTTP status of the recorded answer.
	Status    int    `json:"status,omitempty"`
	SettledBy string `json:"settled_by,omitempty"`
}

// SettleRequest records the outcome of an order that stayed unknown.
type SettleRequest struct {
	Key string `json:"key"`
	// Run is "ran" or "not_run".
	Run     call.Run `json:"run"`
	Comment string   `json:"comment,omitempty"`
}

// Settled confirms a settled order.
type Settled struct {
	Key string   `json:"key"`
	Run call.Run `json:"run"`
}

// Audit lists audit entries, the newest first.
type Audit struct {
	Entries []audit.Entry `json:"entries"`
}
