package app

import (
	"fmt"
	"maps"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// processSection is the section of the settings that belongs to no service.
const processSection = "process"

// Process is the settings of a process as a whole.
type Process struct {
	// DrainLimit is the time that running requests get after SIGTERM.
	DrainLimit config.Duration `toml:"drain_limit"`
	// LogFormat is text or json.
	LogFormat LogFormat `toml:"log_format"`
	// LogLevel is debug, info, warning or error.
	LogLevel LogLevel `toml:"log_level"`
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
		LogFormat:  LogText,
		LogLevel:   "info",
	}
	err := file.Section(processSection, &p)
	return p, err
}

// Logger returns the logger of the process, which writes to standard error.
func (p Process) Logger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(os.Stderr)
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
