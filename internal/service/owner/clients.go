package owner

import (
	"net/http"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

// clientFactory creates the clients that send requests to targets. They share
// one HTTP client.
type clientFactory struct {
	http  *http.Client
	clock kernel.Clock
}

func newClientFactory(env kernel.Env) *clientFactory {
	return &clientFactory{http: target.NewHTTPClient(env.Net), clock: env.Clock}
}

// newClient returns a client for a target: an engine client for a model engine,
// a plain HTTP client for any other service.
func (c *clientFactory) newClient(t *config.Target, cfg *config.Effective) target.Runner {
	if !t.IsEngine() {
		return plain.New(t.Name, t.URL, c.http)
	}
	options := []engine.Option{engine.WithProgress(c.clock, cfg.Deadlines.Progress.Std())}
	if t.Resumes {
		options = append(options, engine.WithResume())
	}
	return engine.New(t.Name, t.URL, c.http, options...)
}
