package app

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// processSection is the section of the settings that belongs to no service.
const processSection = "process"

// Process is the settings of a process as a whole.
type Process struct {
	// DrainLimit is the time that running requests get after SIGTERM.
	DrainLimit config.Duration `toml:"drain_limit"`
	// Stack is what the router is made of.
	Stack Stack `toml:"stack"`
	// MemoryMB is the memory of the machine in MB, and MaxDescriptors the number of
	// descriptors that the process may open. What clients may hold is bounded by them. Zero
	// takes the defaults of membudget.
	MemoryMB       int `toml:"memory_mb"`
	MaxDescriptors int `toml:"max_descriptors"`
	// MemoryLimitMB is the memory in MB from which garbage is collected at
	// once, zero for a limit derived from MemoryMB.
	MemoryLimitMB int `toml:"memory_limit_mb"`
	// LogFormat is text or json.
	LogFormat LogFormat `toml:"log_format"`
	// LogLevel is debug, info, warning or error.
	LogLevel LogLevel `toml:"log_level"`
}

// Stack is what a router is made of.
type Stack string

// Stacks.
const (
	// StackOwners admits requests at the one router that owns a target, and
	// takes its configuration from the product's own log.
	StackOwners Stack = "owners"
	// StackSite forwards straight to targets, and takes the state of its site
	// from the users' platform.
	StackSite Stack = "site"
)

// Check checks the stack.
func (s Stack) Check() error {
	if s == StackOwners || s == StackSite {
		return nil
	}
	return fmt.Errorf("want \"owners\" or \"site\", have %q", s)
}

// LogFormat is how log lines are written.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Check checks the format.
func (f LogFormat) Check() error {
	if f == LogText || f == LogJSON {
		return nil
	}
	return fmt.Errorf("want \"text\" or \"json\", have %q", f)
}

// LogLevel is the least important level of lines that are written.
type LogLevel string

// Check checks the level.
func (l LogLevel) Check() error {
	if _, err := logrus.ParseLevel(string(l)); err != nil {
		return fmt.Errorf("want \"debug\", \"info\", \"warning\" or \"error\", have %q", l)
	}
	return nil
}

// defaultDrainLimit lets the longest chat end.
const defaultDrainLimit = 90 * time.Second

// LoadProcess reads the process settings.
func LoadProcess(file *settings.File) (Process, error) {
	p := Process{
		DrainLimit: config.Duration(defaultDrainLimit),
		Stack:      StackOwners,
		LogFormat:  LogText,
		LogLevel:   "info",
	}
	if err := file.Section(processSection, &p); err != nil {
		return p, err
	}
	if err := p.Limits().Validate(); err != nil {
		return p, file.Explain(&kernel.InvalidError{Service: processSection, Err: err})
	}
	return p, nil
}

// Limits returns the limits of the process.
func (p Process) Limits() membudget.Limits {
	defaults := membudget.DefaultLimits()
	return membudget.Limits{
		MemoryMB:    cmp.Or(p.MemoryMB, defaults.MemoryMB),
		Descriptors: cmp.Or(p.MaxDescriptors, defaults.Descriptors),
	}
}

// CollectorGoal returns the number of bytes from which garbage is collected at once. There is none
// unless the settings name one or the memory of the machine.
func (p Process) CollectorGoal() int64 {
	switch {
	case p.MemoryLimitMB > 0:
		return int64(p.MemoryLimitMB) << 20
	case p.MemoryMB > 0:
		return p.Limits().CollectorGoal()
	default:
		return math.MaxInt64
	}
}

// Logger returns the logger of the process, which writes to out.
func (p Process) Logger(out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(out)
	if level, err := logrus.ParseLevel(string(p.LogLevel)); err == nil {
		l.SetLevel(level)
	}
	var format logrus.Formatter = new(logrus.TextFormatter)
	if p.LogFormat == LogJSON {
		format = new(logrus.JSONFormatter)
	}
	l.SetFormatter(prefixFormatter{format})
	return l
}

// prefixFormatter puts the part that a line comes from in front of its
// message.
type prefixFormatter struct{ inner logrus.Formatter }

// Format writes one line.
func (f prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	part, ok := e.Data[kernel.PartField].(string)
	if !ok {
		return f.inner.Format(e)
	}
	prefixed := *e
	prefixed.Message = part + ": " + e.Message
	prefixed.Data = maps.Clone(e.Data)
	delete(prefixed.Data, kernel.PartField)
	return f.inner.Format(&prefixed)
}
