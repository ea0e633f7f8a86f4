package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/service/admin"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
)

// statusOf maps codes to HTTP statuses.
var statusOf = map[admin.Code]int{
	admin.CodeBadRequest:   http.StatusBadRequest,
	admin.CodeUnauthorized: http.StatusUnauthorized,
	admin.CodeForbidden:    http.StatusForbidden,
	admin.CodeNotFound:     http.StatusNotFound,
	admin.CodeInvalid:      http.StatusUnprocessableEntity,
	admin.CodeUnchanged:    http.StatusConflict,
	admin.CodeStale:        http.StatusConflict,
	admin.CodeLost:         http.StatusConflict,
	admin.CodeCapacity:     http.StatusConflict,
	admin.CodeUnknown:      http.StatusGatewayTimeout,
	admin.CodeRateLimited:  http.StatusTooManyRequests,
	admin.CodeTooLarge:     http.StatusRequestEntityTooLarge,
	admin.CodeUnavailable:  http.StatusServiceUnavailable,
	admin.CodeInternal:     http.StatusInternalServerError,
}

// retryAfterSeconds tells a limited caller when to come back.
const retryAfterSeconds = "1"

func writeError(w http.ResponseWriter, e *admin.Error) {
	w.Header().Set("Content-Type", "application/json")
	switch e.Code {
	case admin.CodeUnauthorized:
		w.Header().Set("WWW-Authenticate", "Bearer")
	case admin.CodeRateLimited:
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(statusOf[e.Code])
	_ = json.NewEncoder(w).Encode(e)
}

func badRequest(format string, args ...any) *admin.Error {
	return &admin.Error{Code: admin.CodeBadRequest, Message: fmt.Sprintf(format, args...)}
}

func notFound(format string, args ...any) *admin.Error {
	return &admin.Error{
		Code: admin.CodeNotFound, Message: fmt.Sprintf(format, args...),
		Next: "see " + admin.PathOpenAPI + " for what there is",
	}
}

func forbidden(next, format string, args ...any) *admin.Error {
	return &admin.Error{Code: admin.CodeForbidden, Message: fmt.Sprintf(format, args...), Next: next}
}

func rateLimited(message string) *admin.Error {
	return &admin.Error{Code: admin.CodeRateLimited, Message: message, Next: "wait a second and try again"}
}

func unavailable(next, format string, args ...any) *admin.Error {
	return &admin.Error{Code: admin.CodeUnavailable, Message: fmt.Sprintf(format, args...), Next: next}
}

// asError returns err as an answer.
func asError(err error) *admin.Error {
	var own *admin.Error
	if errors.As(err, &own) {
		return own
	}
	var problems config.Problems
	if errors.As(err, &problems) {
		return &admin.Error{
			Code: admin.CodeInvalid, Problems: problems,
			Message: problemCount(len(problems)),
			Next:    "mend them and check again with zfctl validate",
		}
	}
	var lost *configsync.ConflictError
	if errors.As(err, &lost) {
		return &admin.Error{
			Code: admin.CodeLost, Message: lost.Error(), Newest: &lost.Winner,
			Next: "look at the other change with zfctl diff, then publish again on top of it",
		}
	}
	var failed *call.Error
	if errors.As(err, &failed) {
		return callError(failed)
	}
	return configError(err)
}

func problemCount(n int) string {
	if n == 1 {
		return "the configuration has a problem"
	}
	return fmt.Sprintf("the configuration has %d problems", n)
}

func configError(err error) *admin.Error {
	switch {
	case errors.Is(err, configstate.ErrStaleParent):
		return &admin.Error{
			Code: admin.CodeStale, Message: err.Error(),
			Next: "look at the newer version with zfctl diff, then publish on top of it",
		}
	case errors.Is(err, configstate.ErrUnchanged):
		return &admin.Error{Code: admin.CodeUnchanged, Message: "nothing would change"}
	case errors.Is(err, configstate.ErrContent):
		return badRequest("%v", err)
	case errors.Is(err, configsync.ErrOutcomeUnknown):
		return &admin.Error{
			Code: admin.CodeUnknown, Message: err.Error(),
		}
	}
	return &admin.Error{Code: admin.CodeInternal, Message: err.Error()}
}

func callError(e *call.Error) *admin.Error {
	out := &admin.Error{Code: admin.CodeUnavailable, Message: e.Step + ": " + e.Message, Next: "try again, or ask another router"}
	if e.Peer != "" {
		out.Message = e.Step + " at " + e.Peer + ": " + e.Message
	}
	switch e.Code {
	case call.CodeNotFound:
		out.Code, out.Next = admin.CodeNotFound, ""
	case call.CodeBadRequest, call.CodeKeyReused, call.CodeKeyExpired:
		out.Code, out.Next = admin.CodeBadRequest, ""
	}
	return out
}
