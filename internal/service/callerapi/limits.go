package callerapi

import (
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// limitRetryAfter is the retry delay of rejected requests.
const limitRetryAfter = time.Second

// limits bounds the number of requests in progress, in total and by client account.
type limits struct {
	max int

	mu      sync.Mutex
	total   int
	account map[fleet.Account]int
}

// newLimits returns limits with a total of maxTotal requests.
func newLimits(maxTotal int) *limits {
	return &limits{max: maxTotal, account: make(map[fleet.Account]int)}
}

// acquire counts a new request, or rejects it if too many are in progress. The
// total limit is a setting of the process, that of the account is in the
// configuration; an account with a limit of zero is bounded only by the total.
func (l *limits) acquire(a *config.Account) *call.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.max {
		return rejection(call.CodeOverloaded, "too many requests in progress at this VM")
	}
	if a.MaxConcurrent > 0 && l.account[a.Name] >= a.MaxConcurrent {
		return rejection(call.CodeRateLimited, "too many requests of the client account in progress")
	}
	l.total++
	l.account[a.Name]++
	return nil
}

// release ends a request that acquire has counted.
func (l *limits) release(a *config.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	if l.account[a.Name]--; l.account[a.Name] == 0 {
		delete(l.account, a.Name)
	}
}

// rejection returns the error of a request that was rejected before it ran and may
// be sent again later.
func rejection(code call.Code, message string) *call.Error {
	return &call.Error{Code: code, Step: step, Run: call.RunNot, Message: message, RetryAfter: limitRetryAfter}
}
