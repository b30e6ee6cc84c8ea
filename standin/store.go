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

// defaultReadKilobytes bounds the answer to a read that names no size.
const defaultReadKilobytes = 1024

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
	// era counts the restores from a copy; every answer carries it.
	era int64
	// awayUntil is when the store answers again after a restore.
	awayUntil time.Time
	// calls counts the calls by path.
	calls map[string]int
}

// storeTopic holds the records of a topic in the order of their offsets.
type storeTopic struct {
	// records hold the key's length in one byte, the key and the value.
	records [][]byte
	// keys holds the key of each record, and appendedAt when it was appended.
	keys       []string
	appendedAt []time.Time
	// first is the oldest offset that can be read.
	first int64
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// groupState is the state of a consumer group with at most one member.
type groupState struct {
	generation int64
	member     string
	// deadline is when the membership expires unless the member joins again.
	deadline time.Time
	// committed is the committed offset of the first partition.
	committed int64
	// changedAt is when the group got into this state.
	changedAt time.Time
}

// storeGroup is a consumer group with its former states, oldest first.
type storeGroup struct {
	groupState
	former []groupState
}

// change makes next the state of the group.
func (g *storeGroup) change(next groupState) {
	g.former = append(g.former, g.groupState)
	next.changedAt = time.Now()
	g.groupState = next
}

// restore returns the group to its state at a time. Times to live pause while the
// store is restored.
func (g *storeGroup) restore(at, now time.Time) {
	for g.changedAt.After(at) && len(g.former) > 0 {
		last := len(g.former) - 1
		g.groupState, g.former = g.former[last], g.former[:last]
	}
	g.deadline = g.deadline.Add(now.Sub(at))
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

// Rewind restores the store from a copy of the given age: what was written since is
// lost, its offsets are given out again and the era rises by one. The store refuses
// all calls until the outage is over.
func (s *Store) Rewind(age, outage time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	copiedAt := now.Add(-age)
	s.era++
	s.awayUntil = now.Add(outage)
	for _, t := range s.topics {
		t.truncate(copiedAt)
	}
	for _, g := range s.groups {
		g.restore(copiedAt, now)
	}
}

// truncate removes the records that were appended after a time and wakes the reads
// that wait.
func (t *storeTopic) truncate(after time.Time) {
	kept := len(t.records)
	for kept > 0 && t.appendedAt[kept-1].After(after) {
		kept--
	}
	t.records, t.keys, t.appendedAt = t.records[:kept], t.keys[:kept], t.appendedAt[:kept]
	t.first = min(t.first, int64(kept))
	close(t.appended)
	t.appended = make(chan struct{})
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
	s.topic(topic).add(key, value)
}

// add appends a record and wakes the reads that wait.
func (t *storeTopic) add(key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(record, value...))
	t.keys = append(t.keys, key)
	t.appendedAt = append(t.appendedAt, time.Now())
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
	unresponsive, delay := s.unresponsive, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if unresponsive {
		// The server detects that the caller has disconnected only after the
		// request's body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if s.refuses(w) {
		return
	}
	switch r.URL.Path {
	case "/api/log-newest":
		s.newest(w, r)
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-append":
		s.append(w, r)
	case "/api/log-join":
		s.join(w, r)
	case "/api/log-commit":
		s.commit(w, r)
	case "/api/log-leave":
		s.leave(w, r)
	case "/api/log-owners":
		s.owners(w, r)
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answer(w, http.StatusNotFound, map[string]any{})
	}
}

// refuses answers 503 if the store is down or being restored.
func (s *Store) refuses(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down && !time.Now().Before(s.awayUntil) {
		return false
	}
	s.answer(w, http.StatusServiceUnavailable, map[string]any{})
	return true
}

// answer answers with a JSON body. The lock is held, so that the era is the one of
// the content.
func (s *Store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set(HeaderStoreEra, strconv.FormatInt(s.era, 10))
	writeJSON(w, status, body)
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
	s.answer(w, http.StatusOK, map[string]any{
		"items":    items,
		"has-more": false,
		"end":      len(t.records),
	})
}

// read answers with the records from an offset on, and waits for one if there is
// none yet. A reader behind the oldest retained record or beyond the end gets 410.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	// A missing or malformed number counts as 0, as in the platform's store.
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	maxKilobytes, _ := strconv.ParseInt(query.Get("max-kb"), 10, 64)
	if maxKilobytes <= 0 {
		maxKilobytes = defaultReadKilobytes
	}
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	appended, caughtUp := t.appended, int64(len(t.records)) == from
	s.mu.Unlock()
	if caughtUp && wait > 0 {
		select {
		case <-appended:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	body := s.readFrom(w, t, from, maxKilobytes<<10)
	// A write fails only if the reader has disconnected.
	_, _ = w.Write(body)
}

// readFrom returns the records from an offset on, of a number of bytes or one more, or
// sets another status.
func (s *Store) readFrom(w http.ResponseWriter, t *storeTopic, from, maxBytes int64) (body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.awayUntil) {
		s.answer(w, http.StatusServiceUnavailable, map[string]any{})
		return nil
	}
	if from < t.first || from > int64(len(t.records)) {
		s.answer(w, http.StatusGone, map[string]any{
			"first": t.first,
		})
		return nil
	}
	body = binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for i := from; i < int64(len(t.records)) && int64(len(body)) < maxBytes; i++ {
		body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i])))
		body = append(body, t.records[i]...)
	}
	w.Header().Set(HeaderStoreEra, strconv.FormatInt(s.era, 10))
	return body
}

