package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/standin/standintest"
	"github.com/zinniafork/zinniafork/internal/target/engine"
)

// TestUnframedStreamOfLostEngineIsCut ends streams that have neither length nor chunks with their
// connection, as the end of the engine's process does. Only one that has come to its end mark is
// whole.
func TestUnframedStreamOfLostEngineIsCut(t *testing.T) {
	const stream = "data: once\n\ndata: upon\n\ndata: [DONE]\n\n"
	for _, c := range []struct {
		name string
		// ends are the offsets at which the responses of the engine end.
		ends    []int
		resumes bool
		code    call.Code
	}{
		{"whole", []int{len(stream)}, false, ""},
		{"whole without the last newline", []int{len(stream) - 1}, false, ""},
		{"cut after an event", []int{24}, false, call.CodeCut},
		{"cut within an event", []int{17}, false, call.CodeCut},
		{"cut before the first event", []int{0}, false, call.CodeCut},
		{"cut and resumed", []int{12, 24, len(stream)}, true, ""},
		{"cut within the end mark and resumed", []int{len(stream) - 5, len(stream)}, true, ""},
		{"cut each time", []int{12, 12, 24, 24}, true, call.CodeCut},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tries atomic.Int32
			served := standintest.Serve(t, kernel.SystemNetwork{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				end := c.ends[tries.Add(1)-1]
				from, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeFrom))
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", stream[from:end])
			}))
			var options []engine.Option
			if c.resumes {
				options = append(options, engine.WithResume())
			}
			answer := new(standintest.Answer)
			err := engine.New("e1", served.URL, served.Client, options...).Run(t.Context(), &call.Request{ID: "r1", Attempt: 1}, answer)
			last := c.ends[len(c.ends)-1]
			must.Eq(t, stream[:last], answer.Body())
			_, ended := answer.Ended()
			must.Eq(t, c.code == "", ended)
			must.Eq(t, len(c.ends), int(tries.Load()))
			if c.code == "" {
				must.NoError(t, err)
				return
			}
			must.Eq(t, c.code, call.AsError(err).Code)
		})
	}
}
