package config

import (
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps the path of each key of a TOML document, with indices for
// rows, such as "targets.3.slots", to its byte offset.
type positions struct {
	offsets map[string]int
	// breaks are the offsets of the line ends.
	breaks []int
	rows   map[string]int
	// integers are the paths whose value is an integer.
	integers map[string]bool
}

// locate reads the positions of a document that has been decoded before.
func locate(text []byte) *positions {
	l := &positions{offsets: make(map[string]int), rows: make(map[string]int), integers: make(map[string]bool)}
	for i, c := range text {
		if c == '\n' {
			l.breaks = append(l.breaks, i)
		}
	}
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = l.key("", e)
		case unstable.ArrayTable:
			path := l.key("", e)
			prefix = join(path, strconv.Itoa(l.rows[path]))
			l.rows[path]++
			l.offsets[prefix] = l.offsets[path]
		case unstable.KeyValue:
			l.value(l.key(prefix, e), e.Value())
		}
	}
	return l
}

// key notes the parts of an expression's key and returns its path. A part that
// names an array of tables means the last row.
func (l *positions) key(prefix string, e *unstable.Node) string {
	path := prefix
	it := e.Key()
	for it.Next() {
		if n := l.rows[path]; n > 0 && path != prefix {
			path = join(path, strconv.Itoa(n-1))
		}
		path = join(path, string(it.Node().Data))
		if _, ok := l.offsets[path]; !ok {
			l.offsets[path] = int(it.Node().Raw.Offset)
		}
	}
	return path
}

// value notes integers and the keys inside inline tables.
func (l *positions) value(path string, v *unstable.Node) {
	switch v.Kind {
	case unstable.Integer:
		l.integers[path] = true
	case unstable.InlineTable:
		it := v.Children()
		for it.Next() {
			l.value(l.key(path, it.Node()), it.Node().Value())
		}
	case unstable.Array:
		it := v.Children()
		for i := 0; it.Next(); i++ {
			if it.Node().Kind != unstable.InlineTable {
				return
			}
			row := join(path, strconv.Itoa(i))
			l.offsets[row] = l.offsets[path]
			l.value(row, it.Node())
		}
	}
}

func join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}

// has reports whether the document sets the key.
func (l *positions) has(path string) bool {
	_, ok := l.offsets[path]
	return ok
}

// line returns the line of the key, counted from 1, or that of the nearest
// part of the path that the document has; zero when it has none.
func (l *positions) line(path string) int {
	for path != "" {
		if offset, ok := l.offsets[path]; ok {
			return 1 + sort.SearchInts(l.breaks, offset)
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return 0
}

// keyAt returns the path of the last key that begins on or before line.
func (l *positions) keyAt(line int) string {
	best, bestOffset := "", -1
	for path, offset := range l.offsets {
		if 1+sort.SearchInts(l.breaks, offset) == line && (offset > bestOffset || offset == bestOffset && path > best) {
			best, bestOffset = path, offset
		}
	}
	return best
}
