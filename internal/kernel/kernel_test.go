package kernel_test

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/kernel"
)

// recorder notes the life cycle calls of a service.
type recorder struct {
	name   string
	needs  []string
	events *[]string
	fail   string
}

func (r *recorder) Name() string { return r.name }

func (r *recorder) note(step string) error {
	*r.events = append(*r.events, step+" "+r.name)
	if r.fail == step {
		return errors.New("refused")
	}
	return nil
}

func (r *recorder) Provision(c *kernel.Context) error {
	for _, need := range r.needs {
		if _, err := kernel.Lookup[kernel.Service](c, need); err != nil {
			return err
		}
	}
	return r.note("provision")
}

func (r *recorder) Validate() error             { return r.note("validate") }
func (r *recorder) Start(context.Context) error { return r.note("start") }
func (r *recorder) Drain(context.Context) error { return r.note("drain") }
func (r *recorder) Stop(context.Context) error  { return r.note("stop") }

func newKernel(t *testing.T, services ...*recorder) (*kernel.Kernel, *[]string) {
	t.Helper()
	events := new([]string)
	catalog := kernel.NewCatalog()
	for _, s := range services {
		s.events = events
		must.NoError(t, catalog.Register(s.name, func() kernel.Service { return s }))
	}
	return kernel.New(kernel.Env{}, nil, catalog), events
}

func TestLifeCycleOrder(t *testing.T) {
	k, events := newKernel(t,
		&recorder{name: "api", needs: []string{"store"}},
		&recorder{name: "store"},
	)
	must.NoError(t, k.Provision("api"))
	must.NoError(t, k.Start(context.Background()))
	must.NoError(t, k.Drain(context.Background()))
	must.Eq(t, []string{
		"provision store", "provision api",
		"validate store", "validate api",
		"start store", "start api",
		"drain api", "drain store",
		"stop api", "stop store",
	}, *events)
}

func TestStartFailureStopsWhatStarted(t *testing.T) {
	k, events := newKernel(t,
		&recorder{name: "api", needs: []string{"store"}, fail: "start"},
		&recorder{name: "store"},
	)
	must.NoError(t, k.Provision("api"))
	must.ErrorContains(t, k.Start(context.Background()), `start "api"`)
	must.Eq(t, "stop store", (*events)[len(*events)-1])
}

func TestErrors(t *testing.T) {
	k, _ := newKernel(t, &recorder{name: "a", needs: []string{"b"}}, &recorder{name: "b", needs: []string{"a"}})
	must.ErrorIs(t, k.Provision("a"), kernel.ErrCycle)
	must.ErrorIs(t, k.Provision("absent"), kernel.ErrMissing)

	catalog := kernel.NewCatalog()
	construct := func() kernel.Service { return &recorder{name: "x"} }
	must.NoError(t, catalog.Register("x", construct))
	must.ErrorIs(t, catalog.Register("x", construct), kernel.ErrDuplicate)
}

func TestFindChecksType(t *testing.T) {
	k, _ := newKernel(t, &recorder{name: "a"})
	must.NoError(t, k.Provision("a"))
	_, err := kernel.Find[interface{ Other() }](k, "a")
	must.ErrorIs(t, err, kernel.ErrWrongType)
	_, err = kernel.Find[kernel.Service](k, "a")
	must.NoError(t, err)
}
