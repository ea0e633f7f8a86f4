// Package route takes one request of a caller to a target that can bear it
// and brings the answer back.
package route

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

// Name is the service's name in the kernel.
const Name = "route"

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Router runs requests on targets.
type Router interface {
	// Run places the request, runs it and passes the answer to sink. A
	// non-nil error is a *call.Error. A request that is not repeatable is
	// sent to at most one target.
	Run(ctx context.Context, req *call.Request, sink call.Sink) error
}

// Service routes requests.
type Service struct {
	config configsync.Source
	http   *http.Client
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up the configuration.
func (s *Service) Provision(c *kernel.Context) error {
	src, err := kernel.Lookup[configsync.Source](c, configsync.Name)
	if err != nil {
		return err
	}
	s.config = src
	s.http = target.NewHTTPClient(c.Net)
	return nil
}

// Run places and runs the request.
func (s *Service) Run(ctx context.Context, req *call.Request, sink call.Sink) error {
	cfg := s.config.Current()
	if cfg == nil {
		return &call.Error{Code: call.CodeUnavailable, Step: "config", Run: call.RunNot, Message: "no configuration yet"}
	}
	t := pick(cfg.Targets, req)
	if t == nil {
		return &call.Error{Code: call.CodeNoTarget, Step: "placement", Run: call.RunNot, Message: "no target serves this request"}
	}
	return s.client(t).Run(ctx, req, sink)
}

func (s *Service) client(t *config.Target) target.Runner {
	if t.IsEngine() {
		return engine.New(t.Name, t.URL, s.http)
	}
	return plain.New(t.Name, t.URL, s.http)
}

// pick returns the target with the highest rendezvous hash for the chat.
func pick(targets []config.Target, req *call.Request) *config.Target {
	var best *config.Target
	var bestScore uint64
	for i := range targets {
		t := &targets[i]
		if !serves(t, req) {
			continue
		}
		score := xxhash.Sum64String(req.Chat + "|" + string(t.Name))
		if best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

func serves(t *config.Target, req *call.Request) bool {
	if t.Mark == fleet.MarkDrain {
		return false
	}
	if req.Kind == call.KindService {
		return t.Service == req.Service
	}
	for _, m := range t.Models {
		if m == req.Model {
			return true
		}
	}
	return false
}

// Interface guards.
var (
	_ Router             = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
)
