package app

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
	"github.com/zinniafork/zinniafork/internal/target/plain"
)

// fleetTargets is an engine and a worker, whose responses come in parts and are all the same.
type fleetTargets struct {
	mu sync.Mutex
	// framing is how the end of a response is told: "chunked", "length" or "unframed".
	framing string
	// seen counts the runs by request and by key.
	seen map[string]int
}

const (
	fleetParts = 10
	fleetGap   = 200 * time.Millisecond
)

// fleetBody returns a whole response: a stream of events, or a long plain one.
func fleetBody(stream bool) string {
	var out strings.Builder
	for i := range fleetParts {
		if stream {
			fmt.Fprintf(&out, "data: {\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", i)
			continue
		}
		out.WriteString(strings.Repeat(strconv.Itoa(i), 5000))
	}
	if stream {
		out.WriteString("data: [DONE]\n\n")
	}
	return out.String()
}

// runs returns how often a request or the order of a key was run.
func (f *fleetTargets) runs(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[name]
}

func (f *fleetTargets) setFraming(framing string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.framing = framing
}

func (f *fleetTargets) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.ReportPath, func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, target.Report{Incarnation: 1, At: time.Now(), Slots: 64, Capacity: 64})
	})
	mux.HandleFunc("GET "+engine.PathRequests+"{id}", func(w http.ResponseWriter, r *http.Request) {
		fault.WriteJSON(w, engine.Progress{RequestID: r.PathValue("id")})
	})
	mux.HandleFunc("DELETE "+engine.PathRequests+"{id}", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET "+engine.PathEvents, http.NotFound)
	mux.HandleFunc("/", f.run)
	return mux
}

// run answers a request from the offset that it asks for.
func (f *fleetTargets) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	framing := f.framing
	f.seen[r.Header.Get(target.HeaderRequestID)]++
	f.seen[r.Header.Get(plain.HeaderKey)]++
	f.mu.Unlock()
	stream, contentType := r.URL.Path == engine.PathChat, "text/plain"
	if stream {
		contentType = "text/event-stream"
	}
	body := fleetBody(stream)
	from, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeFrom))
	w.Header().Set("Content-Type", contentType)
	var out io.Writer = w
	flush := http.NewResponseController(w).Flush
	switch framing {
	case "length":
		w.Header().Set("Content-Length", strconv.Itoa(len(body)-from))
	case "unframed":
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", contentType); err != nil {
			return
		}
		out, flush = conn, func() error { return nil }
	}
	step := len(body)/fleetParts + 1
	for at := from; at < len(body); at += step {
		time.Sleep(fleetGap)
		if _, err := io.WriteString(out, body[at:min(at+step, len(body))]); err != nil || flush() != nil {
			return
		}
	}
}
