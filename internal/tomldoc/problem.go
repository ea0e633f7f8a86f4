package tomldoc

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document, with the place to mend it.
type Problem struct {
	// File is the file or version that the document came from.
	File string `json:"file"`
	// Line counts from 1; zero means that the key is missing.
	Line int `json:"line,omitempty"`
	// Key is the path of the key, such as "targets[engine-1].slots".
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
	// Next tells what to do about it.
	Next string `json:"next,omitempty"`
}

// Error describes the problem in one line.
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	if p.Next != "" {
		b.WriteString("; " + p.Next)
	}
	return b.String()
}

// shownProblems limits the problems that one error prints.
const shownProblems = 20

// Problems are all faults of a configuration, in the order of its sections.
type Problems []*Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, 0, min(len(ps), shownProblems)+1)
	for _, p := range ps[:min(len(ps), shownProblems)] {
		lines = append(lines, p.Error())
	}
	if more := len(ps) - shownProblems; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", more))
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, nil when there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}
