package telemetry

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the Prometheus text exposition format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// namePrefix is the prefix of every exposed metric name.
const namePrefix = "zinniafork_"

// summaryQuantiles are the quantiles exposed for each summary.
var summaryQuantiles = []float64{0.5, 0.9, 0.95, 0.99, 1}

// sample is one sample line of a metric family.
type sample struct {
	suffix string
	labels string
	value  float64
}

// exposedFamily is a metric family in the form in which it is written, with its
// samples.
type exposedFamily struct {
	name    string
	help    string
	kind    string
	samples []sample
}

// WriteMetrics writes the metrics of a registry in the Prometheus text exposition
// format, sorted by name and labels. It returns the error of the first failed
// write.
func WriteMetrics(out io.Writer, r metrics.Registry) error {
	byName := make(map[string]*exposedFamily)
	r.Each(func(metric string, value any) {
		f, label := describe(metric)
		e := expose(f, label, value)
		if existing, ok := byName[e.name]; ok {
			existing.samples = append(existing.samples, e.samples...)
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

// write writes the family with its HELP and TYPE lines, or nothing if it has no
// samples.
func (e *exposedFamily) write(out io.Writer) error {
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

// expose converts a recorded metric to an exposed family. Counters and meters
// become counters, histograms and timers become summaries, and the rest become
// gauges. The result has no samples if the type of the metric is not supported.
func expose(f family, label string, value any) *exposedFamily {
	e := &exposedFamily{name: namePrefix + strings.ReplaceAll(f.name, ".", "_"), help: f.help, kind: "gauge"}
	labels := formatLabels(f.label, label)
	setSample := func(v float64) { e.samples = []sample{{labels: labels, value: v}} }
	switch m := value.(type) {
	case metrics.Counter:
		if !f.gauge {
			e.kind = "counter"
			e.name += "_total"
		}
		setSample(float64(m.Count()))
	case metrics.Gauge:
		setSample(float64(m.Value()))
	case metrics.GaugeFloat64:
		setSample(m.Value())
	case metrics.Meter:
		e.kind = "counter"
		e.name += "_total"
		setSample(float64(m.Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		e.summarize(f, label, s.Percentiles(summaryQuantiles), float64(s.Sum()), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		f.unit = nanoseconds
		e.summarize(f, label, s.Percentiles(summaryQuantiles), float64(s.Sum()), s.Count())
	}
	return e
}

// summarize makes e a summary. The quantiles are in the order of
// summaryQuantiles; quantiles and sum are in the unit of f.
func (e *exposedFamily) summarize(f family, label string, quantiles []float64, sum float64, count int64) {
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
	for i, q := range summaryQuantiles {
		labels := formatLabels(f.label, label, "quantile", strconv.FormatFloat(q, 'g', -1, 64))
		e.samples = append(e.samples, sample{labels: labels, value: quantiles[i] * scale})
	}
	baseLabels := formatLabels(f.label, label)
	e.samples = append(e.samples,
		sample{suffix: "_sum", labels: baseLabels, value: sum * scale},
		sample{suffix: "_count", labels: baseLabels, value: float64(count)})
}

// formatLabels formats alternating label names and values as a label set. It
// leaves out pairs with an empty name or value and returns an empty string if no
// pair remains.
func formatLabels(pairs ...string) string {
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
