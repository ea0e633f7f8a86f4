package peer

import (
	"context"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// call runs a request on the other router and passes its answer to sink.
func (c *conn) call(ctx context.Context, kind Kind, req *call.Request, sink call.Sink) error {
	s, err := c.open(kind, req.ID)
	if err != nil {
		return unsent(c.vm, err)
	}
	defer c.forget(s)
	body := wire.Call{Request: req}
	if !req.Deadline.IsZero() {
		body.RemainingNanos = max(1, int64(req.Deadline.Sub(c.host.clock.Now())))
	}
	data, err := wire.Marshal(body)
	if err != nil {
		return unsent(c.vm, err)
	}
	opener, err := c.send(ctx, c.bulk, s, &wire.Frame{Type: wire.TypeCall, Attempt: req.Attempt, Body: data})
	if err != nil {
		return err
	}
	r := receiver{
		conn:   c,
		stream: s,
		sink:   sink,
		check:  wire.NewResponseChecker(req.ID, req.ResumeFrom),
	}
	for {
		f, err := c.next(ctx, s)
		if err != nil {
			return c.fail(ctx, s, opener, err)
		}
		done, err := r.take(ctx, &f)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
	}
}

// receiver checks the frames of one answer and passes them to its sink.
type receiver struct {
	conn   *conn
	stream *stream
	sink   call.Sink
	check  *wire.ResponseChecker
	// read counts the bytes taken since the last credit was sent.
	read int
}

// take passes on one frame and reports whether the answer is whole.
func (r *receiver) take(ctx context.Context, f *wire.Frame) (bool, error) {
	switch f.Type {
	case wire.TypeHead:
		return false, r.head(f)
	case wire.TypeChunk:
		return false, r.chunk(ctx, f)
	case wire.TypeEnd:
		return r.end(f)
	case wire.TypeReset:
		return false, r.conn.resetError(f)
	default:
		return false, r.broken(wire.ErrMalformed)
	}
}

func (r *receiver) head(f *wire.Frame) error {
	if v := r.check.CheckHead(f); v != wire.Accept {
		r.drop(v)
		return nil
	}
	var head call.Head
	if err := wire.Unmarshal(f.Body, &head); err != nil {
		return r.broken(err)
	}
	return r.passed(r.sink.Head(head))
}

func (r *receiver) chunk(ctx context.Context, f *wire.Frame) error {
	switch v := r.check.CheckChunk(f); v {
	case wire.Accept:
	case wire.Invalid:
		return r.broken(errorf("%w: a part is missing before offset %d", wire.ErrMalformed, f.Offset))
	default:
		r.drop(v)
		return nil
	}
	err := r.sink.Chunk(call.Chunk{Attempt: f.Attempt, Offset: f.Offset, Data: f.Body})
	if err != nil {
		return r.passed(err)
	}
	return r.credit(ctx, len(f.Body))
}

// credit lets the sender go on once half of the window has been read.
func (r *receiver) credit(ctx context.Context, n int) error {
	r.read += n
	if r.read < r.conn.host.settings.WindowBytes/2 {
		return nil
	}
	i, err := r.conn.encode(&wire.Frame{
		Type:    wire.TypeCredit,
		Stream:  r.stream.id,
		Request: r.stream.request,
		Offset:  uint64(r.read),
	}, r.stream.kind)
	if err != nil {
		return r.broken(err)
	}
	r.read = 0
	// When the push fails, the wait for the next frame tells why.
	_ = r.conn.push(ctx, r.conn.urgent, i)
	return nil
}

func (r *receiver) end(f *wire.Frame) (bool, error) {
	var end call.End
	if err := wire.Unmarshal(f.Body, &end); err != nil {
		return false, r.broken(err)
	}
	v, err := r.check.CheckEnd(f, end)
	switch v {
	case wire.Accept:
		return true, r.passed(r.sink.End(end))
	case wire.Invalid:
		return false, r.broken(err)
	default:
		r.drop(v)
		return false, nil
	}
}

// passed turns a sink's refusal into the error of the call.
func (r *receiver) passed(err error) error {
	if err == nil {
		return nil
	}
	r.conn.cancelStream(r.stream)
	return &call.Error{
		Code:    call.CodeCanceled,
		Message: "the answer was not wanted any more",
		Step:    step,
		Peer:    string(r.conn.vm),
		Run:     call.RunUnknown,
		Cause:   err,
	}
}

func (r *receiver) broken(cause error) error {
	r.conn.host.metrics.broken.Inc(1)
	r.conn.cancelStream(r.stream)
	return cut(r.conn.vm, cause)
}

func (r *receiver) drop(v wire.Decision) {
	if v == wire.DropForeign {
		r.conn.host.metrics.crossed.Inc(1)
		return
	}
	r.conn.host.metrics.repeated.Inc(1)
}
