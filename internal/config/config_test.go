package config

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const testBase = `
[[members]]
name = "north"
weight = 1.0

[[members]]
name = "south"
weight = 1.0

[[sites]]
name = "gent"
member = "north"

[load]
bound = 1.25

[[models]]
name = "design"

[[services]]
name = "desk"
order_methods = ["POST"]

[[data_centres]]
name = "dc1"
region = "gent"

[[accounts]]
name = "shop"
member = "south"
weight = 1.0
max_concurrent = 8
key_hashes = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]

[[targets]]
name = "engine-1"
data_centre = "dc1"
url = "http://10.0.0.1:8000"
models = ["design"]
slots = 8
cold_slots = 2
`

func docs(base, overlay string) configstate.Documents {
	d := configstate.Documents{}.With(configstate.Base, base)
	if overlay != "" {
		d = d.With(configstate.Overlay("gent"), overlay)
	}
	return d
}

func mergeGent(t *testing.T, overlay string) *Merged {
	t.Helper()
	m, err := Merge("gent", DocumentsOf("gent", docs(testBase, overlay), ".toml"))
	must.NoError(t, err)
	must.NoError(t, m.Validate())
	return m
}

func TestMerge(t *testing.T) {
	m := mergeGent(t, `
[deadlines]
chat = "30s"

[[targets]]
name = "engine-1"
mark = "drain"

[[targets]]
name = "desk-1"
data_centre = "dc1"
url = "http://10.0.0.2:8000"
service = "desk"
slots = 4
cold_slots = 1

[[accounts]]
name = "own-shop"
member = "north"
weight = 2.0
`)
	c := m.Config
	must.Eq(t, 2, len(c.Targets))
	must.Eq(t, fleet.MarkDrain, c.Targets[0].Mark)
	must.Eq(t, 8, c.Targets[0].Slots)
	must.Eq(t, "30s", c.Deadlines.Chat.Std().String())
	must.Eq(t, "10s", c.Deadlines.Service.Std().String())
	origins := map[string]Origin{
		"deadlines.chat":                 {"site/gent.toml", 3},
		"deadlines.service":              {"default", 0},
		"load.bound":                     {"base.toml", 15},
		"targets[engine-1]":              {"base.toml", 35},
		"targets[engine-1].mark":         {"site/gent.toml", 7},
		"targets[engine-1].slots":        {"base.toml", 40},
		"targets[desk-1].slots":          {"site/gent.toml", 14},
		"targets[desk-1].checks_fencing": {"default", 0},
	}
	for key, want := range origins {
		must.Eq(t, want, m.Origin(key), must.Sprint(key))
	}
}

