package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/tracing"
)

// chunkBytes is the size of the buffer that reads an answer's body.
const chunkBytes = 32 << 10

// step names the part of the path in errors.
const step = "target"

// HTTPRun sends one HTTP request to a target and streams the answer into a
// sink. Client must be one of NewHTTPClient, or a call of which no byte left
// may count as sent.
type HTTPRun struct {
	Client  *http.Client
	Target  fleet.Target
	Request call.ID
	Attempt call.Attempt
	// Offset is the position in the answer at which the next response begins.
	// Do moves it on, so that another Do continues the answer.
	Offset uint64
	// Digest is that of the answer before Offset, nil to begin anew.
	Digest *xxhash.Digest
	// Refused turns a response that is not an answer into an error; nil takes
	// every response as the answer.
	Refused func(*http.Response) *call.Error
	// EndMark is what ends a stream, line ends aside. One whose end only the connection tells is
	// not whole without it, as that of a target that is lost. Empty takes any end.
	EndMark string
	// Watch notices a connection that has gone silent; nil waits for the end
	// of the context.
	Watch *Watch

	headed bool
	// tail holds the last bytes of the answer if its end mark is looked for.
	tail []byte
}

// Watch is the rule for silent connections.
type Watch struct {
	Clock kernel.Clock
	// Progress is the silence after which Alive is asked.
	Progress time.Duration
	// Alive reports whether the target still works on the request, received
	// being the bytes of the answer that have come. It uses another
	// connection.
	Alive func(ctx context.Context, received uint64) bool
}

// Body returns a request body that net/http can't send a second time by
// itself, which it would for some requests on an idle connection that breaks.
func Body(data []byte) io.Reader { return &onceReader{bytes.NewReader(data)} }

type onceReader struct{ io.Reader }

// Do sends r. The error is a *call.Error whose Run is call.RunNot only when
// no byte of the request was written.
func (h *HTTPRun) Do(ctx context.Context, r *http.Request, sink call.Sink) error {
	ctx, span := tracing.Start(ctx, "target")
	defer span.End()
	if parent := tracing.Parent(ctx); parent != "" {
		r.Header.Set(HeaderTraceParent, parent)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var sent sentCounter
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { sent.got(i.Conn) },
	}
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	r.GetBody = nil
	if h.Digest == nil {
		h.Digest = xxhash.New()
	}
	progress := h.watch(ctx, cancel)
	defer progress.stop()
	resp, err := h.Client.Do(r)
	if err != nil {
		return h.fail(ctx, err, sent.any())
	}
	defer resp.Body.Close()
	progress.note(0)
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != string(h.Request) {
		return h.cut(ErrCrossed)
	}
	if h.Refused != nil {
		if e := h.Refused(resp); e != nil {
			return e
		}
	}
	return h.copyAnswer(ctx, resp, sink, progress)
}

func (h *HTTPRun) copyAnswer(ctx context.Context, resp *http.Response, sink call.Sink, progress *progress) error {
	if !h.headed {
		h.headed = true
		head := call.Head{
			Attempt: h.Attempt,
			Status:  resp.StatusCode,
			Header:  resp.Header,
			Target:  h.Target,
		}
		if err := sink.Head(head); err != nil {
			return h.unwanted(err)
		}
	}
	buf := make([]byte, chunkBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			progress.note(n)
			_, _ = h.Digest.Write(buf[:n])
			h.keepTail(buf[:n])
			chunk := call.Chunk{Attempt: h.Attempt, Offset: h.Offset, Data: buf[:n]}
			if sinkErr := sink.Chunk(chunk); sinkErr != nil {
				return h.unwanted(sinkErr)
			}
			h.Offset += uint64(n)
		}
		// An error that wraps io.EOF is of a connection on the way.
		if err == io.EOF {
			if h.lacksEnd(resp) {
				return h.broken(ctx, errNoEndMark)
			}
			progress.stop()
			return h.end(sink)
		}
		if err != nil {
			return h.broken(ctx, err)
		}
	}
}

// tailBytes is how much of an answer is kept to find its end mark.
const tailBytes = 64

// errNoEndMark is the cause if a stream ended with its connection and without its end mark.
var errNoEndMark = errors.New("connection ended before the end mark of the stream")

func (h *HTTPRun) keepTail(data []byte) {
	if h.EndMark == "" {
		return
	}
	h.tail = append(h.tail, data[max(0, len(data)-tailBytes):]...)
	h.tail = h.tail[max(0, len(h.tail)-tailBytes):]
}

// lacksEnd reports whether a stream ended with its connection and without its end mark.
func (h *HTTPRun) lacksEnd(resp *http.Response) bool {
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1
	stream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	return h.EndMark != "" && unframed && stream && !bytes.HasSuffix(bytes.TrimSpace(h.tail), []byte(h.EndMark))
}

// end closes the answer, which has run whatever becomes of it.
func (h *HTTPRun) end(sink call.Sink) error {
	err := sink.End(call.End{Attempt: h.Attempt, Length: h.Offset, Digest: h.Digest.Sum64()})
	if err == nil {
		return nil
	}
	e := h.unwanted(err)
	e.Run = call.RunDone
	return e
}

// fail is the error of a request that brought no response.
func (h *HTTPRun) fail(ctx context.Context, err error, sent bool) *call.Error {
	e := h.error(call.CodeUnavailable, "target gave no answer", err)
	if !sent {
		e.Run = call.RunNot
	}
	return h.ended(ctx, e)
}

// broken is the error of an answer that ended early.
func (h *HTTPRun) broken(ctx context.Context, err error) *call.Error {
	return h.ended(ctx, h.cut(err))
}

func (h *HTTPRun) cut(err error) *call.Error {
	return h.error(call.CodeCut, "answer was cut off", err)
}

// unwanted is the error of an answer that its sink refused.
func (h *HTTPRun) unwanted(err error) *call.Error {
	return h.error(call.CodeCanceled, "the answer was not wanted any more", err)
}

// ended names what ended the context, when that is why the call failed.
func (h *HTTPRun) ended(ctx context.Context, e *call.Error) *call.Error {
	if ctx.Err() == nil {
		return e
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrSilent):
		e.Message, e.Cause = "target went silent", cause
		h.Client.CloseIdleConnections()
	case errors.Is(cause, context.DeadlineExceeded):
		e.Code, e.Message = call.CodeDeadline, "deadline passed at the target"
	default:
		e.Code, e.Message = call.CodeCanceled, "request was canceled"
	}
	return e
}

func (h *HTTPRun) error(code call.Code, message string, cause error) *call.Error {
	return &call.Error{
		Code:    code,
		Message: message,
		Step:    step,
		Peer:    string(h.Target),
		Run:     call.RunUnknown,
		Cause:   cause,
	}
}
