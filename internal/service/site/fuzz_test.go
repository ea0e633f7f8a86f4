package site

import (
	"testing"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/core/sitestate"
)

// FuzzUpdate applies arbitrary bytes as an update of another router. A state that took
// it must still give its targets, its configuration and updates of its own.
func FuzzUpdate(f *testing.F) {
	update := &sitestate.Update{
		Config: []sitestate.Record[sitestate.Config]{{Key: sitestate.ConfigKey, Value: sitestate.Config{Content: &routing.Config{
			Version: 3, Routes: []routing.Route{{Host: "a", Prefix: "/x/"}}, Services: []routing.Service{{Name: "svc"}},
		}}}},
		Targets: []sitestate.Record[sitestate.Target]{{Key: "t", Offset: 1, Value: sitestate.Target{Service: "svc", Usable: true}}},
		End:     sitestate.Positions{Operator: 1, Targets: 2, Era: 1},
	}
	payload, err := encodeUpdate(update)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	f.Add([]byte{messageDeflate, 1, 2, 3})
	f.Add([]byte{messagePlain})
	f.Fuzz(func(_ *testing.T, payload []byte) {
		u, err := decodeUpdate(payload)
		if err != nil {
			return
		}
		now := time.Unix(1_700_000_000, 0)
		s := sitestate.New()
		s.Apply(now, u)
		s.Apply(now, u)
		s.Available(now, "svc")
		if table := s.Table(); table != nil {
			for i := range table.Config.Routes {
				table.Config.Routes[i].PickService(0.5)
			}
			table.Match("a", "/x/1")
		}
		if _, err := encodeUpdate(s.Since(now, sitestate.Positions{})); err != nil {
			panic(err)
		}
	})
}
