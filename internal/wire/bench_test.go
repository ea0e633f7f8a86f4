package wire

import (
	"bytes"
	"testing"
)

// eventBytes is the size of one event of a streamed response.
const eventBytes = 160

func benchFrame() *Frame {
	return &Frame{
		Type:    TypeChunk,
		Stream:  12345,
		Request: "0e4f9f3c-8b1c-4a86-9d5c-3a4c6f2b7d11-0123abcd",
		Attempt: 1,
		Offset:  4096,
		Body:    bytes.Repeat([]byte("x"), eventBytes),
	}
}

func BenchmarkAppend(b *testing.B) {
	f := benchFrame()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Append(nil, f); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRead(b *testing.B) {
	data, err := Append(nil, benchFrame())
	if err != nil {
		b.Fatal(err)
	}
	in := NewReader(&repeatReader{data: data}, DefaultMaxFrameBytes)
	b.ReportAllocs()
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, _, err := in.Read(); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatReader is an endless reader that repeats data.
type repeatReader struct {
	data   []byte
	offset int
}

func (r *repeatReader) Read(p []byte) (int, error) {
	n := copy(p, r.data[r.offset:])
	r.offset = (r.offset + n) % len(r.data)
	return n, nil
}
