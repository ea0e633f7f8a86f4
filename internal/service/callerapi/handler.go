package callerapi

import (
	"net/http"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
)

// servicesPath is the path prefix of plain services; the name of the service
// follows it.
const servicesPath = "/v1/services/"

// handler returns the handler of the caller interface. Requests for plain services
// bypass the mux, because it cleans paths and the service must get the path as the
// caller wrote it.
func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /v1/entry", s.withAccount(s.entry))
	mux.HandleFunc("GET /v1/models", s.withAccount(s.models))
	mux.HandleFunc("POST /v1/chat/completions", s.withAccount(s.exchangeHandler(s.newChatExchange)))
	s.registerOrderPaths(mux)
	service := s.withAccount(s.exchangeHandler(s.newServiceExchange))
	other := s.withAccount(func(w http.ResponseWriter, _ *http.Request, _ *config.Account) {
		writeError(w, requestError(call.CodeNotFound, "no such path or method", nil))
	})
	mux.HandleFunc("/", other)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		// The server writes what is left of a response after the handler has returned.
		defer func() {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.settings.WriteTimeout.Std()))
		}()
		if strings.HasPrefix(r.URL.Path, servicesPath) {
			service(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// ready responds with status 200 if callers should use this VM, and with an error
// that names the reason otherwise.
func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.draining.Load():
		writeError(w, rejection(call.CodeDraining, "this VM is draining"))
	case s.config.Current() == nil:
		writeError(w, rejection(call.CodeUnavailable, "no configuration yet"))
	case !s.ownersKnown():
		writeError(w, rejection(call.CodeUnavailable, "owners of targets are not known yet"))
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// OwnerReadiness is an optional interface of a route.Router that knows whether it
// can place requests.
type OwnerReadiness interface {
	// OwnersKnown reports whether the owners of targets are known, or waiting for
	// them has taken too long.
	OwnersKnown() bool
}

// ownersKnown reports whether the router can place requests. A router without
// OwnerReadiness always can.
func (s *Service) ownersKnown() bool {
	r, ok := s.router.(OwnerReadiness)
	return !ok || r.OwnersKnown()
}

// accountHandler handles a request of an authenticated client account.
type accountHandler func(w http.ResponseWriter, r *http.Request, account *config.Account)

// withAccount authenticates the client account by its bearer key. Requests without a valid key get the same response for
// every path, so that it does not show which paths, models or services exist.
func (s *Service) withAccount(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		cfg := s.config.Current()
		if cfg == nil {
			writeError(w, rejection(call.CodeUnavailable, "no configuration yet"))
			return
		}
		key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		account := cfg.AccountByKey(key)
		if account == nil || !bearer {
			writeError(w, requestError(call.CodeUnauthorized, "unknown key", nil))
			return
		}
		next(w, r, account)
	}
}

// models lists the models of the configuration in the form of the chat-completions
// API.
func (s *Service) models(w http.ResponseWriter, _ *http.Request, _ *config.Account) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	out := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	cfg := s.config.Current()
	for i := range cfg.Models {
		out.Data = append(out.Data, model{ID: string(cfg.Models[i].Name), Object: "model", OwnedBy: string(cfg.Site)})
	}
	writeJSON(w, out)
}
