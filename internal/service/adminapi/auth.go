package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// bootstrapOperator names the holder of the bootstrap key.
const bootstrapOperator = "bootstrap"

// Authenticate returns the operator whose key the request carries.
func (s *Service) Authenticate(r *http.Request) (*config.Operator, error) {
	if err := s.allow("address " + address(r)); err != nil {
		return nil, err
	}
	key := requestKey(r)
	if key == "" {
		return nil, &admin.Error{
			Code: admin.CodeUnauthorized, Message: "the request has no key",
			Next: "send the header Authorization: Bearer KEY",
		}
	}
	o := s.operator(key)
	if o == nil {
		return nil, &admin.Error{
			Code: admin.CodeUnauthorized, Message: "the key is not known here",
			Next: "ask an administrator for a key; a new key works once its version is in force",
		}
	}
	return o, s.allow("operator " + o.Name)
}

func requestKey(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return key
}

func (s *Service) operator(key string) *config.Operator {
	if e := s.config.Current(); e != nil {
		return e.OperatorByKey(key)
	}
	want, err := hex.DecodeString(s.settings.BootstrapKeyHash)
	sum := sha256.Sum256([]byte(key))
	if err != nil || subtle.ConstantTimeCompare(sum[:], want) != 1 {
		return nil
	}
	return &config.Operator{Name: bootstrapOperator, Role: config.RoleAdmin}
}

func address(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// allow counts one request of a caller against its rate.
func (s *Service) allow(caller string) error {
	s.mu.Lock()
	l, ok := s.limits.Get(caller)
	if !ok {
		l = rate.NewLimiter(rate.Limit(s.settings.RequestsPerSecond), s.settings.Burst)
		s.limits.Add(caller, l)
	}
	s.mu.Unlock()
	if !l.AllowN(s.clock.Now(), 1) {
		return rateLimited("too many requests of " + caller)
	}
	return nil
}

// mayChange checks that the operator may publish a document.
func mayChange(o *config.Operator, scope configstate.Scope) error {
	if o.Role == config.RoleAdmin {
		return nil
	}
	site, isOverlay := scope.Site()
	if !isOverlay {
		return forbidden("ask a consortium administrator", "%s %q may not change the shared base", o.Role, o.Name)
	}
	return mayOperate(o, site)
}

// mayOperate checks that the operator may change a site.
func mayOperate(o *config.Operator, site fleet.Site) error {
	switch {
	case o.Role == config.RoleAdmin:
		return nil
	case o.Role == config.RoleViewer:
		return forbidden("use the key of an operator of the site", "viewer %q may not change anything", o.Name)
	case !slices.Contains(o.Sites, site):
		return forbidden("ask an operator of that site", "operator %q may not change site %q, only %v", o.Name, site, o.Sites)
	}
	return nil
}
