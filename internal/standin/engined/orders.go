package engined

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/target"
	"github.com/zinniafork/zinniafork/internal/target/engine"
)

// OrderRun is one entry of the engine's own record of the orders it got.
type OrderRun struct {
	engine.Order
	At      time.Time `json:"at"`
	Applied bool      `json:"applied"`
}

// Orders returns the engine's record of orders.
func (s *Server) Orders() []OrderRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// modelSet is what orders change.
type modelSet struct {
	any     bool
	models  map[fleet.Model]target.LoadedModel
	role    string
	fencing uint64
}

func newModelSet(loaded []target.LoadedModel) modelSet {
	m := modelSet{any: len(loaded) == 0, models: make(map[fleet.Model]target.LoadedModel)}
	for _, l := range loaded {
		m.models[l.Model] = l
	}
	return m
}

func (m *modelSet) serves(model string) bool {
	_, ok := m.models[fleet.Model(model)]
	return m.any || ok
}

func (m *modelSet) list() []target.LoadedModel {
	out := slices.Collect(maps.Values(m.models))
	slices.SortFunc(out, func(a, b target.LoadedModel) int { return strings.Compare(string(a.Model), string(b.Model)) })
	return out
}

// refusal returns why an order is not applied, empty when it is.
func (m *modelSet) refusal(o engine.Order) string {
	switch o.Kind {
	case engine.OrderLoadModel, engine.OrderUnloadModel, engine.OrderSetRole:
		return ""
	case engine.OrderLoadAdapter:
		if _, ok := m.models[o.Model]; !ok {
			return "model is not loaded"
		}
		return ""
	default:
		return "unknown kind of order"
	}
}

func (m *modelSet) apply(o engine.Order) {
	switch o.Kind {
	case engine.OrderLoadModel:
		m.any = false
		m.models[o.Model] = target.LoadedModel{Model: o.Model, Version: o.Version}
	case engine.OrderUnloadModel:
		delete(m.models, o.Model)
	case engine.OrderLoadAdapter:
		l := m.models[o.Model]
		if !slices.Contains(l.Adapters, o.Adapter) {
			l.Adapters = append(slices.Clone(l.Adapters), o.Adapter)
		}
		m.models[o.Model] = l
	case engine.OrderSetRole:
		m.role = o.Role
	}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.fence(w, o) {
		return
	}
	if err := s.load(r, o); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if !s.fence(w, o) {
		return
	}
	s.mu.Lock()
	s.models.apply(o)
	s.orders = append(s.orders, OrderRun{Order: o, At: time.Now(), Applied: true})
	s.noteLoad()
	out := engine.OrderResult{Applied: true, Fencing: s.models.fencing}
	s.mu.Unlock()
	fault.WriteJSON(w, out)
}

// fence checks the fencing number of an order and what it asks for, and
// answers with a conflict when it is refused.
func (s *Server) fence(w http.ResponseWriter, o engine.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := s.models.refusal(o)
	if o.Fencing < s.models.fencing && !s.opt.IgnoresFencing {
		reason = "fencing number is old"
	}
	s.models.fencing = max(s.models.fencing, o.Fencing)
	if reason == "" {
		return true
	}
	s.orders = append(s.orders, OrderRun{Order: o, At: time.Now()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(engine.OrderResult{Fencing: s.models.fencing, Reason: reason})
	return false
}

// load takes the time that an order to load needs.
func (s *Server) load(r *http.Request, o engine.Order) error {
	if o.Kind != engine.OrderLoadModel && o.Kind != engine.OrderLoadAdapter {
		return nil
	}
	if !fault.Sleep(r.Context(), s.opt.LoadTime) {
		return r.Context().Err()
	}
	return nil
}

// exported is the content of an exported KV cache.
type exported struct {
	Blocks []Block `json:"blocks"`
	// Padding gives the export the size of a real one.
	Padding []byte `json:"padding,omitempty"`
}

func (s *Server) exportCache(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	blocks, ok := s.cache.chains[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "key is not cached", http.StatusNotFound)
		return
	}
	fault.WriteJSON(w, exported{Blocks: blocks, Padding: make([]byte, promptTokens(blocks)*s.opt.CacheBytesPerToken)})
}

func (s *Server) importCache(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in exported
	if err := json.Unmarshal(data, &in); err != nil || len(in.Blocks) == 0 {
		http.Error(w, "no KV cache in the body", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.store(r.PathValue("key"), in.Blocks)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
