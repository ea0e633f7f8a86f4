package journal

import (
	"context"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

// lookUp asks the targets of the order's service for its outcome, if the
// service has a status path, and reports the result to the machine.
func (p *partition) lookUp(ctx context.Context, l orders.Lookup) {
	s := p.service
	s.meters.lookups.Inc(1)
	in := orders.LookupResult{Key: l.Key}
	cfg := s.config.Current()
	if service := cfg.Service(l.Identity.Service); service != nil && service.StatusPath != "" {
		in.Found, in.Outcome = s.lookUpOutcome(ctx, cfg, service, l.Key)
	}
	p.step(in)
}

// lookUpOutcome asks all targets of a service at once and returns the first
// outcome of a call that is done.
func (s *Service) lookUpOutcome(ctx context.Context, cfg *config.Effective, service *config.Service, k orders.Key) (bool, orders.Outcome) {
	limit := cfg.Deadlines.Progress.Std()
	outcomes := make(chan orders.Outcome, len(cfg.Targets))
	asked := 0
	for i := range cfg.Targets {
		t := &cfg.Targets[i]
		if t.Service != service.Name {
			continue
		}
		asked++
		go func() {
			_, o := s.targetOutcome(ctx, plain.New(t.Name, t.URL, s.http), service.StatusPath, k, limit)
			o.Target = t.Name
			outcomes <- o
		}()
	}
	for range asked {
		if o := <-outcomes; o.Run == orders.RunDone {
			return true, o
		}
	}
	return false, orders.Outcome{}
}

// targetOutcome asks one target. Only the status of a call that is done
// counts: a target that does not know an order may still receive it.
func (s *Service) targetOutcome(ctx context.Context, w plain.Worker, path string, k orders.Key, limit time.Duration) (bool, orders.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	status, err := w.Status(ctx, path, string(k))
	if err != nil {
		s.logger.WithError(err).Info("Status lookup failed.")
		return false, orders.Outcome{}
	}
	if status.State != plain.StateDone {
		return false, orders.Outcome{}
	}
	o := orders.Outcome{Run: orders.RunDone, Status: status.Status, ContentType: "application/json", Body: status.Body}
	if len(status.Body) > s.settings.MaxResponseBytes {
		o.Body, o.BodyOmitted = nil, true
	}
	return true, o
}
