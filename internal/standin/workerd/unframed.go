package workerd

import (
	"io"
	"net"
	"net/http"
	"strconv"
)

// Faults of answers that have neither a length nor chunks. Nothing tells a plain answer
// that its connection breaks off from a whole one, and so only streams are broken so.
const (
	// FaultUnframed ends the answer with its connection.
	FaultUnframed Fault = "unframed"
	// FaultUnframedCut closes the connection inside an event of a stream.
	FaultUnframedCut Fault = "unframed_cut"
	// FaultUnframedEmpty closes the connection after the head of a stream.
	FaultUnframedEmpty Fault = "unframed_empty"
	// FaultUnframedReset resets the connection in the middle of a plain answer, or
	// between two events of a stream.
	FaultUnframedReset Fault = "unframed_reset"
)

// unframed reports whether the fault is one of answers without length and chunks.
func (f Fault) unframed() bool {
	switch f {
	case FaultUnframed, FaultUnframedCut, FaultUnframedEmpty, FaultUnframedReset:
		return true
	}
	return false
}

// unframed sends an answer that ends with its connection.
func (s *Server) unframed(w http.ResponseWriter, r *http.Request, fault Fault, run *Run) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	head := s.head(run.Request)
	pieces := halves(s.content(r))
	stream := r.Header.Get("X-Prompt-Prefix") != ""
	if stream {
		head += "Content-Type: text/event-stream\r\n"
		pieces = s.eventsAfter(run.LastEvent)
	}
	_, _ = io.WriteString(conn, head+"\r\n") // a caller that has gone shows with the next piece
	if stream && fault == FaultUnframedEmpty {
		return
	}
	for i, piece := range pieces {
		s.work(r)
		breaks := i == len(pieces)/2
		switch {
		case breaks && stream && fault == FaultUnframedCut:
			_, _ = io.WriteString(conn, piece[:len(piece)/2])
			return
		case breaks && fault == FaultUnframedReset:
			reset(conn)
			return
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
}

// halves cuts a text in two.
func halves(text string) []string { return []string{text[:len(text)/2], text[len(text)/2:]} }

// eventsAfter returns the events of a stream after the one with an id.
func (s *Server) eventsAfter(id string) []string {
	first, _ := strconv.Atoi(id) // zero at the beginning
	var out []string
	for i := first + 1; i <= s.opt.Events; i++ {
		out = append(out, event(i))
	}
	return out
}

// reset lets the close of a connection be a reset.
func reset(conn net.Conn) {
	if c, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = c.NetConn()
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // a connection that has gone needs none
	}
}
