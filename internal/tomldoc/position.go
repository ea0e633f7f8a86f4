// Package tomldoc finds the places of keys in TOML documents and describes
// their faults with file, line and key.
package tomldoc

import (
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Positions maps the path of each key of a TOML document, with indices for
// rows, such as "targets.3.slots", to its byte offset.
type Positions struct {
	offsets map[string]int
	// breaks are the offsets of the line ends.
	breaks []int
	rows   map[string]int
	// integers are the paths whose value is an integer.
	integers map[string]bool
}

// Locate reads the positions of a document that has been decoded before.
func Locate(text []byte) *Positions {
	l := &Positions{offsets: make(map[string]int), rows: make(map[string]int), integers: make(map[string]bool)}
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
			prefix = Join(path, strconv.Itoa(l.rows[path]))
			l.rows[path]++
			l.offsets[prefix] = lastOffset(e)
		case unstable.KeyValue:
			l.value(l.key(prefix, e), e.Value())
		}
	}
	return l
}

// key notes the parts of an expression's key and returns its path. A part that
// names an array of tables means the last row.
func (l *Positions) key(prefix string, e *unstable.Node) string {
	path := prefix
	it := e.Key()
	for it.Next() {
		if n := l.rows[path]; n > 0 && path != prefix {
			path = Join(path, strconv.Itoa(n-1))
		}
		path = Join(path, string(it.Node().Data))
		if _, ok := l.offsets[path]; !ok {
			l.offsets[path] = int(it.Node().Raw.Offset)
		}
	}
	return path
}

// lastOffset returns the offset of the last part of an expression's key: each row
// of an array of tables has a header of its own.
func lastOffset(e *unstable.Node) int {
	offset := 0
	for it := e.Key(); it.Next(); {
		offset = int(it.Node().Raw.Offset)
	}
	return offset
}

// value notes integers and the keys inside inline tables.
func (l *Positions) value(path string, v *unstable.Node) {
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
			row := Join(path, strconv.Itoa(i))
			l.offsets[row] = l.offsets[path]
			l.value(row, it.Node())
		}
	}
}

// Join returns the path of a part under a path.
func Join(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}

// Has reports whether the document sets the key.
func (l *Positions) Has(path string) bool {
	_, ok := l.offsets[path]
	return ok
}

// IsInteger reports whether the value of the key is an integer.
func (l *Positions) IsInteger(path string) bool { return l.integers[path] }

// Line returns the line of the key, counted from 1, or that of the nearest
// part of the path that the document has; zero when it has none.
func (l *Positions) Line(path string) int {
	for path != "" {
		if offset, ok := l.offsets[path]; ok {
			return 1 + sort.SearchInts(l.breaks, offset)
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return 0
}

// KeyAt returns the path of the last key that begins on or before line.
func (l *Positions) KeyAt(line int) string {
	best, bestOffset := "", -1
	for path, offset := range l.offsets {
		if 1+sort.SearchInts(l.breaks, offset) == line && (offset > bestOffset || offset == bestOffset && path > best) {
			best, bestOffset = path, offset
		}
	}
	return best
}
