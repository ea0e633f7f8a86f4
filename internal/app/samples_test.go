package app_test

import (
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/app"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/telemetry"
	"github.com/zinniafork/zinniafork/internal/settings"
)

const samples = "../../docs/ops/samples"

func check(t *testing.T, path string) error {
	t.Helper()
	file, err := settings.Load(path)
	must.NoError(t, err)
	_, err = app.LoadProcess(file)
	must.NoError(t, err)
	_, err = telemetry.LoadTraces(file)
	must.NoError(t, err)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	_, err = app.NewRouter(kernel.Env{Log: quiet}, file)
	return err
}

func TestSampleSettingsAreValid(t *testing.T) {
	must.NoError(t, check(t, filepath.Join(samples, "router-trinidad.toml")))
	err := check(t, filepath.Join(samples, "router-gent.toml"))
	for line := range strings.SplitSeq(err.Error(), "\n") {
		must.StrContains(t, line, "/etc/zinniafork/", must.Sprint("only the certificates are missing here"))
	}
}
