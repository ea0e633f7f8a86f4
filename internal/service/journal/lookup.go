package journal

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

// lookUp asks the targets of an order's service, those that offer it, for the
// outcome.
func (p *partition) lookUp(ctx context.Context, l orders.Lookup) {
	s := p.service
	s.meters.lookups.Inc(1)
	in := orders.LookedUp{Key: l.Key}
	cfg := s.config.Current()
	service := cfg.Service(l.Identity.Service)
	if service != nil && service.StatusPath != "" {
		for i := range cfg.Targets {
			t := &cfg.Targets[i]
			if t.Service != service.Name {
				continue
			}
			worker := plain.New(t.Name, t.URL, s.http)
			if in.Found, in.Outcome = s.askWorker(ctx, worker, service.StatusPath, l.Key, cfg.Deadlines.Progress.Std()); in.Found {
				in.Outcome.Target = t.Name
				break
			}
		}
	}
	p.step(in)
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
	if len(got.Body) > s.settings.AnswerBytes {
		o.Body, o.Cut = nil, true
	}
	return true, o
}
