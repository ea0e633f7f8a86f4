package config

import (
	"bytes"

	"github.com/pelletier/go-toml/v2"

	"github.com/zinniafork/zinniafork/internal/tomldoc"
)

// Problem is one fault of a document, with the place to mend it.
type Problem = tomldoc.Problem

// Problems are all faults of a configuration, in the order of its sections.
type Problems = tomldoc.Problems

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
	at      *tomldoc.Positions
}

// parse decodes a document over dst. Unknown keys and wrong values are
// Problems that name line and key.
func (d Document) parse(dst *Config) (*parsed, error) {
	decoder := toml.NewDecoder(bytes.NewReader(d.Text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(dst); err != nil {
		return nil, tomldoc.Explain(d.Name, d.Text, err, nearestKey)
	}
	p := &parsed{name: d.Name, content: dst, at: tomldoc.Locate(d.Text)}
	return p, tomldoc.WithoutUnit(p.name, p.at, spanKeys()).Err()
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
