package callerapi

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
	"github.com/zinniafork/zinniafork/internal/target"
)

// Request headers.
const (
	// HeaderChat is the ID of the chat that a request belongs to.
	HeaderChat = "X-Chat-Id"
	// HeaderPriority is the priority of the request: low, normal or high. The
	// default is normal.
	HeaderPriority = "X-Priority"
	// HeaderTimeout is how long the caller waits for the complete response, in
	// milliseconds. It can only shorten the deadline of the configuration.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderIdempotencyKey is the key of an order, a call that runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLastEventID resumes a streamed response after the event with that ID.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderAdapter and HeaderVersion select an adapter and a version of the model.
	HeaderAdapter = "X-Model-Adapter"
	HeaderVersion = "X-Model-Version"
)

// HeaderRetryAfter is a header of error responses: the time to wait before a retry,
// in milliseconds.
const HeaderRetryAfter = "Retry-After-Ms"

// priorities maps the values of HeaderPriority in lower case.
var priorities = map[string]call.Priority{
	"":       call.PriorityNormal,
	"low":    call.PriorityLow,
	"normal": call.PriorityNormal,
	"high":   call.PriorityHigh,
}

// readBody reads the body of a request of a client account. It fails if the body is too large,
// takes longer than the setting body_timeout, or finds no room. The connection is closed then.
func (s *Service) readBody(w http.ResponseWriter, r *http.Request, account *config.Account) (*membudget.Body, *call.Error) {
	body, err := membudget.ReadBody(s.memory, w, r, membudget.Owner(account.Name), membudget.ReadLimits{
		Bytes: int(s.settings.MaxBodyBytes), Timeout: s.settings.BodyTimeout.Std(),
	})
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, membudget.ErrTooLarge):
		return nil, requestError(call.CodeTooLarge, fmt.Sprintf("body is larger than %d bytes", s.settings.MaxBodyBytes), err)
	case errors.Is(err, membudget.ErrExhausted):
		return nil, rejection(call.CodeOverloaded, "this VM is out of memory for requests")
	default:
		return nil, requestError(call.CodeBadRequest, "cannot read the body", err)
	}
}

// newRequest returns a request with the fields that all kinds share. limit is the
// longest time that the request may take; the caller can ask for less in the header
// X-Timeout-Ms.
func (s *Service) newRequest(kind call.Kind, r *http.Request, account *config.Account, limit time.Duration) (*call.Request, *call.Error) {
	priority, ok := priorities[strings.ToLower(r.Header.Get(HeaderPriority))]
	if !ok {
		return nil, requestError(call.CodeBadRequest, HeaderPriority+": want low, normal or high", nil)
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return nil, requestError(call.CodeBadRequest, HeaderTimeout+": want a number of milliseconds above zero", err)
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

// newID returns a new request ID, a random UUID with a checksum of UUID and client
// account. The checksum keeps other accounts from resuming the response.
func newID(account fleet.Account) call.ID {
	id := uuid.NewString()
	return call.ID(id + "-" + accountChecksum(id, account))
}

// accountChecksum returns the checksum of a UUID and a client account.
func accountChecksum(id string, account fleet.Account) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(string(account)+"\x00"+id)))
}

// isIssuedTo reports whether the request ID was issued to the client account.
func isIssuedTo(id call.ID, account fleet.Account) bool {
	sep := strings.LastIndexByte(string(id), '-')
	return sep > 0 && string(id[sep+1:]) == accountChecksum(string(id[:sep]), account)
}

// notForwarded lists the headers that are not forwarded: hop-by-hop headers,
// headers that the router itself interprets, and the API key of the caller.
var notForwarded = map[string]bool{
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

// forwardedHeaders returns the headers to forward to a target or to the caller. It
// leaves out those in notForwarded and those that the header Connection lists.
func forwardedHeaders(h http.Header) http.Header {
	named := make(map[string]bool)
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !notForwarded[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}
