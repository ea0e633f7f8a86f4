package kernel

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// Context is what a service sees of the kernel while it is provisioned.
type Context struct {
	Env
	kernel *Kernel
	name   string
}

// Settings decodes the settings section named after the service into dst,
// which holds the defaults.
func (c *Context) Settings(dst any) error {
	if err := c.kernel.settings.Section(c.name, dst); err != nil {
		return fmt.Errorf("settings of %q: %w", c.name, err)
	}
	return nil
}

// PartField is the field of a log line that names the service it comes from.
const PartField = "part"

// Logger returns a logger whose lines name the service.
func (c *Context) Logger() *logrus.Entry {
	return c.Log.WithField(PartField, c.name)
}

// Lookup returns the service of that name as a T and makes the caller depend
// on it: the other service starts before the caller and stops after it.
func Lookup[T any](c *Context, name string) (T, error) {
	s, err := c.kernel.provide(name)
	if err != nil {
		var zero T
		return zero, err
	}
	return as[T](name, s)
}
