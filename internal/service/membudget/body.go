package membudget

import (
	"errors"
	"io"
	"math/bits"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstBytes is the length of the first buffer of a body.
	firstBytes = 16 << 10
	// announcedBytes is the length up to which the buffer takes the whole announced length
	// once the first one is full.
	announcedBytes = 128 << 10
	// growth is the factor by which the buffer grows.
	growth = 2
	// bodyGrace is the time in which a body may bring nothing, and bodyRate the bytes a
	// second that it has to bring on average after that.
	bodyGrace = 10 * time.Second
	bodyRate  = 8 << 10
	// drainTime is the time for which, and drainBytes the length up to which, the rest of a
	// refused body is read, so that the client sees the refusal.
	drainTime  = 500 * time.Millisecond
	drainBytes = 256 << 10
)

// Errors of bodies, besides ErrExhausted and those of the connection.
var (
	// ErrTooLarge means that a body is longer than its limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrTooSlow means that a body came too slowly.
	ErrTooSlow = errors.New("body came too slowly")
)

// Body is the body of a request and the memory that is held for it.
type Body struct {
	Bytes []byte
	hold  *Hold
}

// Close gives the memory back. It may be called again.
func (b *Body) Close() {
	if b.hold != nil {
		b.hold.Close()
	}
}

// bodyReader reads one body.
type bodyReader struct {
	hold    *Hold
	control *http.ResponseController
	in      io.Reader
	limit   int
	length  int64
	timeout time.Duration
	started time.Time
	evicted atomic.Bool
	buf     []byte
}

// ReadLimits bound a body: its length in bytes, and the time that it takes, zero for no limit but
// the least rate.
type ReadLimits struct {
	Bytes   int
	Timeout time.Duration
}

// ReadBody reads the body of a request for an owner. Memory is reserved as
// the bytes arrive. After an error the rest of the body stays unread: the caller refuses the
// request, calls Drain and closes the connection.
func ReadBody(b Budget, w http.ResponseWriter, r *http.Request, owner Owner, limits ReadLimits) (*Body, error) {
	if r.ContentLength == 0 {
		return new(Body), nil
	}
	br := &bodyReader{control: http.NewResponseController(w), in: r.Body, limit: limits.Bytes, length: r.ContentLength, started: time.Now()}
	br.timeout = limits.Timeout
	if r.ContentLength > int64(limits.Bytes) {
		br.refuse()
		return nil, ErrTooLarge
	}
	br.hold = b.Open(KindBody, owner, br.evict)
	if err := br.read(); err != nil {
		br.hold.Close()
		br.refuse()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = ErrTooSlow
			if br.evicted.Load() {
				err = ErrExhausted
			}
		}
		switch {
		case errors.Is(err, ErrExhausted):
			b.Note(Refused, owner)
		case errors.Is(err, ErrTooSlow):
			b.Note(TooSlow, owner)
		}
		br.hold.s.buffers.recycle(br.buf)
		return nil, err
	}
	_ = br.control.SetReadDeadline(time.Time{}) // fails where there are no deadlines
	br.hold.SetComplete(true)
	return &Body{Bytes: br.buf, hold: br.hold}, nil
}

// Drain sends a refusal that was written, and reads a bounded part of the rest of the body. A
// connection that is closed with unread bytes is reset, and the client may lose the refusal.
func Drain(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() == nil {
		_, _ = io.CopyN(io.Discard, r.Body, drainBytes)
	}
}

// evict ends a read that waits for the client.
func (b *bodyReader) evict() {
	b.evicted.Store(true)
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// refuse bounds the time for which the server reads the rest of the body.
func (b *bodyReader) refuse() {
	if !b.evicted.Load() {
		_ = b.control.SetReadDeadline(time.Now().Add(drainTime))
	}
}

// extend sets the time by which more bytes must have come.
func (b *bodyReader) extend() error {
	after := bodyGrace + time.Duration(len(b.buf))*time.Second/bodyRate
	if b.timeout > 0 {
		after = min(after, b.timeout)
	}
	_ = b.control.SetReadDeadline(b.started.Add(after))
	if b.evicted.Load() { // its deadline may have been overwritten
		return ErrExhausted
	}
	return nil
}

// read reads the whole body into buf.
func (b *bodyReader) read() error {
	for {
		if len(b.buf) == cap(b.buf) {
			if len(b.buf) == b.limit {
				return b.checkEnd()
			}
			if err := b.grow(); err != nil {
				return err
			}
		}
		if err := b.extend(); err != nil {
			return err
		}
		n, err := b.in.Read(b.buf[len(b.buf):cap(b.buf)])
		b.buf = b.buf[:len(b.buf)+n]
		if n > 0 {
			b.hold.Progress()
		}
		if err == io.EOF || err == nil && b.length > 0 && int64(len(b.buf)) == b.length {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// checkEnd checks that a body of the largest legal size has ended.
func (b *bodyReader) checkEnd() error {
	var rest [1]byte
	for {
		if err := b.extend(); err != nil {
			return err
		}
		n, err := b.in.Read(rest[:])
		switch {
		case n > 0:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// grow reserves and allocates a larger buffer. Both buffers count while the bytes are copied.
func (b *bodyReader) grow() error {
	size := max(firstBytes, growth*cap(b.buf))
	if b.length > 0 && cap(b.buf) > 0 && b.length <= announcedBytes {
		size = announcedBytes
	}
	if b.length > 0 {
		size = min(size, int(b.length))
	}
	size = min(size, b.limit)
	if err := b.hold.Grow(size); err != nil {
		return err
	}
	next := b.hold.s.buffers.allocate(size)[:len(b.buf)]
	copy(next, b.buf)
	old := b.buf
	b.buf = next
	b.hold.s.buffers.recycle(old)
	b.hold.Shrink(cap(old))
	return nil
}

// pools hold buffers of bodies that were outgrown or not completed, by the power of two that is
// their length. Complete bodies are not kept: sends that were given up may still read them.
type pools [25]sync.Pool

// allocate returns an empty buffer of a size.
func (p *pools) allocate(size int) []byte {
	if i, ok := class(size); ok {
		if buf, ok := p[i].Get().(*[]byte); ok {
			return *buf
		}
	}
	return make([]byte, 0, size)
}

// recycle keeps a buffer that nobody uses any more.
func (p *pools) recycle(buf []byte) {
	if i, ok := class(cap(buf)); ok {
		buf = buf[:0]
		p[i].Put(&buf)
	}
}

// class returns the index of the pool for a size, false if there is none.
func class(size int) (int, bool) {
	i := bits.Len(uint(size)) - 1
	return i, size >= firstBytes && size == 1<<i && i < len(pools{})
}
