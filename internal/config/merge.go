package config

import (
	"fmt"
	"reflect"
	"strconv"

	"github.com/zinniafork/zinniafork/internal/tomldoc"
)

// Origin tells where a value came from.
type Origin struct {
	// File is the document, or DefaultOrigin.
	File string `json:"file"`
	Line int    `json:"line,omitempty"`
}

// DefaultOrigin is the file of values that no document sets.
const DefaultOrigin = "default"

// Merged is the configuration of a site with the origin of each value.
type Merged struct {
	Config  *Config
	base    string
	origins map[string]Origin
}

// Origin returns where the value of a key, such as "targets[engine-1].slots",
// came from.
func (m *Merged) Origin(key string) Origin {
	if o, ok := m.origins[key]; ok {
		return o
	}
	return Origin{File: DefaultOrigin}
}

// merger puts one document over a configuration.
type merger struct {
	out      *Merged
	doc      *parsed
	overlay  bool
	problems Problems
}

// newMerged starts with a base document.
func newMerged(base *parsed) *Merged {
	m := &Merged{Config: base.content, base: base.name, origins: make(map[string]Origin)}
	w := merger{out: m, doc: base}
	w.table(reflect.ValueOf(base.content).Elem(), reflect.ValueOf(base.content).Elem(), "", "")
	return m
}

// put merges an overlay and returns what it may not change.
func (m *Merged) put(overlay *parsed) Problems {
	w := merger{out: m, doc: overlay, overlay: true}
	w.table(reflect.ValueOf(m.Config).Elem(), reflect.ValueOf(overlay.content).Elem(), "", "")
	return append(w.problems, w.rowRules()...)
}

// table merges the keys that src's document sets. at is the path in the
// document, key the path with row names.
func (w *merger) table(dst, src reflect.Value, at, key string) {
	for _, f := range fieldsOf(dst.Type()) {
		fieldAt, fieldKey := tomldoc.Join(at, f.key), tomldoc.Join(key, f.key)
		if !w.doc.at.Has(fieldAt) {
			continue
		}
		w.out.origins[fieldKey] = Origin{File: w.doc.name, Line: w.doc.at.Line(fieldAt)}
		to, from := dst.Field(f.index), src.Field(f.index)
		switch f.kind {
		case fieldTable:
			w.table(to, from, fieldAt, fieldKey)
		case fieldRows:
			w.rows(to, from, fieldAt, fieldKey)
		default:
			w.value(to, from, fieldAt, fieldKey)
		}
	}
}

// rows merges rows by their names and appends new ones.
func (w *merger) rows(dst, src reflect.Value, at, key string) {
	byName := make(map[string]int, dst.Len())
	if w.overlay {
		for i := range dst.Len() {
			byName[rowName(dst.Index(i))] = i
		}
	}
	for i := range src.Len() {
		row := src.Index(i)
		name := rowName(row)
		rowAt, rowKey := tomldoc.Join(at, strconv.Itoa(i)), key+"["+name+"]"
		j, found := byName[name]
		if w.overlay && !found {
			dst.Set(reflect.Append(dst, row))
			j = dst.Len() - 1
		} else if !w.overlay {
			j = i
		}
		if !found || !w.out.knows(rowKey) {
			w.out.origins[rowKey] = Origin{File: w.doc.name, Line: w.doc.at.Line(rowAt)}
		}
		if w.overlay && !found {
			w.note(dst.Index(j).Type(), rowAt, rowKey)
			continue
		}
		w.table(dst.Index(j), row, rowAt, rowKey)
	}
}

// note records the origins of a new row's keys.
func (w *merger) note(t reflect.Type, at, key string) {
	for _, f := range fieldsOf(t) {
		if w.doc.at.Has(tomldoc.Join(at, f.key)) {
			w.out.origins[tomldoc.Join(key, f.key)] = Origin{File: w.doc.name, Line: w.doc.at.Line(tomldoc.Join(at, f.key))}
		}
	}
}

func (m *Merged) knows(key string) bool {
	_, ok := m.origins[key]
	return ok
}

// value sets one value, unless an overlay may not change it.
func (w *merger) value(dst, src reflect.Value, at, key string) {
	if w.overlay && !reflect.DeepEqual(dst.Interface(), src.Interface()) {
		if reason, fixed := fixedIn(at, dst, src); fixed {
			w.problems = append(w.problems, &Problem{
				File: w.doc.name, Line: w.doc.at.Line(at), Key: key,
				Message: fmt.Sprintf("%s, the base has %v", reason, show(dst)),
				Next:    "remove the key here, or have it changed in the base",
			})
			return
		}
	}
	dst.Set(src)
}

func rowName(row reflect.Value) string {
	return row.FieldByName("Name").String()
}

func show(v reflect.Value) any {
	if d, ok := v.Interface().(Duration); ok {
		return d.Std()
	}
	return v.Interface()
}
