// Package statuspage renders the status page of a router for people: plain
// HTML from embedded files, without script and without anything from outside.
package statuspage

import (
	"bytes"
	"cmp"
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/core/usage"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// PathStyle is the path of the style sheet.
const PathStyle = "/style.css"

// maxRows limits the targets and accounts that one page shows.
const maxRows = 100

//go:embed files
var files embed.FS

// Data is what one page shows.
type Data struct {
	Operator string
	// Missing tells why there is nothing to show, empty when there is.
	Missing  string
	Status   *admin.Status
	Targets  []admin.Target
	Accounts *admin.Accounts
	Sites    []admin.SiteSummary
	Changes  []configstate.Entry
	Filter   Filter
	// Hidden counts the targets that the filter passes and the page leaves out.
	Hidden int
}

// Filter chooses the targets that a page shows.
type Filter struct {
	DataCentre fleet.DataCentre
	State      string
}

// Login is what the form for the key shows.
type Login struct {
	Message string
}

// Renderer renders the pages.
type Renderer struct {
	status *template.Template
	login  *template.Template
	style  []byte
}

// New parses the embedded files.
func New() (*Renderer, error) {
	parse := func(name string) (*template.Template, error) {
		return template.New("layout.html").Funcs(functions).ParseFS(files, "files/layout.html", "files/"+name)
	}
	r := new(Renderer)
	var err error
	if r.status, err = parse("status.html"); err != nil {
		return nil, fmt.Errorf("status page: %w", err)
	}
	if r.login, err = parse("login.html"); err != nil {
		return nil, fmt.Errorf("login page: %w", err)
	}
	if r.style, err = files.ReadFile("files/style.css"); err != nil {
		return nil, fmt.Errorf("style sheet: %w", err)
	}
	return r, nil
}

// Status writes the status page.
func (r *Renderer) Status(w http.ResponseWriter, d Data) {
	d.Targets, d.Hidden = choose(d.Targets, d.Filter)
	write(w, http.StatusOK, r.status, d)
}

// Login writes the form for the key.
func (r *Renderer) Login(w http.ResponseWriter, status int, l Login) {
	write(w, status, r.login, l)
}

// Style serves the style sheet.
func (r *Renderer) Style(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/css; charset=utf-8")
	w.Header().Set("Cache-Control", "max-age=300")
	_, _ = w.Write(r.style)
}

// policy lets the page load its style sheet and send its form, nothing else.
const policy = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'"

func write(w http.ResponseWriter, status int, t *template.Template, data any) {
	var page bytes.Buffer
	if err := t.Execute(&page, data); err != nil {
		http.Error(w, "cannot render the page: "+err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/html; charset=utf-8")
	h.Set("Content-Security-Policy", policy)
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Referrer-Policy", "no-referrer")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(page.Bytes())
}

// stateOrder lists target states that need attention first.
var stateOrder = []string{"suspect", "out", "leaving", "cold", "warming", "unknown", "warm"}

// choose returns the targets that pass the filter, those that need attention
// first and then the busiest, and how many more there are.
func choose(all []admin.Target, f Filter) (shown []admin.Target, hidden int) {
	for _, t := range all {
		if (f.DataCentre == "" || t.DataCentre == f.DataCentre) && (f.State == "" || t.State == f.State) {
			shown = append(shown, t)
		}
	}
	slices.SortStableFunc(shown, func(a, b admin.Target) int {
		return cmp.Or(
			cmp.Compare(slices.Index(stateOrder, a.State), slices.Index(stateOrder, b.State)),
			cmp.Compare(b.Running+b.Queued, a.Running+a.Queued),
			cmp.Compare(a.Name, b.Name),
		)
	})
	hidden = max(0, len(shown)-maxRows)
	return shown[:len(shown)-hidden], hidden
}

var functions = template.FuncMap{
	"version": func(v configstate.Version) string {
		if v.Hash == "" {
			return "none"
		}
		return fmt.Sprintf("%d (%s)", v.Offset, v.Hash[:min(len(v.Hash), 8)])
	},
	"time": func(t time.Time) string {
		if t.IsZero() {
			return "–"
		}
		return t.UTC().Format("2006-01-02 15:04:05")
	},
	"percent": func(v float64) string { return fmt.Sprintf("%.1f %%", 100*v) },
	"service": func(c usage.Counts) string {
		if c.Requests == 0 {
			return "–"
		}
		return fmt.Sprintf("%.1f %%", 100*c.InTimeRatio())
	},
	"serves": func(t admin.Target) string {
		if t.Service != "" {
			return string(t.Service)
		}
		names := make([]string, 0, len(t.Models))
		for _, m := range t.Models {
			names = append(names, string(m))
		}
		return strings.Join(names, ", ")
	},
	"states": func() []string { return stateOrder },
	"busiest": func(a *admin.Accounts) []admin.Account {
		rows := slices.Clone(a.Accounts)
		slices.SortStableFunc(rows, func(x, y admin.Account) int { return cmp.Compare(y.Share, x.Share) })
		return rows[:min(len(rows), maxRows)]
	},
	"sameRules": func(sites []admin.SiteSummary) bool {
		for _, s := range sites {
			if s.RulesHash != sites[0].RulesHash {
				return false
			}
		}
		return true
	},
}
