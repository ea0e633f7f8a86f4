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

// Errors of the codec. All mean that the connection can't go on.
var (
	ErrTooLarge  = errors.New("frame is larger than the limit")
	ErrMalformed = errors.New("frame is malformed")
	ErrVersion   = errors.New("no protocol version in common")
)

// readStep bounds how much memory a length that was not yet followed by bytes
// can claim.
const readStep = 64 << 10

// frameRoom is the space for all but the texts and the body of a frame.
const frameRoom = 64

// Append encodes f behind dst, length included.
func Append(dst []byte, f *Frame) ([]byte, error) {
	start := len(dst)
	if dst == nil {
		dst = make([]byte, 0, frameRoom+len(f.Kind)+len(f.Request)+len(f.Body))
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

// frameFields is the length of the array that a frame is encoded as.
const frameFields = 7

// EncodeMsgpack writes the frame as an array.
func (f *Frame) EncodeMsgpack(enc *msgpack.Encoder) error {
	if f.short() {
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

// DecodeMsgpack reads the frame from an array, which may be longer than this
// version knows.
func (f *Frame) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n == controlFields {
		return f.decodeShort(dec)
	}
	if n < frameFields {
		return fmt.Errorf("%d fields, want at least %d", n, frameFields)
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

// decodeField decodes one field unless an earlier one failed.
func decodeField[T any](err *error, decode func() (T, error)) T {
	var v T
	if *err == nil {
		v, *err = decode()
	}
	return v
}

// Reader reads frames from a connection.
type Reader struct {
	in    *bufio.Reader
	limit int
	buf   []byte
}

// NewReader returns a reader that refuses frames of more than limit bytes.
func NewReader(in io.Reader, limit int) *Reader {
	return &Reader{in: bufio.NewReader(in), limit: limit}
}

// Read returns the next frame and its size on the wire. The error is io.EOF
// only when the connection ended between two frames.
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

// fill reads size bytes into the buffer, which grows only as bytes arrive.
func (r *Reader) fill(size int) error {
	for have := 0; have < size; {
		step := min(size-have, readStep)
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

// Marshal encodes the body of a frame, with integers in their shortest form.
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

// Interface guards.
var (
	_ msgpack.CustomEncoder = (*Frame)(nil)
	_ msgpack.CustomDecoder = (*Frame)(nil)
)

// Unmarshal decodes a frame or the body of one. Bytes behind the value are an
// error.
func Unmarshal(data []byte, v any) error {
	in := bytes.NewReader(data)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(in)
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if in.Len() > 0 {
		return fmt.Errorf("%w: %d bytes behind the value", ErrMalformed, in.Len())
	}
	return nil
}

// Negotiate returns the highest version that both sides speak.
func Negotiate(a, b Hello) (int, error) {
	version := min(a.MaxVersion, b.MaxVersion)
	if version < max(a.MinVersion, b.MinVersion) {
		return 0, fmt.Errorf("%w: %d to %d here, %d to %d there",
			ErrVersion, a.MinVersion, a.MaxVersion, b.MinVersion, b.MaxVersion)
	}
	return version, nil
}
