package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/tomldoc"
)

// Value is one value of a configuration, as text.
type Value struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Origin is where the value came from.
	Origin Origin `json:"origin"`
}

// Values lists every value that is set or has a default, in the order of the
// schema. Key hashes are shown by their first digits.
func (m *Merged) Values() []Value {
	var out []Value
	flatten(reflect.ValueOf(m.Config).Elem(), "", func(key, text string) {
		out = append(out, Value{Key: key, Value: text, Origin: m.Origin(key)})
	})
	return out
}

// flatten visits the values of a section or row. Zero values of rows are left
// out.
func flatten(v reflect.Value, prefix string, visit func(key, text string)) {
	inRow := strings.HasSuffix(prefix, "]")
	for _, f := range fieldsOf(v.Type()) {
		key, value := tomldoc.Join(prefix, f.key), v.Field(f.index)
		switch f.kind {
		case fieldTable:
			flatten(value, key, visit)
		case fieldRows:
			for i := range value.Len() {
				flatten(value.Index(i), key+"["+rowName(value.Index(i))+"]", visit)
			}
		default:
			if value.IsZero() && (inRow || prefix == "") {
				continue
			}
			visit(key, valueText(f.key, value))
		}
	}
}

// shownHashDigits is how much of a key's hash is shown, enough to tell two
// keys apart.
const shownHashDigits = 8

func valueText(key string, v reflect.Value) string {
	if key == "key_hashes" {
		hashes, _ := v.Interface().([]string)
		short := make([]string, 0, len(hashes))
		for _, h := range hashes {
			short = append(short, h[:min(len(h), shownHashDigits)])
		}
		return "[" + strings.Join(short, ", ") + "]"
	}
	if v.Kind() == reflect.Slice {
		parts := make([]string, 0, v.Len())
		for i := range v.Len() {
			parts = append(parts, fmt.Sprint(v.Index(i).Interface()))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(show(v))
}

// Change is one value that differs between two configurations.
type Change struct {
	Site fleet.Site `json:"site"`
	Key  string     `json:"key"`
	// Before and After are empty where the value is not set.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Compare returns the values that differ between two configurations.
func Compare(before, after *Config) []Change {
	old := make(map[string]string)
	if before != nil {
		flatten(reflect.ValueOf(before).Elem(), "", func(key, text string) { old[key] = text })
	}
	var out []Change
	if after != nil {
		flatten(reflect.ValueOf(after).Elem(), "", func(key, text string) {
			if was, ok := old[key]; !ok || was != text {
				out = append(out, Change{Site: after.Site, Key: key, Before: was, After: text})
			}
			delete(old, key)
		})
	}
	var gone []Change
	for key, was := range old {
		gone = append(gone, Change{Site: before.Site, Key: key, Before: was})
	}
	slices.SortFunc(gone, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	return append(out, gone...)
}
