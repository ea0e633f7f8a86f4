// Package admin holds the messages of the administration API and a client for
// it. The API is HTTP with JSON under /admin/v1; every router serves it.
package admin

import (
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Prefix is the path under which version 1 of the API lives.
const Prefix = "/admin/v1"

// Paths of the API.
const (
	PathOpenAPI     = Prefix + "/openapi.json"
	PathWhoAmI      = Prefix + "/whoami"
	PathConfig      = Prefix + "/config"
	PathDocument    = Prefix + "/config/document"
	PathEffective   = Prefix + "/config/effective"
	PathHistory     = Prefix + "/config/history"
	PathDiff        = Prefix + "/config/diff"
	PathSpread      = Prefix + "/config/spread"
	PathPublication = Prefix + "/config/publication"
	PathPublish     = Prefix + "/config/publish"
	PathRollback    = Prefix + "/config/rollback"
	PathMark        = Prefix + "/config/mark"
	PathEmergency   = Prefix + "/config/emergency"
	PathStatus      = Prefix + "/status"
	PathTargets     = Prefix + "/targets"
	PathAccounts    = Prefix + "/accounts"
	PathOrders      = Prefix + "/orders"
	PathSettle      = Prefix + "/orders/settle"
	PathExplain     = Prefix + "/explain"
	PathSites       = Prefix + "/sites"
	PathAudit       = Prefix + "/audit"
)

// Code is a stable name of an error, for programs.
type Code string

// Codes of errors.
const (
	CodeBadRequest   Code = "bad_request"
	CodeUnauthorized Code = "unauthorized"
	CodeForbidden    Code = "forbidden"
	CodeNotFound     Code = "not_found"
	CodeInvalid      Code = "invalid_configuration"
	CodeUnchanged    Code = "unchanged"
	CodeStale        Code = "stale_parent"
	CodeLost         Code = "lost_race"
	CodeUnknown      Code = "outcome_unknown"
	CodeCapacity     Code = "no_capacity_left"
	CodeRateLimited  Code = "rate_limited"
	CodeTooLarge     Code = "too_large"
	CodeUnavailable  Code = "unavailable"
	CodeInternal     Code = "internal"
)

// Error is the answer to a call that failed.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Next tells what to do about it.
	Next string `json:"next,omitempty"`
	// Problems are the faults of a configuration.
	Problems []*config.Problem `json:"problems,omitempty"`
	// Newest is the newest version, for errors about versions.
	Newest *configstate.Entry `json:"newest,omitempty"`
	// Nonce finds the outcome of a publication later.
	Nonce string `json:"nonce,omitempty"`
	// Status is the HTTP status.
	Status int `json:"-"`
}

// Error describes the failure.
func (e *Error) Error() string {
	text := e.Message
	for _, p := range e.Problems {
		text += "\n  " + p.Error()
	}
	if e.Next != "" {
		text += "\n  next: " + e.Next
	}
	return text
}

// WhoAmI describes the operator of the key.
type WhoAmI struct {
	Operator string       `json:"operator"`
	Member   fleet.Member `json:"member"`
	Role     config.Role  `json:"role"`
	Sites    []fleet.Site `json:"sites"`
	VM       fleet.VM     `json:"vm"`
	Site     fleet.Site   `json:"site"`
}

// ConfigInfo describes the newest version.
type ConfigInfo struct {
	Newest  configstate.Entry   `json:"newest"`
	InForce configstate.Version `json:"in_force"`
	Scopes  []configstate.Scope `json:"scopes"`
	Sites   []fleet.Site        `json:"sites"`
	// RulesHash identifies the rules that all sites share.
	RulesHash string `json:"rules_hash"`
}

// DocumentQuery asks for one document.
type DocumentQuery struct {
	Scope configstate.Scope `url:"scope"`
	// Version is the log offset of the version; nil means the newest.
	Version *uint64 `url:"version,omitempty"`
}

// Document is one document of a version.
type Document struct {
	Scope   configstate.Scope `json:"scope"`
	Version configstate.Entry `json:"version"`
	Text    string            `json:"text"`
}

// EffectiveQuery asks for the configuration of a site.
type EffectiveQuery struct {
	Site    fleet.Site `url:"site,omitempty"`
	Version *uint64    `url:"version,omitempty"`
}

// Effective is the configuration of a site with the origin of each value.
type Effective struct {
	Site      fleet.Site        `json:"site"`
	Version   configstate.Entry `json:"version"`
	RulesHash string            `json:"rules_hash"`
	Rules     []config.Rule     `json:"rules"`
	Values    []config.Value    `json:"values"`
}

// HistoryQuery asks for the newest versions.
type HistoryQuery struct {
	Limit int `url:"limit,omitempty"`
}

// History lists versions, the newest first.
type History struct {
	Versions []configstate.Entry `json:"versions"`
}

