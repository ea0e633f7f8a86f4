package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
)

// handleOrders adds what callers use around calls that may run at most once.
func (s *Service) handleOrders(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/orders/{key}", s.withAccount(s.orderStatus))
	mux.HandleFunc("POST /v1/tickets", s.withAccount(s.tickets))
}

// runnerOf returns what runs the request: the journal for a call that may run
// at most once, the router for the others.
func (s *Service) runnerOf(req *call.Request) func(context.Context, *call.Request, call.Sink) error {
	if req.Kind == call.KindService && isOrder(s.config.Current(), req) {
		return s.orders.Submit
	}
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

// orderStatus answers what is known of one order of the account.
func (s *Service) orderStatus(w http.ResponseWriter, r *http.Request, account *config.Account) {
	ctx, cancel := context.WithTimeout(r.Context(), s.config.Current().Deadlines.Service.Std())
	defer cancel()
	order, err := s.orders.Status(ctx, account.Name, r.PathValue("key"))
	if err != nil {
		writeError(w, call.AsError(err))
		return
	}
	writeJSON(w, order)
}

// ticketRequest asks for keys that can run while the log is away.
type ticketRequest struct {
	Count int `json:"count"`
}

// ticketAnswer holds the keys.
type ticketAnswer struct {
	Tickets []string `json:"tickets"`
}

// tickets hands out keys. Without a body it hands out one.
func (s *Service) tickets(w http.ResponseWriter, r *http.Request, account *config.Account) {
	in := ticketRequest{Count: 1}
	body, e := s.readBody(w, r)
	if e != nil {
		writeError(w, e)
		return
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			writeError(w, problem(call.CodeBadRequest, "body is not JSON such as {\"count\": 1}", err))
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.config.Current().Deadlines.Service.Std())
	defer cancel()
	keys, err := s.orders.Tickets(ctx, account.Name, in.Count)
	if err != nil {
		writeError(w, call.AsError(err))
		return
	}
	writeJSON(w, ticketAnswer{Tickets: keys})
}
