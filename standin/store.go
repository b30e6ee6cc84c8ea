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

// partitionsPerTopic is the number of partitions of every topic.
const partitionsPerTopic = 12

// Store simulates the platform's metadata store, which has keyed topics and
// consumer groups over HTTP, with the faults documented by the platform.
type Store struct {
	mu     sync.Mutex
	topics map[string]*storeTopic
	groups map[string]*storeGroup
	// down answers 503 to every call; unresponsive never answers.
	down         bool
	unresponsive bool
	// delay is added before every answer.
	delay time.Duration
	// calls counts the calls by path.
	calls map[string]int
}

// storeTopic holds the records of a topic in the order of their offsets.
type storeTopic struct {
	// records hold the key's length in one byte, the key and the value.
	records [][]byte
	// keys holds the key of each record.
	keys []string
	// first is the oldest offset that can be read.
	first int64
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// storeGroup is a consumer group with at most one member.
type storeGroup struct {
	generation int64
	member     string
	// deadline is when the membership expires unless the member joins again.
	deadline time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		topics: map[string]*storeTopic{},
		groups: map[string]*storeGroup{},
		calls:  map[string]int{},
	}
}

// SetDown sets whether the store answers 503 to every call, and whether it
// accepts calls and never answers.
func (s *Store) SetDown(down, unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.unresponsive = down, unresponsive
}

// SetDelay sets the delay of every answer.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// CallCount returns the number of calls of a path so far.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record to a keyed topic; an empty value removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	record := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(record, value...))
	t.keys = append(t.keys, key)
	close(t.appended)
	t.appended = make(chan struct{})
}

// Compact removes the records of a topic except the latest of each key, so that
// reads from an earlier offset are refused.
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
			appended: make(chan struct{}),
		}
		s.topics[name] = t
	}
	return t
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	down, unresponsive, delay := s.down, s.unresponsive, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if unresponsive {
		// The server detects that the caller has disconnected only after the
		// request's body is read.
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

// storeItem is the latest record of a key.
type storeItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// newest answers with the latest record of each key that isn't removed.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	latest := map[string]int{}
	for i, key := range t.keys {
		latest[key] = i
	}
	items := []storeItem{}
	for key, i := range latest {
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

// read answers with the records from an offset on, and waits for one if there is
// none yet. A reader behind the oldest retained record gets 410.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	// A missing or malformed number counts as 0, as in the platform's store.
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	appended, caughtUp := t.appended, int64(len(t.records)) <= from
	s.mu.Unlock()
	if caughtUp && wait > 0 {
		select {
		case <-appended:
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
	// A write fails only if the reader has disconnected.
	_, _ = w.Write(body)
}

// groupRequest is the body of a call to join or leave a group.
type groupRequest struct {
	Group  string `json:"group"`
	Member string `json:"member"`
	TTL    int64  `json:"ttl-ms"`
}

// join assigns all partitions to one member at a time, until it leaves or its
// membership expires.
func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var call groupRequest
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
	partitions := [][]any{}
	if g.member != call.Member && (g.member == "" || time.Now().After(g.deadline)) {
		g.member = call.Member
		g.generation++
	}
	if g.member == call.Member {
		g.deadline = time.Now().Add(time.Duration(call.TTL) * time.Millisecond)
		for partition := range partitionsPerTopic {
			partitions = append(partitions, []any{"orders", partition, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"generation": g.generation,
		"parts":      partitions,
	})
}

// leave ends a membership.
func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var call groupRequest
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

// owners answers with the member that holds each partition.
func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[r.URL.Query().Get("group")]; g != nil && g.member != "" && time.Now().Before(g.deadline) {
		for partition := range partitionsPerTopic {
			rows = append(rows, []any{"orders", partition, g.member, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"owners": rows,
	})
}
