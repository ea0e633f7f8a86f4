package config

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Document is one TOML document: the base or an overlay.
type Document struct {
	// Name is the file or version shown in errors.
	Name string
	Text []byte
}

// parsed is a decoded document with the places of its keys.
type parsed struct {
	name    string
	content *Config
	at      *positions
}

// parse decodes a document over dst. Unknown keys and wrong values are
// Problems that name line and key.
func (d Document) parse(dst *Config) (*parsed, error) {
	decoder := toml.NewDecoder(bytes.NewReader(d.Text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(dst); err != nil {
		return nil, d.explain(err)
	}
	p := &parsed{name: d.Name, content: dst, at: locate(d.Text)}
	return p, p.units().err()
}

// units refuses time spans that are written as plain integers, which TOML
// would take as nanoseconds.
func (p *parsed) units() Problems {
	var out Problems
	for _, key := range spanKeys() {
		if !p.at.integers[key] {
			continue
		}
		out = append(out, &Problem{
			File: p.name, Line: p.at.line(key), Key: key,
			Message: "want a time span with a unit such as \"250ms\" or \"2s\", have a number without one",
			Next:    "add the unit, in quotes",
		})
	}
	return out
}

// Decode parses TOML over the defaults without checking the rules; name is
// the file or origin shown in errors.
func Decode(name string, data []byte) (*Config, error) {
	p, err := Document{Name: name, Text: data}.parse(Defaults())
	if err != nil {
		return nil, err
	}
	return p.content, nil
}

func (d Document) explain(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out Problems
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			key := strings.Join(e.Key(), ".")
			out = append(out, &Problem{
				File: d.Name, Line: row, Key: key, Message: "unknown key", Next: nearestKey(key),
			})
		}
		return out.err()
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		key := strings.Join(wrong.Key(), ".")
		if key == "" {
			key = locate(d.Text).keyAt(row)
		}
		message := strings.TrimPrefix(wrong.Error(), "toml: ")
		return Problems{{File: d.Name, Line: row, Key: key, Message: message, Next: "correct the value or the syntax"}}
	}
	return Problems{{File: d.Name, Message: err.Error()}}
}
