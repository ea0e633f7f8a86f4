package adminapi

import (
	"crypto/rand"
	"net/http"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
	"github.com/zinniafork/zinniafork/internal/service/statuspage"
)

const (
	// sessionCookie names the cookie of a person who reads the status page. It
	// holds a random token; the key stays in this router's memory.
	sessionCookie = "zf_session"
	sessionLimit  = 1024
	shownChanges  = 15
)

// pages serves the status page.
type pages struct {
	api      *Service
	renderer *statuspage.Renderer
	// sessions maps tokens to the keys that people gave.
	sessions *lru.Cache[string, string]
}

func newPages(api *Service) (*pages, error) {
	renderer, err := statuspage.New()
	if err != nil {
		return nil, err
	}
	sessions, err := lru.New[string, string](sessionLimit)
	if err != nil {
		return nil, err
	}
	return &pages{api: api, renderer: renderer, sessions: sessions}, nil
}

func (p *pages) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /{$}", p.status)
	mux.HandleFunc("GET "+statuspage.PathStyle, p.renderer.Style)
	mux.HandleFunc("POST /login", p.login)
	mux.HandleFunc("POST /logout", p.logout)
}

// login checks the key of the form and starts a session.
func (p *pages) login(w http.ResponseWriter, r *http.Request) {
	r.Header.Set("Authorization", "Bearer "+r.PostFormValue("key"))
	if _, err := p.api.Authenticate(r); err != nil {
		e := asError(err)
		p.renderer.Login(w, statusOf[e.Code], statuspage.Login{Message: e.Message})
		return
	}
	token := rand.Text()
	p.sessions.Add(token, r.PostFormValue("key"))
	http.SetCookie(w, p.cookie(token))
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

func (p *pages) cookie(token string) *http.Cookie {
	return &http.Cookie{
		Name: sessionCookie, Value: token, Path: "/", HttpOnly: true,
		SameSite: http.SameSiteStrictMode, Secure: p.api.settings.TLS.Enabled(),
	}
}

func (p *pages) logout(w http.ResponseWriter, r *http.Request) {
	if c, err := r.Cookie(sessionCookie); err == nil {
		p.sessions.Remove(c.Value)
	}
	gone := p.cookie("")
	gone.MaxAge = -1
	http.SetCookie(w, gone)
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

// status shows the page, or the form to someone without a session.
func (p *pages) status(w http.ResponseWriter, r *http.Request) {
	c := &request{Request: r}
	cookie, err := r.Cookie(sessionCookie)
	if err == nil {
		key, _ := p.sessions.Get(cookie.Value)
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if c.operator, err = p.api.Authenticate(r); err != nil {
		e := asError(err)
		message := ""
		if cookie != nil || e.Code != admin.CodeUnauthorized {
			message = e.Message
		}
		p.renderer.Login(w, statusOf[e.Code], statuspage.Login{Message: message})
		return
	}
	p.renderer.Status(w, p.data(c))
}

// data collects what the page shows. A part that cannot be had is left out.
func (p *pages) data(c *request) statuspage.Data {
	q := c.URL.Query()
	out := statuspage.Data{
		Operator: c.operator.Name,
		Filter:   statuspage.Filter{DataCentre: fleet.DataCentre(q.Get("dc")), State: q.Get("state")},
	}
	var err error
	if out.Status, err = p.api.status(c, none{}); err != nil {
		out.Missing = asError(err).Message
		return out
	}
	if targets, err := p.api.listTargets(c, none{}); err == nil {
		out.Targets = targets.Targets
	}
	if accounts, err := p.api.accounts(c, none{}); err == nil {
		out.Accounts = accounts
	}
	if sites, err := p.api.sites(c, none{}); err == nil {
		out.Sites = sites.Sites
	}
	if history, err := p.api.history(c, admin.HistoryQuery{Limit: shownChanges}); err == nil {
		out.Changes = history.Versions
	}
	return out
}
