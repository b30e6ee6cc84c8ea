package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/engine"
)

// ApplicationWorker simulates a plain HTTP service and records every call that
// it executes.
type ApplicationWorker struct {
	Name string
	// WorkTime is the duration of a call.
	WorkTime time.Duration

	faults  faultInjector
	mu      sync.Mutex
	running int
	records ApplicationWorkerRecords
}

// ApplicationWorkerRecords are the calls that an application worker executed.
type ApplicationWorkerRecords struct {
	Ran []ExecutedCall `json:"ran"`
	// KeysSeen counts calls that carried a caller's key.
	KeysSeen int `json:"keysSeen"`
}

// ExecutedCall is one call that an application worker executed.
type ExecutedCall struct {
	RequestID string    `json:"requestId"`
	Path      string    `json:"path"`
	Body      string    `json:"body"`
	At        time.Time `json:"at"`
}

// NewApplicationWorker returns a worker whose calls take workTime.
func NewApplicationWorker(name string, workTime time.Duration) *ApplicationWorker {
	return &ApplicationWorker{
		Name:     name,
		WorkTime: workTime,
	}
}

// SetFaults replaces the active faults.
func (a *ApplicationWorker) SetFaults(faults Faults) {
	a.faults.Set(faults)
}

// Records returns a copy of the calls executed so far.
func (a *ApplicationWorker) Records() ApplicationWorkerRecords {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := a.records
	records.Ran = append([]ExecutedCall{}, a.records.Ran...)
	return records
}

// Handler serves the worker's HTTP API, and its faults and records under
// /standin.
func (a *ApplicationWorker) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/standin/faults", &a.faults).Methods(http.MethodPut)
	router.HandleFunc("/standin/records", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, a.Records())
	})
	router.HandleFunc(engine.PathReport, a.faults.wrap(a.handleReport)).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(a.faults.wrap(a.handleCall))
	return router
}

func (a *ApplicationWorker) handleReport(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	writeJSON(w, http.StatusOK, pomelospring.LoadReport{
		At:       time.Now(),
		Running:  a.running,
		Resident: []string{},
		Busy:     map[string]int{},
	})
}

func (a *ApplicationWorker) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.mu.Lock()
	a.running++
	a.records.Ran = append(a.records.Ran, ExecutedCall{
		RequestID: r.Header.Get(engine.HeaderRequestID),
		Path:      r.URL.Path,
		Body:      string(body),
		At:        time.Now(),
	})
	if r.Header.Get("Authorization") != "" {
		a.records.KeysSeen++
	}
	a.mu.Unlock()
	time.Sleep(a.WorkTime)
	a.mu.Lock()
	a.running--
	a.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]string{
		"worker":    a.Name,
		"requestId": r.Header.Get(engine.HeaderRequestID),
		"echo":      string(body),
	})
}
