package fault

import (
	"encoding/json"
	"net/http"
)

// Admin serves the faults of a stand-in: GET and PUT /admin/faults hold the
// plan, POST /admin/silence makes open connections silent, and GET
// /admin/records returns what the stand-in ran.
func (i *Injector) Admin(records func() any) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, i.Plan()) })
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var p Plan
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&p); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.Set(p)
		WriteJSON(w, p)
	})
	mux.HandleFunc("POST /admin/silence", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		i.SilenceOpen()
	})
	mux.HandleFunc("GET /admin/records", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, records()) })
	return mux
}

// Serve returns the handler of a whole stand-in: its interface with the
// faults of the plan, and its admin interface without them.
func (i *Injector) Serve(service http.Handler, records func() any) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", i.Wrap(service))
	mux.Handle("/admin/", i.Admin(records))
	return mux
}

// WriteJSON answers with a JSON document.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
