//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for a worker of the platform: a model engine, which answers prompts by
// streams, or a plain service. It registers itself in the store and writes its entry again each
// heartbeat.
type worker struct {
	site          *site
	id            string
	service, zone string
	// slots is the number of requests that run at once, queue that of those that wait.
	slots, queue int
	// events and gap shape a stream, work is the time of a plain request.
	events int
	gap    time.Duration
	// cold is the time for which a worker that starts again is cold.
	cold    time.Duration
	work    time.Duration
	address string

	mu      sync.Mutex
	version string
	born    int64
	seq     int
	// restarted is true from the second process on, leaving once the worker is to stop.
	restarted, leaving bool
	// held counts the requests that run or wait.
	held    int
	server  *http.Server
	conns   map[net.Conn]bool
	ended   chan struct{}
	arrived []arrival
}

// arrival is a request that reached a worker.
type arrival struct {
	ID      string
	At      time.Time
	Version string
	Last    string
}

// beat is the time between two entries of a worker.
const beat = 1200 * time.Millisecond

// addWorker starts a worker.
func (s *site) addWorker(w *worker) error {
	w.site, w.address = s, freeAddress()
	s.workers = append(s.workers, w)
	return w.start()
}

// start starts a process of the worker under its ID.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.born, w.seq, w.held = time.Now().UnixMilli(), 0, 0
	w.conns, w.ended = make(map[net.Conn]bool), make(chan struct{})
	p := &process{worker: w, version: w.version, born: w.born, ended: w.ended, free: make(chan struct{}, w.slots)}
	w.server = &http.Server{Handler: p, ConnState: w.track}
	server, ended := w.server, w.ended
	w.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go w.register(ended)
	w.site.record.printf("worker %s started: version %s, born %d", w.id, p.version, p.born)
	return nil
}

// startAs starts a process of another software version under the same ID.
func (w *worker) startAs(version string) error {
	w.mu.Lock()
	w.version, w.restarted = version, true
	w.mu.Unlock()
	return w.start()
}

func (w *worker) track(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// register writes the entry now and with each heartbeat, as far as the store takes it.
func (w *worker) register(ended chan struct{}) {
	for {
		w.put()
		select {
		case <-ended:
			return
		case <-time.After(beat):
		}
	}
}

// put writes the entry, if the store takes it.
func (w *worker) put() {
	if w.site.gate.isSilent() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.site.store.PutJSON("keyed.servers", w.id, map[string]any{
		"Service": w.service, "Addr": w.address, "Zone": w.zone, "Version": w.version, "Slots": w.slots,
		"State": w.state(), "ColdLeftMs": w.coldLeft(), "Seq": w.seq, "born": w.born,
	})
}

// state returns the state that the entry tells. The caller holds the lock.
func (w *worker) state() string {
	if w.leaving {
		return "draining"
	}
	return "ready"
}

// leave reports that the worker is to stop, and returns once the store has accepted that. The
// worker goes on serving.
func (w *worker) leave() {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.put()
	w.site.record.printf("worker %s is draining, as the store has accepted", w.id)
}

// isLeaving reports whether the worker is to stop.
func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// coldLeft returns how many milliseconds the worker stays cold. One that was there from the
// beginning is warm.
func (w *worker) coldLeft() int64 {
	if !w.restarted {
		return 0
	}
	return max(0, w.born+w.cold.Milliseconds()-time.Now().UnixMilli())
}

// crash ends the process of the worker. Its connections are reset.
func (w *worker) crash() {
	w.site.record.printf("worker %s crashes", w.id)
	w.stop()
}

// stop ends the process of the worker.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	close(w.ended)
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = w.server.Close()
	w.server = nil
}

// arrivals returns the requests that reached the worker.
func (w *worker) arrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrived...)
}

// process is one process of a worker.
type process struct {
	worker  *worker
	version string
	born    int64
	ended   chan struct{}
	// free holds a value for each slot that is taken.
	free chan struct{}
}

// ServeHTTP answers as the pages say.
func (p *process) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w := p.worker
	switch r.URL.Path {
	case "/-/report":
		writeJSON(out, map[string]any{"Stage": "unified", "Models": []any{}, "Busy": false, "Seq": 0, "born": p.born})
		return
	case "/-/kv-list":
		writeJSON(out, map[string]any{"epoch": p.born, "Next": 0, "held": []any{}})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	h := out.Header()
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		h.Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last := r.Header.Get("Last-Event-Id")
	w.mu.Lock()
	full := w.held >= w.slots+w.queue
	if !full {
		w.held++
		w.arrived = append(w.arrived, arrival{ID: id, At: time.Now(), Version: p.version, Last: last})
	}
	w.mu.Unlock()
	if full {
		h.Set("X-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		w.held--
		w.mu.Unlock()
	}()
	select {
	case p.free <- struct{}{}:
		defer func() { <-p.free }()
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-p.ended:
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Server-Load", p.load())
	w.site.record.printf("worker %s (%s) runs %s, %d bytes, deadline %s ms, after event %q", w.id, p.version, id, len(body), r.Header.Get("X-Deadline-Ms"), last)
	if w.isLeaving() {
		h.Set("Server-Leaving", "1")
	}
	h.Set("X-Response-Stamp", fmt.Sprintf("%s.%s", w.id, id))
	if r.Header.Get("X-Prompt-Prefix") == "" {
		p.wait(r, w.work)
		_, _ = io.WriteString(out, "done by "+w.id)
		return
	}
	p.stream(out, r, last)
}

// load returns what the worker tells of its load: requests that run and that wait, and its slots.
func (p *process) load() string {
	w := p.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	running := min(w.held, w.slots)
	return fmt.Sprintf("%d,%d,%d", running, w.held-running, w.slots)
}

// stream sends the events after the last one that the client has.
func (p *process) stream(out http.ResponseWriter, r *http.Request, last string) {
	w := p.worker
	out.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(last)
	flush := http.NewResponseController(out)
	for i := after + 1; i <= w.events; i++ {
		p.wait(r, w.gap)
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i, p.version)
		_ = flush.Flush()
	}
}

// wait waits, or ends the request if its client or the process has gone.
func (p *process) wait(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-p.ended:
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(out http.ResponseWriter, v any) {
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(v)
}
