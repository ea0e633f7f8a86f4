package zfctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
)

// run parses and runs one command line.
func run(t *testing.T, routers string, args ...string) (out string, err error) {
	t.Helper()
	t.Setenv("ZF_ROUTERS", routers)
	t.Setenv("ZF_KEY", "secret-key")
	var stdout, stderr bytes.Buffer
	c := &Command{}
	c.out, c.progress = &stdout, &stderr
	parser, err := kong.New(c, kong.Vars{"version": "test"}, kong.Exit(func(int) {}),
		kong.BindTo(t.Context(), (*context.Context)(nil)))
	must.NoError(t, err)
	k, err := parser.Parse(args)
	must.NoError(t, err)
	err = k.Run()
	must.StrNotContains(t, stdout.String()+stderr.String(), "secret-key")
	return stdout.String() + stderr.String(), err
}

func exitCode(err error) int {
	var coder cli.Coder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return cli.ExitError
}

// api answers each path with a status and a value.
func api(t *testing.T, answers map[string]any) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, ok := answers[r.URL.Path]
		if !ok {
			answer = &admin.Error{Code: admin.CodeNotFound, Message: "no such path"}
		}
		if e, failed := answer.(*admin.Error); failed {
			w.WriteHeader(http.StatusConflict)
			answer = e
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestValidate(t *testing.T) {
	base, gent := "../../samples/base.toml", "../../samples/overlay-gent.toml"
	out, err := run(t, "", "validate", base, "--overlay", "gent="+gent)
	must.NoError(t, err)
	must.StrContains(t, out, "valid")
	bad := write(t, "bad.toml", "[load]\nbound = 2.0\n")
	_, err = run(t, "", "validate", base, "--overlay", "gent="+bad)
	must.Eq(t, ExitRefused, exitCode(err))
	must.ErrorContains(t, err, bad+":2: load.bound: ")
}

// TestExitCodes maps the API's refusals to exit codes and next steps.
func TestExitCodes(t *testing.T) {
	cases := map[admin.Code]int{
		admin.CodeInvalid:   ExitRefused,
		admin.CodeStale:     ExitRefused,
		admin.CodeLost:      ExitRefused,
		admin.CodeForbidden: ExitRefused,
		admin.CodeUnknown:   ExitPending,
		admin.CodeInternal:  cli.ExitError,
	}
	file := write(t, "base.toml", "")
	for code, want := range cases {
		url := api(t, map[string]any{admin.PathPublish: &admin.Error{Code: code, Message: "refused", Next: "do this"}})
		_, err := run(t, url, "publish", "base", file)
		must.Eq(t, want, exitCode(err), must.Sprint(code))
		must.ErrorContains(t, err, "next: do this")
	}
}

func TestNoRouterAndNoKey(t *testing.T) {
	_, err := run(t, "", "status")
	must.ErrorContains(t, err, "set --router or ZF_ROUTERS")
	_, err = run(t, "", "publish", "base", write(t, "base.toml", ""))
	must.ErrorContains(t, err, "no router is named")
	must.StrNotContains(t, err.Error(), "may have been published")
	_, err = run(t, "http://127.0.0.1:1", "publish", "base", write(t, "base.toml", ""))
	must.ErrorContains(t, err, "name a router that runs")
	must.StrNotContains(t, err.Error(), "may have been published")
	_, err = run(t, "nonsense", "status")
	must.ErrorContains(t, err, "is not a URL")
	g := &Globals{Router: []string{"http://127.0.0.1:1"}}
	t.Setenv("ZF_KEY", "")
	_, err = g.connect()
	must.ErrorContains(t, err, "ZF_KEY_FILE")
}

// TestNextRouter goes on to the next router when one is gone, and does not
// send a change twice that may have arrived.
func TestNextRouter(t *testing.T) {
	good := api(t, map[string]any{admin.PathWhoAmI: admin.WhoAmI{Operator: "ada"}, admin.PathPublish: admin.Published{}})
	out, err := run(t, "http://127.0.0.1:1,"+good, "whoami")
	must.NoError(t, err)
	must.StrContains(t, out, "ada")

	var calls atomic.Int64
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer cut.Close()
	file := write(t, "base.toml", "")
	_, err = run(t, cut.URL+","+good, "publish", "base", file, "--no-wait")
	must.Eq(t, ExitPending, exitCode(err))
	must.ErrorContains(t, err, "zfctl outcome")
	must.Eq(t, int64(1), calls.Load())
	_, err = run(t, "http://127.0.0.1:1,"+good, "publish", "base", file, "--no-wait")
	must.NoError(t, err)
}

func TestProgress(t *testing.T) {
	v := configstate.Version{Offset: 7, Hash: "h"}
	router := func(vm fleet.VM, offset uint64) configsync.RouterStatus {
		return configsync.RouterStatus{VM: vm, InForce: configstate.Version{Offset: offset, Hash: "x"}}
	}
	site := func(offset uint64, age time.Duration, lagging ...fleet.VM) admin.SiteSpread {
		return admin.SiteSpread{
			Site: "trinidad", At: time.Now().Add(-age), Version: configstate.Version{Offset: offset}, Lagging: lagging,
		}
	}
	stuck := router("vm-2", 6)
	stuck.Problem = "load.bound"
	cases := []struct {
		name    string
		routers []configsync.RouterStatus
		sites   []admin.SiteSpread
		done    bool
		text    string
	}{
		{"all", []configsync.RouterStatus{router("vm-1", 7), router("vm-2", 8)}, nil, true, "2 of 2"},
		{"one lags", []configsync.RouterStatus{router("vm-1", 7), router("vm-2", 6)}, nil, false, "waiting for vm-2"},
		{"one cannot use it", []configsync.RouterStatus{stuck}, nil, false, "vm-2 (load.bound)"},
		{"other site lags", []configsync.RouterStatus{router("vm-1", 7)}, []admin.SiteSpread{site(6, 0)}, false, "version 6"},
		{"other site's router lags", []configsync.RouterStatus{router("vm-1", 7)}, []admin.SiteSpread{site(7, 0, "vm-9")}, false, "trinidad"},
		{"other site", []configsync.RouterStatus{router("vm-1", 7)}, []admin.SiteSpread{site(7, 0)}, true, "trinidad: all"},
		{"other site is gone", []configsync.RouterStatus{router("vm-1", 7)}, []admin.SiteSpread{site(2, time.Hour)}, true, "1 of 1"},
	}
	for _, c := range cases {
		s := &admin.Spread{Sites: c.sites}
		s.Site, s.Routers = "gent", c.routers
		done, text := progress(s, v)
		must.Eq(t, c.done, done, must.Sprint(c.name))
		must.StrContains(t, text, c.text, must.Sprint(c.name))
	}
}

func TestDifferences(t *testing.T) {
	a := map[string]string{"load.bound": "1.25", "members[x].weight": "1"}
	b := map[string]string{"load.bound": "1.5", "members[x].weight": "1", "accounts[y].weight": "2"}
	must.Eq(t, []ruleDifference{
		{Key: "accounts[y].weight", B: "2"}, {Key: "load.bound", A: "1.25", B: "1.5"},
	}, differences(a, b))
	must.SliceEmpty(t, differences(a, a))
}

func TestKeyNew(t *testing.T) {
	out, err := run(t, "", "key", "new", "--json")
	must.NoError(t, err)
	var k newKey
	must.NoError(t, json.NewDecoder(strings.NewReader(out)).Decode(&k))
	must.Eq(t, 64, len(k.Hash))
	must.Eq(t, 43, len(k.Key))
}

// TestSeenLine takes the line of get off again, and keeps the file's own line
// numbers in problems.
func TestSeenLine(t *testing.T) {
	rest, seen := splitSeen(seenPrefix + "41\n[load]\n")
	must.Eq(t, "[load]\n", rest)
	must.Eq(t, uint64(41), *seen)
	for _, text := range []string{"[load]\n", seenPrefix + "x\n[load]\n", ""} {
		rest, seen = splitSeen(text)
		must.Eq(t, text, rest)
		must.Nil(t, seen)
	}
	url := api(t, map[string]any{admin.PathPublish: &admin.Error{
		Code: admin.CodeInvalid, Message: "refused", Problems: []*config.Problem{{File: "base", Line: 1, Message: "bad"}},
	}})
	file := write(t, "base.toml", seenPrefix+"41\n[load]\n")
	_, err := run(t, url, "publish", "base", file)
	must.ErrorContains(t, err, file+":2: bad")
}
