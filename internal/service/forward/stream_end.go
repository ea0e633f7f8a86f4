package forward

// lacksEvents reports whether a stream ended with its connection before any event, which
// is what a target that crashes after the head does too. No event is a complete stream
// only for a caller that asked for the rest of one, and only once two targets say so.
func (r *request) lacksEvents(s *send) bool {
	return s.resp.Unframed && !s.responded && (r.headSent || r.LastEventID == "" || !r.emptyRest)
}

// hedgeLacksEvents is lacksEvents for a hedge that ended without an event.
func (r *request) hedgeLacksEvents(s *send) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lacksEvents(s)
}
