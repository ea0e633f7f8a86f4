package explore

import (
	"encoding/binary"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"github.com/zinniafork/zinniafork/internal/core/orders"
)

// skipped are the types that do not tell states apart: the append budget is
// unlimited here, the cache of answers follows from the rest, and routers and
// the log are hashed by themselves.
var skipped = map[reflect.Type]struct{}{
	reflect.TypeFor[*rate.Limiter]():                      {},
	reflect.TypeFor[*simplelru.LRU[orders.Key, []byte]](): {},
	reflect.TypeFor[Options]():                            {},
	reflect.TypeFor[[]*router]():                          {},
	reflect.TypeFor[[]bool]():                             {},
	reflect.TypeFor[[]orders.LoggedRecord]():              {},
}

var timeType = reflect.TypeFor[time.Time]()

// fingerprint is a hash of the whole state.
func (w *world) fingerprint() uint64 {
	b := make([]byte, 0, 4096)
	for _, r := range w.routers {
		if r.print == 0 {
			r.print = xxhash.Sum64(appendValue(b[:0], reflect.ValueOf(r).Elem()))
		}
	}
	b = b[:0]
	for _, r := range w.routers {
		b = binary.LittleEndian.AppendUint64(b, r.print)
	}
	b = appendValue(b, reflect.ValueOf(w).Elem())
	return xxhash.Sum64(b)
}

// appendValue writes a value without regard to the order of maps and to the
// places of pointers.
func appendValue(b []byte, v reflect.Value) []byte {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return append(b, 1)
		}
		return append(b, 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return binary.AppendVarint(b, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return binary.AppendUvarint(b, v.Uint())
	case reflect.Float64:
		return binary.AppendUvarint(b, uint64(v.Float()))
	case reflect.String:
		b = binary.AppendUvarint(b, uint64(v.Len()))
		return append(b, v.String()...)
	default:
		return appendComposite(b, v)
	}
}

func appendComposite(b []byte, v reflect.Value) []byte {
	if _, skip := skipped[v.Type()]; skip {
		return b
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return append(b, 0)
		}
		return appendValue(append(b, 1), v.Elem())
	case reflect.Slice, reflect.Array:
		return appendList(b, v)
	case reflect.Map:
		return appendMap(b, v)
	case reflect.Struct:
		return appendStruct(b, v)
	default:
		panic("fingerprint: unexpected " + v.Kind().String())
	}
}

func appendStruct(b []byte, v reflect.Value) []byte {
	if v.Type() == timeType {
		return appendTime(b, v)
	}
	for i := range v.NumField() {
		b = appendValue(b, v.Field(i))
	}
	return b
}

// chain adds a record to the fingerprint of the log.
func chain(print uint64, rec *orders.LoggedRecord) uint64 {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 512), print)
	return xxhash.Sum64(appendValue(b, reflect.ValueOf(rec).Elem()))
}

func appendTime(b []byte, v reflect.Value) []byte {
	b = binary.AppendUvarint(b, v.Field(0).Uint())
	return binary.AppendVarint(b, v.Field(1).Int())
}

func appendList(b []byte, v reflect.Value) []byte {
	b = binary.AppendUvarint(b, uint64(v.Len()))
	if v.Type().Elem().Kind() == reflect.Uint8 && (v.Kind() == reflect.Slice || v.CanAddr()) {
		return append(b, v.Bytes()...)
	}
	for i := range v.Len() {
		b = appendValue(b, v.Index(i))
	}
	return b
}

func appendMap(b []byte, v reflect.Value) []byte {
	pairs := make([]string, 0, v.Len())
	for it := v.MapRange(); it.Next(); {
		pair := appendValue(nil, it.Key())
		pairs = append(pairs, string(appendValue(pair, it.Value())))
	}
	slices.Sort(pairs)
	b = binary.AppendUvarint(b, uint64(len(pairs)))
	for _, p := range pairs {
		b = append(b, p...)
	}
	return b
}
