package tomldoc

import (
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Explain turns an error of the TOML decoder into Problems of the document
// called name. next suggests what to write for an unknown key.
func Explain(name string, text []byte, err error, next func(key string) string) Problems {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out Problems
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			key := strings.Join(e.Key(), ".")
			out = append(out, &Problem{File: name, Line: row, Key: key, Message: "unknown key", Next: next(key)})
		}
		return out
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		key := strings.Join(wrong.Key(), ".")
		if key == "" {
			key = Locate(text).KeyAt(row)
		}
		message := plainWords(strings.TrimPrefix(wrong.Error(), "toml: "))
		return Problems{{File: name, Line: row, Key: key, Message: message, Next: "correct the value or the syntax"}}
	}
	return Problems{{File: name, Message: err.Error()}}
}

// wrongType matches the decoder's message about a value of the wrong type.
var wrongType = regexp.MustCompile(`^cannot decode TOML (\S+) into (?:struct field \S+ of type |a Go value of type )(\S+)$`)

// wantedValues describes values in the words of TOML.
var wantedValues = map[string]string{
	"float64":  "a number such as 1.25",
	"int":      "a whole number",
	"int64":    "a whole number",
	"string":   "a text in quotes",
	"bool":     "true or false",
	"[]string": "a list of texts",
}

// plainWords rewrites the decoder's message without types of this program.
func plainWords(message string) string {
	m := wrongType.FindStringSubmatch(message)
	if m == nil {
		return message
	}
	wanted, ok := wantedValues[m[2]]
	if !ok {
		wanted = "another kind of value"
	}
	return "want " + wanted + ", have " + m[1]
}

// SpanKeys returns the paths of the fields of struct type t, tables included,
// whose type is span.
func SpanKeys(prefix string, t, span reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		path := Join(prefix, f.Tag.Get("toml"))
		switch {
		case f.Type == span:
			out = append(out, path)
		case f.Type.Kind() == reflect.Struct:
			out = append(out, SpanKeys(path, f.Type, span)...)
		}
	}
	return out
}

// WithoutUnit returns a problem for each of the keys, which hold time spans,
// that is written as a plain integer.
func WithoutUnit(name string, at *Positions, keys []string) Problems {
	var out Problems
	for _, key := range keys {
		if !at.IsInteger(key) {
			continue
		}
		out = append(out, &Problem{
			File: name, Line: at.Line(key), Key: key,
			Message: "want a time span with a unit such as \"250ms\" or \"2s\", have a number without one",
			Next:    "add the unit, in quotes",
		})
	}
	return out
}

// EditDistance returns the number of single-letter edits between two words.
func EditDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
