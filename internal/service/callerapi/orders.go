package callerapi

import (
	"context"
	"net/http"
	"slices"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
)

// handleOrders adds what callers use around calls that may run at most once.
func (*Service) handleOrders(*http.ServeMux) {}

// runnerOf returns what runs the request.
func (s *Service) runnerOf(*call.Request) func(context.Context, *call.Request, call.Sink) error {
	return s.router.Run
}

// isOrder reports whether the configuration lists the request's method among
// those that may run at most once.
func isOrder(cfg *config.Effective, req *call.Request) bool {
	if cfg == nil {
		return true
	}
	service := cfg.Service(req.Service)
	return service != nil && slices.Contains(service.OrderMethods, req.Method)
}
