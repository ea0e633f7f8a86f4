// Package kernel runs a process as a set of named services.
//
// A service registers a constructor under its name, usually in init. A kernel
// builds the services that a process asks for, gives each its settings and the
// services it looks up, and takes them through one life cycle: provision,
// validate, start, drain, stop. The kernel knows no service.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Service is one named part of a process.
//
// A service also implements those of Provisioner, Validator, Starter, Drainer
// and Stopper that it needs.
type Service interface {
	// Name returns the name that other services look this one up by.
	Name() string
}

// Provisioner prepares a service: it reads its settings and looks up the
// services it depends on.
type Provisioner interface {
	Provision(c *Context) error
}

// Validator checks a provisioned service before anything starts.
type Validator interface {
	Validate() error
}

// Starter begins the work of a service. Start returns once the service is
// usable; ctx ends when the process must stop at once.
type Starter interface {
	Start(ctx context.Context) error
}

// Drainer stops taking new work and waits for running work until ctx ends.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Stopper releases what a started service holds.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Errors of the kernel, wrapped with the name of the service.
var (
	ErrMissing    = errors.New("no service registered under this name")
	ErrDuplicate  = errors.New("a service is already registered under this name")
	ErrCycle      = errors.New("services depend on each other in a cycle")
	ErrWrongType  = errors.New("service does not offer the wanted interface")
	ErrNotStarted = errors.New("kernel has not started")
)

// InvalidError is what the check of a provisioned service found.
type InvalidError struct {
	Service string
	Err     error
}

// Error describes the fault.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("kernel: validate %q: %v", e.Service, e.Err)
}

// Unwrap returns what the service found.
func (e *InvalidError) Unwrap() error { return e.Err }

// Settings gives each service its part of the process settings.
type Settings interface {
	// Section decodes the section called name into dst, which already holds
	// the defaults. Unknown keys and wrong values are errors.
	Section(name string, dst any) error
}

// NoSettings leaves every service at its defaults.
type NoSettings struct{}

// Section leaves dst as it is.
func (NoSettings) Section(string, any) error { return nil }

// Kernel holds the services of one process.
type Kernel struct {
	env      Env
	settings Settings
	catalog  *Catalog

	mu      sync.Mutex
	byName  map[string]*entry
	order   []*entry
	pending []string
	cancel  context.CancelFunc
}

type entry struct {
	service     Service
	provisioned bool
	started     bool
}

// New returns a kernel that builds services from catalog; nil means the
// catalog that Register fills.
func New(env Env, settings Settings, catalog *Catalog) *Kernel {
	if catalog == nil {
		catalog = defaultCatalog
	}
	if settings == nil {
		settings = NoSettings{}
	}
	return &Kernel{
		env:      env.withDefaults(),
		settings: settings,
		catalog:  catalog,
		byName:   make(map[string]*entry),
	}
}

// Use adds a service that was built by the caller. It replaces the
// registered constructor of that name for this kernel.
func (k *Kernel) Use(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.byName[s.Name()]; ok {
		return fmt.Errorf("kernel: add %q: %w", s.Name(), ErrDuplicate)
	}
	k.byName[s.Name()] = &entry{service: s}
	return nil
}

// Provision builds, provisions and validates the named services and all that
// they look up, dependencies first.
func (k *Kernel) Provision(names ...string) error {
	for _, name := range names {
		if _, err := k.provide(name); err != nil {
			return err
		}
	}
	for _, e := range k.order {
		v, ok := e.service.(Validator)
		if !ok {
			continue
		}
		if err := v.Validate(); err != nil {
			return &InvalidError{Service: e.service.Name(), Err: err}
		}
	}
	return nil
}

// provide returns the named service, building and provisioning it first when
// needed. Provisioning happens on one goroutine, so the order of k.order is a
// topological order of the dependencies.
func (k *Kernel) provide(name string) (Service, error) {
	e, err := k.build(name)
	if err != nil {
		return nil, err
	}
	if e.provisioned {
		return e.service, nil
	}
	for _, p := range k.pending {
		if p == name {
			return nil, fmt.Errorf("kernel: provision %q: %w: %v", name, ErrCycle, append(k.pending, name))
		}
	}
	k.pending = append(k.pending, name)
	defer func() { k.pending = k.pending[:len(k.pending)-1] }()
	if p, ok := e.service.(Provisioner); ok {
		if err := p.Provision(&Context{Env: k.env, kernel: k, name: name}); err != nil {
			return nil, fmt.Errorf("kernel: provision %q: %w", name, err)
		}
	}
	e.provisioned = true
	k.order = append(k.order, e)
	return e.service, nil
}

func (k *Kernel) build(name string) (*entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.byName[name]; ok {
		return e, nil
	}
	construct, ok := k.catalog.constructor(name)
	if !ok {
		return nil, fmt.Errorf("kernel: look up %q: %w", name, ErrMissing)
	}
	e := &entry{service: construct()}
	k.byName[name] = e
	return e, nil
}

// Start starts all provisioned services, dependencies first. When one fails,
// those already started are stopped again.
func (k *Kernel) Start(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	for _, e := range k.order {
		if s, ok := e.service.(Starter); ok {
			if err := s.Start(ctx); err != nil {
				err = fmt.Errorf("kernel: start %q: %w", e.service.Name(), err)
				return errors.Join(err, k.Stop(context.WithoutCancel(ctx)))
			}
		}
		e.started = true
	}
	return nil
}

// Drain drains the started services, dependents first, and then stops them.
// Running work may go on until ctx ends.
func (k *Kernel) Drain(ctx context.Context) error {
	var errs []error
	for _, e := range reversed(k.order) {
		d, ok := e.service.(Drainer)
		if !ok || !e.started {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			errs = append(errs, fmt.Errorf("kernel: drain %q: %w", e.service.Name(), err))
		}
	}
	errs = append(errs, k.Stop(context.WithoutCancel(ctx)))
	return errors.Join(errs...)
}

// Stop stops the started services at once, dependents first.
func (k *Kernel) Stop(ctx context.Context) error {
	if k.cancel != nil {
		k.cancel()
	}
	var errs []error
	for _, e := range reversed(k.order) {
		if !e.started {
			continue
		}
		e.started = false
		s, ok := e.service.(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("kernel: stop %q: %w", e.service.Name(), err))
		}
	}
	return errors.Join(errs...)
}

// Find returns the provisioned service of that name with the wanted type.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	e, ok := k.byName[name]
	k.mu.Unlock()
	if !ok || !e.provisioned {
		return zero, fmt.Errorf("kernel: find %q: %w", name, ErrMissing)
	}
	return as[T](name, e.service)
}

// Each calls visit for every provisioned service, dependencies first.
func (k *Kernel) Each(visit func(Service)) {
	for _, e := range k.order {
		visit(e.service)
	}
}

func as[T any](name string, s Service) (T, error) {
	t, ok := s.(T)
	if !ok {
		var zero T
		return zero, fmt.Errorf("kernel: %q is a %T: %w", name, s, ErrWrongType)
	}
	return t, nil
}

func reversed(in []*entry) []*entry {
	out := make([]*entry, len(in))
	for i, e := range in {
		out[len(in)-1-i] = e
	}
	return out
}
