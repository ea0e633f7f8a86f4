package adminapi_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/explain"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// failingChat sends a chat that no target takes and returns its ID.
func (r *rig) failingChat() call.ID {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.caller+"/v1/chat/completions",
		strings.NewReader(`{"model":"design","messages":[{"role":"user","content":"hello"}]}`))
	must.NoError(r.t, err)
	req.Header.Set("Authorization", "Bearer sample-antwerpen")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(r.t, err)
	must.NoError(r.t, resp.Body.Close())
	must.Eq(r.t, http.StatusServiceUnavailable, resp.StatusCode)
	return call.ID(resp.Header.Get("X-Request-Id"))
}

func TestExplain(t *testing.T) {
	r := newRig(t)
	r.install()
	c := r.as("gent-viewer")
	var out explain.Answer
	must.NoError(t, c.Get(r.ctx, admin.PathExplain, explain.Question{Model: "design", Chat: "a", Account: "antwerpen"}, &out))
	must.Len(t, 9, out.Steps)
	again := out
	must.NoError(t, c.Get(r.ctx, admin.PathExplain, explain.Question{Model: "design", Chat: "a", Account: "antwerpen"}, &again))
	must.Eq(t, out.Steps[0].Target, again.Steps[0].Target)
	must.NoError(t, c.Get(r.ctx, admin.PathExplain, explain.Question{Model: "copydesk"}, &out))
	must.Eq(t, "no target serves this request", out.Reason)
	for _, bad := range []explain.Question{{}, {Model: "design", Service: "desk"}} {
		must.Eq(t, admin.CodeBadRequest, failure(t, c.Get(r.ctx, admin.PathExplain, bad, &out)).Code)
	}

	for _, dc := range []string{"gent-dc1", "gent-dc2", "gent-dc3"} {
		mark := admin.MarkRequest{Kind: "data-centre", Name: dc, Mark: fleet.MarkDrain, Force: true}
		must.NoError(t, r.as("gent-operator").Post(r.ctx, admin.PathMark, mark, new(admin.Published)))
	}
	r.eventually(func() error {
		must.NoError(t, c.Get(r.ctx, admin.PathExplain, explain.Question{Model: "design"}, &out))
		if len(out.Steps) > 0 {
			return errors.New("targets are not drained yet")
		}
		return nil
	})
	must.NoError(t, c.Get(r.ctx, admin.PathExplain, explain.Question{Request: r.failingChat()}, &out))
	must.Eq(t, call.RunNot, out.Failure.Run)
	must.Eq(t, "antwerpen", string(out.Failure.Account))
	must.StrContains(t, out.Reason, "no target")
	must.Eq(t, admin.CodeNotFound, failure(t, c.Get(r.ctx, admin.PathExplain, explain.Question{Request: "none"}, &out)).Code)
}