// append adds the records of the body to a topic that the instances may write.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	body, err := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	var records [][]byte
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; length == 0 || length > len(body) || 1+int(body[0]) > length {
			break
		}
		records = append(records, body[:length])
		body = body[length:]
	}
	switch {
	case topic == "keyed.op" || topic == "keyed.servers":
		s.answer(w, http.StatusForbidden, map[string]any{})
	case err != nil || len(body) > 0:
		s.answer(w, http.StatusBadRequest, map[string]any{})
	default:
		t := s.topic(topic)
		offset := len(t.records)
		for _, record := range records {
			split := 1 + int(record[0])
			t.add(string(record[1:split]), record[split:])
		}
		s.answer(w, http.StatusOK, map[string]any{
			"offset": offset,
			"end":    len(t.records),
		})
	}
}

// groupRequest is the body of a call to join or leave a group.
type groupRequest struct {
	Group  string `json:"group"`
	Member string `json:"member"`
	TTL    int64  `json:"ttl-ms"`
	Offset int64  `json:"offset"`
}

// join assigns all partitions to one member at a time, until it leaves or its
// membership expires.
func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var call groupRequest
	err := json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	g := s.groups[call.Group]
	if g == nil {
		g = &storeGroup{}
		s.groups[call.Group] = g
	}
	partitions := [][]any{}
	next := g.groupState
	if g.member != call.Member && (g.member == "" || time.Now().After(g.deadline)) {
		next.member = call.Member
		next.generation++
	}
	if next.member == call.Member {
		next.deadline = time.Now().Add(time.Duration(call.TTL) * time.Millisecond)
		g.change(next)
		for partition := range partitionsPerTopic {
			partitions = append(partitions, []any{"orders", partition, g.committed})
		}
	}
	s.answer(w, http.StatusOK, map[string]any{
		"generation": g.generation,
		"parts":      partitions,
	})
}

// commit commits an offset of the first partition for its holder.
func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var call groupRequest
	err := json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[call.Group]
	switch {
	case err != nil:
		s.answer(w, http.StatusBadRequest, map[string]any{})
	case g == nil || g.member != call.Member:
		s.answer(w, http.StatusConflict, map[string]any{})
	default:
		next := g.groupState
		next.committed = call.Offset
		g.change(next)
		s.answer(w, http.StatusOK, map[string]any{})
	}
}

// leave ends a membership.
func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var call groupRequest
	err := json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if g := s.groups[call.Group]; g != nil && g.member == call.Member {
		next := g.groupState
		next.member = ""
		g.change(next)
	}
	s.answer(w, http.StatusOK, map[string]any{})
}

// owners answers with the member that holds each partition.
func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[r.URL.Query().Get("group")]; g != nil && g.member != "" && time.Now().Before(g.deadline) {
		for partition := range partitionsPerTopic {
			rows = append(rows, []any{"orders", partition, g.member, g.committed})
		}
	}
	s.answer(w, http.StatusOK, map[string]any{
		"owners": rows,
	})
}
