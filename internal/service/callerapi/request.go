package callerapi

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/target"
)

// Headers of requests.
const (
	// HeaderChat names the chat that a request returns to.
	HeaderChat = "X-Chat-Id"
	// HeaderPriority is low, normal or high.
	HeaderPriority = "X-Priority"
	// HeaderTimeout is the time that the caller waits, in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderIdempotencyKey is the key of a call that may run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLastEventID resumes a streamed answer behind the event of that ID.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderAdapter and HeaderVersion choose an adapter and a version of the
	// model.
	HeaderAdapter = "X-Model-Adapter"
	HeaderVersion = "X-Model-Version"
)

// HeaderRetryAfter is a header of refusals: the time in milliseconds after which
// to come back.
const HeaderRetryAfter = "Retry-After-Ms"

var priorities = map[string]call.Priority{
	"":       call.PriorityNormal,
	"low":    call.PriorityLow,
	"normal": call.PriorityNormal,
	"high":   call.PriorityHigh,
}

// readBody reads the body of a request within its limits.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *call.Error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout.Std()))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, problem(call.CodeTooLarge, fmt.Sprintf("body is larger than %d bytes", tooLarge.Limit), err)
		}
		return nil, problem(call.CodeBadRequest, "cannot read the body", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// newRequest returns a request with what all kinds have in common. limit is
// the longest time that it may take.
func (s *Service) newRequest(kind call.Kind, r *http.Request, account *config.Account, limit time.Duration) (*call.Request, *call.Error) {
	priority, ok := priorities[strings.ToLower(r.Header.Get(HeaderPriority))]
	if !ok {
		return nil, problem(call.CodeBadRequest, HeaderPriority+": want low, normal or high", nil)
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return nil, problem(call.CodeBadRequest, HeaderTimeout+": want a number of milliseconds above zero", err)
		}
		limit = min(limit, time.Duration(min(ms, int64(limit/time.Millisecond)))*time.Millisecond)
	}
	return &call.Request{
		ID:       newID(account.Name),
		Attempt:  1,
		Kind:     kind,
		Account:  account.Name,
		Member:   account.Member,
		Priority: priority,
		Deadline: s.clock.Now().Add(limit),
	}, nil
}

// newID returns the ID of a new request. Its last part binds it to the client
// account, so that no other account can resume the answer.
func newID(account fleet.Account) call.ID {
	id := uuid.NewString()
	return call.ID(id + "-" + binding(id, account))
}

func binding(id string, account fleet.Account) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(string(account)+"\x00"+id)))
}

// belongs reports whether the request ID was made for the client account.
func belongs(id call.ID, account fleet.Account) bool {
	at := strings.LastIndexByte(string(id), '-')
	return at > 0 && string(id[at+1:]) == binding(string(id[:at]), account)
}

// keptHere are headers that are not passed on to a plain service: those of one
// hop, those that this router gives a meaning, and the caller's key.
var keptHere = map[string]bool{
	"Authorization":          true,
	"Connection":             true,
	"Content-Length":         true,
	"Keep-Alive":             true,
	"Proxy-Authenticate":     true,
	"Proxy-Authorization":    true,
	"Proxy-Connection":       true,
	"Te":                     true,
	"Trailer":                true,
	"Transfer-Encoding":      true,
	"Upgrade":                true,
	HeaderChat:               true,
	HeaderPriority:           true,
	HeaderTimeout:            true,
	HeaderIdempotencyKey:     true,
	target.HeaderRequestID:   true,
	target.HeaderTraceParent: true,
}

// passOn returns the headers that go on to the next hop.
func passOn(h http.Header) http.Header {
	named := make(map[string]bool)
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !keptHere[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}
