package adminapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/service/admin"
	"github.com/zinniafork/zinniafork/internal/service/audit"
)

// endpoint is one operation of the API. The handlers and the OpenAPI document
// are made from the same list.
type endpoint struct {
	method  string
	path    string
	summary string
	// in and out are the types of the query or body and of the answer.
	in, out reflect.Type
	// open endpoints need no key.
	open bool
	// action names a change in the audit stream, empty for reads.
	action string
	run    func(c *request, in any) (any, error)
}

// request is one call of an operator.
type request struct {
	*http.Request
	operator *config.Operator
	// note is what the audit stream says of the call.
	note audit.Entry
}

// none is the input of operations without one.
type none struct{}

// op makes an endpoint from a typed handler.
func op[In, Out any](method, path, summary string, run func(c *request, in In) (*Out, error)) endpoint {
	return endpoint{
		method:  method,
		path:    path,
		summary: summary,
		in:      reflect.TypeFor[In](),
		out:     reflect.TypeFor[Out](),
		run: func(c *request, in any) (any, error) {
			typed, _ := in.(*In)
			return run(c, *typed)
		},
	}
}

// audited marks an endpoint as a change.
func (e endpoint) audited(action string) endpoint {
	e.action = action
	return e
}

// serve answers one operation.
func (s *Service) serve(e endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &request{Request: r}
		out, err := s.answer(c, e)
		s.count(err)
		s.record(c, e, err)
		if err != nil {
			writeError(w, asError(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		if raw, ok := out.(*json.RawMessage); ok {
			_, _ = w.Write(*raw)
			return
		}
		_ = json.NewEncoder(w).Encode(out)
	})
}

func (s *Service) answer(c *request, e endpoint) (any, error) {
	if !e.open {
		o, err := s.Authenticate(c.Request)
		if err != nil {
			return nil, err
		}
		c.operator = o
	}
	in := reflect.New(e.in)
	var err error
	if e.method == http.MethodGet {
		err = decodeQuery(c.URL.Query(), in.Elem())
	} else {
		err = decodeBody(c.Body, in.Interface())
	}
	if err != nil {
		return nil, err
	}
	return e.run(c, in.Interface())
}

// count counts one call by the code that it ended with.
func (s *Service) count(err error) {
	code := admin.Code("ok")
	if err != nil {
		code = asError(err).Code
	}
	metrics.GetOrRegisterCounter("admin.requests."+string(code), s.meters).Inc(1)
}

// record writes changes and refusals to the audit stream.
func (s *Service) record(c *request, e endpoint, err error) {
	refused := err != nil && isRefusal(asError(err).Code)
	if e.action == "" && !refused {
		return
	}
	if err != nil && asError(err).Code == admin.CodeUnauthorized && !s.refusals.AllowN(s.clock.Now(), 1) {
		return
	}
	entry := c.note
	entry.Action, entry.From = e.action, address(c.Request)
	if entry.Action == "" {
		entry.Action = "read " + e.path
	}
	if c.operator != nil {
		entry.Operator, entry.Member, entry.Role = c.operator.Name, c.operator.Member, string(c.operator.Role)
	}
	entry.Outcome = audit.OutcomeDone
	if err != nil {
		failure := asError(err)
		entry.Outcome, entry.Detail = audit.OutcomeFailed, string(failure.Code)+": "+failure.Message
		switch {
		case refused:
			entry.Outcome = audit.OutcomeRefused
		case failure.Code == admin.CodeUnknown:
			entry.Outcome = audit.OutcomeUnknown
		}
	}
	s.audit.Record(entry)
}

// isRefusal tells refusals from other failures. Limited requests are counted
// and not recorded, since a flood must not fill the log.
func isRefusal(code admin.Code) bool {
	switch code {
	case admin.CodeUnauthorized, admin.CodeForbidden, admin.CodeInvalid,
		admin.CodeStale, admin.CodeLost, admin.CodeCapacity:
		return true
	}
	return false
}

func decodeBody(body io.Reader, in any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	err := d.Decode(in)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &admin.Error{Code: admin.CodeTooLarge, Message: "the body is larger than " + strconv.FormatInt(large.Limit, 10) + " bytes"}
	}
	if err != nil {
		return badRequest("cannot read the body: %v", err)
	}
	return nil
}

// decodeQuery sets the fields of in from the query. Unknown and malformed
// parameters are errors.
func decodeQuery(q url.Values, in reflect.Value) error {
	names := make(map[string]bool)
	for i := range in.NumField() {
		name := parameter(in.Type().Field(i))
		names[name] = true
		if !q.Has(name) {
			continue
		}
		if err := setField(in.Field(i), q.Get(name)); err != nil {
			return badRequest("parameter %s: %v", name, err)
		}
	}
	for name := range q {
		if !names[name] {
			return badRequest("unknown parameter %q", name)
		}
	}
	return nil
}

func parameter(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("url"), ",")
	return name
}

func setField(f reflect.Value, text string) error {
	if f.Kind() == reflect.Pointer {
		f.Set(reflect.New(f.Type().Elem()))
		f = f.Elem()
	}
	switch f.Kind() {
	case reflect.String:
		f.SetString(text)
	case reflect.Bool:
		v, err := strconv.ParseBool(text)
		if err != nil {
			return err
		}
		f.SetBool(v)
	case reflect.Uint64:
		v, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return err
		}
		f.SetUint(v)
	default:
		v, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return err
		}
		f.SetInt(v)
	}
	return nil
}
