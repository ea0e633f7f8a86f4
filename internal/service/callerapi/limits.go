package callerapi

import (
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// limitRetryAfter is when a caller that met a limit may come back.
const limitRetryAfter = time.Second

// limits counts the requests in progress.
type limits struct {
	max int

	mu      sync.Mutex
	total   int
	account map[fleet.Account]int
}

func newLimits(maxTotal int) *limits {
	return &limits{max: maxTotal, account: make(map[fleet.Account]int)}
}

// enter takes a request in, or refuses it when too many are in progress.
func (l *limits) enter(a *config.Account) *call.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.max {
		return refusal(call.CodeOverloaded, "too many requests in progress at this VM")
	}
	if a.MaxConcurrent > 0 && l.account[a.Name] >= a.MaxConcurrent {
		return refusal(call.CodeRateLimited, "too many requests of the client account in progress")
	}
	l.total++
	l.account[a.Name]++
	return nil
}

func (l *limits) leave(a *config.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	if l.account[a.Name]--; l.account[a.Name] == 0 {
		delete(l.account, a.Name)
	}
}

// refusal is the error of a request that was not taken in.
func refusal(code call.Code, message string) *call.Error {
	return &call.Error{Code: code, Step: step, Run: call.RunNot, Message: message, RetryAfter: limitRetryAfter}
}
