// Package app assembles the kernels of the binaries.
package app

import (
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/adminapi"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
	_ "github.com/zinniafork/zinniafork/internal/service/configsync" // registers the service
	"github.com/zinniafork/zinniafork/internal/service/loader"
	"github.com/zinniafork/zinniafork/internal/service/membudget"
	_ "github.com/zinniafork/zinniafork/internal/service/platform" // registers the service
	_ "github.com/zinniafork/zinniafork/internal/service/route"    // registers the service
	"github.com/zinniafork/zinniafork/internal/service/site"
	"github.com/zinniafork/zinniafork/internal/service/telemetry"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/platform"
)

// NewSiteRouter returns a provisioned router that forwards straight to targets
// and gets the state of its site from the platform's log. Faults of the
// settings are errors that name file, line and key.
func NewSiteRouter(env kernel.Env, file *settings.File) (*kernel.Kernel, error) {
	k := kernel.New(env, file, nil)
	if err := k.Use(new(site.VMListSource)); err != nil {
		return nil, err
	}
	return provision(k, file, platform.IngressName, telemetry.Name)
}

// NewRouter returns a provisioned router. Faults of the settings are errors
// that name file, line and key.
func NewRouter(env kernel.Env, file *settings.File) (*kernel.Kernel, error) {
	k := kernel.New(env, file, nil)
	return provision(k, file, callerapi.Name, adminapi.Name, telemetry.Name, loader.Name)
}

func provision(k *kernel.Kernel, file *settings.File, names ...string) (*kernel.Kernel, error) {
	process, err := LoadProcess(file)
	if err != nil {
		return nil, err
	}
	if err := k.Use(membudget.New(process.Limits())); err != nil {
		return nil, err
	}
	if err := k.Provision(names...); err != nil {
		return nil, file.Explain(err)
	}
	if err := file.Unused(); err != nil {
		return nil, err
	}
	return k, nil
}

// Assemble returns a provisioned router of this stack.
func (s Stack) Assemble(env kernel.Env, file *settings.File) (*kernel.Kernel, error) {
	if s == StackSite {
		return NewSiteRouter(env, file)
	}
	return NewRouter(env, file)
}
