package app_test

import (
	"bytes"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/telemetry"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// TestEveryMetricIsDescribed fails for a metric that has no entry in the
// telemetry package's list of families.
func TestEveryMetricIsDescribed(t *testing.T) {
	file, err := settings.Load(filepath.Join(samples, "router-trinidad.toml"))
	must.NoError(t, err)
	_, err = app.LoadProcess(file)
	must.NoError(t, err)
	_, err = telemetry.LoadTraces(file)
	must.NoError(t, err)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	registry := metrics.NewRegistry()
	_, err = app.NewRouter(kernel.Env{Log: quiet, Metrics: registry}, file)
	must.NoError(t, err)
	var out bytes.Buffer
	must.NoError(t, telemetry.WriteMetrics(&out, registry))
	must.StrContains(t, out.String(), "zinniafork_caller_running")
	for line := range strings.SplitSeq(out.String(), "\n") {
		must.StrNotContains(t, line, "No description yet")
	}
}
