package engined

import (
	"net/http"
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/target/engine"
)

// maxEvents limits the events that are kept for readers.
const maxEvents = 4096

// eventLog keeps the newest cache events.
type eventLog struct {
	events  []engine.Event
	next    uint64
	changed chan struct{}
}

func newEventLog() *eventLog { return &eventLog{changed: make(chan struct{})} }

func (l *eventLog) restart() { l.events, l.next = nil, 0 }

func (s *Server) newCache() *prefixCache {
	return newPrefixCache(s.opt.CacheTokens, func(key string) {
		s.emit(engine.Event{Kind: engine.EventEvicted, Key: key})
	})
}

// emit numbers an event and keeps it, unless it is one of those that are
// lost. The caller holds the lock.
func (s *Server) emit(e engine.Event) {
	l := s.events
	e.Seq, e.At = l.next, time.Now()
	l.next++
	if s.opt.EventLoss > 0 && s.rand.Float64() < s.opt.EventLoss {
		return
	}
	l.events = append(l.events, e)
	if len(l.events) > maxEvents {
		l.events = l.events[1:]
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// store notes a prompt in the cache and returns its cached tokens. The caller
// holds the lock.
func (s *Server) store(key string, prompt []Block) int {
	cached := s.cache.use(key, prompt)
	if key != "" {
		s.emit(engine.Event{Kind: engine.EventStored, Key: key, Tokens: promptTokens(prompt)})
	}
	return cached
}

func (s *Server) readEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	limit := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer limit.Stop()
	for {
		page, due, changed := s.eventPage(from)
		if len(page.Events) > 0 {
			fault.WriteJSON(w, page)
			return
		}
		if due <= 0 {
			due = time.Hour
		}
		select {
		case <-changed:
		case <-time.After(due):
		case <-limit.C:
			fault.WriteJSON(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventPage returns the events from a number on that are old enough, and the
// time until the next one is.
func (s *Server) eventPage(from uint64) (engine.EventPage, time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := engine.EventPage{Incarnation: s.incarnation, Next: from}
	for _, e := range s.events.events {
		if e.Seq < from {
			continue
		}
		if age := time.Since(e.At); age < s.opt.EventDelay {
			return page, s.opt.EventDelay - age, s.events.changed
		}
		page.Events = append(page.Events, e)
		page.Next = e.Seq + 1
	}
	return page, 0, s.events.changed
}
