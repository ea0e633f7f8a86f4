package kernel

import (
	"fmt"
	"sync"
)

// Catalog maps service names to constructors.
type Catalog struct {
	mu           sync.RWMutex
	constructors map[string]func() Service
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{constructors: make(map[string]func() Service)}
}

var defaultCatalog = NewCatalog()

// Register adds a constructor to the default catalog. It panics when the name
// is taken, since that is a mistake in the program.
func Register(name string, construct func() Service) {
	if err := defaultCatalog.Register(name, construct); err != nil {
		panic(err)
	}
}

// Register adds a constructor under name, or returns ErrDuplicate.
func (c *Catalog) Register(name string, construct func() Service) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.constructors[name]; ok {
		return fmt.Errorf("kernel: register %q: %w", name, ErrDuplicate)
	}
	c.constructors[name] = construct
	return nil
}

func (c *Catalog) constructor(name string) (func() Service, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	construct, ok := c.constructors[name]
	return construct, ok
}
