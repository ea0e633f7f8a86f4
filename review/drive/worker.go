//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It outlives its processes: crash ends the running
// one, and restart starts another one under the same Id and address.
type worker struct {
	bed         *bed
	id, service string
	engine      bool
	slots       int
	events      int
	gap         time.Duration
	work        time.Duration
	// deadly reports whether a request crashes the process that begins to run it, and
	// onDeadly then crashes it.
	deadly   func(r *http.Request, body string) bool
	onDeadly func(w *worker)
	address  string

	mu        sync.Mutex
	version   string
	born      int64
	seq       int
	up        bool
	listener  net.Listener
	server    *http.Server
	process   context.Context
	end       context.CancelFunc
	running   int
	lastBeat  time.Time
	withdrawn bool
	runs      []run
}

// run is a request that the worker ran.
type run struct {
	at                  time.Time
	id, path, lastEvent string
	body                string
	worker, version     string
	deadly              bool
}

// addWorker starts a worker.
func (b *bed) addWorker(w *worker) error {
	w.bed = b
	if err := w.start(w.version); err != nil {
		return err
	}
	b.mu.Lock()
	b.workers = append(b.workers, w)
	b.mu.Unlock()
	go w.beatLoop()
	return nil
}

// start starts a process of the worker with a version of its software.
func (w *worker) start(version string) error {
	address := w.address
	if address == "" {
		address = w.bed.ip + ":0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address, w.listener, w.up = ln.Addr().String(), ln, true
	w.version, w.born, w.seq, w.running = version, time.Now().UnixMilli(), 0, 0
	w.process, w.end = context.WithCancel(context.Background())
	process := w.process
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(process, rw, r) })}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	w.bed.record.line("worker %s starts with software %s", w.id, version)
	w.beat()
	return nil
}

// crash ends the running process: its connections and its port are closed. It reports
// whether one was running.
func (w *worker) crash() bool {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return false
	}
	w.up = false
	server, end := w.server, w.end
	w.mu.Unlock()
	end()
	_ = server.Close()
	w.bed.record.line("worker %s crashes", w.id)
	return true
}

// beatLoop writes the entry each beatPeriod, at once when the store is back, and removes
// it after three heartbeat intervals of silence.
func (w *worker) beatLoop() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-w.bed.stop:
			return
		case <-tick.C:
		}
		w.mu.Lock()
		up, silent := w.up, time.Since(w.lastBeat)
		withdraw := !up && !w.withdrawn && silent > 3*beatPeriod && w.bed.storeUp()
		if withdraw {
			w.withdrawn = true
		}
		w.mu.Unlock()
		switch {
		case withdraw:
			w.bed.store.Put("keyed.servers", w.id, nil)
			w.bed.record.line("the entry of worker %s is removed", w.id)
		case up && silent >= beatPeriod:
			w.beat()
		}
	}
}

// beat writes the entry if the store is up.
func (w *worker) beat() {
	if !w.bed.storeUp() {
		return
	}
	w.mu.Lock()
	w.seq++
	w.lastBeat, w.withdrawn = time.Now(), false
	entry := map[string]any{
		"Service": w.service, "Addr": w.address, "Zone": "pos", "Version": w.version, "Slots": w.slots, "State": "ready",
		"ColdLeftMs": 0, "Seq": w.seq, "born": w.born,
	}
	if w.engine {
		entry["Stage"] = "unified"
		entry["Models"] = []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}
	}
	w.mu.Unlock()
	w.bed.store.PutJSON("keyed.servers", w.id, entry)
}

// note records a run and returns its number.
func (w *worker) note(r *http.Request, body string) run {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := run{
		deadly: w.deadly != nil && w.deadly(r, body),
		at:     time.Now(), id: r.Header.Get("X-Request-Id"), path: r.RequestURI, lastEvent: r.Header.Get("Last-Event-Id"), body: body,
		worker: w.id, version: w.version,
	}
	w.runs = append(w.runs, one)
	return one
}

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// serve serves one request by the users' page.
func (w *worker) serve(process context.Context, rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("X-Instance-Id", w.id)
	switch r.URL.Path {
	case "/health":
		return
	case "/-/kv-list":
		h.Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, `{"epoch":1,"Next":0,"held":[]}`)
		return
	case "/-/report":
		h.Set("Content-Type", "application/json")
		w.mu.Lock()
		defer w.mu.Unlock()
		fmt.Fprintf(rw, `{"Stage":"unified","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Seq":0,"Waiting":0,"Running":%d,"KvUsed":0,"KvTotal":447171,"Handles":0,"born":%d}`, w.running, w.born)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	full := w.running >= w.slots
	if !full {
		w.running++
	}
	w.mu.Unlock()
	if full || id == "" {
		h.Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	one := w.note(r, string(body))
	h.Set("X-Response-Stamp", fmt.Sprintf("stamp.%s.%s", w.id, id))
	if one.deadly {
		w.wait(process, r, 5*time.Millisecond)
		w.bed.record.line("worker %s runs the deadly request %s", w.id, id)
		go w.onDeadly(w)
		<-process.Done()
		panic(http.ErrAbortHandler)
	}
	if !w.engine {
		w.wait(process, r, w.work)
		fmt.Fprintf(rw, "answer of %s to %s", w.id, id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(one.lastEvent) // zero at the beginning
	flush := http.NewResponseController(rw)
	for i := first + 1; i <= w.events; i++ {
		w.wait(process, r, w.gap)
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of software %s at %s\n\n", i, i, one.version, one.worker)
		_ = flush.Flush()
	}
}

// wait waits, or ends the request when its caller or the process has gone.
func (w *worker) wait(process context.Context, r *http.Request, d time.Duration) {
	select {
	case <-process.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(d):
	}
}

// sortRuns sorts runs by time.
func sortRuns(runs []run) {
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
}
