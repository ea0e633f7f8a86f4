package telemetry

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/routecheck"
	"github.com/zinniafork/zinniafork/internal/service/peer"
	"github.com/zinniafork/zinniafork/internal/service/site"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// Name is the name of the metrics service in the kernel.
const Name = "metrics"

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: Settings{Listen: "127.0.0.1:0"}} })
}

// Settings are the process settings of the metrics service.
type Settings struct {
	// Listen is the address of the HTTP server that serves /metrics.
	Listen settings.Address `toml:"listen"`
	// Configuration serves the routes in force at /configuration, without keys.
	Configuration bool `toml:"configuration"`
}

// Service serves the metrics of the process over HTTP in the Prometheus text
// exposition format.
type Service struct {
	settings Settings
	registry metrics.Registry
	peers    peer.Peers
	net      kernel.Network
	logger   *logrus.Entry
	server   *httpserve.Server
	// configuration is nil unless the settings ask for it.
	configuration *configurationHandler
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up the peer service.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	var err error
	if s.peers, err = kernel.Lookup[peer.Peers](c, peer.Name); err != nil {
		return err
	}
	s.registry, s.net, s.logger = c.Metrics, c.Net, c.Logger()
	if s.settings.Configuration {
		view, err := kernel.Lookup[site.View](c, site.Name)
		if err != nil {
			return err
		}
		s.configuration, err = newConfigurationHandler(view.Table)
		return err
	}
	return nil
}

// Start starts the HTTP server.
func (s *Service) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serve)
	if s.configuration != nil {
		mux.Handle("GET "+routecheck.ViewPath, s.configuration)
	}
	server, err := httpserve.Start(ctx, s.net, string(s.settings.Listen), mux)
	if err != nil {
		return err
	}
	s.server = server
	s.logger.WithField("address", server.Addr()).Info("Serving metrics.")
	return nil
}

// Stop closes the HTTP server.
func (s *Service) Stop(context.Context) error { return s.server.Close() }

// URL returns the base URL of the HTTP server, which must have been started.
func (s *Service) URL() string { return s.server.URL() }

// serve writes all metrics in response to a scrape.
func (s *Service) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", ContentType)
	if err := WriteMetrics(w, s.registry); err != nil {
		return
	}
	s.writeTraffic(w)
	writeRuntime(w)
}

// writeTraffic writes the bytes exchanged with other routers, by kind of message
// and direction.
func (s *Service) writeTraffic(w io.Writer) {
	traffic := s.peers.Traffic()
	const name = namePrefix + "peer_bytes_total"
	fmt.Fprintf(w, "# HELP %s Bytes sent and received on connections between routers by kind, framing included.\n# TYPE %s counter\n", name, name)
	for _, kind := range slices.Sorted(maps.Keys(traffic)) {
		fmt.Fprintf(w, "%s{kind=%q,direction=\"sent\"} %d\n", name, kind, traffic[kind].Sent)
		fmt.Fprintf(w, "%s{kind=%q,direction=\"received\"} %d\n", name, kind, traffic[kind].Received)
	}
}

// writeRuntime writes the memory usage and the number of goroutines of the
// process.
func writeRuntime(w io.Writer) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	for _, g := range []struct {
		name, help string
		value      uint64
	}{
		{"process_heap_bytes", "Bytes of heap in use.", m.HeapInuse},
		{"process_memory_bytes", "Bytes of memory obtained from the operating system.", m.Sys},
		{"process_goroutines", "Goroutines.", uint64(runtime.NumGoroutine())},
	} {
		name := namePrefix + g.name
		fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s gauge\n%s %d\n", name, g.help, name, name, g.value)
	}
}

// Interface guards.
var (
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Stopper     = (*Service)(nil)
)
