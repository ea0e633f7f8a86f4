package config

import (
	"errors"
	"os"
	"testing"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// FuzzCheck gives operators' texts to everything that reads them: no text may
// stop a router, and a text that is valid can be marked, shown and compared.
func FuzzCheck(f *testing.F) {
	f.Add(testBase, "[[targets]]\nname = \"engine-1\"\nmark = \"drain\"")
	f.Add("a.b.c = [{x = 1}, {y = [1, 2]}]\n[[a.d]]\n[a.d.e]", "[[x]]\n[[x.y]]\n\"\" = 1")
	for _, name := range []string{"base.toml", "overlay-gent.toml"} {
		if data, err := os.ReadFile("../../samples/" + name); err == nil {
			f.Add(testBase, string(data))
			f.Add(string(data), "")
		}
	}
	f.Fuzz(func(t *testing.T, base, overlay string) {
		all := docs(base, overlay)
		_ = HideKeys(base)
		err := Check(all, "")
		var problems Problems
		if err != nil {
			if !errors.As(err, &problems) || len(problems) == 0 {
				t.Fatalf("want problems, have %v", err)
			}
			return
		}
		m, err := Merge("gent", DocumentsOf("gent", all, ""))
		if err != nil {
			t.Fatal(err)
		}
		m.Values()
		Compare(nil, m.Config)
		marked, err := SetMark(Document{Text: []byte(overlay)}, MarkVM, "vm-1", fleet.MarkDrain)
		if err != nil {
			return
		}
		e, err := Effect("gent", configstate.Version{}, docs(base, marked))
		if err != nil || !e.VMDrained("vm-1", "dc1") {
			t.Fatalf("mark did not hold: %v\n%s", err, marked)
		}
	})
}
