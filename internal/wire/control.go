package wire

import (
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// controlFields is the number of array elements of a frame in the short form,
// which has no stream, request, attempt or offset. The short form exists because
// the byte rate of control traffic is limited.
const controlFields = 3

// controlKinds are the kinds of control messages that are encoded as their index
// in this list. New kinds go at the end, so that the indexes keep their meaning
// between versions.
var controlKinds = []string{"heartbeat", "lease", "config", "figures", "orders", "load"}

// hasShortForm reports whether the frame can be encoded in the short form.
func (f *Frame) hasShortForm() bool {
	return f.Type == TypeControl && f.Stream == 0 && f.Request == "" && f.Attempt == 0 && f.Offset == 0
}

// encodeShort writes an array of type, kind and body. A kind that is not in
// controlKinds is written as a string.
func (f *Frame) encodeShort(enc *msgpack.Encoder) error {
	err := errors.Join(enc.EncodeArrayLen(controlFields), enc.EncodeUint(uint64(f.Type)))
	if i := slices.Index(controlKinds, f.Kind); i >= 0 {
		err = errors.Join(err, enc.EncodeUint(uint64(i)))
	} else {
		err = errors.Join(err, enc.EncodeString(f.Kind))
	}
	return errors.Join(err, enc.EncodeBytes(f.Body))
}

// decodeShort reads what encodeShort wrote, from after the array length on.
func (f *Frame) decodeShort(dec *msgpack.Decoder) error {
	var err error
	f.Type = Type(decodeField(&err, dec.DecodeUint8))
	f.Kind = decodeField(&err, func() (string, error) { return decodeKind(dec) })
	f.Body = decodeField(&err, dec.DecodeBytes)
	if err == nil && !f.hasShortForm() {
		err = fmt.Errorf("%d fields for a frame of type %d", controlFields, f.Type)
	}
	return err
}

// decodeKind reads a kind that is an index into controlKinds or a string.
func decodeKind(dec *msgpack.Decoder) (string, error) {
	code, err := dec.PeekCode()
	if err != nil {
		return "", err
	}
	if msgpcode.IsString(code) {
		return dec.DecodeString()
	}
	i, err := dec.DecodeUint64()
	if err != nil {
		return "", err
	}
	if i >= uint64(len(controlKinds)) {
		return "", fmt.Errorf("unknown control kind %d", i)
	}
	return controlKinds[i], nil
}
