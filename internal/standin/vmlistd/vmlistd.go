// Package vmlistd is a stand-in for the platform's VM list.
package vmlistd

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
)

// Server keeps the list in memory.
type Server struct {
	mu  sync.Mutex
	vms map[fleet.VM]fleet.VMInfo
}

// New returns an empty list.
func New() *Server {
	return &Server{vms: make(map[fleet.VM]fleet.VMInfo)}
}

// Put adds or replaces a row.
func (s *Server) Put(vm fleet.VMInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[vm.VM] = vm
}

// Remove takes a row off the list.
func (s *Server) Remove(vm fleet.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, vm)
}

// List returns the rows sorted by VM name.
func (s *Server) List() vmlist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out vmlist.List
	for _, vm := range s.vms {
		out.VMs = append(out.VMs, vm)
	}
	slices.SortFunc(out.VMs, func(a, b fleet.VMInfo) int {
		return strings.Compare(string(a.VM), string(b.VM))
	})
	return out
}

// Handler serves the list.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.List())
	})
	return mux
}