// TestOverlayMayNotLoosen names every rule that the base fixes.
func TestOverlayMayNotLoosen(t *testing.T) {
	cases := []struct{ overlay, want string }{
		{"[load]\nbound = 2.0", "site/gent.toml:2: load.bound: the load bound and the queue limits are the same at every site, the base has 1.25; remove the key here, or have it changed in the base"},
		{"[load]\nqueue_length = 500", "load.queue_length"},
		{"[retry]\nmax_attempts = 9", "retry.max_attempts: retry budgets are the same"},
		{"[retry]\naccount_ratio = 0.9", "retry.account_ratio"},
		{"[orders]\nwindow = \"1m\"", "orders.window: the rules of orders"},
		{"[[services]]\nname = \"desk\"\norder_methods = []", "services[desk].order_methods: the rules of orders"},
		{"[[members]]\nname = \"north\"\nweight = 9.0", "members[north].weight: fairness rules"},
		{"[[members]]\nname = \"third\"\nweight = 1.0", "members[third]: members and sites are agreed in the base"},
		{"[[sites]]\nname = \"other\"\nmember = \"north\"", "sites[other]: members and sites"},
		{"[[accounts]]\nname = \"shop\"\nweight = 5.0", "accounts[shop].weight: fairness rules"},
		{"[[accounts]]\nname = \"shop\"\nmax_concurrent = 0", "accounts[shop].max_concurrent: fairness rules"},
		{"[[accounts]]\nname = \"shop\"\nkey_hashes = []", "accounts[shop].key_hashes: keys and roles"},
		{"[[accounts]]\nname = \"new\"\nmember = \"south\"\nweight = 1.0", `accounts[new]: account of member "south" at a site of "north"`},
		{"[[operators]]\nname = \"me\"\nmember = \"north\"\nrole = \"admin\"", "operators[me]: an overlay may add"},
		{"[[operators]]\nname = \"me\"\nmember = \"south\"\nrole = \"viewer\"\nsites = [\"gent\"]", "operators[me]: an overlay may add"},
		{"[[targets]]\nname = \"engine-1\"\nchecks_fencing = true", "targets[engine-1].checks_fencing: an overlay may not claim"},
		{"[[targets]]\nname = \"engine-1\"\ncold_slots = 8", "targets[engine-1].cold_slots: an overlay may not raise"},
		{"site = \"other\"", `site/gent.toml:1: site: the overlay of site "gent" names site "other"`},
	}
	for _, c := range cases {
		_, err := Merge("gent", DocumentsOf("gent", docs(testBase, c.overlay), ".toml"))
		must.ErrorContains(t, err, c.want, must.Sprint(c.overlay))
	}
	mergeGent(t, "[load]\nbound = 1.25\n[[accounts]]\nname = \"shop\"\nmax_concurrent = 2\n[[targets]]\nname = \"engine-1\"\ncold_slots = 1")
}

// TestFixedSectionsCoverTheSchema fails when a key is added to a section that
// overlays must not change and is not refused.
func TestFixedSectionsCoverTheSchema(t *testing.T) {
	for _, key := range knownKeys() {
		section, rest, _ := strings.Cut(key, ".")
		if rest == "" {
			continue
		}
		_, whole := fixedSections[section]
		switch section {
		case "load", "retry", "orders":
			must.True(t, whole, must.Sprint(key))
		case "operators", "sites", "members":
			_, fixed := fixedValues[key]
			must.True(t, fixed || rest == "name", must.Sprint(key))
		}
	}
}

