package ints_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/wire"
	"github.com/zinniafork/zinniafork/internal/wire/ints"
)

// record has two integers and a string.
type record struct {
	A, B uint64
	Text string
}

func (r *record) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.DecodeFields(dec, &r.A, &r.B, &r.Text)
}

// numbers is a record of three integers.
type numbers [3]uint64

func (n *numbers) EncodeMsgpack(enc *msgpack.Encoder) error { return ints.Encode(enc, n[:]...) }
func (n *numbers) DecodeMsgpack(dec *msgpack.Decoder) error { return ints.Decode(dec, n[:]) }

func TestDecodeFieldsOfOtherVersions(t *testing.T) {
	cases := []struct {
		name string
		sent []any
		want record
	}{
		{"same", []any{1, 2, "x"}, record{1, 2, "x"}},
		{"earlier", []any{1}, record{A: 1}},
		{"later", []any{1, 2, "x", []any{"new"}, 9}, record{1, 2, "x"}},
		{"empty", []any{}, record{}},
	}
	for _, c := range cases {
		data, err := wire.Marshal(c.sent)
		must.NoError(t, err)
		var got record
		must.NoError(t, wire.Unmarshal(data, &got), must.Sprint(c.name))
		must.Eq(t, c.want, got, must.Sprint(c.name))
	}
}

func TestEncodeOmitsTrailingZeros(t *testing.T) {
	for sent, size := range map[numbers]int{{}: 1, {1}: 2, {0, 5}: 3, {1, 2, 3}: 4} {
		data, err := wire.Marshal(&sent)
		must.NoError(t, err)
		must.Len(t, size, data, must.Sprint("trailing zeros take no bytes"))
		got := numbers{9, 9, 9}
		must.NoError(t, wire.Unmarshal(data, &got))
		must.Eq(t, sent, got)
	}
	longer, err := wire.Marshal([]uint64{1, 2, 3, 4, 5})
	must.NoError(t, err)
	var got numbers
	must.NoError(t, wire.Unmarshal(longer, &got))
	must.Eq(t, numbers{1, 2, 3}, got)
}
