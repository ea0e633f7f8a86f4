package journal

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

// lookUp asks the targets of an order's service, those that offer it, for the
// outcome.
func (p *partition) lookUp(ctx context.Context, l orders.Lookup) {
	s := p.service
	s.meters.lookups.Inc(1)
	in := orders.LookupResult{Key: l.Key}
	cfg := s.config.Current()
	if service := cfg.Service(l.Identity.Service); service != nil && service.StatusPath != "" {
		in.Found, in.Outcome = s.askWorkers(ctx, cfg, service, l.Key)
	}
	p.step(in)
}

// askWorkers asks all workers of a service at once and returns the first
// outcome.
func (s *Service) askWorkers(ctx context.Context, cfg *config.Effective, service *config.Service, k orders.Key) (bool, orders.Outcome) {
	limit := cfg.Deadlines.Progress.Std()
	answers := make(chan orders.Outcome, len(cfg.Targets))
	asked := 0
	for i := range cfg.Targets {
		t := &cfg.Targets[i]
		if t.Service != service.Name {
			continue
		}
		asked++
		go func() {
			_, o := s.askWorker(ctx, plain.New(t.Name, t.URL, s.http), service.StatusPath, k, limit)
			o.Target = t.Name
			answers <- o
		}()
	}
	for range asked {
		if o := <-answers; o.Run == orders.RunDone {
			return true, o
		}
	}
	return false, orders.Outcome{}
}

// askWorker asks one worker. Only the answer of a call that is done counts: a
// worker that knows nothing of an order may still receive it.
func (s *Service) askWorker(ctx context.Context, w plain.Worker, path string, k orders.Key, limit time.Duration) (bool, orders.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	got, err := w.Status(ctx, path, string(k))
	if err != nil {
		s.logger.WithError(err).Info("Status lookup failed.")
		return false, orders.Outcome{}
	}
	if got.State != plain.StateDone {
		return false, orders.Outcome{}
	}
	o := orders.Outcome{Run: orders.RunDone, Status: got.Status, ContentType: "application/json", Body: got.Body}
	if len(got.Body) > s.settings.MaxResponseBytes {
		o.Body, o.BodyOmitted = nil, true
	}
	return true, o
}
