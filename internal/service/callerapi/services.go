package callerapi

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// serviceExchange checks a call of a plain service.
func (s *Service) serviceExchange(r *http.Request, account *config.Account, body []byte) (*exchange, *call.Error) {
	cfg := s.config.Current()
	name, path, e := splitServicePath(r.URL)
	if e != nil {
		return nil, e
	}
	if cfg.Service(name) == nil && len(cfg.TargetsOfService(name)) == 0 {
		return nil, problem(call.CodeNotFound, "no such service", nil)
	}
	req, e := s.newRequest(call.KindService, r, account, cfg.Deadlines.Service.Std())
	if e != nil {
		return nil, e
	}
	req.Service = name
	req.Method = r.Method
	req.Path = path
	req.Key = r.Header.Get(HeaderIdempotencyKey)
	req.Header = passOn(r.Header)
	req.Body = body
	req.Repeatable = !isOrder(cfg, req) && isSafe(r.Method)
	return &exchange{req: req}, nil
}

// splitServicePath returns the service's name and the rest of the path with
// the query, escaped as the caller did.
func splitServicePath(u *url.URL) (fleet.Service, string, *call.Error) {
	rest := strings.TrimPrefix(u.EscapedPath(), servicesPath)
	escaped, path, _ := strings.Cut(rest, "/")
	name, err := url.PathUnescape(escaped)
	if err != nil || name == "" {
		return "", "", problem(call.CodeNotFound, "no such service", err)
	}
	if slices.Contains(strings.Split(u.Path, "/"), "..") {
		return "", "", problem(call.CodeBadRequest, "path leads out of the service", nil)
	}
	path = "/" + path
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return fleet.Service(name), path, nil
}

// isSafe reports whether a method has no effect by its definition, so that a
// call may be repeated.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
