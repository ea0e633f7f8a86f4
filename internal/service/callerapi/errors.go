package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
)

// step is the name of the caller interface in errors, call.Error.Step.
const step = "caller"

// requestError returns the error of an invalid or unauthorized request. It has not
// run, and sending it again unchanged does not help.
func requestError(code call.Code, message string, cause error) *call.Error {
	return &call.Error{Code: code, Step: step, Run: call.RunNot, Message: message, Cause: cause}
}

// errorClass is the HTTP form of an error code.
type errorClass struct {
	status int
	// errorType is the error type of the chat-completions API, by which its client
	// libraries tell errors apart.
	errorType string
}

// errorClasses maps error codes to their HTTP form. Codes that are not listed are
// failures of the fleet and get the default of errorClassOf.
var errorClasses = map[call.Code]errorClass{
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

// errorClassOf returns the HTTP form of an error code. The default is status 503,
// which callers may retry.
func errorClassOf(code call.Code) errorClass {
	if c, ok := errorClasses[code]; ok {
		return c
	}
	return errorClass{http.StatusServiceUnavailable, "server_error"}
}

// isRetryable reports whether the caller may send the request again later.
func (c errorClass) isRetryable() bool {
	return c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
}

// defaultRetryAfter is the retry delay for callers if the error has none.
const defaultRetryAfter = time.Second

// errorBody is the body of an error response, in the form of the chat-completions
// API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail holds the fields of call.Error and those that only callers get.
type errorDetail struct {
	*call.Error
	Kind string `json:"type"`
	// RetryAfterMS is the time to wait before a retry, in milliseconds; left
	// out if the error is not retryable and has no retry delay.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// newErrorBody returns the body of the response for an error. Retryable errors get
// a retry delay if they have none.
func newErrorBody(e *call.Error) errorBody {
	c := errorClassOf(e.Code)
	after := e.RetryAfter
	if after <= 0 && c.isRetryable() {
		after = defaultRetryAfter
	}
	return errorBody{Error: errorDetail{Error: e, Kind: c.errorType, RetryAfterMS: after.Milliseconds()}}
}

// writeError writes an error as the complete response.
func writeError(w http.ResponseWriter, e *call.Error) {
	body := newErrorBody(e)
	w.Header().Set("Content-Type", "application/json")
	if body.Error.RetryAfterMS > 0 {
		// Retry-After has whole seconds. Client libraries of the chat-completions
		// API prefer the header in milliseconds.
		seconds := math.Ceil(float64(body.Error.RetryAfterMS) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
		w.Header().Set(HeaderRetryAfter, strconv.FormatInt(body.Error.RetryAfterMS, 10))
	}
	if e.Code == call.CodeUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(errorClassOf(e.Code).status)
	_ = json.NewEncoder(w).Encode(body)
}

// writeJSON writes v as a response with status 200.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
