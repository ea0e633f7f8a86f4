package settings_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/settings"
)

type inner struct {
	File settings.Path `toml:"file"`
}

type section struct {
	Listen settings.Address `toml:"listen"`
	Log    settings.URL     `toml:"log"`
	Wait   config.Duration  `toml:"wait"`
	Count  int              `toml:"count"`
	Inner  inner            `toml:"inner"`
}

func TestSectionKeepsDefaults(t *testing.T) {
	f, err := settings.Parse("f.toml", []byte("[b]\nwait = \"2s\"\n[b.inner]\nfile = \"settings_test.go\"\n[c]\nx = 1\n"))
	must.NoError(t, err)
	s := section{Listen: "127.0.0.1:0", Count: 7}
	must.NoError(t, f.Section("b", &s))
	must.Eq(t, section{Listen: "127.0.0.1:0", Count: 7, Wait: config.Duration(2e9), Inner: inner{File: "settings_test.go"}}, s)
	must.NoError(t, f.Section("missing", &s))
}

// TestFaultsNameFileLineKeyAndWhatIsWanted puts one wrong line on line 3.
func TestFaultsNameFileLineKeyAndWhatIsWanted(t *testing.T) {
	cases := []struct{ line, key, want string }{
		{`lisen = "127.0.0.1:1"`, "b.lisen", "unknown key; known keys here: listen, log, wait, count, inner"},
		{`wait = 5`, "b.wait", "want a time span with a unit"},
		{`wait = "5"`, "b.wait", "want a time span with a unit"},
		{`wait = "5 parsecs"`, "b.wait", "want a time span with a unit"},
		{`listen = "127.0.0.1"`, "b.listen", "want an address such as"},
		{`listen = "127.0.0.1:70000"`, "b.listen", "want an address such as"},
		{`listen = ":80"`, "b.listen", "want an address such as"},
		{`log = "10.0.0.1:80"`, "b.log", "want a URL such as"},
		{`log = "ftp://10.0.0.1"`, "b.log", "want a URL such as"},
		{`count = "many"`, "b.count", "want a whole number, have string"},
		{`inner = { file = "no-such-file" }`, "b.inner.file", "want the path of a file that can be read"},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			f, err := settings.Parse("f.toml", []byte("[a]\n[b]\n"+c.line+"\n[c]\n"))
			must.NoError(t, err)
			err = f.Section("b", new(section))
			must.ErrorContains(t, err, fmt.Sprintf("f.toml:3: %s: ", c.key))
			must.ErrorContains(t, err, c.want)
			must.NoError(t, f.Section("c", new(section)), must.Sprint("other sections are not blamed"))
		})
	}
}

func TestUnknownKeyOfAnInnerTable(t *testing.T) {
	f, err := settings.Parse("f.toml", []byte("[b]\n[b.inner]\nmore = 1\n"))
	must.NoError(t, err)
	must.ErrorContains(t, f.Section("b", new(section)), "f.toml:3: b.inner.more: unknown key; known keys here: file")
}

func TestSyntaxErrors(t *testing.T) {
	for text, want := range map[string]string{
		"[a]\nx = \n":       "f.toml:2",
		"[a]\n[a]\n":        "f.toml:2",
		"x = 1\n[a]\n":      "f.toml:1: x: want a table",
		"[a]\nx = 1\nx=2\n": "f.toml:3",
	} {
		_, err := settings.Parse("f.toml", []byte(text))
		must.ErrorContains(t, err, want)
	}
	_, err := settings.Load("no-such-file.toml")
	must.ErrorContains(t, err, "no-such-file.toml")
}

func TestUnusedSections(t *testing.T) {
	f, err := settings.Parse("f.toml", []byte("[a]\n[z]\ny = 1\n"))
	must.NoError(t, err)
	must.NoError(t, f.Section("a", new(section)))
	must.NoError(t, f.Section("b", new(section)))
	must.ErrorContains(t, f.Unused(), "f.toml:2: z: unknown section; known sections: a, b")
	must.NoError(t, f.Section("z", new(struct {
		Y int `toml:"y"`
	})))
	must.NoError(t, f.Unused())
}

func TestChecksOfServicesGetALine(t *testing.T) {
	f, err := settings.Parse("f.toml", []byte("[a]\n\ncount = 0\n"))
	must.NoError(t, err)
	cases := map[string]string{
		"count: want a number above zero, have 0": "f.toml:3: a.count: want a number above zero, have 0",
		"site: want a site, have none":            "f.toml:1: a.site: want a site, have none",
		"no key here":                             "f.toml:1: a: no key here",
	}
	for found, want := range cases {
		invalid := fmt.Errorf("outer: %w", &kernel.InvalidError{Service: "a", Err: errors.New(found)})
		must.Eq(t, want, strings.TrimSpace(f.Explain(invalid).Error()))
	}
	other := errors.New("other")
	must.Eq(t, other, f.Explain(other))
}