// DiffQuery asks what changed between two versions.
type DiffQuery struct {
	From uint64  `url:"from"`
	To   *uint64 `url:"to,omitempty"`
}

// Diff tells what changed between two versions.
type Diff struct {
	From configstate.Entry `json:"from"`
	To   configstate.Entry `json:"to"`
	// Documents holds a unified diff for each document that differs.
	Documents []DocumentDiff `json:"documents"`
	// Changes are the values that differ in the sites' configurations.
	Changes []config.Change `json:"changes"`
}

// DocumentDiff is the unified diff of one document.
type DocumentDiff struct {
	Scope   configstate.Scope `json:"scope"`
	Unified string            `json:"unified"`
}

// PublishRequest asks for a new version with one document replaced.
type PublishRequest struct {
	Scope   configstate.Scope `json:"scope"`
	Text    string            `json:"text"`
	Comment string            `json:"comment,omitempty"`
	// Parent is the log offset of the version that the author saw; nil means
	// that any newest version will do.
	Parent *uint64 `json:"parent,omitempty"`
	// Seen is the log offset of the version from which the author took the
	// document. The change is refused when the document has changed since.
	Seen *uint64 `json:"seen,omitempty"`
	// DryRun checks everything and publishes nothing.
	DryRun bool `json:"dry_run,omitempty"`
	// Nonce identifies the publication, so that a repeated call publishes
	// once; empty for a fresh one.
	Nonce string `json:"nonce,omitempty"`
}

// Published tells what a publication did, or would do.
type Published struct {
	DryRun bool `json:"dry_run"`
	// Version is the accepted version; for a dry run, the one it would follow.
	Version configstate.Entry `json:"version"`
	// Changes are the values that change in the sites' configurations.
	Changes []config.Change `json:"changes"`
	// Capacity is what each model and plain service of a changed site keeps.
	Capacity []SiteCapacity `json:"capacity"`
	// Affected names what a mark takes out or brings back.
	Affected *Affected `json:"affected,omitempty"`
}

// SiteCapacity is the capacity of one model or plain service of a site.
type SiteCapacity struct {
	Site fleet.Site `json:"site"`
	config.Capacity
	// Before counts the slots in service before the change.
	Before int `json:"before"`
	// Running counts the requests that run now, -1 when that is not known.
	Running int `json:"running"`
}

// Affected counts what a mark concerns.
type Affected struct {
	VMs     []fleet.VM     `json:"vms"`
	Targets []fleet.Target `json:"targets"`
}

// RollbackRequest asks for a new version with a document as it was before.
type RollbackRequest struct {
	// Version is the log offset of the version to go back to.
	Version uint64 `json:"version"`
	// Scope is the document; empty when only one differs.
	Scope   configstate.Scope `json:"scope,omitempty"`
	Comment string            `json:"comment,omitempty"`
	Parent  *uint64           `json:"parent,omitempty"`
	DryRun  bool              `json:"dry_run,omitempty"`
}

// MarkRequest asks for a new version with one mark set.
type MarkRequest struct {
	Site fleet.Site `json:"site,omitempty"`
	// Kind is "data-centre", "vm" or "target".
	Kind string     `json:"kind"`
	Name string     `json:"name"`
	Mark fleet.Mark `json:"mark"`
	// Force marks also when a model or plain service keeps no capacity.
	Force   bool    `json:"force,omitempty"`
	Comment string  `json:"comment,omitempty"`
	Parent  *uint64 `json:"parent,omitempty"`
	DryRun  bool    `json:"dry_run,omitempty"`
}

// EmergencyRequest takes a thing of the router's own site out while the log is
// away, or lifts that.
type EmergencyRequest struct {
	// Kind is "data-centre", "vm" or "target".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Lift ends an emergency drain.
	Lift bool `json:"lift,omitempty"`
	// For is the time for which it holds.
	For config.Duration `json:"for,omitempty"`
	// Force drains also while the log can be read, or when a model or plain
	// service keeps no capacity.
	Force   bool   `json:"force,omitempty"`
	Comment string `json:"comment,omitempty"`
	DryRun  bool   `json:"dry_run,omitempty"`
}

// Emergency tells what an emergency drain does.
type Emergency struct {
	DryRun   bool                      `json:"dry_run"`
	Mark     configstate.EmergencyMark `json:"mark"`
	Affected *Affected                 `json:"affected,omitempty"`
	Capacity []SiteCapacity            `json:"capacity"`
}

// PublicationQuery asks for the outcome of a publication.
type PublicationQuery struct {
	Nonce string `url:"nonce"`
}

// Publication is the outcome of a publication.
type Publication struct {
	// State is "accepted", "refused" or "unknown".
	State  string             `json:"state"`
	Entry  *configstate.Entry `json:"entry,omitempty"`
	Reason string             `json:"reason,omitempty"`
}

// AuditQuery asks for the newest audit entries.
type AuditQuery struct {
	Limit int `url:"limit,omitempty"`
}
