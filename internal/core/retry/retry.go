// Package retry limits retries to a share of requests, so that failures of
// targets do not multiply the load on the others.
//
// Budget and Budgets limit retries per client account or target; WindowBudget
// limits those of all routers together within a time window.
package retry

// Budget is a token bucket that allows a share of requests to be retried: each
// request adds ratio tokens and each retry takes one. It is not safe for
// concurrent use.
type Budget struct {
	ratio   float64
	balance float64
}

// maxBalance is the number of retries that a new budget allows before any
// request, and the most that a budget saves up.
const maxBalance = 10

// NewBudget returns a full budget that earns ratio retries with each request.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, balance: maxBalance} }

// SetRatio replaces the number of retries that each request earns.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// AddRequest counts the first send of a request.
func (b *Budget) AddRequest() { b.balance = min(b.balance+b.ratio, maxBalance) }

// Take reports whether a retry is allowed, and counts it.
func (b *Budget) Take() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Refund returns a retry that was taken and not used.
func (b *Budget) Refund() { b.balance = min(b.balance+1, maxBalance) }

// Budgets holds one budget per key, such as a client account. It is not safe
// for concurrent use.
type Budgets[K comparable] struct {
	ratio   float64
	budgets map[K]*Budget
}

// NewBudgets returns budgets that all have the same ratio.
func NewBudgets[K comparable](ratio float64) *Budgets[K] {
	return &Budgets[K]{ratio: ratio, budgets: make(map[K]*Budget)}
}

// SetRatio replaces the ratio of all budgets, later ones included.
func (b *Budgets[K]) SetRatio(ratio float64) {
	b.ratio = ratio
	for _, budget := range b.budgets {
		budget.SetRatio(ratio)
	}
}

// For returns the budget of a key and creates it on first use.
func (b *Budgets[K]) For(key K) *Budget {
	budget, ok := b.budgets[key]
	if !ok {
		budget = NewBudget(b.ratio)
		b.budgets[key] = budget
	}
	return budget
}
