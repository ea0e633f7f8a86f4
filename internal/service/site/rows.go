package site

import (
	"context"
	"sync"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

// rowsName is the name in the kernel under which the members look for the VM
// list.
const rowsName = platform.Name

// VMListSource is a VM list that comes from the state of the site. It replaces
// the service that reads a VM list of the platform.
type VMListSource struct {
	mu   sync.Mutex
	rows []fleet.VMInfo
}

// Name returns the service's name.
func (*VMListSource) Name() string { return rowsName }

// VMList returns the list.
func (r *VMListSource) VMList() vmlist.Source { return r }

// Fetch returns the rows.
func (r *VMListSource) Fetch(context.Context) (vmlist.List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return vmlist.List{VMs: r.rows}, nil
}

// Set replaces the rows, which must not change afterwards.
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
