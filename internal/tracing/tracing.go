// Package tracing carries the trace context of a request from hop to hop, in
// the form of the W3C traceparent header.
package tracing

import (
	"context"
	"strings"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const header = "traceparent"

var format propagation.TraceContext

// Parent returns the trace context of ctx, empty when it has none.
func Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	format.Inject(ctx, carrier)
	return carrier.Get(header)
}

// Continue returns ctx with the trace context that came from the hop before.
func Continue(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return format.Extract(ctx, propagation.MapCarrier{header: parent})
}

// Start begins a span below that of ctx, with the tracer of that one. Without
// one in ctx it begins none.
func Start(ctx context.Context, name string) (context.Context, trace.Span) {
	return trace.SpanFromContext(ctx).TracerProvider().Tracer("").Start(ctx, name)
}

// ID returns the trace's ID, empty when there is none.
func ID(parent string) string {
	parts := strings.Split(parent, "-")
	if len(parts) != 4 {
		return ""
	}
	return parts[1]
}
