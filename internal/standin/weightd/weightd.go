// Package weightd is a stand-in for the platform's weight store.
package weightd

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// chunkBytes is how much the store sends at once.
const chunkBytes = 64 << 10

// Options shape a weight store. Zero values take the defaults.
type Options struct {
	// Bytes is the size of the weights of a model and of an adapter.
	Bytes int
	// BytesPerSecond limits all downloads together.
	BytesPerSecond int
	// Downloads limits the downloads at once; those beyond it are refused
	// with Retry-After.
	Downloads int
}

const (
	defaultBytes          = 1 << 20
	defaultBytesPerSecond = 16 << 20
	defaultDownloads      = 4
)

// Download is one entry of the store's own record.
type Download struct {
	Path    string    `json:"path"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	Whole   bool      `json:"whole"`
	Refused bool      `json:"refused,omitempty"`
	// Running is the number of downloads at the start, this one included.
	Running int `json:"running"`
}

// Server is one store. It has weights of every model.
type Server struct {
	opt     Options
	limiter *rate.Limiter

	mu        sync.Mutex
	running   int
	downloads []Download
}

// New returns a store.
func New(opt Options) *Server {
	if opt.Bytes == 0 {
		opt.Bytes = defaultBytes
	}
	if opt.BytesPerSecond == 0 {
		opt.BytesPerSecond = defaultBytesPerSecond
	}
	if opt.Downloads == 0 {
		opt.Downloads = defaultDownloads
	}
	return &Server{opt: opt, limiter: rate.NewLimiter(rate.Limit(opt.BytesPerSecond), chunkBytes)}
}

// Downloads returns the store's record.
func (s *Server) Downloads() []Download {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.downloads)
}

// Handler serves the weights.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{path...}", s.download)
	return mux
}

func (s *Server) download(w http.ResponseWriter, r *http.Request) {
	d := Download{Path: r.PathValue("path"), Started: time.Now()}
	s.mu.Lock()
	s.running++
	d.Running = s.running
	d.Refused = s.running > s.opt.Downloads
	s.mu.Unlock()
	defer func() {
		d.Ended = time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
		s.downloads = append(s.downloads, d)
	}()
	if d.Refused {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many downloads", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(s.opt.Bytes))
	d.Whole = s.send(w, r)
}

// send writes the weights at the limited rate.
func (s *Server) send(w http.ResponseWriter, r *http.Request) bool {
	buf := make([]byte, chunkBytes)
	for left := s.opt.Bytes; left > 0; {
		n := min(left, len(buf))
		if err := s.limiter.WaitN(r.Context(), n); err != nil {
			return false
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return false
		}
		left -= n
	}
	return true
}
