// Package vmlistd is a stand-in for the platform's VM list.
package vmlistd

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/platform/vmlist"
)

// Options shape a VM list.
type Options struct {
	// Lag is the age of what the list shows.
	Lag time.Duration
}

// Server keeps the list in memory.
type Server struct {
	opt Options

	mu  sync.Mutex
	vms map[fleet.VM]fleet.VMInfo
	// past holds the list after each change, the newest last.
	past []version
}

type version struct {
	at  time.Time
	vms map[fleet.VM]fleet.VMInfo
}

// New returns an empty list that does not lag.
func New() *Server { return NewWith(Options{}) }

// NewWith returns an empty list.
func NewWith(opt Options) *Server {
	return &Server{opt: opt, vms: make(map[fleet.VM]fleet.VMInfo), past: []version{{}}}
}

// Put adds or replaces a row.
func (s *Server) Put(vm fleet.VMInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[vm.VM] = vm
	s.keep()
}

// Remove takes a row off the list.
func (s *Server) Remove(vm fleet.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, vm)
	s.keep()
}

// keep notes the list for readers that see it late. The caller holds the
// lock.
func (s *Server) keep() {
	s.past = append(s.past, version{at: time.Now(), vms: maps.Clone(s.vms)})
	s.shown()
}

// shown returns the rows that readers see now and forgets older ones. The
// caller holds the lock.
func (s *Server) shown() map[fleet.VM]fleet.VMInfo {
	limit := time.Now().Add(-s.opt.Lag)
	for len(s.past) > 1 && !s.past[1].at.After(limit) {
		s.past = s.past[1:]
	}
	return s.past[0].vms
}

// List returns the rows that readers see, sorted by VM name.
func (s *Server) List() vmlist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out vmlist.List
	for _, vm := range s.shown() {
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
	mux.HandleFunc("GET /v1/vms", s.serve)
	return mux
}

// serve answers with the list, or with 304 when the reader has it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(s.List())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("Etag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// AdminHandler changes the list: PUT and DELETE /admin/vms/{vm}.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/vms/{vm}", func(w http.ResponseWriter, r *http.Request) {
		vm := fleet.VMInfo{State: fleet.VMLive}
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		vm.VM = fleet.VM(r.PathValue("vm"))
		s.Put(vm)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /admin/vms/{vm}", func(w http.ResponseWriter, r *http.Request) {
		s.Remove(fleet.VM(r.PathValue("vm")))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
