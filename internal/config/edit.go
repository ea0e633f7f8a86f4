package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/tomldoc"
)

// Markable names a section whose rows carry marks.
type Markable string

// Sections whose rows carry marks.
const (
	MarkDataCentre Markable = "data_centres"
	MarkVM         Markable = "vms"
	MarkTarget     Markable = "targets"
)

// SetMark returns the text of a document with the mark of one row set. The
// rest of the text stays as it is. A document without the row gets one.
func SetMark(d Document, section Markable, name string, mark fleet.Mark) (string, error) {
	p, err := d.parse(new(Config))
	if err != nil {
		return "", err
	}
	line := fmt.Sprintf("mark = %q", string(mark))
	i := p.content.rowIndex(section, name)
	if i < 0 {
		text := string(d.Text)
		if text != "" && !strings.HasSuffix(text, "\n") {
			text += "\n"
		}
		return text + fmt.Sprintf("\n[[%s]]\nname = %q\n%s\n", section, name, line), nil
	}
	row := tomldoc.Join(string(section), strconv.Itoa(i))
	lines := strings.SplitAfter(string(d.Text), "\n")
	if p.at.Has(row + ".mark") {
		n := p.at.Line(row+".mark") - 1
		if !strings.HasPrefix(strings.TrimSpace(lines[n]), "mark") {
			return "", inlineRow(d, p, row, name)
		}
		lines[n] = line + "\n"
		return strings.Join(lines, ""), nil
	}
	n := p.at.Line(row+".name") - 1
	if !strings.HasPrefix(strings.TrimSpace(lines[n]), "name") {
		return "", inlineRow(d, p, row, name)
	}
	if !strings.HasSuffix(lines[n], "\n") {
		lines[n] += "\n"
	}
	lines[n] += line + "\n"
	return strings.Join(lines, ""), nil
}

func inlineRow(d Document, p *parsed, row, name string) error {
	return Problems{{
		File: d.Name, Line: p.at.Line(row), Key: name,
		Message: "the row is written as an inline table",
		Next:    "write it as a [[table]], one key a line, or set the mark in the text",
	}}
}

// rowIndex returns the index of a row, -1 when there is none.
func (c *Config) rowIndex(section Markable, name string) int {
	switch section {
	case MarkDataCentre:
		return indexOf(c.DataCentres, func(d *DataCentre) string { return string(d.Name) }, name)
	case MarkVM:
		return indexOf(c.VMs, func(v *VM) string { return string(v.Name) }, name)
	case MarkTarget:
		return indexOf(c.Targets, func(t *Target) string { return string(t.Name) }, name)
	}
	return -1
}

func indexOf[T any](rows []T, name func(*T) string, want string) int {
	for i := range rows {
		if name(&rows[i]) == want {
			return i
		}
	}
	return -1
}

// hiddenHash replaces the hash of a key in texts for viewers.
const hiddenHash = "hidden"

// HideKeys returns a document's text without the hashes of keys.
func HideKeys(text string) string {
	return quotedHash.ReplaceAllString(text, `"`+hiddenHash+`"`)
}
