package callerapi

import (
	"net/http"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
)

// OwnerLookup is an optional interface of a route.Router that knows which VM would
// send a request to its target.
type OwnerLookup interface {
	// FirstOwner returns the VM that owns the target ranked first for the request.
	// It reports false if there is none.
	FirstOwner(req *call.Request) (fleet.VM, bool)
}

// EntryResponse is the response to an entry lookup.
type EntryResponse struct {
	// Addresses lists the VMs that accept requests, the preferred one first.
	Addresses []Address `json:"addresses"`
	// LifetimeMS is how long callers may cache the response, in milliseconds.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Address is the address of one VM.
type Address struct {
	VM         fleet.VM         `json:"vm"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// URL is the base URL of the VM's caller interface.
	URL string `json:"url"`
}

// entry serves an entry lookup. With the query parameter chat, and model if the
// account uses several models, the first address is that of the VM that owns the
// target of the chat, so that the response takes no hop between VMs.
func (s *Service) entry(w http.ResponseWriter, r *http.Request, account *config.Account) {
	out := EntryResponse{LifetimeMS: s.settings.EntryLifetime.Std().Milliseconds(), Addresses: s.addresses()}
	if len(out.Addresses) == 0 {
		writeError(w, rejection(call.CodeUnavailable, "no VM accepts new requests"))
		return
	}
	if chat := r.URL.Query().Get("chat"); chat != "" {
		s.putOwnerFirst(out.Addresses, s.lookupRequest(r, account, chat))
	}
	writeJSON(w, out)
}

// lookupRequest returns the request to rank targets for in a lookup for a chat.
// Without the query parameter model, it uses the first model of the
// configuration.
func (s *Service) lookupRequest(r *http.Request, account *config.Account, chat string) *call.Request {
	req := &call.Request{
		Kind:    call.KindChat,
		Account: account.Name,
		Member:  account.Member,
		Chat:    chat,
		Model:   fleet.Model(r.URL.Query().Get("model")),
	}
	if models := s.config.Current().Models; req.Model == "" && len(models) > 0 {
		req.Model = models[0].Name
	}
	return req
}

// putOwnerFirst swaps the address of the VM that owns the first target of the
// request to the front. It does nothing if the owner is not known or not listed.
func (s *Service) putOwnerFirst(addresses []Address, req *call.Request) {
	lookup, ok := s.router.(OwnerLookup)
	if !ok {
		return
	}
	owner, ok := lookup.FirstOwner(req)
	if !ok {
		return
	}
	for i := range addresses {
		if addresses[i].VM == owner {
			addresses[0], addresses[i] = addresses[i], addresses[0]
			return
		}
	}
}

// addresses returns the addresses of the VMs that accept new requests: those that
// are alive, have a caller address and are not drained. The order is random to
// spread callers over the VMs.
func (s *Service) addresses() []Address {
	cfg := s.config.Current()
	var out []Address
	for _, m := range s.members.Snapshot().Members {
		if m.Status != members.StateAlive || m.CallerAddr == "" || cfg.VMDrained(m.VM, m.DataCentre) {
			continue
		}
		if m.VM == s.identity.Self().VM && s.draining.Load() {
			continue
		}
		out = append(out, Address{VM: m.VM, DataCentre: m.DataCentre, URL: s.scheme() + "://" + m.CallerAddr})
	}
	s.randMu.Lock()
	defer s.randMu.Unlock()
	s.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// scheme returns the URL scheme of the caller interface. It assumes that all VMs
// have the same TLS setting as this one.
func (s *Service) scheme() string {
	if s.settings.TLS.Enabled() {
		return "https"
	}
	return "http"
}
