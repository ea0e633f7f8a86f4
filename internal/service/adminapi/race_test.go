package adminapi_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// race runs n changes at once and returns their errors.
func race(n int, change func(i int) error) []error {
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = change(i)
		}()
	}
	wg.Wait()
	return errs
}

// TestRacingPublish lets four operators publish the same document on top of the
// same version: one is accepted, the others are told.
func TestRacingPublish(t *testing.T) {
	r := newRig(t)
	r.install()
	base := sample(t, "base.toml")
	for _, pinned := range []bool{true, false} {
		var info admin.ConfigInfo
		must.NoError(t, r.as("consortium-admin").Get(r.ctx, admin.PathConfig, nil, &info))
		parent := info.Newest.Version.Offset
		errs := race(4, func(i int) error {
			req := admin.PublishRequest{Scope: configstate.Base, Text: fmt.Sprintf("%s# %v %d\n", base, pinned, i), Seen: &parent}
			if pinned {
				req.Parent, req.Seen = &parent, nil
			}
			return r.as("consortium-admin").Post(r.ctx, admin.PathPublish, req, new(admin.Published))
		})
		accepted := 0
		for _, err := range errs {
			if err == nil {
				accepted++
				continue
			}
			must.SliceContains(t, []admin.Code{admin.CodeLost, admin.CodeStale}, failure(t, err).Code)
		}
		must.Eq(t, 1, accepted)
	}
}

// TestRacingMarks lets operators mark four targets at once: every mark holds,
// since each is set anew on top of the others.
func TestRacingMarks(t *testing.T) {
	r := newRig(t)
	r.install()
	errs := race(4, func(i int) error {
		req := admin.MarkRequest{Kind: "target", Name: fmt.Sprintf("design-%d", i+1), Mark: fleet.MarkDrain}
		return r.as("gent-operator").Post(r.ctx, admin.PathMark, req, new(admin.Published))
	})
	for _, err := range errs {
		must.NoError(t, err)
	}
	r.eventually(func() error {
		var out admin.Targets
		must.NoError(t, r.as("gent-viewer").Get(r.ctx, admin.PathTargets, nil, &out))
		drained := 0
		for _, target := range out.Targets {
			if target.Mark == fleet.MarkDrain {
				drained++
			}
		}
		if drained != 4 {
			return fmt.Errorf("%d targets are drained", drained)
		}
		return nil
	})
}

// TestSeen refuses a text that was taken from an older one of its document, and
// takes it when only other documents changed.
func TestSeen(t *testing.T) {
	r := newRig(t)
	r.install()
	c := r.as("consortium-admin")
	gent := configstate.Overlay("gent")
	var doc admin.Document
	must.NoError(t, c.Get(r.ctx, admin.PathDocument, admin.DocumentQuery{Scope: gent}, &doc))
	seen := doc.Version.Version.Offset
	publish := func(scope configstate.Scope, text string, seen *uint64) error {
		req := admin.PublishRequest{Scope: scope, Text: text, Seen: seen}
		return c.Post(r.ctx, admin.PathPublish, req, new(admin.Published))
	}
	must.NoError(t, publish(configstate.Base, sample(t, "base.toml")+"# other document\n", nil))
	must.NoError(t, publish(gent, doc.Text+"# first\n", &seen))
	e := failure(t, publish(gent, doc.Text+"# second\n", &seen))
	must.Eq(t, admin.CodeStale, e.Code)
	must.StrContains(t, e.Message, "site/gent has changed since version")
	unlisted := failure(t, publish(configstate.Overlay("aruba"), strings.Replace(doc.Text, `site = "gent"`, "", 1), nil))
	must.Eq(t, admin.CodeInvalid, unlisted.Code)
}
