package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/routecheck"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

func TestExposition(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("caller.running", r).Inc(3)
	metrics.GetOrRegisterCounter("caller.ended.ok", r).Inc(7)
	metrics.GetOrRegisterCounter("caller.ended.overloaded", r).Inc(2)
	metrics.GetOrRegisterGauge("config.in_force.offset", r).Update(41)
	h := metrics.GetOrRegisterHistogram("caller.total", r, metrics.NewUniformSample(10))
	for range 4 {
		h.Update(int64(250 * time.Millisecond))
	}
	var out bytes.Buffer
	must.NoError(t, WriteMetrics(&out, r))
	must.Eq(t, `# HELP zinniafork_caller_ended_total Completed requests of callers by result code.
# TYPE zinniafork_caller_ended_total counter
zinniafork_caller_ended_total{code="ok"} 7
zinniafork_caller_ended_total{code="overloaded"} 2
# HELP zinniafork_caller_running Requests of callers in progress.
# TYPE zinniafork_caller_running gauge
zinniafork_caller_running 3
# HELP zinniafork_caller_total_seconds Time from the arrival of a request to its end.
# TYPE zinniafork_caller_total_seconds summary
zinniafork_caller_total_seconds_sum 1
zinniafork_caller_total_seconds_count 4
zinniafork_caller_total_seconds{quantile="0.5"} 0.25
zinniafork_caller_total_seconds{quantile="0.9"} 0.25
zinniafork_caller_total_seconds{quantile="0.95"} 0.25
zinniafork_caller_total_seconds{quantile="0.99"} 0.25
zinniafork_caller_total_seconds{quantile="1"} 0.25
# HELP zinniafork_config_in_force_offset Log offset of the configuration in force.
# TYPE zinniafork_config_in_force_offset gauge
zinniafork_config_in_force_offset 41
`, out.String())
}

func TestSpansOfAllHopsShareATrace(t *testing.T) {
	var out bytes.Buffer
	p, err := NewProvider(t.Context(), TraceSettings{Exporter: ExportStdout, Ratio: 1}, "vm1", &out)
	must.NoError(t, err)
	ctx, caller := p.Tracer("").Start(t.Context(), "caller")
	parent := tracing.Parent(ctx)
	must.Eq(t, caller.SpanContext().TraceID().String(), tracing.ID(parent))

	remoteCtx := tracing.Continue(t.Context(), parent)
	remoteCtx, owner := p.Tracer("").Start(remoteCtx, "owner")
	_, target := tracing.Start(remoteCtx, "target")
	target.End()
	owner.End()
	caller.End()
	must.NoError(t, p.Shutdown(t.Context()))
	traces := make(map[string]string)
	for decoder := json.NewDecoder(&out); ; {
		var span struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		if decoder.Decode(&span) != nil {
			break
		}
		traces[span.Name] = span.SpanContext.TraceID
	}
	must.MapLen(t, 3, traces)
	for _, id := range traces {
		must.Eq(t, tracing.ID(parent), id)
	}
}

func TestSpansAreSentToCollector(t *testing.T) {
	requestPaths := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		requestPaths <- r.URL.Path
	}))
	defer collector.Close()
	p, err := NewProvider(t.Context(), TraceSettings{Exporter: ExportOTLP, Endpoint: settings.URL(collector.URL), Ratio: 1}, "vm1", io.Discard)
	must.NoError(t, err)
	_, span := p.Tracer("").Start(t.Context(), "caller")
	span.End()
	must.NoError(t, p.Shutdown(t.Context()))
	must.Eq(t, "/v1/traces", <-requestPaths)
}

func TestNoExporterCreatesNoTraces(t *testing.T) {
	p, err := NewProvider(t.Context(), TraceSettings{Exporter: ExportNone}, "vm1", nil)
	must.NoError(t, err)
	ctx, _ := p.Tracer("").Start(t.Context(), "caller")
	must.Eq(t, "", tracing.Parent(ctx))
	must.NoError(t, p.Shutdown(t.Context()))
}

func TestTraceSettings(t *testing.T) {
	cases := map[string]string{
		"exporter = \"jaeger\"": "f.toml:2: traces.exporter: want \"none\", \"stdout\" or \"otlp\"",
		"ratio = 2.0":           "f.toml:2: traces.ratio: want a ratio between 0 and 1",
		"exporter = \"otlp\"":   "f.toml:1: traces.endpoint: want the URL of the collector",
		"endpoint = \"host\"":   "f.toml:2: traces.endpoint: want a URL",
	}
	for line, want := range cases {
		file, err := settings.Parse("f.toml", []byte("[traces]\n"+line+"\n"))
		must.NoError(t, err)
		_, err = LoadTraces(file)
		must.ErrorContains(t, err, want)
	}
}

func TestLabelsAreQuoted(t *testing.T) {
	must.Eq(t, `{a="x\"y"}`, formatLabels("a", `x"y`, "", "z", "b", ""))
	must.False(t, strings.Contains(formatLabels(), "{"))
}

// TestConfigurationHidesKeys guards against a key, or an unsalted hash of one, in
// the configuration that a router serves.
func TestConfigurationHidesKeys(t *testing.T) {
	config := &routing.Config{
		Version: 4, Keyed: true, Accounts: []routing.Account{{Name: "acme", Keys: []string{"s3cret"}}},
	}
	get := func(h http.Handler) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, routecheck.ViewPath, nil))
		return w
	}
	first, err := newConfigurationHandler(func() *routing.Table { return routing.Compile(config) })
	must.NoError(t, err)
	w := get(first)
	must.StrNotContains(t, w.Body.String(), "s3cret")
	view, salt, err := routecheck.ParseView(w.Body.Bytes())
	must.NoError(t, err)
	must.Eq(t, int64(4), view.Configuration.Version)
	must.Eq(t, routecheck.NewView(config, salt), view)
	must.Eq(t, "s3cret", config.Accounts[0].Keys[0])

	second, err := newConfigurationHandler(func() *routing.Table { return nil })
	must.NoError(t, err)
	must.NotEq(t, first.salt, second.salt)
	must.Eq(t, http.StatusServiceUnavailable, get(second).Code)
}

// deadlineRecorder is a response whose connection has a write deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetWriteDeadline notes the deadline.
func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// TestConfigurationHasWriteDeadline guards against a client that does not read its
// response and so keeps all others from reading the configuration.
func TestConfigurationHasWriteDeadline(t *testing.T) {
	h, err := newConfigurationHandler(func() *routing.Table { return routing.Compile(&routing.Config{Version: 4}) })
	must.NoError(t, err)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, routecheck.ViewPath, nil))
	must.False(t, w.deadline.IsZero())
}
