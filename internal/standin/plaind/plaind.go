// Package plaind is a stand-in for one worker of a plain service, such as a
// print queue.
package plaind

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

// StatusPath is the path at which a worker with status lookup tells the
// outcome of a call, as configuration writes it.
const StatusPath = "/v1/status/" + plain.KeyPlaceholder

// Options shape a worker.
type Options struct {
	Name string
	// Slots is the number of calls that the worker bears at once; zero means
	// any. A call beyond it is refused without effect.
	Slots int
	// Work is the time that a call takes. Its effect happens halfway.
	Work time.Duration
	// StatusLookup lets callers ask for the outcome of a key.
	StatusLookup bool
	// RunsAbandoned makes the worker finish calls whose caller has gone, as
	// one with a queue of its own does.
	RunsAbandoned bool
}

// Run is one entry of the worker's own record of what it ran.
type Run struct {
	RequestID string    `json:"request_id"`
	Key       string    `json:"key"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Body      string    `json:"body"`
	Started   time.Time `json:"started"`
	// At is the time of the effect.
	At time.Time `json:"at"`
	// Running is the number of calls in progress at the start, this one
	// included.
	Running int `json:"running"`
}

// Server is one worker.
type Server struct {
	opt         Options
	incarnation uint64

	mu       sync.Mutex
	running  int
	refused  int
	runs     []Run
	outcomes map[string]plain.Outcome
}

// New returns a worker without limits that answers at once.
func New(name string) *Server { return NewWith(Options{Name: name}) }

// NewWith returns a worker.
func NewWith(opt Options) *Server {
	return &Server{
		opt:         opt,
		incarnation: uint64(time.Now().UnixNano()),
		outcomes:    make(map[string]plain.Outcome),
	}
}

// Runs returns the worker's record.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Refused returns the number of calls that were refused without effect.
func (s *Server) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// Handler runs any call.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.ReportPath, s.report)
	if s.opt.StatusLookup {
		mux.HandleFunc("GET "+StatusPath, s.status)
	}
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Run{
		RequestID: r.Header.Get(target.HeaderRequestID),
		Key:       r.Header.Get(plain.HeaderKey),
		Method:    r.Method,
		Path:      r.URL.Path,
		Body:      string(body),
		Started:   time.Now(),
	}
	if !s.begin(&run) {
		http.Error(w, "worker is busy", http.StatusServiceUnavailable)
		return
	}
	ctx := r.Context()
	if s.opt.RunsAbandoned {
		// The work goes on without the caller.
		done := make(chan []byte, 1)
		go func() {
			time.Sleep(s.opt.Work / 2)
			done <- s.effect(run)
		}()
		s.answer(w, r, run, <-done)
		return
	}
	if !fault.Sleep(ctx, s.opt.Work/2) {
		s.end()
		return
	}
	s.answer(w, r, run, s.effect(run))
}

// begin takes a call in if there is room.
func (s *Server) begin(run *Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opt.Slots > 0 && s.running >= s.opt.Slots {
		s.refused++
		return false
	}
	s.running++
	run.Running = s.running
	if run.Key != "" {
		s.outcomes[run.Key] = plain.Outcome{State: plain.StateRunning}
	}
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// effect runs the call and returns its answer.
func (s *Server) effect(run Run) []byte {
	run.At = time.Now()
	answer, _ := json.Marshal(map[string]string{"worker": s.opt.Name, "key": run.Key, "echo": run.Body})
	answer = append(answer, '\n')
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	if run.Key != "" {
		s.outcomes[run.Key] = plain.Outcome{State: plain.StateDone, Status: http.StatusOK, Body: answer}
	}
	return answer
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, run Run, answer []byte) {
	defer s.end()
	fault.Sleep(r.Context(), s.opt.Work-s.opt.Work/2)
	w.Header().Set("Content-Type", "application/json")
	if run.RequestID != "" {
		w.Header().Set(target.HeaderRequestID, run.RequestID)
	}
	_, _ = w.Write(answer)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	outcome, ok := s.outcomes[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		outcome.State = plain.StateUnknown
	}
	fault.WriteJSON(w, outcome)
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.WriteJSON(w, target.Report{
		Incarnation: s.incarnation,
		At:          time.Now(),
		Running:     s.running,
		Slots:       s.opt.Slots,
		Capacity:    s.opt.Slots,
	})
}
