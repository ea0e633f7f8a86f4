// Package report writes a comparison of policies as one self-contained HTML
// page with plots, and its figures as CSV.
package report

import (
	_ "embed" // carries the page's template
	"encoding/csv"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/compare"
	"github.com/zinniafork/zinniafork/internal/lab/history"
	"github.com/zinniafork/zinniafork/internal/lab/scenario"
	"github.com/zinniafork/zinniafork/internal/lab/series"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Report is what a page shows.
type Report struct {
	Scenario string
	Site     string
	Seeds    []uint64
	Rows     []compare.Row
	// Runs are the runs of one seed, one for each policy, shown over time.
	Runs []*scenario.Outcome
	Made time.Time
}

// page is what the template is given.
type page struct {
	*Report
	Charts []template.HTML
	Events []event
	Bound  float64
	Budget float64
}

type event struct {
	At   string
	Text string
}

// measure is one of the four measures over time.
type measure struct {
	name  string
	title string
	unit  string
	of    func(series.Set) []series.Point
}

func measures() []measure {
	return []measure{
		{"reuse", "Cache reuse", "share of prompt tokens", func(s series.Set) []series.Point { return s.Reuse }},
		{"skew", "Load skew", "largest load / mean", func(s series.Set) []series.Point { return s.Skew }},
		{"control", "Control traffic of the busiest router", "bytes a second", func(s series.Set) []series.Point { return s.Control }},
		{"service", "Service", "completed once and in time", func(s series.Set) []series.Point { return s.Service }},
	}
}

// HTML writes the page.
func (r *Report) HTML(out io.Writer) error {
	p := page{Report: r, Bound: scenario.Bound, Budget: scenario.ControlBudget}
	var markers []marker
	if len(r.Runs) > 0 {
		markers = marks(r.Runs[0].History)
		p.Events = events(r.Runs[0].History)
	}
	for _, m := range measures() {
		var curves []curve
		for _, run := range r.Runs {
			curves = append(curves, curve{name: policyName(run.Result.Policy), points: m.of(series.Of(run.History))})
		}
		svg, err := chart(m.title, m.unit, curves, markers)
		if err != nil {
			return err
		}
		p.Charts = append(p.Charts, svg)
	}
	if err := pageTemplate.Execute(out, p); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// CSV writes the measures over time: one line for each policy, measure and
// second.
func (r *Report) CSV(out io.Writer) error {
	w := csv.NewWriter(out)
	rows := [][]string{{"policy", "measure", "second", "value"}}
	for _, run := range r.Runs {
		set := series.Of(run.History)
		for _, m := range measures() {
			for _, pt := range m.of(set) {
				rows = append(rows, []string{
					policyName(run.Result.Policy), m.name,
					strconv.FormatFloat(pt.At.Seconds(), 'f', 0, 64),
					strconv.FormatFloat(pt.Value, 'g', 6, 64),
				})
			}
		}
	}
	if err := w.WriteAll(rows); err != nil {
		return fmt.Errorf("write CSV: %w", err)
	}
	return nil
}

func policyName(policy string) string {
	if policy == "" {
		return "default"
	}
	return policy
}

// marks shows when drain marks came and went.
func marks(h *history.History) []marker {
	var out []marker
	for _, m := range h.Marks {
		what := string(m.DataCentre) + string(m.VM) + string(m.Target)
		out = append(out, marker{at: m.Accepted.Sub(h.Start), text: what + " leaves"})
		if !m.Lifted.IsZero() {
			out = append(out, marker{at: m.Lifted.Sub(h.Start), text: what + " returns"})
		}
	}
	return out
}

func events(h *history.History) []event {
	sorted := slices.Clone(h.Events)
	slices.SortStableFunc(sorted, func(a, b history.Event) int { return a.At.Compare(b.At) })
	var out []event
	for _, e := range sorted {
		out = append(out, event{At: fmt.Sprintf("%.1f s", e.At.Sub(h.Start).Seconds()), Text: e.Text})
	}
	return out
}
