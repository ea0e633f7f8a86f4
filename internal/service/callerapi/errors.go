package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
)

// step names this part of the path in errors.
const step = "caller"

// problem is the error of a request that can't be taken in as it is.
func problem(code call.Code, message string, cause error) *call.Error {
	return &call.Error{Code: code, Step: step, Run: call.RunNot, Message: message, Cause: cause}
}

// class is how an error looks to callers.
type class struct {
	status int
	// kind is the type that client libraries of the chat-completions API know.
	kind string
}

// classes holds the errors that are not a failure of the fleet.
var classes = map[call.Code]class{
	call.CodeBadRequest:       {http.StatusBadRequest, "invalid_request_error"},
	call.CodeKeyRequired:      {http.StatusBadRequest, "invalid_request_error"},
	call.CodeUnauthorized:     {http.StatusUnauthorized, "authentication_error"},
	call.CodeForbidden:        {http.StatusForbidden, "permission_error"},
	call.CodeNotFound:         {http.StatusNotFound, "invalid_request_error"},
	call.CodeResumeImpossible: {http.StatusConflict, "invalid_request_error"},
	call.CodeKeyExpired:       {http.StatusGone, "invalid_request_error"},
	call.CodeTooLarge:         {http.StatusRequestEntityTooLarge, "invalid_request_error"},
	call.CodeKeyReused:        {http.StatusUnprocessableEntity, "invalid_request_error"},
	call.CodeRateLimited:      {http.StatusTooManyRequests, "rate_limit_error"},
	call.CodeDeadline:         {http.StatusGatewayTimeout, "server_error"},
	call.CodeCut:              {http.StatusBadGateway, "server_error"},
	call.CodeTargetError:      {http.StatusBadGateway, "server_error"},
	call.CodeInternal:         {http.StatusInternalServerError, "server_error"},
}

func classOf(code call.Code) class {
	if c, ok := classes[code]; ok {
		return c
	}
	return class{http.StatusServiceUnavailable, "server_error"}
}

// comesBack reports whether a caller may send the request again later.
func (c class) comesBack() bool {
	return c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
}

// defaultRetryAfter is when a caller may come back if nothing better is known.
const defaultRetryAfter = time.Second

// errorBody is an error as callers see it.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	*call.Error
	Kind string `json:"type"`
	// RetryAfterMS is the time after which the caller may come back.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

func bodyOf(e *call.Error) errorBody {
	c := classOf(e.Code)
	after := e.RetryAfter
	if after <= 0 && c.comesBack() {
		after = defaultRetryAfter
	}
	return errorBody{Error: errorDetail{Error: e, Kind: c.kind, RetryAfterMS: after.Milliseconds()}}
}

func writeError(w http.ResponseWriter, e *call.Error) {
	body := bodyOf(e)
	w.Header().Set("Content-Type", "application/json")
	if body.Error.RetryAfterMS > 0 {
		// The standard header has whole seconds. Client libraries of the
		// chat-completions API prefer the one in milliseconds.
		seconds := math.Ceil(float64(body.Error.RetryAfterMS) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
		w.Header().Set(HeaderRetryAfter, strconv.FormatInt(body.Error.RetryAfterMS, 10))
	}
	if e.Code == call.CodeUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(classOf(e.Code).status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
