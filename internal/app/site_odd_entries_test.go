package app

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/standin/workerd"
)

// oddEntries are entries that another writer may leave among those of the workers.
func oddEntries() map[string]string {
	entry := func(change string) string {
		fields := map[string]string{
			"Service": `"plain"`, "Addr": `"10.1.0.p9:80"`, "Zone": `"dc1"`, "Slots": "6", "State": `"ready"`, "Seq": "1", "born": "1",
			"Version": `"v1"`, "ColdLeftMs": "0",
		}
		name, value, _ := strings.Cut(change, "=")
		fields[name] = value
		var out []string
		for name, value := range fields {
			out = append(out, fmt.Sprintf("%q:%s", name, value))
		}
		return "{" + strings.Join(out, ",") + "}"
	}
	deep := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	return map[string]string{
		"deep":            deep(100_000),
		"very deep field": entry("More=" + deep(100_000)),
		"deep address":    entry("Addr=" + deep(5_000)),
		"large slots":     entry("Slots=1e300"),
		"larger slots":    entry("Slots=99999999999999999999"),
		"most slots":      entry("Slots=9223372036854775807"),
		"no slots":        entry("Slots=-1"),
		"large cold":      entry("ColdLeftMs=1e300"),
		"cold":            entry("ColdLeftMs=-1e300"),
		"larger cold":     entry("ColdLeftMs=1e999"),
		"large born":      entry("born=1e30"),
		"large seq":       entry("Seq=1e30"),
		"port":            entry(`Addr="10.1.0.9:99999"`),
		"negative port":   entry(`Addr="10.1.0.9:-1"`),
		"port zero":       entry(`Addr="10.1.0.9:0"`),
		"no port":         entry(`Addr="10.1.0.9"`),
		"named port":      entry(`Addr="10.1.0.9:http"`),
		"no address":      entry(`Addr=""`),
		"version":         entry(`Version="` + strings.Repeat("v", 200_000) + `"`),
		"zone":            entry(`Zone="` + strings.Repeat("z", 200_000) + `"`),
		"bytes":           "\xff\xfe\x00",
		"text":            "{",
		"null":            "null",
		"number":          "1e999",
	}
}

// TestOddEntriesNameNoTarget leaves odd entries among those of the workers, one at a time
// and then all of them. Routers must go on, follow the list, and send nothing there.
func TestOddEntriesNameNoTarget(t *testing.T) {
	onSite(t, func(t *testing.T, b *siteBed) {
		n := 0
		for name, value := range oddEntries() {
			n++
			b.store.Put("keyed.servers", "odd-"+name, []byte(value))
			id := fmt.Sprintf("n%d", n)
			b.worker(id, "plain", workerd.Options{Slots: 6, Work: 30 * time.Millisecond})
			b.wait(1500 * time.Millisecond)
			for _, router := range []string{"1", "2", "3"} {
				for range 3 {
					must.Eq(t, 200, b.call(router, "order").status, must.Sprint(name, ": router ", router))
				}
			}
			b.store.Put("keyed.servers", id, nil)
		}
		b.stop("3")
		b.router("3")
		b.publish(2, "plain")
		b.wait(3 * time.Second)
		answered, sent := b.served(3*time.Second, "1", "2", "3")
		for router := range sent {
			must.Eq(t, sent[router], answered[router], must.Sprint("all: router ", router))
			must.Eq(t, 0, b.lines.of(router, "Target ejected after failures."), must.Sprint("all: router ", router))
		}
	})
}
