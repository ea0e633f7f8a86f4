package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// chunkBytes is the size of the buffer that reads an answer's body.
const chunkBytes = 32 << 10

// HTTPRun sends one HTTP request to a target and streams the answer into a
// sink. Client must not repeat requests by itself.
type HTTPRun struct {
	Client  *http.Client
	Target  fleet.Target
	Attempt call.Attempt
}

// Do sends r. The error is a *call.Error whose Run is call.RunNot only when
// no byte of the request was written.
func (h HTTPRun) Do(ctx context.Context, r *http.Request, sink call.Sink) error {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	}
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	// A body that can be read again lets the HTTP client send a request twice.
	r.GetBody = nil
	resp, err := h.Client.Do(r)
	if err != nil {
		return h.fail(ctx, err, wrote.Load())
	}
	defer resp.Body.Close()
	return h.copyAnswer(ctx, resp, sink)
}

func (h HTTPRun) copyAnswer(ctx context.Context, resp *http.Response, sink call.Sink) error {
	head := call.Head{
		Attempt: h.Attempt,
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Target:  h.Target,
	}
	if err := sink.Head(head); err != nil {
		return h.fail(ctx, err, true)
	}
	digest := xxhash.New()
	var offset uint64
	buf := make([]byte, chunkBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			_, _ = digest.Write(buf[:n])
			chunk := call.Chunk{Attempt: h.Attempt, Offset: offset, Data: buf[:n]}
			if sinkErr := sink.Chunk(chunk); sinkErr != nil {
				return h.fail(ctx, sinkErr, true)
			}
			offset += uint64(n)
		}
		if errors.Is(err, io.EOF) {
			return sink.End(call.End{Attempt: h.Attempt, Length: offset, Digest: digest.Sum64()})
		}
		if err != nil {
			return h.cut(err)
		}
	}
}

func (h HTTPRun) fail(ctx context.Context, err error, wrote bool) *call.Error {
	e := &call.Error{
		Code:    call.CodeUnavailable,
		Message: "target gave no answer",
		Step:    "target",
		Peer:    string(h.Target),
		Run:     call.RunNot,
		Cause:   err,
	}
	if wrote {
		e.Run = call.RunUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Code = call.CodeDeadline
		e.Message = "deadline passed at the target"
	}
	return e
}

func (h HTTPRun) cut(err error) *call.Error {
	return &call.Error{
		Code:    call.CodeCut,
		Message: "answer was cut off",
		Step:    "target",
		Peer:    string(h.Target),
		Run:     call.RunUnknown,
		Cause:   err,
	}
}
