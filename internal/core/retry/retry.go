// Package retry limits how many requests are tried again, so that failures
// don't multiply the load.
package retry

// Budget lets a share of requests be tried again. Each request adds to the
// budget and each retry takes one off. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	balance float64
}

// reserve is the number of retries that a budget allows before any request,
// and the most that it saves up.
const reserve = 10

// NewBudget returns a budget that allows ratio retries for each request.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, balance: reserve} }

// SetRatio replaces the share of requests that may be tried again.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// AddRequest notes a first try.
func (b *Budget) AddRequest() { b.balance = min(b.balance+b.ratio, reserve) }

// Take reports whether a retry is allowed, and counts it.
func (b *Budget) Take() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Refund takes back a retry that was not used.
func (b *Budget) Refund() { b.balance = min(b.balance+1, reserve) }

// Budgets holds one budget for each name, such as a client account.
type Budgets[K comparable] struct {
	ratio  float64
	byName map[K]*Budget
}

// NewBudgets returns budgets of the same ratio.
func NewBudgets[K comparable](ratio float64) *Budgets[K] {
	return &Budgets[K]{ratio: ratio, byName: make(map[K]*Budget)}
}

// SetRatio replaces the ratio of all budgets.
func (b *Budgets[K]) SetRatio(ratio float64) {
	b.ratio = ratio
	for _, one := range b.byName {
		one.SetRatio(ratio)
	}
}

// For returns the budget of a name.
func (b *Budgets[K]) For(name K) *Budget {
	one, ok := b.byName[name]
	if !ok {
		one = NewBudget(b.ratio)
		b.byName[name] = one
	}
	return one
}
