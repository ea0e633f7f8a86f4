package sitecheck_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/routecheck"
	"github.com/zinniafork/zinniafork/internal/sitecheck"
)

func documents(t *testing.T, base string) configstate.Documents {
	t.Helper()
	overlay, err := os.ReadFile("../../samples/overlay-gent.toml")
	must.NoError(t, err)
	return configstate.Documents{}.With(configstate.Base, base).With(configstate.Overlay("gent"), string(overlay))
}

func sample(t *testing.T) string {
	t.Helper()
	base, err := os.ReadFile("../../samples/base.toml")
	must.NoError(t, err)
	return string(base)
}

func codes(found []routecheck.Finding) []string {
	out := []string{}
	for _, f := range found {
		out = append(out, fmt.Sprintf("%s %s %s:%d", f.Code, f.Path, f.File, f.Line))
	}
	return out
}

// TestCheck guards against a fault that is not found, or is found at the wrong
// place: each case replaces one text of the sample.
func TestCheck(t *testing.T) {
	base := sample(t)
	d := routecheck.Deployment{DataCentres: map[string]int{"elsewhere": 3}}
	must.SliceEmpty(t, sitecheck.Check(documents(t, base), routecheck.Deployment{}))
	for _, c := range []struct{ old, replacement, want string }{
		{`queue_length = 64`, "queue_length = 64\nqueue_wait = \"20s\"", "wait_above_deadline load.queue_wait base:27"},
		{`queue_length = 64`, "queue_length = 64\nsticky_wait = \"1600ms\"", "wait_above_objective load.sticky_wait base:27"},
		{`queue_length = 64`, "queue_length = 64\nreport_lag = \"100ms\"", "reports_always_old load.report_lag base:27"},
		{`progress = "2s"`, `progress = "10s"`, "deadline_leaves_one_attempt retry.max_attempts base:38"},
		{`progress = "2s"`, `progress = "20s"`, "progress_above_deadline deadlines.progress base:32"},
		{`account_ratio = 0.1`, `account_ratio = 0`, "retry_budget_zero retry.max_attempts base:38"},
		{`max_concurrent = 64`, `max_concurrent = 640000`, "concurrency_unreachable accounts[supermarkets-north].max_concurrent base:87"},
		{`key_hashes = ["95e6ffbb14cc7f6d10aa3d7b32d0159f8fabfc29589a51b302977d44ba1537bb"]`, ``, "operator_without_key operators[gent-viewer] base:77"},
		{`key_hashes = ["08694e82acc1ccf87325e0773f81197b0f20deea778bf11d1e6d2799c4e2dddd"]`, ``, "account_without_key accounts[supermarkets-north] base:83"},
		{`[[members]]`, "[[services]]\nname = \"idle\"\n[[members]]", "service_unused services[idle] base:7"},
		{`bound = 1.25`, `bound = 99`, "invalid load.bound base:25"},
	} {
		must.SliceContains(t, codes(sitecheck.Check(documents(t, strings.Replace(base, c.old, c.replacement, 1)), d)), c.want, must.Sprint(c.replacement))
	}
	must.StrContains(t, fmt.Sprint(codes(sitecheck.Check(documents(t, base), d))), "data_centre_without_vm")
}

// TestRetryBudgetMessage guards against a message that denies the retries that a new
// budget allows.
func TestRetryBudgetMessage(t *testing.T) {
	for _, f := range sitecheck.Check(documents(t, strings.Replace(sample(t), "account_ratio = 0.1", "account_ratio = 0", 1)), routecheck.Deployment{}) {
		must.StrContains(t, f.Message, "used up")
	}
}

