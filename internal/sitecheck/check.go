// Package sitecheck finds the faults of the project's own configuration: what
// publishing refuses, entries that no request can reach, and limits that
// contradict each other.
package sitecheck

import (
	"errors"
	"strings"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/routecheck"
)

// Check returns the findings about the documents of a fleet, in the order of
// their lines. Files are named by their scopes.
func Check(docs configstate.Documents, d routecheck.Deployment) []routecheck.Finding {
	var r report
	readable := r.parse(docs)
	if readable == nil {
		return r.sorted()
	}
	r.problems(config.Check(*readable, ""))
	for _, site := range config.SitesOf(*readable) {
		merged, err := config.Merge(site, config.DocumentsOf(site, *readable, ""))
		if err != nil {
			continue // config.Check has found the same error
		}
		k := &checker{m: merged, c: merged.Config, deployment: d, keysUnknown: r.removed.has("key_hashes")}
		k.check()
		for _, f := range k.findings {
			r.add(f)
		}
	}
	return r.sorted()
}

// report collects findings. The same finding at several sites counts once.
type report struct {
	findings []routecheck.Finding
	seen     map[routecheck.Finding]bool
	// removed are the lines that could not be read.
	removed removedLines
}

func (r *report) add(f routecheck.Finding) {
	if r.seen == nil {
		r.seen = make(map[routecheck.Finding]bool)
	}
	if !r.seen[f] {
		r.seen[f] = true
		r.findings = append(r.findings, f)
	}
}

func (r *report) sorted() []routecheck.Finding {
	routecheck.Sort(r.findings)
	return r.findings
}

// problems adds what validation found.
func (r *report) problems(err error) {
	var all config.Problems
	if !errors.As(err, &all) {
		if err != nil {
			r.add(routecheck.Finding{Severity: routecheck.Error, Code: "invalid", Message: err.Error()})
		}
		return
	}
	for _, p := range all {
		if !r.removed.explain(p) {
			r.problem("invalid", p)
		}
	}
}

func (r *report) problem(code string, p *config.Problem) {
	message := p.Message
	if p.Next != "" {
		message += "; " + p.Next
	}
	r.add(routecheck.Finding{Severity: routecheck.Error, Code: code, File: p.File, Path: p.Key, Line: p.Line, Message: message})
}

// checker checks the merged configuration of one site.
type checker struct {
	m          *config.Merged
	c          *config.Config
	deployment routecheck.Deployment
	// keysUnknown is true if keys can't be read, so that rows seem to lack them.
	keysUnknown bool
	findings    []routecheck.Finding
}

// add adds a finding at a key, or at the row or section that holds it.
func (k *checker) add(r *routecheck.Reporter) {
	f := r.Findings[0]
	for _, key := range ancestors(f.Path) {
		if o := k.m.Origin(key); o.Line > 0 {
			f.File, f.Line = o.File, o.Line
			break
		}
	}
	k.findings = append(k.findings, f)
}

func (k *checker) never(code, path, format string, args ...any) {
	var r routecheck.Reporter
	r.NeverMatches(code, path, format, args...)
	k.add(&r)
}

func (k *checker) contradiction(code, path, format string, args ...any) {
	var r routecheck.Reporter
	r.Contradiction(code, path, format, args...)
	k.add(&r)
}

func (k *checker) check() {
	k.capacity()
	k.dataCentres()
	k.accounts()
	k.times()
	k.retries()
}

// capacity finds models and services that no target serves. A base without
// targets leaves them to the overlays.
func (k *checker) capacity() {
	if len(k.c.Targets) == 0 {
		return
	}
	type id struct{ kind, name string }
	sums := make(map[id]config.Capacity)
	for _, c := range (&config.Effective{Config: k.c}).Capacities() {
		sums[id{c.Kind, c.Name}] = c
	}
	check := func(kind, section, name string) {
		sum, ok := sums[id{kind, name}]
		path := section + "[" + name + "]"
		switch {
		case !ok:
			k.never(kind+"_unused", path, "no target of the site serves the %s %q", kind, name)
		case sum.TargetsInService == 0:
			k.never(kind+"_out_of_service", path, "all %d targets of the %s %q are taken out", sum.Targets, kind, name)
		}
	}
	for i := range k.c.Models {
		check("model", "models", string(k.c.Models[i].Name))
	}
	for i := range k.c.Services {
		check("service", "services", string(k.c.Services[i].Name))
	}
}

