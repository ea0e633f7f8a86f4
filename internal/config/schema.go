package config

import (
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/zinniafork/zinniafork/internal/tomldoc"
)

// field is one key of a section or row.
type field struct {
	key   string
	index int
	kind  fieldKind
}

type fieldKind int

const (
	fieldValue fieldKind = iota
	fieldTable
	fieldRows
)

// fieldsOf returns the keys of a struct of this package, in order.
func fieldsOf(t reflect.Type) []field {
	out := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		entry := field{key: f.Tag.Get("toml"), index: i}
		switch {
		case f.Type.Kind() == reflect.Struct:
			entry.kind = fieldTable
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			entry.kind = fieldRows
		}
		out = append(out, entry)
	}
	return out
}

// spanKeys returns the keys of sections that hold a time span.
var spanKeys = sync.OnceValue(func() []string {
	return tomldoc.SpanKeys("", reflect.TypeFor[Config](), reflect.TypeFor[Duration]())
})

// knownKeys returns every key of the schema, rows without their names.
var knownKeys = sync.OnceValue(func() []string {
	var out []string
	var visit func(prefix string, t reflect.Type)
	visit = func(prefix string, t reflect.Type) {
		for _, f := range fieldsOf(t) {
			path := tomldoc.Join(prefix, f.key)
			out = append(out, path)
			switch f.kind {
			case fieldTable:
				visit(path, t.Field(f.index).Type)
			case fieldRows:
				visit(path, t.Field(f.index).Type.Elem())
			}
		}
	}
	visit("", reflect.TypeFor[Config]())
	return out
})

// nearestKey suggests a known key of the same section that is spelled alike.
func nearestKey(key string) string {
	section, name := key[:strings.LastIndexByte(key, '.')+1], key[strings.LastIndexByte(key, '.')+1:]
	best, bestDistance := "", 3
	var siblings []string
	for _, known := range knownKeys() {
		rest, ok := strings.CutPrefix(known, section)
		if !ok || strings.Contains(rest, ".") {
			continue
		}
		siblings = append(siblings, rest)
		if d := tomldoc.EditDistance(name, rest); d < bestDistance {
			best, bestDistance = rest, d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "known keys here: " + strings.Join(siblings, ", ")
}
