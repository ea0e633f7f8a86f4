// Package ints writes small records as msgpack arrays of integers without the
// zeros at their ends. It is for control messages, whose bytes are scarce.
package ints

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Trim returns the values without the zeros at the end.
func Trim(values []uint64) []uint64 {
	n := len(values)
	for n > 0 && values[n-1] == 0 {
		n--
	}
	return values[:n]
}

// Encode writes the values as an array without the zeros at the end.
func Encode(enc *msgpack.Encoder, values ...uint64) error {
	values = Trim(values)
	if err := enc.EncodeArrayLen(len(values)); err != nil {
		return fmt.Errorf("encode record: %w", err)
	}
	return EncodeElements(enc, values)
}

// EncodeElements writes values as elements of an array that has been begun.
func EncodeElements(enc *msgpack.Encoder, values []uint64) error {
	for _, v := range values {
		if err := enc.EncodeUint(v); err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
	}
	return nil
}

// Decode reads an array into values and sets the missing ones to zero. Elements
// behind them come from a later version and are skipped.
func Decode(dec *msgpack.Decoder, values []uint64) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	return DecodeElements(dec, values, n)
}

// DecodeElements reads the n elements of an array that has been begun.
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

// Skip skips n elements, none when n is below zero.
func Skip(dec *msgpack.Decoder, n int) error {
	for range n {
		if err := dec.Skip(); err != nil {
			return fmt.Errorf("decode record: %w", err)
		}
	}
	return nil
}

// DecodeFields reads an array into fields, which are pointers. DecodeFields behind the end
// of the array stay as they are, and elements behind the fields are skipped, so
// that two versions of a message can meet.
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
