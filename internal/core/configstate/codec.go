package configstate

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/wire"
)

// A record is a header followed by a msgpack body. The header holds the magic,
// the kind of the record, the compression of the body and the xxhash64 of the
// body as stored, which detects truncated and damaged records.
const (
	magic              = "zfc1"
	kindPublish        = 'p'
	kindSnapshot       = 's'
	compressionNone    = '-'
	compressionDeflate = 'd'
	headerBytes        = len(magic) + 2 + 8
)

const (
	// compressFromBytes is the length from which a body is compressed.
	compressFromBytes = 512
	// maxBodyBytes limits the length of a decompressed body.
	maxBodyBytes = MaxTotalBytes + 1<<20
)

// EncodePublish returns the log record of a change.
func EncodePublish(p *Publish) ([]byte, error) { return encode(kindPublish, p) }

// EncodeSnapshot returns the log record of a snapshot.
func EncodeSnapshot(s *Snapshot) ([]byte, error) { return encode(kindSnapshot, s) }

// encode returns the header and the body of a record, compressed if it has at
// least compressFromBytes.
func encode(kind byte, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode configuration record: %w", err)
	}
	compression := byte(compressionNone)
	if len(body) >= compressFromBytes {
		compression = compressionDeflate
		if body, err = deflate(body); err != nil {
			return nil, fmt.Errorf("encode configuration record: %w", err)
		}
	}
	out := make([]byte, 0, headerBytes+len(body))
	out = append(out, magic...)
	out = append(out, kind, compression)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

// deflate compresses a body.
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

// inflate decompresses a body and rejects one that exceeds maxBodyBytes.
func inflate(compressed []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if len(body) > maxBodyBytes {
		return nil, fmt.Errorf("%w: longer than %d bytes", ErrFormat, maxBodyBytes)
	}
	return body, nil
}

// decode returns the *Publish or *Snapshot of a record. Errors wrap ErrFormat.
func decode(data []byte) (any, error) {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: no valid header", ErrFormat)
	}
	kind, compression, body := data[len(magic)], data[len(magic)+1], data[headerBytes:]
	if binary.BigEndian.Uint64(data[len(magic)+2:]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrFormat)
	}
	if compression == compressionDeflate {
		var err error
		if body, err = inflate(body); err != nil {
			return nil, err
		}
	} else if compression != compressionNone {
		return nil, fmt.Errorf("%w: unknown compression %q", ErrFormat, compression)
	}
	switch kind {
	case kindPublish:
		return unmarshal[Publish](body)
	case kindSnapshot:
		return unmarshal[Snapshot](body)
	}
	return nil, fmt.Errorf("%w: unknown kind %q", ErrFormat, kind)
}

// unmarshal decodes the body of a record.
func unmarshal[T any](body []byte) (*T, error) {
	out := new(T)
	if err := wire.Unmarshal(body, out); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return out, nil
}
