package engined

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(target.HeaderRequestID)
	from, resume, err := resumeOffset(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if resume {
		s.resume(w, r, id, from)
		return
	}
	in, err := decode(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g := s.newGeneration(in, id, r.Header.Get(engine.HeaderCacheKey))
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if !s.admit(w, r, g, priority) {
		return
	}
	go s.generate(g)
	s.follow(w, r, g, 0)
}

// resumeOffset returns the offset from which a reader resumes an answer.
func resumeOffset(r *http.Request) (from uint64, resume bool, err error) {
	text := r.Header.Get(engine.HeaderResumeFrom)
	if text == "" {
		return 0, false, nil
	}
	from, err = strconv.ParseUint(text, 10, 64)
	return from, true, err
}

// resume goes on with an answer that the engine still has.
func (s *Server) resume(w http.ResponseWriter, r *http.Request, id string, from uint64) {
	s.mu.Lock()
	g, ok := s.active[id]
	s.mu.Unlock()
	if !ok || from > g.length() && g.ended() {
		http.Error(w, "the answer is not kept", http.StatusGone)
		return
	}
	s.follow(w, r, g, from)
}

// admit takes a request into the batch, after a wait in the queue when the
// batch is full. Beyond the queue the engine refuses the request, and slows
// down all others while it does.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, g *generation, priority int) bool {
	s.mu.Lock()
	if !s.models.serves(g.in.Model) {
		s.mu.Unlock()
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return false
	}
	if s.batch.mustWait() {
		waiting := s.batch.enqueue(priority)
		s.activate(g)
		s.noteLoad()
		s.mu.Unlock()
		if !s.wait(r, waiting) {
			s.drop(g)
			return false
		}
		s.mu.Lock()
	} else {
		s.batch.running++
	}
	defer s.mu.Unlock()
	s.begin(g)
	if !g.run.Refused {
		return true
	}
	s.deactivate(g)
	s.leave(g)
	http.Error(w, "engine is overloaded", http.StatusServiceUnavailable)
	return false
}

// wait waits in the queue and reports whether the request was admitted.
func (s *Server) wait(r *http.Request, w *waiter) bool {
	select {
	case <-w.admitted:
		return true
	case <-r.Context().Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.batch.abandon(w) {
		// Admitted at the same moment: give the slot back.
		s.batch.leave(false)
	}
	s.noteLoad()
	return false
}

// follow writes an answer from an offset on while it is generated.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, g *generation, from uint64) {
	g.attach()
	defer s.detach(g)
	flush := http.NewResponseController(w).Flush
	w.Header().Set("Content-Type", "application/json")
	if g.in.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	if g.run.RequestID != "" {
		w.Header().Set(target.HeaderRequestID, g.run.RequestID)
	}
	w.Header().Set(target.HeaderIncarnation, strconv.FormatUint(g.incarnation, 10))
	if g.in.Stream && flush() != nil {
		return
	}
	for {
		part, ended, changed := g.read(from)
		if len(part) > 0 {
			from += uint64(len(part))
			if _, err := w.Write(part); err != nil {
				return
			}
			if g.in.Stream && flush() != nil {
				return
			}
			continue
		}
		if ended {
			if !g.whole() {
				panic(http.ErrAbortHandler)
			}
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// detach ends a generation that nobody reads, at once or after the grace.
func (s *Server) detach(g *generation) {
	if g.detach() > 0 || g.ended() {
		return
	}
	if s.opt.ResumeGrace <= 0 {
		g.cancel()
		return
	}
	readers := g.attachments()
	time.AfterFunc(s.opt.ResumeGrace, func() {
		if g.attachments() == readers {
			g.cancel()
		}
	})
}

func (s *Server) progress(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	g, ok := s.active[id]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "request is not known", http.StatusNotFound)
		return
	}
	fault.WriteJSON(w, engine.Progress{RequestID: id, Running: !g.ended(), Whole: g.whole(), Bytes: g.length()})
}

func (s *Server) cancelRequest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	g, ok := s.active[r.PathValue("id")]
	s.mu.Unlock()
	if ok {
		g.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}
