package adminapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/admin"
	"github.com/zinniafork/zinniafork/internal/service/adminapi"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/standin/logd"
	"github.com/zinniafork/zinniafork/internal/standin/vmlistd"
)

const bootstrapKey = "first-key"

// rig is one router of site gent on a stand-in platform.
type rig struct {
	t    *testing.T
	ctx  context.Context
	log  *logd.Server
	base string
	// cutLog takes the log away for good.
	cutLog func()
	// caller is the base URL of the caller interface.
	caller string

	contract *contract
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newRig(t *testing.T) *rig { return newRigWith(t, "requests_per_second = 1000.0\nburst = 1000\n") }

// newRigWith starts a router with more settings of the administration API.
func newRigWith(t *testing.T, adminSettings string) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{t: t, ctx: ctx, log: logd.New(), contract: newContract(t)}
	logServer := httptest.NewServer(r.log.Handler())
	r.cutLog = func() {
		_ = logServer.Listener.Close()
		logServer.CloseClientConnections()
	}
	list := vmlistd.New()
	listServer := httptest.NewServer(list.Handler())
	file, err := settings.Parse("test", fmt.Appendf(nil, `
[vm]
name = "gent-vm1"
data_centre = "gent-dc1"
site = "gent"
[platform]
log_url = %q
vm_list_url = %q
[admin]
bootstrap_key_hash = %q
%s
`, logServer.URL, listServer.URL, hashOf(bootstrapKey), adminSettings))
	must.NoError(t, err)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	k, err := app.NewRouter(kernel.Env{Log: quiet}, file)
	must.NoError(t, err)
	must.NoError(t, k.Start(ctx))
	t.Cleanup(func() {
		_ = k.Stop(ctx)
		cancel()
		logServer.CloseClientConnections()
		logServer.Close()
		listServer.Close()
	})
	api, err := kernel.Find[*adminapi.Service](k, adminapi.Name)
	must.NoError(t, err)
	r.base = api.URL()
	callers, err := kernel.Find[*callerapi.Service](k, callerapi.Name)
	must.NoError(t, err)
	r.caller = callers.URL()
	return r
}

// startError returns the error of a router with wrong settings.
func startError(t *testing.T, adminSettings string) error {
	t.Helper()
	file, err := settings.Parse("test", []byte(`
[vm]
name = "gent-vm1"
data_centre = "gent-dc1"
site = "gent"
[platform]
log_url = "http://127.0.0.1:1"
vm_list_url = "http://127.0.0.1:1"
[admin]
`+adminSettings))
	must.NoError(t, err)
	_, err = app.NewRouter(kernel.Env{}, file)
	return err
}

func (r *rig) client(key string) *admin.Client {
	return admin.NewClient(r.base, key, &http.Client{Transport: r.contract})
}

// as returns the client of a sample operator.
func (r *rig) as(name string) *admin.Client { return r.client("sample-" + name) }

func sample(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../../samples/" + name)
	must.NoError(t, err)
	return string(data)
}

// install publishes the samples as the first versions.
func (r *rig) install() {
	r.t.Helper()
	r.eventually(func() error {
		return r.client(bootstrapKey).Post(r.ctx, admin.PathPublish, admin.PublishRequest{
			Scope: configstate.Base, Text: sample(r.t, "base.toml"),
		}, new(admin.Published))
	})
	for _, site := range []fleet.Site{"trinidad", "gent"} {
		req := admin.PublishRequest{Scope: configstate.Overlay(site), Text: sample(r.t, "overlay-"+string(site)+".toml")}
		r.eventually(func() error {
			return r.as("consortium-admin").Post(r.ctx, admin.PathPublish, req, new(admin.Published))
		})
	}
	r.eventually(func() error {
		var out admin.Status
		if err := r.as("gent-viewer").Get(r.ctx, admin.PathStatus, nil, &out); err != nil {
			return err
		}
		if len(out.DataCentres) != 3 {
			return fmt.Errorf("%d data centres", len(out.DataCentres))
		}
		return nil
	})
}

// eventually repeats f until it succeeds.
func (r *rig) eventually(f func() error) {
	r.t.Helper()
	var err error
	for range 500 {
		if err = f(); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	must.NoError(r.t, err)
}

// failure returns the refusal of a call.
func failure(t *testing.T, err error) *admin.Error {
	t.Helper()
	var e *admin.Error
	must.True(t, asAdmin(err, &e), must.Sprint(err))
	return e
}
