package site

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/zinniafork/zinniafork/internal/core/sitestate"
	"github.com/zinniafork/zinniafork/internal/wire"
)

const (
	// minCompressBytes is the encoded size from which an update is compressed. A
	// configuration of a hundred routes shrinks to an eighth.
	minCompressBytes = 2 << 10
	// maxUpdateBytes limits the size of an update after decompression.
	maxUpdateBytes = 32 << 20
)

// The first byte of a message is its type: a plain update, a compressed update,
// or a request for an update, which holds the positions of the sender.
const (
	messagePlain   = 0
	messageDeflate = 1
	messageRequest = 2
)

// encodeUpdate encodes an update as a message and compresses it if it is large.
func encodeUpdate(u *sitestate.Update) ([]byte, error) {
	plain, err := wire.Marshal(u)
	if err != nil {
		return nil, err
	}
	if len(plain) < minCompressBytes {
		return append([]byte{messagePlain}, plain...), nil
	}
	var out bytes.Buffer
	out.WriteByte(messageDeflate)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress update: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compress update: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress update: %w", err)
	}
	return out.Bytes(), nil
}

// decodeUpdate decodes an update message, plain or compressed.
func decodeUpdate(data []byte) (*sitestate.Update, error) {
	if len(data) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	plain := data[1:]
	if data[0] == messageDeflate {
		var err error
		plain, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(plain)), maxUpdateBytes))
		if err != nil {
			return nil, fmt.Errorf("decompress update: %w", err)
		}
	}
	u := new(sitestate.Update)
	if err := wire.Unmarshal(plain, u); err != nil {
		return nil, err
	}
	return u, nil
}