// TestBadDocuments shows what operators read for wrong input.
func TestBadDocuments(t *testing.T) {
	replace := func(old, with string) string {
		must.StrContains(t, testBase, old)
		return strings.Replace(testBase, old, with, 1)
	}
	cases := []struct{ text, want string }{
		{testBase + "\n[lod]\nbound = 1.5", `base.toml:43: lod: unknown key; did you mean "load"?`},
		{replace("bound = 1.25", "bond = 1.25"), `base.toml:15: load.bond: unknown key; did you mean "bound"?`},
		{replace("bound = 1.25", "bound = \"high\""), "base.toml:15: load.bound: want a number such as 1.25, have string"},
		{replace("slots = 8", "slots = \"8\""), "targets.slots: want a whole number, have string"},
		{replace("url = \"http://10.0.0.1:8000\"", "url = 8000"), "want a text in quotes, have integer"},
		{replace("models = [\"design\"]", "models = \"design\""), "models: "},
		{replace("bound = 1.25", "bound = 0.5"), "base.toml:15: load.bound: want a number from 1 to 10, have 0.5; correct the value"},
		{replace("bound = 1.25", "bound = nan"), "load.bound: want a number from 1 to 10, have NaN"},
		{replace("bound = 1.25", "bound = 1.25\nqueue_length = -1"), "base.toml:16: load.queue_length: want at least 1, have -1"},
		{testBase + "\n[deadlines]\nchat = \"60\"", `base.toml:44: deadlines.chat: want a time span with a unit such as "250ms" or "2s", have "60"`},
		{testBase + "\n[deadlines]\nchat = 60", "base.toml:44: deadlines.chat: "},
		{testBase + "\n[deadlines]\nchat = \"1s\"", "deadlines.first_token: want at most deadlines.chat 1s, have 1.5s"},
		{testBase + "\n[control]\nlease = \"600ms\"", "base.toml:44: control.lease: want at least 2 heartbeats of 500ms, have 600ms"},
		{testBase + "\n[orders]\nwindow = \"1s\"", "orders.window: want at least 1m0s, have 1s"},
		{replace("slots = 8", "slots = 0"), "base.toml:40: targets[engine-1].slots: want at least 1, have 0"},
		{replace("cold_slots = 2", "cold_slots = 9"), "base.toml:41: targets[engine-1].cold_slots: want from 1 to the 8 slots, have 9"},
		{replace("models = [\"design\"]", "models = [\"desing\"]"), `base.toml:39: targets[engine-1].models: no model "desing"; declare it, or correct the name`},
		{replace("models = [\"design\"]\n", ""), "base.toml:35: targets[engine-1]: the target serves nothing; set models"},
		{replace("data_centre = \"dc1\"", "data_centre = \"dc9\""), `targets[engine-1].data_centre: no data centre "dc9"`},
		{replace("url = \"http://10.0.0.1:8000\"", "url = \"10.0.0.1:8000\""), "targets[engine-1].url: want a URL such as"},
		{replace("name = \"engine-1\"", "name = \"engine 1\""), "want a name of at most 64 such characters"},
		{replace("name = \"engine-1\"\n", ""), "targets: row 1 has no name"},
		{replace("member = \"south\"", "member = \"sout\""), `accounts[shop].member: no member "sout"`},
		{replace("aaaaaaaa", ""), "accounts[shop].key_hashes: want the SHA-256 hash of a key as 64 hex digits; run zfctl key new"},
		{replace("name = \"south\"", "name = \"north\""), "members[north]: the name is used twice"},
		{replace("weight = 1.0\nmax", "weight = 0\nmax"), "accounts[shop].weight: "},
		{replace("region = \"gent\"", "mark = \"out\""), `data_centres[dc1].mark: want "drain" or no mark, have "out"`},
		{replace("order_methods = [\"POST\"]", "order_methods = [\"post\"]"), `services[desk].order_methods: want HTTP methods such as "POST", have "post"`},
		{testBase + "\n[[operators]]\nname = \"a\"\nmember = \"north\"\nrole = \"root\"", `base.toml:46: operators[a].role: want "viewer", "operator" or "admin", have "root"`},
		{testBase + "\n[[operators]]\nname = \"a\"\nmember = \"north\"\nrole = \"operator\"", "operators[a].sites: an operator without sites can change nothing"},
		{testBase + "\n[[operators]]\nname = \"a\"\nmember = \"north\"\nrole = \"viewer\"\nkey_hashes = [\"" + strings.Repeat("a", 64) + "\"]", "operators[a].key_hashes: accounts[shop] has the same key"},
		{"[load\nbound = 1", "base.toml:1: "},
		{testBase + "\nname = ", "base.toml:43: "},
	}
	for _, c := range cases {
		err := Check(docs(c.text, ""), ".toml")
		must.ErrorContains(t, err, c.want, must.Sprint(c.want))
	}
}

func TestSamplesAreValid(t *testing.T) {
	read := func(name string) string {
		data, err := os.ReadFile("../../samples/" + name)
		must.NoError(t, err)
		return string(data)
	}
	all := configstate.Documents{}.With(configstate.Base, read("base.toml"))
	for _, site := range []fleet.Site{"trinidad", "gent"} {
		all = all.With(configstate.Overlay(site), read("overlay-"+string(site)+".toml"))
	}
	must.NoError(t, Check(all, ".toml"))
	sizes := map[fleet.Site][2]int{"trinidad": {12, 3}, "gent": {9, 3}}
	for site, want := range sizes {
		e, err := Effect(site, configstate.Version{Offset: 1}, all)
		must.NoError(t, err)
		engines := 0
		for i := range e.Targets {
			if e.Targets[i].IsEngine() {
				engines++
			}
		}
		must.Eq(t, want, [2]int{engines, len(e.Targets) - engines})
		must.Eq(t, 3, len(e.DataCentres))
		must.Eq(t, "gent-operator", e.OperatorByKey("sample-gent-operator").Name)
	}
}

