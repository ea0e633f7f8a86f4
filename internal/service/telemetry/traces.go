// Package telemetry exports the traces and metrics of a router process.
//
// Metrics are served over HTTP in the Prometheus text exposition format. Traces
// go to standard output or, over OTLP/HTTP, to a collector.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/zinniafork/zinniafork/internal/settings"
)

// TracesSection is the section of the settings file that configures tracing.
const TracesSection = "traces"

// Exporter names the destination of spans.
type Exporter string

// Destinations of spans.
const (
	// ExportNone disables tracing.
	ExportNone Exporter = "none"
	// ExportStdout writes spans to the standard output.
	ExportStdout Exporter = "stdout"
	// ExportOTLP sends spans to an OTLP collector over HTTP.
	ExportOTLP Exporter = "otlp"
)

// Check returns an error if the exporter is unknown.
func (e Exporter) Check() error {
	switch e {
	case ExportNone, ExportStdout, ExportOTLP:
		return nil
	}
	return fmt.Errorf("want \"none\", \"stdout\" or \"otlp\", have %q", e)
}

// Ratio is a fraction from 0 to 1.
type Ratio float64

// Check returns an error if the ratio is out of range.
func (r Ratio) Check() error {
	if r < 0 || r > 1 {
		return fmt.Errorf("want a ratio between 0 and 1, have %v", float64(r))
	}
	return nil
}

// TraceSettings are the settings of tracing.
type TraceSettings struct {
	// Exporter is the destination of spans.
	Exporter Exporter `toml:"exporter"`
	// Endpoint is the base URL of the OTLP collector; ExportOTLP requires it.
	Endpoint settings.URL `toml:"endpoint"`
	// Ratio is the fraction of requests to trace among those that arrive without
	// a sampling decision of the caller.
	Ratio Ratio `toml:"ratio"`
}

// LoadTraces reads the settings of tracing from the file. By default there is no
// exporter and every request is sampled.
func LoadTraces(file *settings.File) (TraceSettings, error) {
	s := TraceSettings{Exporter: ExportNone, Ratio: 1}
	if err := file.Section(TracesSection, &s); err != nil {
		return s, err
	}
	if s.Exporter == ExportOTLP && s.Endpoint == "" {
		return s, file.Missing(TracesSection, "endpoint", "want the URL of the collector, such as \"http://10.0.0.9:4318\", have none")
	}
	return s, nil
}

// Provider is a tracer provider that passes finished spans to an exporter.
type Provider struct {
	trace.TracerProvider
	shutdown func(context.Context) error
}

// Shutdown exports the spans that are still buffered and stops the exporter.
func (p *Provider) Shutdown(ctx context.Context) error { return p.shutdown(ctx) }

// NewProvider returns the tracer provider of a router process on the named VM.
// The stdout exporter writes to out. With ExportNone nothing is traced.
func NewProvider(ctx context.Context, s TraceSettings, vm string, out io.Writer) (*Provider, error) {
	exporter, err := newExporter(ctx, s, out)
	if err != nil {
		return nil, fmt.Errorf("traces: %w", err)
	}
	if exporter == nil {
		return &Provider{
			TracerProvider: noop.NewTracerProvider(),
			shutdown:       func(context.Context) error { return nil },
		}, nil
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(float64(s.Ratio)))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "zf-router"),
			attribute.String("service.instance.id", vm),
		)),
	)
	return &Provider{TracerProvider: provider, shutdown: provider.Shutdown}, nil
}

// newExporter returns the configured span exporter, or nil if there is none.
func newExporter(ctx context.Context, s TraceSettings, out io.Writer) (sdk.SpanExporter, error) {
	switch s.Exporter {
	case ExportStdout:
		return stdouttrace.New(stdouttrace.WithWriter(out))
	case ExportOTLP:
		endpoint, err := url.JoinPath(string(s.Endpoint), "/v1/traces")
		if err != nil {
			return nil, err
		}
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	default:
		return nil, nil
	}
}
