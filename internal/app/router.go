// Package app assembles the kernels of the binaries.
package app

import (
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/service/adminapi"
	"github.com/zinniafork/zinniafork/internal/service/callerapi"
	_ "github.com/zinniafork/zinniafork/internal/service/configsync" // registers the service
	_ "github.com/zinniafork/zinniafork/internal/service/platform"   // registers the service
	_ "github.com/zinniafork/zinniafork/internal/service/route"      // registers the service
)

// NewRouter returns a provisioned router.
func NewRouter(env kernel.Env, settings kernel.Settings) (*kernel.Kernel, error) {
	k := kernel.New(env, settings, nil)
	if err := k.Provision(callerapi.Name, adminapi.Name); err != nil {
		return nil, err
	}
	return k, nil
}
