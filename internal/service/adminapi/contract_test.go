package adminapi_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/legacy"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// contract checks every call that tests make, and its answer, against the
// OpenAPI document.
type contract struct {
	t      *testing.T
	router routers.Router
	seen   map[string]bool
}

func newContract(t *testing.T) *contract {
	data, err := os.ReadFile("openapi.json")
	must.NoError(t, err)
	doc, err := openapi3.NewLoader().LoadFromData(data)
	must.NoError(t, err)
	router, err := legacy.NewRouter(doc)
	must.NoError(t, err)
	return &contract{t: t, router: router, seen: make(map[string]bool)}
}

// RoundTrip validates one call.
func (c *contract) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	restore := func() { r.Body = io.NopCloser(bytes.NewReader(body)) }
	restore()
	route, params, err := c.router.FindRoute(r)
	must.NoError(c.t, err)
	in := &openapi3filter.RequestValidationInput{
		Request: r, Route: route, PathParams: params,
		Options: &openapi3filter.Options{AuthenticationFunc: openapi3filter.NoopAuthenticationFunc},
	}
	must.NoError(c.t, openapi3filter.ValidateRequest(context.Background(), in))
	restore()
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(resp.Body)
	must.NoError(c.t, err)
	must.NoError(c.t, openapi3filter.ValidateResponse(context.Background(), &openapi3filter.ResponseValidationInput{
		RequestValidationInput: in, Status: resp.StatusCode, Header: resp.Header,
		Body: io.NopCloser(bytes.NewReader(answer)),
	}))
	if resp.StatusCode == http.StatusOK {
		c.seen[r.Method+" "+r.URL.Path] = true
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	return resp, nil
}

// TestEveryReadKeepsTheContract calls every read of the document that needs no
// other service.
func TestEveryReadKeepsTheContract(t *testing.T) {
	r := newRig(t)
	r.install()
	must.NoError(t, r.as("gent-operator").Post(r.ctx, admin.PathMark, admin.MarkRequest{
		Kind: "target", Name: "design-1", Mark: fleet.MarkDrain,
	}, new(admin.Published)))
	c := r.as("gent-viewer")
	version := uint64(1)
	reads := map[string]any{
		admin.PathWhoAmI:      nil,
		admin.PathConfig:      nil,
		admin.PathDocument:    admin.DocumentQuery{Scope: configstate.Overlay("gent")},
		admin.PathEffective:   admin.EffectiveQuery{Site: "trinidad", Version: &version},
		admin.PathHistory:     admin.HistoryQuery{Limit: 2},
		admin.PathDiff:        admin.DiffQuery{From: 1},
		admin.PathSpread:      nil,
		admin.PathPublication: admin.PublicationQuery{Nonce: "none"},
		admin.PathStatus:      nil,
		admin.PathTargets:     nil,
		admin.PathAccounts:    nil,
		admin.PathSites:       nil,
		admin.PathAudit:       nil,
	}
	for path, query := range reads {
		var out map[string]any
		must.NoError(t, c.Get(r.ctx, path, query, &out), must.Sprint(path))
		must.True(t, r.contract.seen["GET "+path], must.Sprint(path))
	}
}
