// Package app assembles the kernels of the binaries.
package app

import (
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/adminapi"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
	_ "github.com/zinniafork/zinniafork/internal/service/configsync" // registers the service
	"github.com/zinniafork/zinniafork/internal/service/loader"
	_ "github.com/zinniafork/zinniafork/internal/service/platform" // registers the service
	_ "github.com/zinniafork/zinniafork/internal/service/route"    // registers the service
	"github.com/zinniafork/zinniafork/internal/service/telemetry"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// NewRouter returns a provisioned router. Faults of the settings are errors
// that name file, line and key.
func NewRouter(env kernel.Env, file *settings.File) (*kernel.Kernel, error) {
	k := kernel.New(env, file, nil)
	if err := k.Provision(callerapi.Name, adminapi.Name, telemetry.Name, loader.Name); err != nil {
		return nil, file.Explain(err)
	}
	if err := file.Unused(); err != nil {
		return nil, err
	}
	return k, nil
}
