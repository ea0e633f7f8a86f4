package adminapi

import (
	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/explain"
	"github.com/zinniafork/zinniafork/internal/service/admin"
	"github.com/zinniafork/zinniafork/internal/service/journal"
	"github.com/zinniafork/zinniafork/internal/service/route"
)

// explainerName is the service that may explain placements.
const explainerName = route.Name

func (s *Service) explain(c *request, in explain.Question) (*explain.Answer, error) {
	asked := 0
	for _, set := range []bool{in.Request != "", in.Model != "", in.Service != ""} {
		if set {
			asked++
		}
	}
	if asked != 1 {
		return nil, badRequest("want one of a request, a model and a service")
	}
	if in.Request != "" {
		return s.figures.Failure(in.Request)
	}
	if s.explainer == nil {
		return nil, unavailable("", "this router cannot explain placements")
	}
	return s.explainer.Explain(c.Context(), in)
}

func (s *Service) listOrders(c *request, in admin.OrdersQuery) (*admin.Orders, error) {
	if s.orders == nil {
		return nil, unavailable("", "this router keeps no orders")
	}
	orders, err := s.orders.List(c.Context(), journal.Filter{
		Account: in.Account, UnknownOnly: in.Unknown, Limit: limitOf(in.Limit),
	})
	if err != nil {
		return nil, err
	}
	out := &admin.Orders{Orders: []admin.Order{}}
	for _, o := range orders {
		// The answer itself belongs to the account that ordered.
		out.Orders = append(out.Orders, admin.Order{
			Key: o.Key, Account: o.Account, Service: o.Service, Target: o.Target, Router: o.Router, Run: o.Run,
			Running: o.Running, At: o.At, Status: o.Status, SettledBy: o.SettledBy,
		})
	}
	return out, nil
}

func (s *Service) settle(c *request, in admin.SettleRequest) (*admin.Settled, error) {
	c.note.Subject, c.note.Detail = "order "+in.Key+" as "+string(in.Run), in.Comment
	if s.orders == nil {
		return nil, unavailable("", "this router keeps no orders")
	}
	if in.Key == "" || in.Run != call.RunDone && in.Run != call.RunNot {
		return nil, badRequest("want a key and run %q or %q", call.RunDone, call.RunNot)
	}
	if err := mayOperate(c.operator, s.identity.Self().Site); err != nil {
		return nil, err
	}
	if err := s.orders.Settle(c.Context(), in.Key, in.Run, c.operator.Name); err != nil {
		return nil, err
	}
	return &admin.Settled{Key: in.Key, Run: in.Run}, nil
}
