package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

const (
	modelService = "llm-pool"
	modelName    = "m0"
	adapterSlots = 8
	workerSlots  = 64
	// coldLoad and warmLoad are the times that the users' sheet gives for an adapter
	// from the weight store, and for one that the worker held recently.
	coldLoad = 250 * time.Millisecond
	warmLoad = 25 * time.Millisecond
	// eventInterval is the time between two events of a stream, and eventCount their
	// number.
	eventInterval = 20 * time.Millisecond
	eventCount    = 10
	// heartbeat is the time between two entries of a worker in the store.
	heartbeat = 1200 * time.Millisecond
	// unloaded stands for no version.
	unloaded = -1
)

// begin is the begin of a request at a worker.
type begin struct {
	request string
	worker  string
	adapter string
	version int64
	at      time.Time
}

// worker is the stand-in of a model worker.
type worker struct {
	id      string
	zone    string
	address string
	born    time.Time
	log     *record
	onBegin func(begin)
	// newest returns the newest version of an adapter.
	newest func(adapter string) int64

	mu       sync.Mutex
	sequence int64
	adapters map[string]*adapter
	held     map[string]bool
	// holder is who gave the last order.
	holder string
}

// adapter is an adapter in a slot of a worker. next is the version that replaces it
// once its runs have ended, or unloaded; 0 for none.
type adapter struct {
	version int64
	readyAt time.Time
	next    int64
	runs    int
}

func startWorker(id, zone string, store *standin.Store, log *record) (w *worker, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w = &worker{
		id:       id,
		zone:     zone,
		address:  listener.Addr().String(),
		born:     time.Now(),
		log:      log,
		adapters: map[string]*adapter{},
		held:     map[string]bool{},
	}
	server := &http.Server{
		Handler:           w,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for ; ; time.Sleep(heartbeat) {
			store.Put("keyed.servers", w.id, w.entry())
		}
	}()
	return w, nil
}

// entry is what the worker writes to the store.
func (w *worker) entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	text, err := json.Marshal(map[string]any{
		"service":      modelService,
		"address":      w.address,
		"zone":         w.zone,
		"version":      "v1",
		"slots":        workerSlots,
		"state":        "ready",
		"cold-left-ms": 0,
		"stage":        "colocated",
		"born":         w.born.UnixMilli(),
		"models":       w.models(),
		"seq":          w.sequence,
	})
	if err != nil {
		return nil
	}
	return text
}

// models lists what the worker holds. The lock is held.
func (w *worker) models() []any {
	names := []string{}
	for name, a := range w.adapters {
		if !time.Now().Before(a.readyAt) {
			names = append(names, versioned(name, a.version))
		}
	}
	return []any{map[string]any{
		"name":     modelName,
		"version":  1,
		"adapters": names,
	}}
}

func versioned(name string, version int64) string {
	return name + "@" + strconv.FormatInt(version, 10)
}

// lastHolder returns who gave the last order.
func (w *worker) lastHolder() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder
}

// holds returns the version of an adapter that can run now; 0 for none.
func (w *worker) holds(name string) (version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.adapters[name]; a != nil && !time.Now().Before(a.readyAt) {
		return a.version
	}
	return 0
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(standin.HeaderExpectServer); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case standin.PathReport:
		w.report(out)
	case standin.PathOrder:
		w.order(out, r)
	default:
		w.execute(out, r)
	}
}

func (w *worker) report(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	loading := []string{}
	for name, a := range w.adapters {
		if time.Now().Before(a.readyAt) {
			loading = append(loading, modelName+"/"+versioned(name, a.version))
		}
	}
	_ = json.NewEncoder(out).Encode(map[string]any{
		"stage":   "colocated",
		"born":    w.born.UnixMilli(),
		"busy":    false,
		"seq":     w.sequence,
		"models":  w.models(),
		"loading": loading,
	})
}

// order carries out an order as the users' pages say.
func (w *worker) order(out http.ResponseWriter, r *http.Request) {
	var order struct {
		Opcode  string `json:"opcode"`
		Adapter string `json:"adapter"`
		Expect  int64  `json:"expect"`
		Version int64  `json:"version"`
		Holder  string `json:"holder"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Adapter == "" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if order.Version == 0 {
		order.Version = w.newest(order.Adapter)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holder = order.Holder
	status := w.carryOut(order.Opcode, order.Adapter, order.Expect, order.Version)
	w.log.printf("%s is ordered by %s: %s %s version %d expect %d: %d", w.id, order.Holder, order.Opcode, order.Adapter, order.Version, order.Expect, status)
	out.WriteHeader(status)
}

// carryOut returns the status of the answer to an order. The lock is held.
func (w *worker) carryOut(opcode, name string, expected, version int64) (status int) {
	present := w.adapters[name]
	switch {
	case expected != w.sequence:
		return http.StatusConflict
	case opcode == "model_unload" && present == nil:
		return http.StatusOK
	case opcode == "model_unload" && present.runs > 0:
		present.next = unloaded
		w.sequence++
		return http.StatusAccepted
	case opcode == "model_unload":
		delete(w.adapters, name)
		w.sequence++
		return http.StatusOK
	case present != nil && (present.version == version || present.next == version):
		return http.StatusOK
	case present != nil && present.runs > 0:
		present.next = version
		w.sequence++
		return http.StatusAccepted
	}
	w.load(name, version)
	w.sequence++
	return http.StatusAccepted
}

// load begins to load a version of an adapter. The lock is held.
func (w *worker) load(name string, version int64) {
	duration := coldLoad
	if w.held[name] {
		duration = warmLoad
	}
	w.held[name] = true
	w.adapters[name] = &adapter{
		version: version,
		readyAt: time.Now().Add(duration),
	}
}

// admit begins a run of an adapter and returns it, or nil if the request can't run.
func (w *worker) admit(name, expectedVersion string) *adapter {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.adapters[name]
	if a == nil || time.Now().Before(a.readyAt) || a.next != 0 {
		return nil
	}
	if expectedVersion != "" && expectedVersion != strconv.FormatInt(a.version, 10) {
		return nil
	}
	a.runs++
	return a
}

// leave ends a run of an adapter. The last one lets a replacement begin.
func (w *worker) leave(name string, a *adapter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.runs--
	switch {
	case a.runs > 0 || a.next == 0:
	case a.next == unloaded:
		delete(w.adapters, name)
	default:
		w.load(name, a.next)
	}
}

// execute runs a request, or answers that it did not run.
func (w *worker) execute(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	out.Header().Set(standin.HeaderRequestID, id)
	_, name, _ := strings.Cut(r.Header.Get(standin.HeaderAdapter), "/")
	a := w.admit(name, r.Header.Get(standin.HeaderExpectVersion))
	if a == nil {
		out.Header().Set(standin.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer w.leave(name, a)
	w.log.printf("%s begins %s on %s", w.id, id, versioned(name, a.version))
	w.onBegin(begin{
		request: id,
		worker:  w.id,
		adapter: name,
		version: a.version,
		at:      time.Now(),
	})
	out.Header().Set(standin.HeaderStamp, w.id+"."+id)
	out.Header().Set("Content-Type", "text/event-stream")
	for n := range eventCount {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n+1, versioned(name, a.version)); err != nil {
			return
		}
		if http.NewResponseController(out).Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}
