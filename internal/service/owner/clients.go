package owner

import (
	"net/http"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

// clients builds the clients of targets.
type clients struct {
	http  *http.Client
	clock kernel.Clock
}

func newClients(env kernel.Env) *clients {
	return &clients{http: target.NewHTTPClient(env.Net), clock: env.Clock}
}

// client returns the client of a target under a configuration.
func (c *clients) client(t *config.Target, cfg *config.Effective) target.Runner {
	if !t.IsEngine() {
		return plain.New(t.Name, t.URL, c.http)
	}
	options := []engine.Option{engine.WithProgress(c.clock, cfg.Deadlines.Progress.Std())}
	if t.Resumes {
		options = append(options, engine.WithResume())
	}
	return engine.New(t.Name, t.URL, c.http, options...)
}
