// Package settings reads the TOML settings of one process. Each top-level
// table belongs to the service of that name.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// File is a parsed settings file.
type File struct {
	name   string
	tables map[string]map[string]any
}

// Load reads the settings file at path.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads settings from data; name is shown in errors.
func Parse(name string, data []byte) (*File, error) {
	f := &File{name: name}
	if err := toml.Unmarshal(data, &f.tables); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

// Section decodes the table called name into dst. A key that dst does not
// have is an error.
func (f *File) Section(name string, dst any) error {
	table, ok := f.tables[name]
	if !ok {
		return nil
	}
	data, err := toml.Marshal(table)
	if err != nil {
		return fmt.Errorf("%s: [%s]: %w", f.name, name, err)
	}
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return fmt.Errorf("%s: [%s]: %w", f.name, name, describe(err))
	}
	return nil
}

func describe(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		return fmt.Errorf("unknown key %v", strict.Errors[0].Key())
	}
	return err
}

// Interface guard.
var _ kernel.Settings = (*File)(nil)