// dataCentres compares the data centres with the VMs of the deployment.
func (k *checker) dataCentres() {
	if len(k.deployment.DataCentres) == 0 {
		return
	}
	for i := range k.c.DataCentres {
		name := string(k.c.DataCentres[i].Name)
		if k.deployment.DataCentres[name] == 0 {
			k.never("data_centre_without_vm", "data_centres["+name+"]", "the data centre %q has no VM", name)
		}
	}
}

// accounts checks accounts and operators for keys, and limits of accounts.
func (k *checker) accounts() {
	slots, waiting := 0, 0
	for i := range k.c.Targets {
		slots += max(k.c.Targets[i].Slots, 0)
		waiting += max(k.c.Load.QueueLength, 0)
	}
	for i := range k.c.Accounts {
		a := &k.c.Accounts[i]
		path := "accounts[" + string(a.Name) + "]"
		if len(a.KeyHashes) == 0 && !k.keysUnknown {
			k.never("account_without_key", path, "the account %q has no key, so that its requests get 401", string(a.Name))
		}
		if slots > 0 && a.MaxConcurrent > slots+waiting {
			k.contradiction("concurrency_unreachable", path+".max_concurrent",
				"%d requests at once are more than the %d slots and %d places in queues of the site", a.MaxConcurrent, slots, waiting)
		}
	}
	for i := range k.c.Operators {
		if o := &k.c.Operators[i]; len(o.KeyHashes) == 0 && !k.keysUnknown {
			k.never("operator_without_key", "operators["+o.Name+"]", "the operator %q has no key", o.Name)
		}
	}
}

// times compares times that lie within each other.
func (k *checker) times() {
	l, d := &k.c.Load, &k.c.Deadlines
	below := func(code, path string, value config.Duration, limitPath string, limit config.Duration) {
		if value > limit {
			k.contradiction(code, path, "%v is above %s of %v", value.Std(), limitPath, limit.Std())
		}
	}
	below("wait_above_deadline", "load.queue_wait", l.QueueWait, "deadlines.service", d.Service)
	below("wait_above_deadline", "load.queue_wait", l.QueueWait, "deadlines.chat", d.Chat)
	below("wait_above_objective", "load.sticky_wait", l.StickyWait, "deadlines.first_token", d.FirstToken)
	below("progress_above_deadline", "deadlines.progress", d.Progress, "deadlines.service", d.Service)
	below("progress_above_deadline", "deadlines.progress", d.Progress, "deadlines.chat", d.Chat)
	if l.ReportLag < l.ProbePeriod {
		k.contradiction("reports_always_old", "load.report_lag",
			"a report may be %v old, but is read each %v only", l.ReportLag.Std(), l.ProbePeriod.Std())
	}
}

// retries compares the attempts with what budgets and deadlines leave.
func (k *checker) retries() {
	r, d := &k.c.Retry, &k.c.Deadlines
	if r.MaxAttempts <= 1 {
		return
	}
	if r.AccountRatio == 0 || r.TargetRatio == 0 {
		k.contradiction("retry_budget_zero", "retry.max_attempts", "%d attempts, but with a retry ratio of zero there are no second ones once the first retries of an account or target are used up", r.MaxAttempts)
	}
	if d.Service == d.Progress {
		k.contradiction("deadline_leaves_one_attempt", "retry.max_attempts",
			"%d attempts, but a silent hop is noticed after deadlines.progress of %v, which is all of deadlines.service", r.MaxAttempts, d.Progress.Std())
	}
}

// ancestors returns a key with the row and the section that hold it.
func ancestors(key string) []string {
	out := []string{key}
	if i := strings.LastIndex(key, "]."); i >= 0 {
		out = append(out, key[:i+1])
	}
	return append(out, key[:strings.IndexAny(key+".", ".[")])
}
