// Package ints encodes small records as msgpack arrays without field names, and
// arrays of integers also without the zeros at their end. Control messages between
// routers use it because the byte rate of control traffic is limited.
//
// Two versions of a record with different numbers of fields can decode each
// other's arrays: missing elements are zero or unchanged, and extra ones are
// skipped.
package ints

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Trim returns values without the zeros at its end. The result shares the memory
// of values.
func Trim(values []uint64) []uint64 {
	n := len(values)
	for n > 0 && values[n-1] == 0 {
		n--
	}
	return values[:n]
}

// Encode writes values as an array without the zeros at its end.
func Encode(enc *msgpack.Encoder, values ...uint64) error {
	values = Trim(values)
	if err := enc.EncodeArrayLen(len(values)); err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	return EncodeElements(enc, values)
}

// EncodeElements writes all values, zeros included, as elements of an array whose
// length is already written.
func EncodeElements(enc *msgpack.Encoder, values []uint64) error {
	for _, v := range values {
		if err := enc.EncodeUint(v); err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
	}
	return nil
}

// Decode reads an array into values. Values without an element become zero.
// Elements beyond len(values) come from a later version and are skipped.
func Decode(dec *msgpack.Decoder, values []uint64) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	return DecodeElements(dec, values, n)
}

// DecodeElements reads the n elements of an array whose length is already read, as
// Decode does. A negative n, which stands for a nil array, is an error.
func DecodeElements(dec *msgpack.Decoder, values []uint64, n int) error {
	if n < 0 {
		return fmt.Errorf("decode record: %d elements", n)
	}
	clear(values)
	for i := range min(n, len(values)) {
		v, err := dec.DecodeUint64()
		if err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
		values[i] = v
	}
	return Skip(dec, n-len(values))
}

// Skip skips the next n elements of an array. It does nothing if n is negative.
func Skip(dec *msgpack.Decoder, n int) error {
	for range n {
		if err := dec.Skip(); err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
	}
	return nil
}

// DecodeFields reads an array into fields, which are pointers. Fields without an
// element stay unchanged. Elements beyond len(fields) come from a later version and
// are skipped.
func DecodeFields(dec *msgpack.Decoder, fields ...any) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	for _, field := range fields[:min(max(n, 0), len(fields))] {
		if err := dec.Decode(field); err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
	}
	return Skip(dec, n-len(fields))
}
