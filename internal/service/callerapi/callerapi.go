// Package callerapi serves the interface that callers use: entry lookup, the
// chat-completions API and plain services.
package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/route"
)

// Name is the service's name in the kernel.
const Name = "caller"

// HeaderChat names the chat that a request returns to.
const HeaderChat = "X-Chat-Id"

func init() {
	kernel.Register(Name, func() kernel.Service { return &Service{settings: DefaultSettings()} })
}

// Settings are the process settings of the caller interface.
type Settings struct {
	Listen string `toml:"listen"`
	// MaxBodyBytes limits the body of one request.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
}

// DefaultSettings returns the settings of a process that sets none.
func DefaultSettings() Settings {
	return Settings{Listen: "127.0.0.1:0", MaxBodyBytes: 4 << 20}
}

// Service is the caller interface.
type Service struct {
	settings Settings
	config   configsync.Source
	router   route.Router
	clock    kernel.Clock
	net      kernel.Network
	logger   *logrus.Entry
	server   *httpserve.Server
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision reads the settings and looks up what the handlers need.
func (s *Service) Provision(c *kernel.Context) error {
	if err := c.Settings(&s.settings); err != nil {
		return err
	}
	var err error
	if s.config, err = kernel.Lookup[configsync.Source](c, configsync.Name); err != nil {
		return err
	}
	if s.router, err = kernel.Lookup[route.Router](c, route.Name); err != nil {
		return err
	}
	s.clock, s.net, s.logger = c.Clock, c.Net, c.Logger()
	return nil
}

// Start listens for callers.
func (s *Service) Start(ctx context.Context) error {
	server, err := httpserve.Start(ctx, s.net, s.settings.Listen, s.handler())
	if err != nil {
		return err
	}
	s.server = server
	s.logger.WithField("address", server.Addr()).Info("Caller interface listens.")
	return nil
}

// Drain stops listening and lets running requests end.
func (s *Service) Drain(ctx context.Context) error { return s.server.Drain(ctx) }

// Stop ends the server.
func (s *Service) Stop(context.Context) error { return s.server.Close() }

// URL returns the base URL that callers use.
func (s *Service) URL() string { return s.server.URL() }

func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("POST /v1/chat/completions", s.withAccount(s.chat))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.withAccount(s.service))
	return mux
}

func (s *Service) ready(w http.ResponseWriter, _ *http.Request) {
	if s.config.Current() == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

type accountHandler func(w http.ResponseWriter, r *http.Request, account *config.Account)

// withAccount finds the client account by the bearer key.
func (s *Service) withAccount(next accountHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		account := s.account(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
		if account == nil {
			writeError(w, &call.Error{Code: call.CodeUnauthorized, Step: "caller", Run: call.RunNot, Message: "unknown key"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes)
		next(w, r, account)
	}
}

func (s *Service) account(key string) *config.Account {
	cfg := s.config.Current()
	if cfg == nil {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	for i := range cfg.Accounts {
		for _, h := range cfg.Accounts[i].KeyHashes {
			if h == hash {
				return &cfg.Accounts[i]
			}
		}
	}
	return nil
}

func (s *Service) chat(w http.ResponseWriter, r *http.Request, account *config.Account) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, &call.Error{Code: call.CodeTooLarge, Step: "caller", Run: call.RunNot, Message: "cannot read body", Cause: err})
		return
	}
	var in struct {
		Model fleet.Model `json:"model"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		writeError(w, &call.Error{Code: call.CodeBadRequest, Step: "caller", Run: call.RunNot, Message: "body is not JSON", Cause: err})
		return
	}
	req := s.request(call.KindChat, account, body)
	req.Model = in.Model
	req.Chat = r.Header.Get(HeaderChat)
	req.Repeatable = true
	req.Deadline = s.clock.Now().Add(s.config.Current().Deadlines.Chat.Std())
	s.run(w, r, req)
}

func (s *Service) service(w http.ResponseWriter, r *http.Request, account *config.Account) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, &call.Error{Code: call.CodeTooLarge, Step: "caller", Run: call.RunNot, Message: "cannot read body", Cause: err})
		return
	}
	req := s.request(call.KindService, account, body)
	req.Service = fleet.Service(r.PathValue("service"))
	req.Method = r.Method
	req.Path = "/" + r.PathValue("path")
	req.Key = r.Header.Get("Idempotency-Key")
	req.Header = http.Header{"Content-Type": r.Header["Content-Type"]}
	req.Deadline = s.clock.Now().Add(s.config.Current().Deadlines.Service.Std())
	s.run(w, r, req)
}

func (s *Service) request(kind call.Kind, account *config.Account, body []byte) *call.Request {
	return &call.Request{
		ID:      call.ID(uuid.NewString()),
		Attempt: 1,
		Kind:    kind,
		Account: account.Name,
		Member:  account.Member,
		Body:    body,
	}
}

func (s *Service) run(w http.ResponseWriter, r *http.Request, req *call.Request) {
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	out := &responseSink{w: w, flush: http.NewResponseController(w).Flush}
	err := s.router.Run(ctx, req, out)
	if err == nil {
		return
	}
	e := call.AsError(err)
	s.logger.WithError(e).WithField("request", req.ID).Info("Request failed.")
	if !out.started {
		writeError(w, e)
	}
}

// responseSink writes an answer to the caller.
type responseSink struct {
	w       http.ResponseWriter
	flush   func() error
	started bool
}

func (s *responseSink) Head(h call.Head) error {
	s.started = true
	for _, name := range []string{"Content-Type"} {
		if v := h.Header.Get(name); v != "" {
			s.w.Header().Set(name, v)
		}
	}
	s.w.WriteHeader(h.Status)
	return nil
}

func (s *responseSink) Chunk(c call.Chunk) error {
	if _, err := s.w.Write(c.Data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return s.flush()
}

func (s *responseSink) End(call.End) error { return nil }

func writeError(w http.ResponseWriter, e *call.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(e.Code))
	_ = json.NewEncoder(w).Encode(struct {
		Error *call.Error `json:"error"`
	}{e})
}

func statusOf(code call.Code) int {
	switch code {
	case call.CodeBadRequest:
		return http.StatusBadRequest
	case call.CodeUnauthorized:
		return http.StatusUnauthorized
	case call.CodeNotFound:
		return http.StatusNotFound
	case call.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case call.CodeDeadline:
		return http.StatusGatewayTimeout
	case call.CodeOverloaded, call.CodeUnavailable, call.CodeNoTarget, call.CodeDraining:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

// Interface guards.
var (
	_ kernel.Provisioner = (*Service)(nil)
	_ kernel.Starter     = (*Service)(nil)
	_ kernel.Drainer     = (*Service)(nil)
	_ kernel.Stopper     = (*Service)(nil)
)
