package zfctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/core/usage"
)

// show prints v as JSON, or calls people to print it for people.
func (g *Globals) show(v any, people func()) error {
	if !g.JSON {
		people()
		return nil
	}
	e := json.NewEncoder(g.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (g *Globals) printf(format string, args ...any) { fmt.Fprintf(g.out, format, args...) }

// note tells a person how far a long command is.
func (g *Globals) note(format string, args ...any) {
	if !g.JSON {
		fmt.Fprintf(g.progress, format+"\n", args...)
	}
}

// table prints rows under a header.
func (g *Globals) table(header table.Row, rows []table.Row) {
	w := table.NewWriter()
	w.SetOutputMirror(g.out)
	w.SetStyle(table.StyleLight)
	w.Style().Options.SeparateColumns = true
	w.AppendHeader(header)
	w.AppendRows(rows)
	w.Render()
}

// versionText shows a version by offset and the first digits of its hash.
func versionText(v configstate.Version) string {
	if v.Hash == "" {
		return "none"
	}
	return fmt.Sprintf("%d (%s)", v.Offset, v.Hash[:min(len(v.Hash), 8)])
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Local().Format("2006-01-02 15:04:05")
}

func percent(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) }

// join lists names, at most limit of them.
func join[T ~string](names []T, limit int) string {
	parts := make([]string, 0, limit+1)
	for i, n := range names {
		if i == limit {
			parts = append(parts, fmt.Sprintf("and %d more", len(names)-limit))
			break
		}
		parts = append(parts, string(n))
	}
	return strings.Join(parts, ", ")
}

// changes prints the values that differ.
func (g *Globals) changes(all []config.Change, limit int) {
	rows := make([]table.Row, 0, len(all))
	for i, c := range all {
		if i == limit {
			rows = append(rows, table.Row{"", fmt.Sprintf("and %d more", len(all)-limit), "", ""})
			break
		}
		rows = append(rows, table.Row{c.Site, c.Key, dash(c.Before), dash(c.After)})
	}
	g.table(table.Row{"Site", "Value", "Before", "After"}, rows)
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// service shows the share of requests that were completed in time.
func service(c usage.Counts) string {
	if c.Requests == 0 {
		return "-"
	}
	return percent(c.InTimeRatio())
}

// firstByte shows the mean time to the first byte.
func firstByte(c usage.Counts) string {
	if c.Requests == 0 {
		return "-"
	}
	return (time.Duration(c.FirstByteMS/c.Requests) * time.Millisecond).String()
}
