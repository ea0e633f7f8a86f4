package callerapi

import (
	"net/http"
	"strings"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
)

// servicesPath is the path in front of a plain service's name.
const servicesPath = "/v1/services/"

// handler serves all paths. Plain services are told apart before the mux,
// which would rewrite their paths.
func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /v1/entry", s.withAccount(s.entry))
	mux.HandleFunc("GET /v1/models", s.withAccount(s.models))
	mux.HandleFunc("POST /v1/chat/completions", s.withAccount(s.exchanges(s.chatExchange)))
	s.handleOrders(mux)
	service := s.withAccount(s.exchanges(s.serviceExchange))
	other := s.withAccount(func(w http.ResponseWriter, _ *http.Request, _ *config.Account) {
		writeError(w, problem(call.CodeNotFound, "no such path or method", nil))
	})
	mux.HandleFunc("/", other)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, servicesPath) {
			service(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// ready tells whether callers should use this VM.
func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.draining.Load():
		writeError(w, refusal(call.CodeDraining, "this VM is leaving"))
	case s.config.Current() == nil:
		writeError(w, refusal(call.CodeUnavailable, "no configuration yet"))
	case !s.settled():
		writeError(w, refusal(call.CodeUnavailable, "owners of targets are not known yet"))
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// OwnerReadiness is a router that knows whether it can place requests.
type OwnerReadiness interface {
	// OwnersKnown reports whether the owners of targets are known.
	OwnersKnown() bool
}

func (s *Service) settled() bool {
	r, ok := s.router.(OwnerReadiness)
	return !ok || r.OwnersKnown()
}

type accountHandler func(w http.ResponseWriter, r *http.Request, account *config.Account)

// withAccount finds the client account by the bearer key. Whatever a request
// without a good key asks for, it gets the same answer.
func (s *Service) withAccount(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		cfg := s.config.Current()
		if cfg == nil {
			writeError(w, refusal(call.CodeUnavailable, "no configuration yet"))
			return
		}
		key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		account := cfg.AccountByKey(key)
		if account == nil || !bearer {
			writeError(w, problem(call.CodeUnauthorized, "unknown key", nil))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes)
		next(w, r, account)
	}
}

// models lists the models that the account may ask for.
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
