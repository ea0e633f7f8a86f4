package site

import (
	"context"
	"sync"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

// vmListName is the kernel name under which the members service looks up the
// VM list.
const vmListName = platform.Name

// VMListSource provides the VM list from the state of the site. It is
// registered in place of the service that fetches the VM list from the platform.
type VMListSource struct {
	mu   sync.Mutex
	rows []fleet.VMInfo
}

// Name returns the service's name.
func (*VMListSource) Name() string { return vmListName }

// VMList returns the source itself.
func (r *VMListSource) VMList() vmlist.Source { return r }

// Fetch returns the rows of the last Set. It never fails.
func (r *VMListSource) Fetch(context.Context) (vmlist.List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return vmlist.List{VMs: r.rows}, nil
}

// Set replaces the rows. The caller must not modify them afterwards.
func (r *VMListSource) Set(rows []fleet.VMInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows = rows
}

// Interface guards.
var (
	_ vmlist.Source     = (*VMListSource)(nil)
	_ platform.VMLister = (*VMListSource)(nil)
)
