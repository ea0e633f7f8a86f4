package keyedlog

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Handler serves the store's protocol, and faults at /admin/faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.faulty(s.serveAppend))
	mux.HandleFunc("GET /-/log-read", s.faulty(s.serveRead))
	mux.HandleFunc("GET /-/log-newest", s.faulty(s.serveNewest))
	mux.HandleFunc("PUT /admin/faults", s.serveFaults)
	mux.HandleFunc("PUT /admin/records/{topic}/{key...}", s.serveRecord)
	return mux
}

// serveFaults replaces the faults.
func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
}

// serveRecord appends a record, as operators and targets do.
func (s *Store) serveRecord(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(r.PathValue("topic"), r.PathValue("key"), value)
}

// faulty applies the faults to a call.
func (s *Store) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		f := s.faults
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if f.Silent {
			// The end of a connection shows only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if d := f.delay(); d > 0 {
			time.Sleep(d)
		}
		if f.Status != 0 {
			w.WriteHeader(f.Status)
			return
		}
		next(w, r)
		if f.LoseAnswers {
			panic(http.ErrAbortHandler)
		}
	}
}

// view returns a topic and the end that reads see. The caller holds the lock.
func (s *Store) view(r *http.Request) (*topic, int64) {
	t := s.topic(r.URL.Query().Get("Topic"))
	return t, max(t.end()-s.faults.Behind, 0)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := r.URL.Query().Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.topic(name).end()
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.FormatInt(first, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int64{"End": first})
		return
	}
	for len(body) > 0 {
		key, value, rest, err := cutRecord(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.append(name, key, value)
		body = rest
	}
	writeJSON(w, map[string]int64{"Offset": first, "End": s.topic(name).end()})
}

// cutRecord takes the first record off a body.
func cutRecord(body []byte) (key string, value, rest []byte, err error) {
	if len(body) < 5 {
		return "", nil, nil, io.ErrUnexpectedEOF
	}
	length := int(binary.BigEndian.Uint32(body))
	body = body[4:]
	keyEnd := 1 + int(body[0])
	if length > len(body) || keyEnd > length {
		return "", nil, nil, errors.New("record is longer than its call")
	}
	return string(body[1:keyEnd]), slices.Clone(body[keyEnd:length]), body[length:], nil
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, end := s.view(r)
	if from < t.first || from > t.end() {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int64{"First": t.first})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for _, one := range t.since(from, end) {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(one.key)+len(one.value)))
		out = append(out, byte(len(one.key)))
		out = append(out, one.key...)
		out = append(out, one.value...)
	}
	_, _ = w.Write(out)
}

// item is one record of a listing.
type item struct {
	Key    string
	Value  string
	Offset int64
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, end := s.view(r)
	all := t.newest(end)
	slices.SortFunc(all, func(a, b record) int { return strings.Compare(a.key, b.key) })
	after := r.URL.Query().Get("After")
	limit := pageSize
	if s.faults.PageSize > 0 {
		limit = s.faults.PageSize
	}
	items, more := []item{}, false
	for _, one := range all {
		if one.key <= after {
			continue
		}
		if len(items) == limit {
			more = true
			break
		}
		items = append(items, item{one.key, base64.StdEncoding.EncodeToString(one.value), one.offset})
	}
	writeJSON(w, map[string]any{"Items": items, "More": more, "End": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client sees a cut answer
}
