// Package routecheck finds the faults of a configuration of routes: values that
// a router can't use, entries that no request can reach, and limits that
// contradict each other. Routers and the operators' command use the same checks.
package routecheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity tells what a finding means for requests.
type Severity string

// Severities.
const (
	// Error is a value that a router can't use as it is written, or by which
	// requests fail.
	Error Severity = "error"
	// NeverMatches is an entry that no request can reach.
	NeverMatches Severity = "never_matches"
	// Contradiction is a value that has no effect, or not the intended one,
	// beside another value or a fact of the deployment.
	Contradiction Severity = "contradiction"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Code names the kind of finding. It stays the same between releases.
	Code string `json:"code"`
	// Path is the path of the entry, such as Routes[17].Services[0].Weight.
	Path string `json:"path"`
	// File is the document, where there are several.
	File string `json:"file,omitempty"`
	// Line counts from 1; zero means that it is not known.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// Deployment holds facts that a configuration doesn't tell. Fields that are zero
// are not known, and nothing is checked against them.
type Deployment struct {
	// Version is that of the configuration in force.
	Version *int64
	// SmallestVMMB is the memory of the smallest VM, in MB.
	SmallestVMMB int
	// VMs is the number of VMs that run a router.
	VMs int
	// Slots is the number of slots of one target, by service.
	Slots map[string]int
	// DataCentres is the number of VMs by data centre.
	DataCentres map[string]int
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	n := 0
	for i := range findings {
		if findings[i].Severity == severity {
			n++
		}
	}
	return n
}

// Sort orders findings by file and line. Findings of one line keep their order.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}

// Reporter collects findings.
type Reporter struct {
	Findings []Finding
}

// Error adds a finding of severity Error.
func (r *Reporter) Error(code, path, format string, args ...any) {
	r.add(Error, code, path, format, args)
}

// NeverMatches adds a finding of severity NeverMatches.
func (r *Reporter) NeverMatches(code, path, format string, args ...any) {
	r.add(NeverMatches, code, path, format, args)
}

// Contradiction adds a finding of severity Contradiction.
func (r *Reporter) Contradiction(code, path, format string, args ...any) {
	r.add(Contradiction, code, path, format, args)
}

func (r *Reporter) add(severity Severity, code, path, format string, args []any) {
	r.Findings = append(r.Findings, Finding{
		Severity: severity, Code: code, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// entry returns the path of a row.
func entry(section string, index int) string { return fmt.Sprintf("%s[%d]", section, index) }
