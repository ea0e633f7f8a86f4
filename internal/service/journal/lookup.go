package journal

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// lookUp asks the targets of an order's service, those that offer it, for the
// outcome.
func (p *partition) lookUp(ctx context.Context, l orders.Lookup) {
	p.service.meters.lookups.Inc(1)
	in := orders.LookedUp{Key: l.Key}
	cfg := p.service.config.Current()
	path := statusPath(cfg, l.Identity.Service)
	for i := range cfg.Targets {
		t := &cfg.Targets[i]
		if path == "" || t.Service != l.Identity.Service {
			continue
		}
		if o, ok := p.service.askTarget(ctx, cfg, t, path, l.Key); ok {
			in.Found, in.Outcome = true, o
			break
		}
	}
	p.step(in)
}

func statusPath(cfg *config.Effective, service fleet.Service) string {
	for i := range cfg.Services {
		if cfg.Services[i].Name == service {
			return cfg.Services[i].StatusPath
		}
	}
	return ""
}

// askTarget asks one target. Only a clear yes counts: a target that knows
// nothing of an order may still receive it.
func (s *Service) askTarget(ctx context.Context, cfg *config.Effective, t *config.Target, path string, k orders.Key) (orders.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Deadlines.Progress.Std())
	defer cancel()
	path = strings.ReplaceAll(path, "{key}", url.PathEscape(string(k)))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, t.URL+path, http.NoBody)
	if err != nil {
		return orders.Outcome{}, false
	}
	resp, err := s.http.Do(r)
	if err != nil {
		s.logger.WithError(err).WithField("target", t.Name).Info("Status lookup failed.")
		return orders.Outcome{}, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return orders.Outcome{}, false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(s.settings.AnswerBytes)+1))
	if err != nil {
		return orders.Outcome{}, false
	}
	o := orders.Outcome{Run: orders.RunDone, Status: http.StatusOK, ContentType: resp.Header.Get("Content-Type"), Target: t.Name, Body: body}
	if len(body) > s.settings.AnswerBytes {
		o.Body, o.Cut = nil, true
	}
	return o, true
}
