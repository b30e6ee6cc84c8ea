package standin

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeParts is how many partitions every topic of the store has.
const storeParts = 12

// Store stands in for the users' metadata store: keyed topics and groups over
// HTTP, with the faults that their pages name.
type Store struct {
	mu     sync.Mutex
	topics map[string]*storeTopic
	groups map[string]*storeGroup
	// down answers 503 to everything; silent answers nothing.
	down   bool
	silent bool
	slow   time.Duration
	calls  map[string]int
}

type storeTopic struct {
	records [][]byte
	keys    []string
	// first is the oldest offset that is retained.
	first   int64
	changed chan struct{}
}

type storeGroup struct {
	generation int64
	member     string
	until      time.Time
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{
		topics: map[string]*storeTopic{},
		groups: map[string]*storeGroup{},
		calls:  map[string]int{},
	}
}

// SetDown makes the store answer 503, or nothing at all where silent is set.
func (s *Store) SetDown(down, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent = down, silent
}

// SetDelay delays every answer.
func (s *Store) SetDelay(slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = slow
}

// CallCount is how many calls of a path came.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record to a keyed topic; an empty value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	record := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(record, value...))
	t.keys = append(t.keys, key)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Compact drops all records of a topic but the newest of each key.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first = int64(len(t.records))
}

func (s *Store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{
			changed: make(chan struct{}),
		}
		s.topics[name] = t
	}
	return t
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	down, silent, slow := s.down, s.silent, s.slow
	s.mu.Unlock()
	time.Sleep(slow)
	if silent {
		// The caller's leave shows only once its body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/log-newest":
		s.newest(w, r)
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-join":
		s.join(w, r)
	case "/api/log-leave":
		s.leave(w, r)
	case "/api/log-owners":
		s.owners(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type storeItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	last := map[string]int{}
	for i, key := range t.keys {
		last[key] = i
	}
	items := []storeItem{}
	for key, i := range last {
		if value := t.records[i][1+len(key):]; len(value) > 0 {
			items = append(items, storeItem{
				Key:    key,
				Value:  value,
				Offset: int64(i),
			})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"items":    items,
		"has-more": false,
		"end":      len(t.records),
	})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	// A number that is missing or bad reads as 0, as the store takes it.
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	changed, due := t.changed, int64(len(t.records)) <= from
	s.mu.Unlock()
	if due && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < t.first {
		writeJSON(w, http.StatusGone, map[string]any{
			"first": t.first,
		})
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for i := from; i < int64(len(t.records)); i++ {
		body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i])))
		body = append(body, t.records[i]...)
	}
	// A reader that has gone can't be told.
	_, _ = w.Write(body)
}

type groupCall struct {
	Group  string `json:"group"`
	Member string `json:"member"`
	TTL    int64  `json:"ttl-ms"`
}

// join gives all parts to one member at a time.
func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var call groupCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[call.Group]
	if g == nil {
		g = &storeGroup{}
		s.groups[call.Group] = g
	}
	parts := [][]any{}
	if g.member != call.Member && (g.member == "" || time.Now().After(g.until)) {
		g.member = call.Member
		g.generation++
	}
	if g.member == call.Member {
		g.until = time.Now().Add(time.Duration(call.TTL) * time.Millisecond)
		for part := range storeParts {
			parts = append(parts, []any{"orders", part, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"generation": g.generation,
		"parts":      parts,
	})
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var call groupCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[call.Group]; g != nil && g.member == call.Member {
		g.member = ""
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[r.URL.Query().Get("group")]; g != nil && g.member != "" && time.Now().Before(g.until) {
		for part := range storeParts {
			rows = append(rows, []any{"orders", part, g.member, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"owners": rows,
	})
}
