package reach_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/reach"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

func TestRelaysAreChosen(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	all := []reach.Relay{{VM: "a2", DataCentre: "a"}, {VM: "a3", DataCentre: "a"}, {VM: "b1", DataCentre: "b"}}
	r := reach.NewRelays(rand.New(rand.NewPCG(1, 2)))
	choose := func(exclude ...fleet.VM) fleet.VM {
		vm, _ := r.Choose(now, service, "a", all, exclude)
		return vm
	}
	for range 20 {
		must.SliceContains(t, []fleet.VM{"a2", "a3"}, choose(), must.Sprint("the own data centre first"))
	}
	must.Eq(t, "b1", choose("a2"), must.Sprint("another data centre after a failure in the own one"))
	must.Eq(t, "a3", choose("a2", "b1"))
	must.Eq(t, "", choose("a2", "a3", "b1"))
	r.Failed(now, "a2", service, false)
	r.Failed(now, "a3", service, true)
	must.Eq(t, "b1", choose())
	now = now.Add(3 * time.Second)
	r.Expire(now)
	must.Eq(t, "a2", choose(), must.Sprint("the pause has ended"))
	now = now.Add(time.Minute)
	must.SliceContains(t, []fleet.VM{"a2", "a3"}, choose())
	_, ok := r.Choose(now, service, "a", nil, nil)
	must.False(t, ok)
}
