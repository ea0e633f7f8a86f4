package sitecheck

import (
	"errors"
	"strings"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
)

// maxRounds bounds the lines of a document that are left out because they can't
// be read.
const maxRounds = 200

// parse reads each document. The decoder stops at the first value of a wrong
// type, so that its line is left out and the rest is read again. The result is nil
// if a document is not TOML.
func (r *report) parse(docs configstate.Documents) *configstate.Documents {
	r.removed = removedLines{keys: make(map[string]map[string]bool), left: make(map[string][]string)}
	whole := true
	for _, scope := range docs.Scopes() {
		text, _ := docs.Text(scope)
		rest, ok := r.parseOne(string(scope), text)
		whole = whole && ok
		r.removed.left[string(scope)] = strings.Split(rest, "\n")
		docs = docs.With(scope, rest)
	}
	if !whole {
		return nil
	}
	return &docs
}

// parseOne returns the text without the lines that can't be read.
func (r *report) parseOne(name, text string) (rest string, ok bool) {
	for range maxRounds {
		_, err := config.Decode(name, []byte(text))
		var problems config.Problems
		if !errors.As(err, &problems) || len(problems) == 0 {
			return text, err == nil
		}
		lines := strings.Split(text, "\n")
		changed := false
		for _, p := range problems {
			r.problem("not_readable", p)
			if i := p.Line - 1; p.Key != "" && i >= 0 && i < len(lines) && lines[i] != "" && oneLine(lines[i]) {
				lines[i], changed = "", true
				r.removed.note(name, lastPart(p.Key))
			}
		}
		if !changed {
			return text, false
		}
		text = strings.Join(lines, "\n")
	}
	return text, false
}

// oneLine reports whether a line holds a whole key with its value, so that the
// document is still TOML without it.
func oneLine(line string) bool {
	return strings.Contains(line, "=") && !strings.Contains(line, `"""`) && !strings.Contains(line, "'''") &&
		strings.Count(line, "[") == strings.Count(line, "]") && strings.Count(line, "{") == strings.Count(line, "}")
}

func lastPart(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }

// removedLines are the names of keys that were left out, and the lines that are
// left, by document.
type removedLines struct {
	keys map[string]map[string]bool
	left map[string][]string
}

func (r *removedLines) note(file, key string) {
	if r.keys[file] == nil {
		r.keys[file] = make(map[string]bool)
	}
	r.keys[file][key] = true
}

// has reports whether a key of that name was left out of any document.
func (r *removedLines) has(key string) bool {
	for _, keys := range r.keys {
		if keys[key] {
			return true
		}
	}
	return false
}

// explain reports whether a problem follows from a line that was left out: it is
// about a key of that name, at a line that doesn't set it.
func (r *removedLines) explain(p *config.Problem) bool {
	key, lines := lastPart(p.Key), r.left[p.File]
	if !r.keys[p.File][key] {
		return false
	}
	return p.Line < 1 || p.Line > len(lines) || !strings.Contains(lines[p.Line-1], key)
}
