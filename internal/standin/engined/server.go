// Package engined is a stand-in for a model engine. It batches continuously,
// caches prompt prefixes in limited memory, bears little load while it is
// cold, and keeps a record of what it ran.
package engined

import (
	"net/http"
	"sync"
	"time"
)

// Options shape an engine. Zero values take the defaults.
type Options struct {
	Name string
	// Slots is the number of requests that the warm engine bears at once.
	Slots int
	// ColdSlots is the number while the engine is cold; zero means that the
	// engine is never cold.
	ColdSlots int
	// Prefill is the time before the first token of an empty prompt, and
	// PrefillPerToken what each token that is not cached adds.
	Prefill         time.Duration
	PrefillPerToken time.Duration
	// PerToken is the time between tokens of a request that runs alone.
	PerToken time.Duration
	// Tokens is the length of an answer whose request sets no max_tokens.
	Tokens int
	// CacheTokens is the number of prompt tokens that the cache holds.
	CacheTokens int
}

const (
	defaultSlots       = 8
	defaultCacheTokens = 100_000
)

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.CacheTokens == 0 {
		o.CacheTokens = defaultCacheTokens
	}
	return o
}

// Server is one engine.
type Server struct {
	opt Options

	mu    sync.Mutex
	runs  []Run
	cache *prefixCache
	batch batch
}

// New returns an engine.
func New(opt Options) *Server {
	opt = opt.withDefaults()
	return &Server{
		opt:   opt,
		cache: newPrefixCache(opt.CacheTokens),
		batch: newBatch(opt.Slots, opt.ColdSlots),
	}
}

// Handler serves the chat-completions API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.chat)
	return mux
}

// TurnCold makes the engine cold without warning: it loses its cache and
// bears ColdSlots requests until it has warmed up again.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache = newPrefixCache(s.opt.CacheTokens)
	s.batch.turnCold()
}

// WarmUp makes the engine bear its full load at once.
func (s *Server) WarmUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.limit = s.batch.slots
}
