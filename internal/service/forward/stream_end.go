package forward

import "errors"

// errNoEvents is the error of a stream that ends with its connection before any event.
var errNoEvents = errors.New("connection closed before the first event of the stream")

// lacksEvents reports whether a stream ended with its connection before any event, which
// is what a target that crashes after the head does too. No event is a complete stream
// only for a caller that asked for the rest of one.
func (r *request) lacksEvents(resp *Response) bool {
	return resp.Unframed && !resp.passedOn && (r.headSent || r.LastEventID == "")
}
