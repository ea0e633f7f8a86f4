// Package settings reads the TOML settings of one process. Each top-level
// table belongs to the service of that name.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/tomldoc"
)

// File is a parsed settings file.
type File struct {
	name string
	text []byte
	at   *tomldoc.Positions
	// tables holds the names of the tables, and whether one was asked for.
	tables map[string]bool
	// known holds the names that were asked for.
	known map[string]bool
}

// Load reads the settings file at path.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads settings from text; name is shown in errors.
func Parse(name string, text []byte) (*File, error) {
	var tables map[string]any
	if err := toml.Unmarshal(text, &tables); err != nil {
		return nil, tomldoc.Explain(name, text, err, func(string) string { return "" })
	}
	f := &File{
		name:   name,
		text:   text,
		at:     tomldoc.Locate(text),
		tables: make(map[string]bool),
		known:  make(map[string]bool),
	}
	for table, value := range tables {
		if _, ok := value.(map[string]any); !ok {
			return nil, f.problem(table, "want a table", "write it below a line such as [caller]")
		}
		f.tables[table] = false
	}
	return f, nil
}

// Section decodes the table called name into dst, a pointer to a struct that
// holds the defaults. Unknown keys, time spans without a unit and wrong values
// are tomldoc.Problems that name file, line and key.
func (f *File) Section(name string, dst any) error {
	f.known[name] = true
	if _, ok := f.tables[name]; !ok {
		return nil
	}
	f.tables[name] = true
	target := reflect.ValueOf(dst).Elem()
	spans := tomldoc.SpanKeys(name, target.Type(), reflect.TypeFor[config.Duration]())
	if problems := tomldoc.WithoutUnit(f.name, f.at, spans); len(problems) > 0 {
		return problems
	}
	// The document holds the sections of other services too, so it is decoded
	// into a struct that has this one alone.
	document := reflect.New(reflect.StructOf([]reflect.StructField{{
		Name: "Section",
		Type: target.Type(),
		Tag:  reflect.StructTag(fmt.Sprintf("toml:%q", name)),
	}}))
	document.Elem().Field(0).Set(target)
	decoder := toml.NewDecoder(bytes.NewReader(f.text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(document.Interface())
	if err := f.ofSection(name, target.Type(), err); err != nil {
		return err
	}
	target.Set(document.Elem().Field(0))
	return f.check(name, target).Err()
}

// check returns a problem for each value of a struct that the file sets and
// that is not valid.
func (f *File) check(prefix string, v reflect.Value) tomldoc.Problems {
	var out tomldoc.Problems
	for i := range v.NumField() {
		path := tomldoc.Join(prefix, v.Type().Field(i).Tag.Get("toml"))
		field := v.Field(i)
		if value, ok := field.Interface().(Checker); ok && f.at.Has(path) {
			if err := value.Check(); err != nil {
				out = append(out, &tomldoc.Problem{File: f.name, Line: f.at.Line(path), Key: path, Message: err.Error()})
			}
		}
		if field.Kind() == reflect.Struct {
			out = append(out, f.check(path, field)...)
		}
	}
	return out
}

// ofSection returns the part of a decoder's error that is about one section.
func (f *File) ofSection(name string, t reflect.Type, err error) error {
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		strict.Errors = slices.DeleteFunc(strict.Errors, func(e toml.DecodeError) bool {
			return len(e.Key()) == 0 || e.Key()[0] != name
		})
	}
	return tomldoc.Explain(f.name, f.text, err, func(key string) string {
		return "known keys here: " + strings.Join(keysOf(t, strings.Split(key, ".")[1:]), ", ")
	}).Err()
}

// keysOf returns the keys of the innermost table on a path below t.
func keysOf(t reflect.Type, path []string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := f.Tag.Get("toml")
		if len(path) > 1 && key == path[0] && f.Type.Kind() == reflect.Struct {
			return keysOf(f.Type, path[1:])
		}
		out = append(out, key)
	}
	return out
}

// Unused returns a problem for each table that no service has asked for.
func (f *File) Unused() error {
	var out tomldoc.Problems
	for _, table := range slices.Sorted(maps.Keys(f.tables)) {
		if f.tables[table] {
			continue
		}
		out = append(out, &tomldoc.Problem{
			File: f.name, Line: f.at.Line(table), Key: table, Message: "unknown section",
			Next: "known sections: " + strings.Join(slices.Sorted(maps.Keys(f.known)), ", "),
		})
	}
	return out.Err()
}

// Explain adds file and line to an error of a service's check of its section,
// whose text begins with the key.
func (f *File) Explain(err error) error {
	var invalid *kernel.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	key, message, ok := strings.Cut(invalid.Err.Error(), ": ")
	if !ok || strings.ContainsAny(key, " \t") {
		return f.problem(invalid.Service, invalid.Err.Error(), "")
	}
	return f.problem(tomldoc.Join(invalid.Service, key), message, "")
}

// Missing is the error of a key that the file lacks.
func (f *File) Missing(section, key, message string) error {
	return f.problem(tomldoc.Join(section, key), message, "")
}

func (f *File) problem(key, message, next string) error {
	return tomldoc.Problems{{File: f.name, Line: f.at.Line(key), Key: key, Message: message, Next: next}}
}

// Interface guard.
var _ kernel.Settings = (*File)(nil)
