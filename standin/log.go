package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/controlplane"
)

// Log is an in-memory log service. It is a pomelospring.Log for tests in one
// process and an HTTP handler for tests across processes.
type Log struct {
	// Retention is how long records are kept; 0 keeps them for ever.
	Retention time.Duration
	Clock     pomelospring.Clock

	faults  faultBox
	mu      sync.Mutex
	streams map[string]*streamRecords
}

type streamRecords struct {
	first   int64
	records []pomelospring.StoredRecord
	stored  []time.Time
	// grown is closed and replaced at each append.
	grown chan struct{}
}

var _ pomelospring.Log = (*Log)(nil)

// NewLog makes an empty log.
func NewLog(clock pomelospring.Clock, retention time.Duration) *Log {
	return &Log{
		Retention: retention,
		Clock:     clock,
		streams:   map[string]*streamRecords{},
	}
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(faults Faults) {
	l.faults.Set(faults)
}

// Append implements pomelospring.Log.
func (l *Log) Append(ctx context.Context, stream string, records []pomelospring.Record) (offset int64, err error) {
	defer pomelospring.Annotate(&err, "append to stream %s", stream)
	l.faults.delay(ctx)
	faults := l.faults.Get()
	if faults.Down || faults.DropBefore {
		return 0, errDown
	}
	offset = l.append(stream, records)
	if faults.LoseAnswers {
		return 0, errDown
	}
	return offset, nil
}

// Read implements pomelospring.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, deadline time.Time) (batch pomelospring.Batch, err error) {
	defer pomelospring.Annotate(&err, "read stream %s", stream)
	l.faults.delay(ctx)
	if l.faults.Get().Down {
		return pomelospring.Batch{}, errDown
	}
	return l.read(ctx, stream, from, limit, deadline)
}

func (l *Log) append(stream string, records []pomelospring.Record) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.expire(s)
	offset := s.first + int64(len(s.records))
	for i, record := range records {
		s.records = append(s.records, pomelospring.StoredRecord{
			Record: record,
			Offset: offset + int64(i),
		})
		s.stored = append(s.stored, l.Clock())
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

func (l *Log) read(ctx context.Context, stream string, from int64, limit int, deadline time.Time) (pomelospring.Batch, error) {
	timer := time.NewTimer(max(0, deadline.Sub(l.Clock())))
	defer timer.Stop()
	for {
		batch, grown, err := l.slice(stream, from, limit)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (l *Log) slice(stream string, from int64, limit int) (pomelospring.Batch, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.expire(s)
	batch := pomelospring.Batch{
		First: s.first,
		Next:  s.first + int64(len(s.records)),
	}
	if from < s.first {
		return batch, s.grown, pomelospring.ErrTruncated
	}
	if from < batch.Next {
		end := min(from+int64(limit), batch.Next)
		batch.Records = append(batch.Records, s.records[from-s.first:end-s.first]...)
	}
	return batch, s.grown, nil
}

// Records returns everything retained in a stream.
func (l *Log) Records(stream string) []pomelospring.StoredRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]pomelospring.StoredRecord{}, l.stream(stream).records...)
}

// Truncate drops the records before an offset.
func (l *Log) Truncate(stream string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	drop := min(max(0, before-s.first), int64(len(s.records)))
	s.drop(int(drop))
}

func (l *Log) stream(name string) *streamRecords {
	s, known := l.streams[name]
	if !known {
		s = &streamRecords{
			grown: make(chan struct{}),
		}
		l.streams[name] = s
	}
	return s
}

func (l *Log) expire(s *streamRecords) {
	if l.Retention == 0 {
		return
	}
	oldest := l.Clock().Add(-l.Retention)
	n := 0
	for n < len(s.stored) && s.stored[n].Before(oldest) {
		n++
	}
	s.drop(n)
}

func (s *streamRecords) drop(n int) {
	s.first += int64(n)
	s.records = s.records[n:]
	s.stored = s.stored[n:]
}

// Handler serves the log's HTTP API.
func (l *Log) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/standin/faults", &l.faults).Methods(http.MethodPut)
	records := "/v1/streams/{stream}/records"
	router.HandleFunc(records, l.faults.wrap(l.handleAppend)).Methods(http.MethodPost)
	router.HandleFunc(records, l.faults.wrap(l.handleRead)).Methods(http.MethodGet)
	return router
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	var request controlplane.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, controlplane.AppendReply{
		Offset: l.append(mux.Vars(r)["stream"], request.Records),
	})
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "bad from", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "bad limit", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMilliseconds"))
	deadline := l.Clock().Add(time.Duration(wait) * time.Millisecond)
	batch, err := l.read(r.Context(), mux.Vars(r)["stream"], from, limit, deadline)
	if err != nil {
		writeJSON(w, http.StatusGone, batch)
		return
	}
	writeJSON(w, http.StatusOK, batch)
}
