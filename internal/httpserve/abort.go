package httpserve

import (
	"net"
	"net/http"
)

// Abort ends the handler of a request whose response stays incomplete. It does not return. A
// client of HTTP/1.0 may know the end of a response by that of its connection alone, which is
// therefore reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	raw := conn
	for {
		outer, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		raw = outer.NetConn()
	}
	if c, ok := raw.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = raw.Close()
}
