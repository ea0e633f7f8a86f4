package adminapi_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// TestEmergencyDrain takes a data centre out while the log is away, within the
// same rules as a version, and brings it back.
func TestEmergencyDrain(t *testing.T) {
	r := newRig(t)
	r.install()
	c := r.as("gent-operator")
	post := func(as string, in admin.EmergencyRequest) (*admin.Emergency, error) {
		out := new(admin.Emergency)
		return out, r.as(as).Post(r.ctx, admin.PathEmergency, in, out)
	}
	dc := func(n int) admin.EmergencyRequest {
		return admin.EmergencyRequest{Kind: "data-centre", Name: fmt.Sprintf("gent-dc%d", n)}
	}
	drained := func(want int) {
		t.Helper()
		r.eventually(func() error {
			var out admin.Targets
			must.NoError(t, c.Get(r.ctx, admin.PathTargets, nil, &out))
			n := 0
			for _, target := range out.Targets {
				if target.Mark == fleet.MarkDrain {
					n++
				}
			}
			if n != want {
				return fmt.Errorf("%d targets are drained, want %d", n, want)
			}
			return nil
		})
	}
	_, err := post("gent-operator", dc(2))
	must.StrContains(t, failure(t, err).Message, "the log can be read")
	r.cutLog()
	for _, stranger := range []string{"gent-viewer", "trinidad-operator"} {
		_, err = post(stranger, dc(2))
		must.Eq(t, admin.CodeForbidden, failure(t, err).Code)
	}
	long := dc(2)
	long.For = config.Duration(100 * time.Hour)
	_, err = post("gent-operator", long)
	must.Eq(t, admin.CodeBadRequest, failure(t, err).Code)

	dry := dc(2)
	dry.DryRun = true
	out, err := post("gent-operator", dry)
	must.NoError(t, err)
	must.Eq(t, 72, out.Capacity[0].InService)
	drained(0)
	out, err = post("gent-operator", dc(2))
	must.NoError(t, err)
	must.Len(t, 4, out.Affected.Targets)
	drained(4)
	_, err = post("gent-operator", dc(1))
	must.NoError(t, err)
	_, err = post("gent-operator", dc(3))
	must.Eq(t, admin.CodeCapacity, failure(t, err).Code)
	var status admin.Status
	must.NoError(t, c.Get(r.ctx, admin.PathStatus, nil, &status))
	must.Len(t, 2, status.Emergencies)
	must.Eq(t, "gent-operator", status.Emergencies[0].Author)

	lift := dc(2)
	lift.Lift = true
	_, err = post("gent-operator", lift)
	must.NoError(t, err)
	drained(4)
}
