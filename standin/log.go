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

// Log is an in-memory log service. Tests within one process use it as a
// pomelospring.Log, tests across processes through its HTTP handler.
type Log struct {
	// Retention is how long records are retained; 0 retains them for ever.
	Retention time.Duration
	Clock     pomelospring.Clock

	faults  faultInjector
	mu      sync.Mutex
	streams map[string]*streamRecords
}

// streamRecords are the retained records of one stream.
type streamRecords struct {
	// first is the offset of the oldest retained record.
	first   int64
	records []pomelospring.StoredRecord
	// storedAt holds the time at which each record was appended.
	storedAt []time.Time
	// appended is closed and replaced at each append.
	appended chan struct{}
}

var _ pomelospring.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog(clock pomelospring.Clock, retention time.Duration) *Log {
	return &Log{
		Retention: retention,
		Clock:     clock,
		streams:   map[string]*streamRecords{},
	}
}

// SetFaults replaces the active faults.
func (l *Log) SetFaults(faults Faults) {
	l.faults.Set(faults)
}

// Append implements pomelospring.Log.
func (l *Log) Append(ctx context.Context, stream string, records []pomelospring.Record) (offset int64, err error) {
	defer pomelospring.Annotate(&err, "append to stream %s", stream)
	l.faults.delay(ctx)
	faults := l.faults.Get()
	if faults.Down || faults.DropBefore {
		return 0, errUnavailable
	}
	offset = l.append(stream, records)
	if faults.LoseAnswers {
		return 0, errUnavailable
	}
	return offset, nil
}

// Read implements pomelospring.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, deadline time.Time) (batch pomelospring.Batch, err error) {
	defer pomelospring.Annotate(&err, "read stream %s", stream)
	l.faults.delay(ctx)
	if l.faults.Get().Down {
		return pomelospring.Batch{}, errUnavailable
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
		s.storedAt = append(s.storedAt, l.Clock())
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// read returns records at or after from, and waits for one until the deadline if
// there is none yet.
func (l *Log) read(ctx context.Context, stream string, from int64, limit int, deadline time.Time) (pomelospring.Batch, error) {
	timer := time.NewTimer(max(0, deadline.Sub(l.Clock())))
	defer timer.Stop()
	for {
		batch, appended, err := l.slice(stream, from, limit)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

// slice returns at most limit records at or after from, and the channel that is
// closed at the next append. It returns ErrTruncated if the record at from is no
// longer retained.
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
		return batch, s.appended, pomelospring.ErrTruncated
	}
	if from < batch.Next {
		end := min(from+int64(limit), batch.Next)
		batch.Records = append(batch.Records, s.records[from-s.first:end-s.first]...)
	}
	return batch, s.appended, nil
}

// Records returns the retained records of a stream.
func (l *Log) Records(stream string) []pomelospring.StoredRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]pomelospring.StoredRecord{}, l.stream(stream).records...)
}

// Truncate removes the records before an offset.
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
			appended: make(chan struct{}),
		}
		l.streams[name] = s
	}
	return s
}

// expire removes the records that are older than the retention.
func (l *Log) expire(s *streamRecords) {
	if l.Retention == 0 {
		return
	}
	cutoff := l.Clock().Add(-l.Retention)
	n := 0
	for n < len(s.storedAt) && s.storedAt[n].Before(cutoff) {
		n++
	}
	s.drop(n)
}

// drop removes the oldest n records.
func (s *streamRecords) drop(n int) {
	s.first += int64(n)
	s.records = s.records[n:]
	s.storedAt = s.storedAt[n:]
}

// Handler serves the log's HTTP API, and its faults under /standin.
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
		http.Error(w, "parameter from is not an integer", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "parameter limit is not a positive integer", http.StatusBadRequest)
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
