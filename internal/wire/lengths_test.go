package wire_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/zinniafork/zinniafork/internal/wire"
)

// nested is a value with lists of lists, as updates between routers have.
type nested struct {
	Name  string
	Rows  []nested
	Bytes []byte
	Map   map[string]int64
	Time  float64
}

// TestDeclaredLengthsAreChecked decodes messages of a few bytes that declare billions
// of elements or nest without end: they must be refused without an allocation of what
// they declare, which would end the process.
func TestDeclaredLengthsAreChecked(t *testing.T) {
	for name, data := range map[string][]byte{
		"array":       {0x81, 0xa4, 'R', 'o', 'w', 's', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"map":         {0xdf, 0x7f, 0xff, 0xff, 0xff},
		"bytes":       {0x81, 0xa5, 'B', 'y', 't', 'e', 's', 0xc6, 0xff, 0xff, 0xff, 0xff},
		"string":      {0x81, 0xa4, 'N', 'a', 'm', 'e', 0xdb, 0xff, 0xff, 0xff, 0xff},
		"unknown ext": {0x81, 0xa1, 'x', 0xc9, 0xff, 0xff, 0xff, 0xff, 1},
		"nesting":     append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, 1<<20)...),
		"empty":       {},
	} {
		var v nested
		must.ErrorIs(t, wire.Unmarshal(data, &v), wire.ErrMalformed, must.Sprint(name))
	}
}

// TestValidMessagesPassTheCheck encodes arbitrary values and decodes them again.
func TestValidMessagesPassTheCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var draw func(depth int) nested
		draw = func(depth int) nested {
			v := nested{
				Name:  rapid.String().Draw(t, "name"),
				Bytes: rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes"),
				Map:   rapid.MapOfN(rapid.StringN(0, 9, -1), rapid.Int64(), 0, 20).Draw(t, "map"),
				Time:  float64(rapid.Int64().Draw(t, "time")),
			}
			for range rapid.IntRange(0, depth).Draw(t, "rows") {
				v.Rows = append(v.Rows, draw(depth-1))
			}
			return v
		}
		want := draw(3)
		data, err := wire.Marshal(want)
		must.NoError(t, err)
		var got nested
		must.NoError(t, wire.Unmarshal(data, &got))
		again, err := wire.Marshal(got)
		must.NoError(t, err)
		must.Len(t, len(data), again)
		plain, err := msgpack.Marshal(want)
		must.NoError(t, err)
		must.NoError(t, wire.Unmarshal(plain, new(nested)))
	})
}
