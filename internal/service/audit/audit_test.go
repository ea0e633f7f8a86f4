package audit_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/audit"
	"github.com/zinniafork/zinniafork/internal/service/servicetest"
)

// TestEntriesSurviveLogFaults guards against lost and duplicate entries when the
// log loses responses to appends or is unavailable for a time: every entry is
// read once, newest first.
func TestEntriesSurviveLogFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client := servicetest.NewLogClient(servicetest.NewLog(), servicetest.LogFaults{})
		k := servicetest.NewKernel(t, client, servicetest.NewIdentity("dc1a"))
		must.NoError(t, k.Provision(audit.Name))
		must.NoError(t, k.Start(ctx))
		s, err := kernel.Find[*audit.Service](k, audit.Name)
		must.NoError(t, err)

		n := 0
		for _, faults := range []servicetest.LogFaults{{}, {LoseAnswers: 2}, {Down: true}, {}} {
			client.Set(faults)
			for range 100 {
				n++
				s.Record(audit.Entry{Operator: "ada", Action: "publish", Subject: fmt.Sprint(n)})
			}
			time.Sleep(10 * time.Second)
		}
		entries, err := s.Recent(ctx, 1000)
		must.NoError(t, err)
		must.Len(t, n, entries)
		for i, e := range entries {
			must.Eq(t, fmt.Sprint(n-i), e.Subject)
			must.Eq(t, "dc1a", string(e.VM))
		}
		entries, err = s.Recent(ctx, 5)
		must.NoError(t, err)
		must.Len(t, 5, entries)

		client.Set(servicetest.LogFaults{Down: true})
		_, err = s.Recent(ctx, 5)
		must.Error(t, err)
		s.Record(audit.Entry{Subject: "last"})
		client.Set(servicetest.LogFaults{})
		must.NoError(t, k.Drain(ctx))
		entries, err = s.Recent(ctx, 1)
		must.NoError(t, err)
		must.Eq(t, "last", entries[0].Subject)
	})
}
