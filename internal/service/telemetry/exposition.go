package telemetry

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// ContentType is that of the text exposition format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// namePrefix is in front of every name.
const namePrefix = "zinniafork_"

// shownQuantiles are the quantiles of summaries.
var shownQuantiles = []float64{0.5, 0.9, 0.95, 0.99, 1}

// sample is one line of a family.
type sample struct {
	suffix string
	labels string
	value  float64
}

// exposed is a family with its samples.
type exposed struct {
	name    string
	help    string
	kind    string
	samples []sample
}

// WriteMetrics writes the metrics of a registry in the text exposition format.
func WriteMetrics(out io.Writer, r metrics.Registry) error {
	byName := make(map[string]*exposed)
	r.Each(func(metric string, value any) {
		f, label := describe(metric)
		e := expose(f, label, value)
		if known, ok := byName[e.name]; ok {
			known.samples = append(known.samples, e.samples...)
			return
		}
		byName[e.name] = e
	})
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := byName[name].write(out); err != nil {
			return err
		}
	}
	return nil
}

func (e *exposed) write(out io.Writer) error {
	if len(e.samples) == 0 {
		return nil
	}
	slices.SortStableFunc(e.samples, func(a, b sample) int { return strings.Compare(a.labels, b.labels) })
	if _, err := fmt.Fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", e.name, e.help, e.name, e.kind); err != nil {
		return err
	}
	for _, s := range e.samples {
		if _, err := fmt.Fprintf(out, "%s%s%s %s\n", e.name, s.suffix, s.labels, strconv.FormatFloat(s.value, 'g', -1, 64)); err != nil {
			return err
		}
	}
	return nil
}

// expose turns a recorded metric into samples.
func expose(f family, label string, value any) *exposed {
	e := &exposed{name: namePrefix + strings.ReplaceAll(f.name, ".", "_"), help: f.help, kind: "gauge"}
	labels := labelsOf(f.label, label)
	one := func(v float64) { e.samples = []sample{{labels: labels, value: v}} }
	switch m := value.(type) {
	case metrics.Counter:
		if !f.gauge {
			e.kind = "counter"
			e.name += "_total"
		}
		one(float64(m.Count()))
	case metrics.Gauge:
		one(float64(m.Value()))
	case metrics.GaugeFloat64:
		one(m.Value())
	case metrics.Meter:
		e.kind = "counter"
		e.name += "_total"
		one(float64(m.Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		e.summarize(f, label, s.Percentiles(shownQuantiles), float64(s.Sum()), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		f.unit = nanoseconds
		e.summarize(f, label, s.Percentiles(shownQuantiles), float64(s.Sum()), s.Count())
	}
	return e
}

// summarize makes a summary of the family.
func (e *exposed) summarize(f family, label string, quantiles []float64, sum float64, count int64) {
	e.kind = "summary"
	scale := 1.0
	switch f.unit {
	case "":
	case nanoseconds:
		e.name += "_seconds"
		scale = 1e-9
	default:
		e.name += "_" + f.unit
	}
	for i, q := range shownQuantiles {
		labels := labelsOf(f.label, label, "quantile", strconv.FormatFloat(q, 'g', -1, 64))
		e.samples = append(e.samples, sample{labels: labels, value: quantiles[i] * scale})
	}
	plain := labelsOf(f.label, label)
	e.samples = append(e.samples,
		sample{suffix: "_sum", labels: plain, value: sum * scale},
		sample{suffix: "_count", labels: plain, value: float64(count)})
}

// labelsOf writes pairs of names and values; a pair without a name or a value
// is left out.
func labelsOf(pairs ...string) string {
	var parts []string
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i] != "" && pairs[i+1] != "" {
			parts = append(parts, fmt.Sprintf("%s=%q", pairs[i], pairs[i+1]))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}
