package config

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Decode parses TOML over the defaults. Unknown keys and wrong values are
// errors that name line and key; name is the file or origin shown in them.
func Decode(name string, data []byte) (*Config, error) {
	c := Defaults()
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("%s: %s", name, explain(err))
	}
	return c, nil
}

func explain(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		return fmt.Sprintf("line %d: unknown key %v", row, first.Key())
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, _ := de.Position()
		return fmt.Sprintf("line %d: key %v: %s", row, de.Key(), de.Error())
	}
	return err.Error()
}
