// Package engined is a stand-in for a model engine. It batches continuously,
// caches prompt prefixes in limited memory, bears little load while it is
// cold, and keeps a record of what it ran.
package engined

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
)

// Options shape an engine. Zero values take the defaults.
type Options struct {
	Name string
	// Slots is the number of requests that the warm engine bears at once.
	Slots int
	// ColdSlots is the number while the engine is cold; zero means that the
	// engine is never cold.
	ColdSlots int
	// Queue is the number of requests that may wait for a slot, by priority.
	// A request beyond it is refused and slows down all others.
	Queue int
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
	// CacheBytesPerToken is the size of an exported KV cache.
	CacheBytesPerToken int

	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// EventDelay holds cache events up, EventLoss is the share that is lost.
	EventDelay time.Duration
	EventLoss  float64

	// ResumeGrace is the time for which an answer goes on and is kept after
	// its reader has gone; zero ends it at once.
	ResumeGrace time.Duration
	// QuietCold keeps the incarnation when the engine turns cold.
	QuietCold bool
	// IgnoresFencing applies orders whatever their fencing number.
	IgnoresFencing bool
	// Models are loaded at the start. None means that the engine serves any.
	Models []target.LoadedModel
	// LoadTime is the time that an order to load takes.
	LoadTime time.Duration
	// Seed feeds the random choices.
	Seed uint64
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
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	rand        *rand.Rand
	incarnation uint64
	runs        []Run
	orders      []OrderRun
	cache       *prefixCache
	batch       batch
	events      *eventLog
	reports     reportLog
	models      modelSet
	active      map[string]*generation
}

// New returns an engine.
func New(opt Options) *Server {
	opt = opt.withDefaults()
	s := &Server{
		opt:         opt,
		rand:        rand.New(rand.NewPCG(opt.Seed, opt.Seed)),
		incarnation: uint64(time.Now().UnixNano()),
		batch:       newBatch(opt.Slots, opt.ColdSlots, opt.Queue),
		events:      newEventLog(),
		models:      newModelSet(opt.Models),
		active:      make(map[string]*generation),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.cache = s.newCache()
	s.noteLoad()
	return s
}

// Close ends all requests, as the end of the engine's process does.
func (s *Server) Close() { s.cancel() }

// Handler serves the engine's interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathChat, s.chat)
	mux.HandleFunc("GET "+engine.PathRequests+"{id}", s.progress)
	mux.HandleFunc("DELETE "+engine.PathRequests+"{id}", s.cancelRequest)
	mux.HandleFunc("GET "+target.ReportPath, s.report)
	mux.HandleFunc("GET "+engine.PathEvents, s.readEvents)
	mux.HandleFunc("GET "+engine.PathCache+"{key}", s.exportCache)
	mux.HandleFunc("PUT "+engine.PathCache+"{key}", s.importCache)
	mux.HandleFunc("POST "+engine.PathOrders, s.order)
	return mux
}

// AdminHandler serves what only experiments use: POST /admin/cold and
// /admin/warm, and GET /admin/orders.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/cold", func(w http.ResponseWriter, _ *http.Request) {
		s.TurnCold()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /admin/warm", func(w http.ResponseWriter, _ *http.Request) {
		s.WarmUp()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /admin/orders", func(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, s.Orders()) })
	return mux
}

// TurnCold makes the engine cold without warning: it loses its cache and
// bears ColdSlots requests until it has warmed up again.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opt.QuietCold {
		s.incarnation++
		s.events.restart()
	}
	s.cache = s.newCache()
	s.emit(engine.Event{Kind: engine.EventCleared})
	s.batch.turnCold()
	s.noteLoad()
}

// WarmUp makes the engine bear its full load at once.
func (s *Server) WarmUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.limit = s.batch.slots
	s.noteLoad()
}