func TestLookups(t *testing.T) {
	base := strings.Replace(testBase, strings.Repeat("a", 64), "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683", 1)
	e, err := Effect("gent", configstate.Version{Offset: 3, Hash: "h"}, docs(base, ""))
	must.NoError(t, err)
	must.Eq(t, fleet.Account("shop"), e.AccountByKey("key").Name)
	must.Nil(t, e.AccountByKey("kez"))
	must.Nil(t, e.AccountByKey(""))
	must.Nil(t, e.OperatorByKey("key"))
	must.Eq(t, fleet.Target("engine-1"), e.TargetsOfModel("design")[0].Name)
	must.SliceEmpty(t, e.TargetsOfService("desk"))
	must.False(t, e.TargetDrained(e.Target("engine-1")))
	e, err = Effect("gent", configstate.Version{Offset: 3}, docs(base, "[[data_centres]]\nname = \"dc1\"\nmark = \"drain\""))
	must.NoError(t, err)
	must.True(t, e.TargetDrained(e.Target("engine-1")))
	must.True(t, e.VMDrained("any", "dc1"))
	must.False(t, e.VMDrained("any", "dc2"))
}

// planned returns documents of the size to design for: 2 sites with 7 data
// centres, 1,200 targets and 270 accounts.
func planned() configstate.Documents {
	var base, overlays [2]strings.Builder
	b := &base[0]
	b.WriteString("[[members]]\nname = \"m0\"\nweight = 1.0\n\n[[members]]\nname = \"m1\"\nweight = 1.0\n")
	for i := range 29 {
		fmt.Fprintf(b, "\n[[models]]\nname = \"model-%d\"\n", i)
	}
	for i := range 2 {
		fmt.Fprintf(b, "\n[[sites]]\nname = \"s%d\"\nmember = \"m%d\"\n", i, i)
	}
	for i := range 270 {
		fmt.Fprintf(b, "\n[[accounts]]\nname = \"account-%d\"\nmember = \"m%d\"\nweight = 1.0\nkey_hashes = [\"%064x\"]\n", i, i%2, i+1)
	}
	for i := range 7 {
		fmt.Fprintf(&overlays[i%2], "\n[[data_centres]]\nname = \"dc%d\"\nregion = \"r%d\"\n", i, i%2)
	}
	for i := range 1200 {
		dc := i % 7
		fmt.Fprintf(&overlays[dc%2],
			"\n[[targets]]\nname = \"engine-%d\"\ndata_centre = \"dc%d\"\nurl = \"http://10.%d.%d.%d:8000\"\nmodels = [\"model-%d\"]\nslots = 12\ncold_slots = 2\nresumes = true\n",
			i, dc, dc, i/200, i%200, i%29)
	}
	d := configstate.Documents{}.With(configstate.Base, b.String())
	for i := range overlays {
		d = d.With(configstate.Overlay(fleet.Site(fmt.Sprint("s", i))), overlays[i].String())
	}
	return d
}

// BenchmarkCheckPlannedSize validates both sites as zfctl and the
// administration API do.
func BenchmarkCheckPlannedSize(b *testing.B) {
	d := planned()
	must.NoError(b, Check(d, ""))
	b.ReportMetric(float64(d.Size()), "document-bytes")
	for b.Loop() {
		_ = Check(d, "")
	}
}

// BenchmarkEffectPlannedSize derives one site's configuration as a router does.
func BenchmarkEffectPlannedSize(b *testing.B) {
	d := planned()
	for b.Loop() {
		if _, err := Effect("s0", configstate.Version{}, d); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAccountByKey(b *testing.B) {
	e, err := Effect("s0", configstate.Version{}, planned())
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		e.AccountByKey("no such key")
	}
}
