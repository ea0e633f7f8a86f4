package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/call"
)

// Errors of the codec. A connection on which Reader.Read or Negotiate returned one
// of them can't be used further.
var (
	// ErrTooLarge reports a frame above the size limit of its receiver.
	ErrTooLarge = errors.New("frame is larger than the limit")
	// ErrMalformed reports bytes that are not a valid frame or frame body, or
	// frames that do not form a valid response.
	ErrMalformed = errors.New("frame is malformed")
	// ErrVersion reports that the version ranges of two routers do not overlap.
	ErrVersion = errors.New("no protocol version in common")
)

// maxReadStep limits how many bytes are allocated ahead of the data received, so
// that a large length alone can't claim memory.
const maxReadStep = 64 << 10

// frameOverhead is the buffer space for a frame without its strings and body, in
// bytes.
const frameOverhead = 64

// Append appends the encoded f, with its length prefix, to dst and returns the
// extended slice. On an error it returns dst.
func Append(dst []byte, f *Frame) ([]byte, error) {
	start := len(dst)
	if dst == nil {
		dst = make([]byte, 0, frameOverhead+len(f.Kind)+len(f.Request)+len(f.Body))
	}
	out := bytes.NewBuffer(append(dst, make([]byte, HeaderBytes)...))
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(out)
	enc.UseCompactInts(true)
	if err := enc.Encode(f); err != nil {
		return dst, fmt.Errorf("encode frame: %w", err)
	}
	data := out.Bytes()
	binary.BigEndian.PutUint32(data[start:], uint32(len(data)-start-HeaderBytes))
	return data, nil
}

// frameFields is the number of array elements of a frame in the full form.
const frameFields = 7

// EncodeMsgpack writes the frame as an array, in the short form if hasShortForm
// allows it.
func (f *Frame) EncodeMsgpack(enc *msgpack.Encoder) error {
	if f.hasShortForm() {
		return f.encodeShort(enc)
	}
	return errors.Join(
		enc.EncodeArrayLen(frameFields),
		enc.EncodeUint8(uint8(f.Type)),
		enc.EncodeUint(f.Stream),
		enc.EncodeString(f.Kind),
		enc.EncodeString(string(f.Request)),
		enc.EncodeUint(uint64(f.Attempt)),
		enc.EncodeUint(f.Offset),
		enc.EncodeBytes(f.Body),
	)
}

// DecodeMsgpack reads the frame from an array in the full or the short form. In
// the full form it skips the elements of later versions.
func (f *Frame) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n == controlFields {
		return f.decodeShort(dec)
	}
	if n < frameFields {
		return fmt.Errorf("frame has %d fields, want at least %d", n, frameFields)
	}
	f.Type = Type(decodeField(&err, dec.DecodeUint8))
	f.Stream = decodeField(&err, dec.DecodeUint64)
	f.Kind = decodeField(&err, dec.DecodeString)
	f.Request = call.ID(decodeField(&err, dec.DecodeString))
	f.Attempt = call.Attempt(decodeField(&err, dec.DecodeUint32))
	f.Offset = decodeField(&err, dec.DecodeUint64)
	f.Body = decodeField(&err, dec.DecodeBytes)
	for range n - frameFields {
		if err != nil {
			return err
		}
		err = dec.Skip()
	}
	return err
}

// decodeField decodes one field unless err holds the error of an earlier one.
func decodeField[T any](err *error, decode func() (T, error)) T {
	var v T
	if *err == nil {
		v, *err = decode()
	}
	return v
}

// Reader reads frames from a connection. It is not safe for concurrent use.
type Reader struct {
	in    *bufio.Reader
	limit int
	buf   []byte
}

// NewReader returns a reader of the frames in in. Frames of more than limit
// bytes, length prefix excluded, fail with ErrTooLarge.
func NewReader(in io.Reader, limit int) *Reader {
	return &Reader{in: bufio.NewReader(in), limit: limit}
}

// Read returns the next frame and the number of bytes it took on the wire, length
// prefix included. The error is io.EOF only if the connection ended between two
// frames; an end within a frame gives io.ErrUnexpectedEOF. Other errors are those
// of the connection, ErrTooLarge and ErrMalformed.
func (r *Reader) Read() (Frame, int, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return Frame{}, 0, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > r.limit {
		return Frame{}, HeaderBytes, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, size, r.limit)
	}
	if err := r.fill(size); err != nil {
		return Frame{}, HeaderBytes, err
	}
	var f Frame
	if err := Unmarshal(r.buf[:size], &f); err != nil {
		return Frame{}, HeaderBytes + size, err
	}
	if !f.Type.Valid() {
		return Frame{}, HeaderBytes + size, fmt.Errorf("%w: type %d", ErrMalformed, f.Type)
	}
	return f, HeaderBytes + size, nil
}

// fill reads size bytes into the buffer, which grows by at most maxReadStep bytes
// ahead of the data received.
func (r *Reader) fill(size int) error {
	for have := 0; have < size; {
		step := min(size-have, maxReadStep)
		if len(r.buf) < have+step {
			r.buf = append(r.buf[:have], make([]byte, step)...)
		}
		if _, err := io.ReadFull(r.in, r.buf[have:have+step]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return fmt.Errorf("read frame: %w", err)
		}
		have += step
	}
	return nil
}

// Marshal encodes the body of a frame as msgpack, with integers in their shortest
// form.
func Marshal(v any) ([]byte, error) {
	var out bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&out)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode frame body: %w", err)
	}
	return out.Bytes(), nil
}

// Frame implements the custom encoding of msgpack.
var (
	_ msgpack.CustomEncoder = (*Frame)(nil)
	_ msgpack.CustomDecoder = (*Frame)(nil)
)

// Unmarshal decodes the msgpack value data into v: a frame without its length
// prefix, or the body of a frame. Errors, also for bytes after the value, wrap
// ErrMalformed.
func Unmarshal(data []byte, v any) error {
	if err := checkLengths(data); err != nil {
		return err
	}
	in := bytes.NewReader(data)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(in)
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if in.Len() > 0 {
		return fmt.Errorf("%w: %d bytes after the value", ErrMalformed, in.Len())
	}
	return nil
}

// Negotiate returns the highest protocol version that both sides support, or
// ErrVersion if there is none.
func Negotiate(local, remote Hello) (int, error) {
	version := min(local.MaxVersion, remote.MaxVersion)
	if version < max(local.MinVersion, remote.MinVersion) {
		return 0, fmt.Errorf("%w: local %d to %d, remote %d to %d",
			ErrVersion, local.MinVersion, local.MaxVersion, remote.MinVersion, remote.MaxVersion)
	}
	return version, nil
}
