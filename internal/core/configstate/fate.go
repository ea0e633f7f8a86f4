package configstate

// maxFates limits how many decided publications a reader remembers.
const maxFates = 1024

// Outcome is what became of one publish record, found by its nonce.
type Outcome struct {
	// Accepted is true when the record became a version.
	Accepted bool
	// Entry is the version that the record became, or the newest version at
	// the moment it was refused.
	Entry Entry
	// Err is the reason of a refusal.
	Err error
}

// fates remembers the newest decisions. A nonce that was accepted once stays
// accepted: the same record may have been appended again.
type fates struct {
	byNonce map[string]Outcome
	order   []string
}

func (f *fates) accept(nonce string, e Entry) {
	f.put(nonce, Outcome{Accepted: true, Entry: e})
}

func (f *fates) refuse(nonce string, head Entry, err error) {
	if known, ok := f.byNonce[nonce]; ok && known.Accepted {
		return
	}
	f.put(nonce, Outcome{Entry: head, Err: err})
}

func (f *fates) put(nonce string, fate Outcome) {
	if f.byNonce == nil {
		f.byNonce = make(map[string]Outcome)
	}
	if _, ok := f.byNonce[nonce]; !ok {
		f.order = append(f.order, nonce)
	}
	f.byNonce[nonce] = fate
	for len(f.order) > maxFates {
		delete(f.byNonce, f.order[0])
		f.order = f.order[1:]
	}
}

// Outcome returns what became of the record with this nonce, and false when the
// reader has not seen it.
func (s *State) Outcome(nonce string) (Outcome, bool) {
	if fate, ok := s.fates.byNonce[nonce]; ok {
		return fate, true
	}
	// A reader that started at a snapshot has not seen the record itself.
	for _, e := range s.confirmed.history() {
		if e.Nonce == nonce {
			return Outcome{Accepted: true, Entry: e}, true
		}
	}
	return Outcome{}, false
}
