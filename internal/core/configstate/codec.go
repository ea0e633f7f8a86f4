package configstate

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// A record is a header and a msgpack body. The header holds the magic, the
// kind, the packing and the xxhash64 of the packed body, so that a cut or
// damaged record is noticed.
const (
	magic         = "zfc1"
	kindPublish   = 'p'
	kindSnapshot  = 's'
	packedNone    = '-'
	packedDeflate = 'd'
	headerLength  = len(magic) + 2 + 8
)

const (
	// packFrom is the length from which a body is compressed, in bytes.
	packFrom = 512
	// maxBody limits the body of a record after decompression, in bytes.
	maxBody = MaxTotalBytes + 1<<20
)

// EncodePublish returns the record of a change.
func EncodePublish(p *Publish) ([]byte, error) { return encode(kindPublish, p) }

// EncodeSnapshot returns the record of a state.
func EncodeSnapshot(s *Snapshot) ([]byte, error) { return encode(kindSnapshot, s) }

func encode(kind byte, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode configuration record: %w", err)
	}
	packing := byte(packedNone)
	if len(body) >= packFrom {
		packing = packedDeflate
		if body, err = deflate(body); err != nil {
			return nil, fmt.Errorf("encode configuration record: %w", err)
		}
	}
	out := make([]byte, 0, headerLength+len(body))
	out = append(out, magic...)
	out = append(out, kind, packing)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

func deflate(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func inflate(packed []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBody+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if len(body) > maxBody {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrFormat, maxBody)
	}
	return body, nil
}

// decode returns the *Publish or *Snapshot of a record.
func decode(data []byte) (any, error) {
	if len(data) < headerLength || string(data[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: no header", ErrFormat)
	}
	kind, packing, body := data[len(magic)], data[len(magic)+1], data[headerLength:]
	if binary.BigEndian.Uint64(data[len(magic)+2:]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%w: checksum differs", ErrFormat)
	}
	if packing == packedDeflate {
		var err error
		if body, err = inflate(body); err != nil {
			return nil, err
		}
	} else if packing != packedNone {
		return nil, fmt.Errorf("%w: unknown packing %q", ErrFormat, packing)
	}
	switch kind {
	case kindPublish:
		return unmarshal[Publish](body)
	case kindSnapshot:
		return unmarshal[Snapshot](body)
	}
	return nil, fmt.Errorf("%w: unknown kind %q", ErrFormat, kind)
}

func unmarshal[T any](body []byte) (*T, error) {
	out := new(T)
	if err := msgpack.Unmarshal(body, out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return out, nil
}
