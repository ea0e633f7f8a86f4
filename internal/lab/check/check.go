// Package check holds what the checkers of an experiment share. Each checker
// judges one rule from a history alone.
package check

import "fmt"

// Violation is one breach of a rule.
type Violation struct {
	Rule string
	Text string
}

// String returns the rule and what was seen.
func (v Violation) String() string { return v.Rule + ": " + v.Text }

// Log collects violations of one rule after another.
type Log struct {
	Violations []Violation
}

// Add notes a violation.
func (l *Log) Add(rule, format string, args ...any) {
	l.Violations = append(l.Violations, Violation{Rule: rule, Text: fmt.Sprintf(format, args...)})
}
