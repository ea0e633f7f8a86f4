package zfctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/routecheck"
	"github.com/zinniafork/zinniafork/platform/configdoc"
)

const checkDocument = `{"Version": 2,
"Routes": [{"Name": "r", "Host": "h", "PathPrefix": "/", "Kind": "safe", "Service": "s"}],
"Services": [{"Name": "s", "MaxConns": 40}],
"Tenants": [{"Name": "north", "ApiKeys": ["hidden-1", "hidden-2"]}]}`

// checkJSON runs check with --json.
func checkJSON(t *testing.T, args ...string) (checkResult, error) {
	t.Helper()
	text, err := run(t, "", append([]string{"check", "--json"}, args...)...)
	must.StrNotContains(t, text, "hidden-")
	var out checkResult
	must.NoError(t, json.Unmarshal([]byte(text), &out))
	return out, err
}

// TestCheckExitCodes guards against an exit code that a script takes for another
// one: 0 without errors, 1 with errors, 2 for arguments.
func TestCheckExitCodes(t *testing.T) {
	good := write(t, "good.json", checkDocument)
	out, err := checkJSON(t, good, "--vms", "41")
	must.NoError(t, err)
	must.Eq(t, 1, out.Contradictions)
	bad := write(t, "bad.json", strings.Replace(checkDocument, "safe", "keyed", 1))
	out, err = checkJSON(t, bad)
	must.Eq(t, cli.ExitError, exitCode(err))
	must.Eq(t, "Routes[0].Kind", out.Findings[0].Path)
	must.Eq(t, 2, out.Findings[0].Line)
	site, err := checkJSON(t, "../../samples/base.toml", "--overlay", "gent=../../samples/overlay-gent.toml")
	must.NoError(t, err)
	must.Eq(t, formatSite, site.Format)
	for _, args := range [][]string{
		{"/does/not/exist"}, {good, "--against", "/does/not/exist"}, {good, "--overlay", "a=" + good}, {write(t, "empty", "\n")},
	} {
		_, err := run(t, "", append([]string{"check"}, args...)...)
		must.Eq(t, exitCheckUsage, exitCode(err), must.Sprint(args))
	}

	parser, err := kong.New(&Command{}, kong.Vars{"version": "test"})
	must.NoError(t, err)
	for want, lines := range map[int][][]string{
		exitCheckUsage: {{"check"}, {"check", good, "--bogus"}, {"check", good, "--vms", "x"}, {"check", good, "--vms=-1"}, {"check", good, "--vms", "3", "--data-centre", "a=1"}},
		cli.ExitUsage:  {{"validate"}, {"diff", "x"}, {"bogus"}},
	} {
		for _, args := range lines {
			_, err := parser.Parse(args)
			must.Eq(t, want, exitCode(cli.WithUsageCode(err)), must.Sprint(args))
		}
	}
}

// TestCheckAgainst guards against a file and a router that give different changes.
func TestCheckAgainst(t *testing.T) {
	decoded, err := configdoc.Decode([]byte(checkDocument))
	must.NoError(t, err)
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != routecheck.ViewPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(routecheck.NewView(decoded.Config, []byte("salt of a router")))
	}))
	defer router.Close()
	next := write(t, "next.json", strings.Replace(checkDocument, `"hidden-2"`, `"hidden-3"`, 1))
	byURL, err := checkJSON(t, next, "--against", router.URL)
	must.Eq(t, cli.ExitError, exitCode(err))
	must.Eq(t, "version_not_newer", byURL.Findings[0].Code)
	must.Eq(t, 1, byURL.Findings[0].Line)
	byFile, _ := checkJSON(t, next, "--against", write(t, "now.json", checkDocument))
	must.Eq(t, byFile.Changes, byURL.Changes)
	must.Len(t, 1, byURL.Changes)
	must.Eq(t, 1, byURL.Changes[0].KeysAdded)
	must.Eq(t, routecheck.EffectUnauthorized, byURL.Changes[0].Effects[0].Code)
	same, _ := checkJSON(t, write(t, "same.json", checkDocument), "--against", router.URL)
	must.SliceEmpty(t, same.Changes)
	_, err = run(t, "", "check", next, "--against", router.URL+"/metrics")
	must.Eq(t, exitCheckUsage, exitCode(err))
}

// TestCheckNotCompared guards against a configuration that can't be read and is shown
// as one without differences.
func TestCheckNotCompared(t *testing.T) {
	base, err := os.ReadFile("../../samples/base.toml")
	must.NoError(t, err)
	for now, next := range map[string]string{
		checkDocument: strings.Replace(checkDocument, `"Version": 2`, `"Version": "2"`, 1),
		string(base):  strings.Replace(string(base), "bound = 1.25", `bound = "x"`, 1),
	} {
		args := []string{write(t, "next", next), "--against", write(t, "now", now)}
		text, err := run(t, "", append([]string{"check"}, args...)...)
		must.Eq(t, cli.ExitError, exitCode(err))
		must.StrNotContains(t, text, "no difference")
		must.StrContains(t, text, "not compared")
		text, _ = run(t, "", append([]string{"check", "--json"}, args...)...)
		must.StrContains(t, text, `"compared": false`)
	}
	file := write(t, "same", checkDocument)
	text, _ := run(t, "", "check", "--json", file, "--against", file)
	must.StrContains(t, text, `"compared": true`)
}

// TestCheckStandardInput guards against an input that is not read from a pipe.
func TestCheckStandardInput(t *testing.T) {
	in, err := os.Open(write(t, "in.json", checkDocument))
	must.NoError(t, err)
	defer in.Close()
	c := &checkCommand{File: standardInput, Format: formatAuto, stdin: in}
	out, err := c.check(t.Context(), &Globals{})
	must.NoError(t, err)
	must.Eq(t, formatPlatform, out.Format)
	must.SliceEmpty(t, out.Findings)
}
