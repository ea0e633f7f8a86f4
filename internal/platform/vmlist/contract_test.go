package vmlist_test

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/kernel/kerneltest"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/standin/standintest"
	"github.com/zinniafork/zinniafork/internal/standin/vmlistd"
)

func row(vm fleet.VM, state fleet.VMState) fleet.VMInfo {
	return fleet.VMInfo{
		VM:         vm,
		DataCentre: "pos-1",
		Site:       "trinidad",
		State:      state,
		PeerAddr:   "10.0.0.1:7002",
		CallerAddr: "10.0.0.1:7001",
		AdminAddr:  "10.0.0.1:7003",
	}
}

func TestListShowsLiveAndLeaving(t *testing.T) {
	s := vmlistd.New()
	served := standintest.Serve(t, kernel.SystemNetwork{}, s.Handler())
	client := vmlist.New(served.URL, served.Client)
	s.Put(row("b", fleet.VMLeaving))
	s.Put(row("a", fleet.VMLive))
	list, err := client.Fetch(t.Context())
	must.NoError(t, err)
	must.Eq(t, []fleet.VMInfo{row("a", fleet.VMLive), row("b", fleet.VMLeaving)}, list.VMs)
}

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := vmlistd.NewWith(vmlistd.Options{Lag: 3 * time.Second})
		served := standintest.Serve(t, kerneltest.NewNetwork(), s.Handler())
		client := vmlist.New(served.URL, served.Client)
		s.Put(row("a", fleet.VMLive))
		time.Sleep(2 * time.Second)
		list, err := client.Fetch(t.Context())
		must.NoError(t, err)
		must.Eq(t, 0, len(list.VMs))
		s.Remove("a")
		time.Sleep(2 * time.Second)
		list, err = client.Fetch(t.Context())
		must.NoError(t, err)
		must.Eq(t, 1, len(list.VMs))
		time.Sleep(2 * time.Second)
		list, err = client.Fetch(t.Context())
		must.NoError(t, err)
		must.Eq(t, 0, len(list.VMs))
	})
}

func TestFaultsOfTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := vmlistd.New()
		served := standintest.Serve(t, kerneltest.NewNetwork(), s.Handler())
		client := vmlist.New(served.URL, served.Client)
		_, err := client.Fetch(t.Context())
		must.NoError(t, err)
		for _, plan := range []fault.Plan{{Outage: true}, {Refuse: 1}, {LoseAnswers: 1}} {
			served.Set(plan)
			_, err = client.Fetch(t.Context())
			must.Error(t, err)
		}
		served.Set(fault.Plan{})
		_, err = client.Fetch(t.Context())
		must.NoError(t, err)
		synctest.Wait()
		served.SilenceOpen()
		_, err = client.Fetch(t.Context())
		must.Error(t, err, must.Sprint("a silent connection is given up"))
		_, err = client.Fetch(t.Context())
		must.NoError(t, err)
	})
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	s := vmlistd.New()
	bodies := 0
	served := standintest.Serve(t, kernel.SystemNetwork{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		s.Handler().ServeHTTP(recorded, r)
		if recorded.Body.Len() > 0 {
			bodies++
		}
		maps.Copy(w.Header(), recorded.Header())
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(recorded.Body.Bytes())
	}))
	client := vmlist.New(served.URL, served.Client)
	for i, state := range []fleet.VMState{fleet.VMLive, fleet.VMLive, fleet.VMLeaving, fleet.VMLeaving} {
		s.Put(row("a", state))
		list, err := client.Fetch(t.Context())
		must.NoError(t, err)
		must.Eq(t, []fleet.VMInfo{row("a", state)}, list.VMs)
		must.Eq(t, 1+i/2, bodies)
	}
}
