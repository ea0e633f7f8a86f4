package workerd

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// Faults of workers that begin an answer which is none, or can't go on.
const (
	// FaultResumeError answers a request for the rest of a stream with Options.Status and
	// Options.ErrorBody, and others as usual.
	FaultResumeError Fault = "resume_error"
	// FaultHeadCut runs the request, sends the first Options.HeadBytes bytes of the head and
	// closes the connection.
	FaultHeadCut Fault = "head_cut"
)

// breaks serves a request with one of these faults, and reports whether it did.
func (s *Server) breaks(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	switch {
	case fault == FaultResumeError && r.Header.Get("Last-Event-Id") != "":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Content-Length", strconv.Itoa(len(s.opt.ErrorBody)))
		w.WriteHeader(s.opt.Status)
		_, _ = io.WriteString(w, s.opt.ErrorBody) // a caller that has gone reads nothing
		return true
	case fault == FaultHeadCut:
		s.work(r)
		s.cutHead(w, r)
		return true
	}
	return false
}

// cutHead sends the beginning of a head and closes the connection.
func (s *Server) cutHead(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	head := s.FullHead(r.Header.Get("X-Request-Id"))
	_, _ = io.WriteString(conn, head[:min(s.opt.HeadBytes, len(head)-1)])
	_ = conn.Close()
}

// FullHead returns the head that FaultHeadCut cuts.
func (s *Server) FullHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Response-Stamp: stamp-%s\r\nContent-Length: 0\r\n\r\n", id, s.opt.ID)
}
