package engined

import "time"

// Run is one entry of the engine's own record of what it ran.
type Run struct {
	RequestID string `json:"request_id"`
	// User is the user field of the request's body.
	User       string    `json:"user,omitempty"`
	Model      string    `json:"model"`
	Started    time.Time `json:"started"`
	FirstToken time.Time `json:"first_token"`
	Ended      time.Time `json:"ended"`
	// Whole is true when the answer was generated to its end.
	Whole bool `json:"whole"`
	// PromptTokens counts the prompt, CachedTokens its part found in cache.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Running is the number of requests in progress at the start, this one
	// included, and Limit what the engine could bear then.
	Running int `json:"running"`
	Limit   int `json:"limit"`
	// Cold is true when the engine was cold at the start.
	Cold bool `json:"cold"`
	// Refused is true when the engine was over its limit and ran nothing.
	Refused bool `json:"refused,omitempty"`
}

// Runs returns the engine's record of ended requests.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}
