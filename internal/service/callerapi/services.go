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

// newServiceExchange validates a request for a plain service and builds its call.
// Only requests with a safe method that are no orders may be repeated.
func (s *Service) newServiceExchange(r *http.Request, account *config.Account, body []byte) (*exchange, *call.Error) {
	cfg := s.config.Current()
	name, path, e := splitServicePath(r.URL)
	if e != nil {
		return nil, e
	}
	if cfg.Service(name) == nil && len(cfg.TargetsOfService(name)) == 0 {
		return nil, requestError(call.CodeNotFound, "no such service", nil)
	}
	req, e := s.newRequest(call.KindService, r, account, cfg.Deadlines.Service.Std())
	if e != nil {
		return nil, e
	}
	req.Service = name
	req.Method = r.Method
	req.Path = path
	req.Key = r.Header.Get(HeaderIdempotencyKey)
	req.Header = forwardedHeaders(r.Header)
	req.Body = body
	req.Repeatable = !isOrder(cfg, req) && isSafe(r.Method)
	return &exchange{req: req}, nil
}

// splitServicePath splits a URL into the name of the service and the path within it
// with the query, which keep the escaping of the caller. It rejects paths with a
// ".." segment, escaped or not.
func splitServicePath(u *url.URL) (fleet.Service, string, *call.Error) {
	rest := strings.TrimPrefix(u.EscapedPath(), servicesPath)
	escaped, path, _ := strings.Cut(rest, "/")
	name, err := url.PathUnescape(escaped)
	if err != nil || name == "" {
		return "", "", requestError(call.CodeNotFound, "no such service", err)
	}
	if slices.Contains(strings.Split(u.Path, "/"), "..") {
		return "", "", requestError(call.CodeBadRequest, "path must not contain .. segments", nil)
	}
	path = "/" + path
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return fleet.Service(name), path, nil
}

// isSafe reports whether a method is safe as defined by HTTP, so that its requests
// may be repeated.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
