package wire

import (
	"encoding/binary"
	"fmt"
)

// maxDepth limits the nesting of a value. Messages nest less than ten deep.
const maxDepth = 64

// checkLengths reports an error if a msgpack value declares more elements or bytes than
// data has left, or nests deeper than maxDepth. The decoder allocates and recurses by
// what is declared, so that one malformed message would use up all memory or stack.
// Anything else is left to the decoder.
func checkLengths(data []byte) error {
	// open holds the number of values that are missing in each open array or map.
	open := []int{1}
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		h, ok := readHeader(data)
		if !ok || h.bytes > len(data)-h.size || h.values > len(data)-h.size {
			return fmt.Errorf("%w: value is longer than its message", ErrMalformed)
		}
		data = data[h.size+h.bytes:]
		if h.values > 0 {
			if len(open) >= maxDepth {
				return fmt.Errorf("%w: value nests deeper than %d", ErrMalformed, maxDepth)
			}
			open = append(open, h.values)
		}
	}
	return nil
}

// header is the start of a value: its own size, and the bytes and the values that
// follow it. A map has two values for each entry.
type header struct {
	size, bytes, values int
}

// Codes of the msgpack format that this file names.
const (
	codeFixMap   = 0x80
	codeFixArray = 0x90
	codeFixStr   = 0xa0
	codeNil      = 0xc0
	codeNegative = 0xe0
)

// lengthSizes holds the size of the length field of codes that have one.
var lengthSizes = map[byte]int{
	0xc4: 1, 0xc5: 2, 0xc6: 4, // bin
	0xc7: 1, 0xc8: 2, 0xc9: 4, // ext
	0xd9: 1, 0xda: 2, 0xdb: 4, // str
	0xdc: 2, 0xdd: 4, // array
	0xde: 2, 0xdf: 4, // map
}

// fixedBytes holds the number of bytes that follow codes of a fixed length.
var fixedBytes = map[byte]int{
	0xca: 4, 0xcb: 8, // floats
	0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, // unsigned integers
	0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8, // integers
	0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17, // ext with its type
}

// readHeader returns the header of the first value, and false if data is too short.
func readHeader(data []byte) (header, bool) {
	if len(data) == 0 {
		return header{}, false
	}
	code := data[0]
	switch {
	case code < codeFixMap, code >= codeNegative:
		return header{size: 1}, true
	case code < codeFixArray:
		return header{size: 1, values: 2 * int(code&0x0f)}, true
	case code < codeFixStr:
		return header{size: 1, values: int(code & 0x0f)}, true
	case code < codeNil:
		return header{size: 1, bytes: int(code & 0x1f)}, true
	}
	if size, ok := lengthSizes[code]; ok {
		return readLength(code, data, size)
	}
	return header{size: 1, bytes: fixedBytes[code]}, true
}

// readLength returns the header of a value whose code is followed by a length of size
// bytes.
func readLength(code byte, data []byte, size int) (header, bool) {
	if len(data) < 1+size {
		return header{}, false
	}
	var field [8]byte
	copy(field[8-size:], data[1:1+size])
	n := int(binary.BigEndian.Uint64(field[:]))
	h := header{size: 1 + size}
	switch {
	case code >= 0xde:
		h.values = 2 * n
	case code >= 0xdc:
		h.values = n
	case code >= 0xc7 && code <= 0xc9:
		h.bytes = n + 1 // an ext value has a type
	default:
		h.bytes = n
	}
	return h, true
}
