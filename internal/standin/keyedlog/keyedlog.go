// Package keyedlog is a stand-in for the users' store: logs of records with
// keys, by its published protocol, with the faults that it has.
package keyedlog

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"
)

// Faults is what goes wrong at the store.
type Faults struct {
	// Status refuses every call with it, zero refuses none.
	Status int `json:"status"`
	// DelayMS holds every answer up, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers closes the connection after a call took effect.
	LoseAnswers bool `json:"lose_answers"`
	// Silent never answers.
	Silent bool `json:"silent"`
	// Behind answers reads as of so many records ago.
	Behind int64 `json:"behind"`
	// PageSize bounds a page of a listing, zero means pageSize.
	PageSize int `json:"page_size"`
}

// pageSize is the most records of one page of a listing.
const pageSize = 500

// Store holds the topics.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	calls  map[string]int
	// era rises with each return from a copy. copied holds the topics of the copy.
	era    int64
	copied map[string]*topic
}

// topic is a log. Records before first were deleted, but for the newest of
// each key.
type topic struct {
	first   int64
	records []record
}

// record is one record of a log.
type record struct {
	key    string
	value  []byte
	offset int64
	at     time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: make(map[string]*topic), calls: make(map[string]int), era: 1, copied: make(map[string]*topic)}
}

// Copy takes a copy of all topics, in place of the one before.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = cloneTopics(s.topics)
}

// Restore loses all that was written since the last Copy and begins the next era.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = cloneTopics(s.copied)
	s.era++
}

// cloneTopics copies topics with their lists of records.
func cloneTopics(topics map[string]*topic) map[string]*topic {
	out := make(map[string]*topic, len(topics))
	for name, t := range topics {
		out[name] = &topic{first: t.first, records: slices.Clone(t.records)}
	}
	return out
}

// Set replaces the faults.
func (s *Store) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Put appends a record of a key and returns its offset; an empty value drops
// the key.
func (s *Store) Put(name, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.append(name, key, value)
}

// Entry is a value that a key had from a time on, empty for none.
type Entry struct {
	Value string
	At    time.Time
}

// History returns the values of a key, the oldest first.
func (s *Store) History(name, key string) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for _, r := range s.topic(name).records {
		if r.key == key {
			out = append(out, Entry{Value: string(r.value), At: r.at})
		}
	}
	return out
}

// PutJSON appends a record whose value is a JSON document.
func (s *Store) PutJSON(name, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only values that have no JSON form fail
	}
	return s.Put(name, key, data)
}

// Forget deletes the history of a topic. The newest record of each key stays.
func (s *Store) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = t.end()
	t.records = t.newest(t.end())
}

func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = new(topic)
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name, key string, value []byte) int64 {
	t := s.topic(name)
	r := record{key: key, value: value, offset: t.end(), at: time.Now()}
	t.records = append(t.records, r)
	return r.offset
}

// end returns the offset of the next record.
func (t *topic) end() int64 {
	if len(t.records) == 0 {
		return t.first
	}
	return max(t.first, t.records[len(t.records)-1].offset+1)
}

// since returns the records from an offset on, before end.
func (t *topic) since(from, end int64) []record {
	var out []record
	for _, r := range t.records {
		if r.offset >= max(from, t.first) && r.offset < end {
			out = append(out, r)
		}
	}
	return out
}

// newest returns the newest record of each key before end that was not
// dropped, by offset.
func (t *topic) newest(end int64) []record {
	last := make(map[string]int64)
	for _, r := range t.records {
		if r.offset < end {
			last[r.key] = r.offset
		}
	}
	var out []record
	for _, r := range t.records {
		if offset, ok := last[r.key]; ok && offset == r.offset && len(r.value) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// delay returns the time by which answers are held up.
func (f Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }
