// Package telemetry brings traces and metrics of a process to those who
// collect them.
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

// TracesSection is the section of the settings that belongs to traces.
const TracesSection = "traces"

// Exporter is where spans go.
type Exporter string

// Exporters.
const (
	ExportNone   Exporter = "none"
	ExportStdout Exporter = "stdout"
	ExportOTLP   Exporter = "otlp"
)

// Check checks the name.
func (e Exporter) Check() error {
	switch e {
	case ExportNone, ExportStdout, ExportOTLP:
		return nil
	}
	return fmt.Errorf("want \"none\", \"stdout\" or \"otlp\", have %q", e)
}

// Ratio is a share between 0 and 1.
type Ratio float64

// Check checks the range.
func (r Ratio) Check() error {
	if r < 0 || r > 1 {
		return fmt.Errorf("want a share between 0 and 1, have %v", float64(r))
	}
	return nil
}

// TraceSettings are the settings of traces.
type TraceSettings struct {
	Exporter Exporter `toml:"exporter"`
	// Endpoint is the URL of an OTLP collector over HTTP.
	Endpoint settings.URL `toml:"endpoint"`
	// Ratio is the share of requests that are traced when the caller has not
	// decided.
	Ratio Ratio `toml:"ratio"`
}

// LoadTraces reads the settings of traces.
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

// Provider makes tracers and takes their spans to the exporter.
type Provider struct {
	trace.TracerProvider
	shutdown func(context.Context) error
}

// Shutdown sends the spans that wait.
func (p *Provider) Shutdown(ctx context.Context) error { return p.shutdown(ctx) }

// NewProvider returns the provider of a process on the named VM. The stdout
// exporter writes to out.
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
