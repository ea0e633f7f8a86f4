package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
)

// registerOrderPaths registers the paths for orders, the calls that run at most
// once: the status of an order, and tickets.
func (s *Service) registerOrderPaths(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/orders/{key}", s.withAccount(s.orderStatus))
	mux.HandleFunc("POST /v1/tickets", s.withAccount(s.tickets))
}

// runFunc returns the function that runs the request: the journal for orders, the
// router for all other requests.
func (s *Service) runFunc(req *call.Request) func(context.Context, *call.Request, call.Sink) error {
	if req.Kind == call.KindService && isOrder(s.config.Current(), req) {
		return s.orders.Submit
	}
	return s.router.Run
}

// isOrder reports whether a service request may run at most once, which the
// configuration states by service and method. Without a configuration every request
// counts as an order, so that none runs twice.
func isOrder(cfg *config.Effective, req *call.Request) bool {
	if cfg == nil {
		return true
	}
	service := cfg.Service(req.Service)
	return service != nil && slices.Contains(service.OrderMethods, req.Method)
}

// orderStatus responds with the state of one order of the account.
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

// ticketRequest is the optional body of a request for tickets. A ticket is an
// idempotency key that can be used while the log is unavailable.
type ticketRequest struct {
	Count int `json:"count"`
}

// ticketResponse is the response to a request for tickets.
type ticketResponse struct {
	Tickets []string `json:"tickets"`
}

// tickets issues tickets, one if the request has no body.
func (s *Service) tickets(w http.ResponseWriter, r *http.Request, account *config.Account) {
	in := ticketRequest{Count: 1}
	body, e := s.readBody(w, r, account)
	if e != nil {
		writeError(w, e)
		membudget.Drain(w, r)
		return
	}
	defer body.Close()
	if len(body.Bytes) > 0 {
		if err := json.Unmarshal(body.Bytes, &in); err != nil {
			writeError(w, requestError(call.CodeBadRequest, "body must be JSON such as {\"count\": 1}", err))
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
	writeJSON(w, ticketResponse{Tickets: keys})
}
