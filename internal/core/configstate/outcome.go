package configstate

// maxOutcomes limits the number of publish outcomes that a reader remembers.
const maxOutcomes = 1024

// Outcome is the result of one publish record, identified by its nonce.
type Outcome struct {
	// Accepted is true when the record became a version.
	Accepted bool
	// Entry is the version that the record became, or the newest version at the
	// time of the rejection.
	Entry Entry
	// Err is the reason for a rejection.
	Err error
}

// outcomeLog remembers the most recent outcomes. A nonce that was accepted
// stays accepted, because the same record may have been appended again.
type outcomeLog struct {
	byNonce map[string]Outcome
	order   []string
}

// accept records that the record with this nonce became version e.
func (l *outcomeLog) accept(nonce string, e Entry) {
	l.set(nonce, Outcome{Accepted: true, Entry: e})
}

// reject records a rejection, unless the nonce was accepted before.
func (l *outcomeLog) reject(nonce string, head Entry, err error) {
	if known, ok := l.byNonce[nonce]; ok && known.Accepted {
		return
	}
	l.set(nonce, Outcome{Entry: head, Err: err})
}

// set stores an outcome and drops the oldest ones beyond maxOutcomes.
func (l *outcomeLog) set(nonce string, outcome Outcome) {
	if l.byNonce == nil {
		l.byNonce = make(map[string]Outcome)
	}
	if _, ok := l.byNonce[nonce]; !ok {
		l.order = append(l.order, nonce)
	}
	l.byNonce[nonce] = outcome
	for len(l.order) > maxOutcomes {
		delete(l.byNonce, l.order[0])
		l.order = l.order[1:]
	}
}

// Outcome returns the outcome of the record with this nonce, and false when the
// reader has not seen it.
func (s *State) Outcome(nonce string) (Outcome, bool) {
	if outcome, ok := s.outcomes.byNonce[nonce]; ok {
		return outcome, true
	}
	// A reader that started at a snapshot has not read the record itself.
	for _, e := range s.confirmed.history() {
		if e.Nonce == nonce {
			return Outcome{Accepted: true, Entry: e}, true
		}
	}
	return Outcome{}, false
}
