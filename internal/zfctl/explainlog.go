package zfctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// explainLogCommand finds what the logs of routers tell of one request.
type explainLogCommand struct {
	Files   []string      `arg:"" help:"Logs of routers, - for standard input." type:"existingfile"`
	Request string        `help:"The request's id." required:""`
	Around  time.Duration `help:"Time before and after the request in which its targets are looked at." default:"5s"`
}

// logLineLimit bounds one line of a log in bytes.
const logLineLimit = 1 << 20

// logLine is a line of a router's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Request string    `json:"request"`
	Target  string    `json:"target"`
	Message string    `json:"msg"`
	Offset  int64     `json:"offset"`
	text    string
}

// fact is what a line tells of a target. Routers that learn the same within a
// second tell the same fact.
type fact struct {
	target  string
	message string
	offset  int64
	second  int64
}

func (l *logLine) fact() fact {
	return fact{target: l.Target, message: l.Message, offset: l.Offset, second: l.Time.Unix()}
}

// errNoRequest tells that no line is about the request.
var errNoRequest = errors.New("explain-log: no line is about this request")

// Run prints the lines of the request and those of its targets around it.
func (c *explainLogCommand) Run(g *Globals) error {
	var lines []logLine
	for _, name := range c.Files {
		more, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	return c.print(g.out, lines)
}

func (c *explainLogCommand) print(out io.Writer, lines []logLine) error {
	targets := make(map[string]bool)
	var first, last time.Time
	for _, l := range lines {
		if l.Request != c.Request {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		if l.Target != "" {
			targets[l.Target] = true
		}
	}
	if first.IsZero() {
		return errNoRequest
	}
	var kept []logLine
	times := make(map[fact]int)
	for _, l := range lines {
		near := !l.Time.Before(first.Add(-c.Around)) && !l.Time.After(last.Add(c.Around))
		about := l.Request == "" && targets[l.Target] && near
		if about {
			times[l.fact()]++
		}
		if l.Request == c.Request || about && times[l.fact()] == 1 {
			kept = append(kept, l)
		}
	}
	return printLines(out, kept, times)
}

// printLines prints lines, and how many more routers told the same of a target.
func printLines(out io.Writer, lines []logLine, times map[fact]int) error {
	for _, l := range lines {
		text := l.text
		if more := times[l.fact()] - 1; l.Request == "" && more > 0 {
			text += fmt.Sprintf(" (and %d more times)", more)
		}
		if _, err := fmt.Fprintln(out, text); err != nil {
			return fmt.Errorf("explain-log: %w", err)
		}
	}
	return nil
}

// readLog returns the lines of a log. What is before the JSON of a line, such
// as the name of a VM, is kept.
func readLog(name string) (out []logLine, err error) {
	file := os.Stdin
	if name != "-" {
		if file, err = os.Open(name); err != nil {
			return nil, fmt.Errorf("explain-log: %w", err)
		}
		defer func() { err = errors.Join(err, file.Close()) }()
	}
	return parseLog(file)
}

func parseLog(in io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, logLineLimit)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := logLine{text: text}
		if json.Unmarshal([]byte(text[start:]), &l) != nil {
			continue // a line of another program
		}
		out = append(out, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("explain-log: %w", err)
	}
	return out, nil
}
