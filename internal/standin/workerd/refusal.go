package workerd

import (
	"fmt"
	"io"
	"net/http"
)

// refuseTwice refuses a request, and writes the refusal once more before the answer to the
// next request on the connection.
func (s *Server) refuseTwice(w http.ResponseWriter, r *http.Request) {
	conn, in, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		r.Header.Get("X-Request-Id"))
	if _, err := io.WriteString(conn, refusal); err != nil {
		return
	}
	next, err := http.ReadRequest(in.Reader)
	if err != nil {
		return // no other request came
	}
	body, err := io.ReadAll(next.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.repeated++
	s.mu.Unlock()
	run := s.note(next, string(body))
	s.mu.Lock()
	run.Fault = FaultRefusedTwice // it may have ended meanwhile, but not on this connection
	s.mu.Unlock()
	defer s.end(run)
	if _, err := io.WriteString(conn, refusal); err != nil {
		return
	}
	s.work(next)
	content := s.content(next)
	_, _ = io.WriteString(conn, fmt.Sprintf("%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", s.head(run.Request), len(content), content))
}

// Repeated returns how many refusals were written once more.
func (s *Server) Repeated() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeated
}
