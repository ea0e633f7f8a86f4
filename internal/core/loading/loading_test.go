package loading_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/loading"
)

func TestPlan(t *testing.T) {
	old := loading.Model{Name: "copydesk", Version: "1"}
	now := loading.Model{Name: "copydesk", Version: "2"}
	tuned := loading.Model{Name: "copydesk", Version: "2", Adapters: []string{"shelf"}}
	unversioned := loading.Model{Name: "copydesk"}
	cases := map[string]struct {
		wanted, loaded []loading.Model
		want           loading.Action
		ok             bool
	}{
		"all loaded":               {[]loading.Model{now}, []loading.Model{now}, loading.Action{}, false},
		"engine reports no models": {[]loading.Model{now}, nil, loading.Action{}, false},
		"model missing":            {[]loading.Model{now}, []loading.Model{{Name: "design"}}, loading.Action{Model: "copydesk", Version: "2"}, true},
		"old version":              {[]loading.Model{now}, []loading.Model{old}, loading.Action{Model: "copydesk", Version: "2"}, true},
		"any version wanted":       {[]loading.Model{unversioned}, []loading.Model{old}, loading.Action{}, false},
		"adapter missing":          {[]loading.Model{tuned}, []loading.Model{now}, loading.Action{Model: "copydesk", Version: "2", Adapter: "shelf"}, true},
		"model before its adapter": {[]loading.Model{tuned}, []loading.Model{old}, loading.Action{Model: "copydesk", Version: "2"}, true},
		"more loaded than wanted":  {[]loading.Model{now}, []loading.Model{tuned}, loading.Action{}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := loading.Plan(c.wanted, c.loaded)
			must.Eq(t, c.ok, ok)
			must.Eq(t, c.want, got)
		})
	}
}
