package zfctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// TestLostRouterIsNoRefusedChange loses the router that a change was sent to. The change may have
// been carried out, and is not sent to another router.
func TestLostRouterIsNoRefusedChange(t *testing.T) {
	var calls atomic.Int64
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer cut.Close()
	done := api(t, map[string]any{
		admin.PathRollback: admin.Published{}, admin.PathMark: admin.Published{},
		admin.PathEmergency: admin.Emergency{}, admin.PathSettle: admin.Settled{},
	})
	for _, c := range []struct {
		args []string
		code int
		next string
	}{
		{[]string{"publish", "base", write(t, "base.toml", ""), "--no-wait"}, ExitPending, "zfctl outcome"},
		{[]string{"rollback", "7", "--no-wait"}, ExitPending, "zfctl history"},
		{[]string{"drain", "vm", "vm-1", "--no-wait"}, ExitPending, "zfctl history"},
		{[]string{"return", "vm", "vm-1", "--no-wait"}, ExitPending, "zfctl history"},
		{[]string{"drain", "vm", "vm-1", "--emergency"}, ExitPending, "zfctl status"},
		{[]string{"orders", "settle", "k", "ran"}, ExitPending, "run the command again"},
		{[]string{"rollback", "7", "--dry-run"}, cli.ExitError, ""},
		{[]string{"drain", "vm", "vm-1", "--dry-run"}, cli.ExitError, ""},
	} {
		calls.Store(0)
		_, err := run(t, cut.URL+","+done, c.args...)
		must.Eq(t, c.code, exitCode(err), must.Sprint(c.args, " ", err))
		must.ErrorContains(t, err, c.next)
		must.Eq(t, int64(1), calls.Load())
		_, err = run(t, "http://127.0.0.1:1", c.args...)
		must.Eq(t, cli.ExitError, exitCode(err), must.Sprint("nothing was sent: ", c.args))
	}
}

// TestLostRouterIsNoFailedPublication loses the router that has accepted a change, while its
// spread is waited for. The change stays accepted.
func TestLostRouterIsNoFailedPublication(t *testing.T) {
	accepted := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != admin.PathPublish {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(admin.Published{Version: configstate.Entry{Version: configstate.Version{Offset: 7, Hash: "h"}}})
	}))
	defer accepted.Close()
	_, err := run(t, accepted.URL, "publish", "base", write(t, "base.toml", ""))
	must.Eq(t, ExitPending, exitCode(err), must.Sprint(err))
	must.ErrorContains(t, err, "version 7 is accepted")
}
