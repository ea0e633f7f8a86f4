package loadgen_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/lab/loadgen"
	"github.com/zinniafork/zinniafork/internal/standin/engined"
)

func TestValidate(t *testing.T) {
	good := loadgen.Options{Addresses: []string{"127.0.0.1:7001"}, Duration: time.Second, Requests: 10}
	must.NoError(t, good.Validate())
	cases := []struct {
		name string
		edit func(*loadgen.Options)
		want string
	}{
		{"no address", func(o *loadgen.Options) { o.Addresses = nil }, "at least one address"},
		{"another machine", func(o *loadgen.Options) { o.Addresses = []string{"10.0.0.1:80"} }, "loopback"},
		{"a name", func(o *loadgen.Options) { o.Addresses = []string{"example.org:80"} }, "loopback"},
		{"no port", func(o *loadgen.Options) { o.Addresses = []string{"127.0.0.1"} }, "host:port"},
		{"endless", func(o *loadgen.Options) { o.Duration = time.Hour }, "duration"},
		{"no requests", func(o *loadgen.Options) { o.Requests = 0 }, "requests"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := good
			c.edit(&o)
			must.ErrorContains(t, o.Validate(), c.want)
		})
	}
}

func TestRunCountsWholeAnswersAndRefusals(t *testing.T) {
	engine := engined.New(engined.Options{})
	mux := http.NewServeMux()
	mux.Handle("/v1/chat/completions", engine.Handler())
	mux.HandleFunc("/v1/services/", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusForbidden)
		_, _ = w.Write([]byte(`{"error":{"code":"forbidden","run":"not_run"}}`))
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	got, err := loadgen.Run(t.Context(), loadgen.Options{
		Addresses: []string{strings.TrimPrefix(server.URL, "http://")},
		Model:     "m",
		Service:   "print",
		ChatRate:  50,
		OrderRate: 50,
		Duration:  200 * time.Millisecond,
		Requests:  8,
		Seed:      1,
	})
	must.NoError(t, err)
	must.Eq(t, 8, got.Requests)
	must.Positive(t, got.Whole)
	must.Eq(t, got.Requests, got.Whole+got.Refusals["forbidden"])
}
