package callerapi

import (
	"net/http"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/members"
)

// OwnerLookup is a router that knows which VM would run a request.
type OwnerLookup interface {
	// FirstOwner returns the owner of the target that the request would try
	// first.
	FirstOwner(req *call.Request) (fleet.VM, bool)
}

// EntryResponse is the answer to an entry lookup.
type EntryResponse struct {
	// Addresses are the addresses to use, the best first.
	Addresses []Address `json:"addresses"`
	// LifetimeMS is how long the answer may be kept.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Address is one address of the fleet.
type Address struct {
	VM         fleet.VM         `json:"vm"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// URL is the base URL of the VM's caller interface.
	URL string `json:"url"`
}

// entry tells which addresses to use. With the query parameter chat, and model
// when the account uses several, the address at which the chat's answer has
// the shortest way comes first.
func (s *Service) entry(w http.ResponseWriter, r *http.Request, account *config.Account) {
	out := EntryResponse{LifetimeMS: s.settings.EntryLifetime.Std().Milliseconds(), Addresses: s.addresses()}
	if len(out.Addresses) == 0 {
		writeError(w, refusal(call.CodeUnavailable, "no VM takes new requests"))
		return
	}
	if chat := r.URL.Query().Get("chat"); chat != "" {
		s.putOwnerFirst(out.Addresses, s.lookupRequest(r, account, chat))
	}
	writeJSON(w, out)
}

// lookupRequest is the request that a lookup for a chat is about.
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

func (s *Service) putOwnerFirst(addresses []Address, req *call.Request) {
	placer, ok := s.router.(OwnerLookup)
	if !ok {
		return
	}
	owner, ok := placer.FirstOwner(req)
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

// addresses returns the VMs that take new requests, in random order so that
// callers spread.
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

func (s *Service) scheme() string {
	if s.settings.TLS.Enabled() {
		return "https"
	}
	return "http"
}
