package telemetry

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/routecheck"
)

const (
	// saltBytes is the length of the salt of key hashes.
	saltBytes = 32
	// configurationTimeout ends a response that its client does not read, since others
	// wait for it.
	configurationTimeout = 10 * time.Second
)

// configurationHandler serves the configuration in force. Keys are replaced by
// hashes with a salt of the process.
type configurationHandler struct {
	table func() *routing.Table
	salt  []byte
	// busy lets one response be encoded at a time: one of 10,000 routes takes
	// some megabytes.
	busy sync.Mutex
}

func newConfigurationHandler(table func() *routing.Table) (*configurationHandler, error) {
	h := &configurationHandler{table: table, salt: make([]byte, saltBytes)}
	if _, err := rand.Read(h.salt); err != nil {
		return nil, fmt.Errorf("make salt: %w", err)
	}
	return h, nil
}

// ServeHTTP writes the configuration as JSON.
func (h *configurationHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	table := h.table()
	if table == nil {
		http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
		return
	}
	if !h.busy.TryLock() {
		http.Error(w, "another client reads the configuration", http.StatusServiceUnavailable)
		return
	}
	defer h.busy.Unlock()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(configurationTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(routecheck.NewView(table.Config, h.salt))
}