// TestOperatorWithUnreadableKeys guards against an operator that is reported as one
// without keys because its list of keys can't be read.
func TestOperatorWithUnreadableKeys(t *testing.T) {
	base := strings.Replace(sample(t), `key_hashes = ["95e6`, `key_hashes = "secret" # ["95e6`, 1)
	found := sitecheck.Check(documents(t, base), routecheck.Deployment{})
	must.Len(t, 1, found)
	must.Eq(t, "not_readable", found[0].Code)
	must.StrNotContains(t, found[0].Message, "secret")
}

// TestCheckReportsAll guards against a check that stops at the first line that
// can't be read, and against findings that only follow from such a line.
func TestCheckReportsAll(t *testing.T) {
	text := strings.NewReplacer(
		`bound = 1.25`, `bound = "x"`, `queue_length = 64`, `queue_lengths = 64`,
		`progress = "2s"`, `progress = 2`, `max_attempts = 3`, `max_attempts = 99`,
	).Replace(sample(t))
	must.SliceContainsAll(t, codes(sitecheck.Check(documents(t, text), routecheck.Deployment{})), []string{
		"not_readable load.bound base:25", "not_readable load.queue_lengths base:26",
		"not_readable deadlines.progress base:32", "invalid retry.max_attempts base:38",
	})
}

// TestDiff guards against key hashes among the changes and against effects that
// are missing.
func TestDiff(t *testing.T) {
	before := sample(t)
	changes, whole := sitecheck.Diff(documents(t, before), documents(t, before))
	must.True(t, whole)
	must.SliceEmpty(t, changes)
	after := strings.Replace(before, `key_hashes = ["08694e82acc1ccf87325e0773f81197b0f20deea778bf11d1e6d2799c4e2dddd"]`, "", 1)
	after = strings.Replace(after, "bound = 1.25", "bound = 1.5", 1)
	changes, _ = sitecheck.Diff(documents(t, before), documents(t, after))
	text := fmt.Sprint(changes)
	must.StrNotContains(t, text, "08694e82")
	must.StrContains(t, text, "gent: supermarkets-north")
	must.StrContains(t, text, routecheck.EffectAccessLost)
	must.StrContains(t, text, "gent: load.bound changed")
}

// TestDiffOperators guards against changed keys of an operator that a comparison leaves
// out or shows.
func TestDiffOperators(t *testing.T) {
	before := sample(t)
	after := strings.Replace(before, `["95e6ffbb`, `["00000000`, 1)
	after = strings.Replace(after, `name = "trinidad-viewer"`, `name = "trinidad-reader"`, 1)
	one := func(base string) configstate.Documents { return configstate.Documents{}.With(configstate.Base, base) }
	changes, _ := sitecheck.Diff(one(before), one(after))
	var have []string
	for _, c := range changes {
		have = append(have, fmt.Sprintf("%s %s %s +%d -%d", c.Kind, c.Name, c.Action, c.KeysAdded, c.KeysRemoved))
	}
	must.Eq(t, []string{
		"operator trinidad: gent-viewer changed +1 -1", "operator trinidad: trinidad-viewer removed +0 -1", "operator trinidad: trinidad-reader added +1 -0",
		"operator gent: gent-viewer changed +1 -1", "operator gent: trinidad-viewer removed +0 -1", "operator gent: trinidad-reader added +1 -0",
	}, have)
	must.StrNotContains(t, fmt.Sprint(changes), "95e6ffbb")
}

// FuzzCheck guards against a text that panics.
func FuzzCheck(f *testing.F) {
	f.Add("[load]\nbound = \"x\"\n[[targets]]\nname = \"e\"\nslots = 1.5", "[[vms]]\nmark = 3")
	f.Add("a = [\n1]\nb = \"\"\"\n", "site = \"gent\"")
	f.Fuzz(func(_ *testing.T, base, overlay string) {
		docs := configstate.Documents{}.With(configstate.Base, base).With(configstate.Overlay("gent"), overlay)
		sitecheck.Check(docs, routecheck.Deployment{VMs: 3, DataCentres: map[string]int{"a": 1}})
		sitecheck.Diff(docs, docs)
	})
}
