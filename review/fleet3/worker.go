package fleet3

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

const heartbeatInterval = 1200 * time.Millisecond

// Worker is a sound backend server: it registers itself in the store, answers each request
// after the work it takes, and checks that it is the one that the request is for.
type Worker struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Work    time.Duration
	// Address is where it listens, also after it has started again.
	Address string
	// Model is what a model worker has or may be ordered to load, which takes LoadTime;
	// empty for other services. A worker that is Empty has nothing yet.
	Model    string
	LoadTime time.Duration
	Empty    bool
	// OnRun is called when a request begins to run. It reports whether the server has
	// answered, or ended.
	OnRun func(w http.ResponseWriter, r *http.Request) (done bool)

	fleet  *Fleet
	mu     sync.Mutex
	born   int64
	loaded bool
	busy   bool
	seq    int64
	server *http.Server
	stop   chan struct{}
}

// Begin starts the server, or starts it anew, and registers it.
func (w *Worker) Begin(f *Fleet) error {
	if w.Address == "" {
		address, _, err := standin.ReserveAddress()
		if err != nil {
			return err
		}
		w.Address = address
	}
	listener, err := net.Listen("tcp", w.Address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet = f
	w.born = time.Now().UnixMilli()
	w.loaded, w.busy, w.seq = !w.Empty, false, 0
	w.stop = make(chan struct{})
	w.server = &http.Server{
		Handler:           w,
		ReadHeaderTimeout: headTimeout,
	}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	f.Record.Add("server %s: started, born %d", w.ID, w.born)
	f.Store.Put("keyed.servers", w.ID, w.entry())
	go w.heartbeat(w.stop)
	return nil
}

func (w *Worker) heartbeat(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
		w.mu.Lock()
		entry := w.entry()
		w.mu.Unlock()
		w.fleet.Store.Put("keyed.servers", w.ID, entry)
	}
}

// entry is the server's entry in the store. The lock is held.
func (w *Worker) entry() []byte {
	text, _ := json.Marshal(map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "1", "slots": w.Slots,
		"state": "ready", "cold-left-ms": 0, "seq": 0, "born": w.born, "models": w.models(),
	})
	return text
}

func (w *Worker) models() []any {
	if w.Model == "" || !w.loaded {
		return []any{}
	}
	return []any{map[string]any{"name": w.Model, "version": 1, "adapters": []string{}}}
}

// Crash ends the server at once, with all its connections. Its entry goes after three
// heartbeat intervals of silence, unless it is back before.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stop:
		return
	default:
	}
	close(w.stop)
	_ = w.server.Close()
	w.fleet.Record.Add("server %s: crashed", w.ID)
	born := w.born
	time.AfterFunc(3*heartbeatInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born == born {
			w.fleet.Store.Put("keyed.servers", w.ID, nil)
		}
	})
}

// Alive reports whether the server runs.
func (w *Worker) Alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stop:
		return false
	default:
		return true
	}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	out.Header().Set(standin.HeaderRequestID, id)
	if expected := r.Header.Get(standin.HeaderExpectServer); expected != "" && expected != w.ID {
		out.Header().Set(standin.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == standin.PathReport && w.Model != "":
		w.mu.Lock()
		defer w.mu.Unlock()
		_ = json.NewEncoder(out).Encode(map[string]any{"stage": "colocated", "models": w.models(), "busy": w.busy, "seq": w.seq, "queued": 0, "active": 0, "kv-used": 0, "kv-total": 232000, "handles": 0, "born": w.born})
		return
	case r.URL.Path == standin.PathOrder && w.Model != "":
		w.order(out, r)
		return
	case r.URL.Path == standin.PathReport || r.URL.Path == standin.PathOrder:
		out.WriteHeader(http.StatusNotFound)
		return
	case id == "":
		out.Header().Set(standin.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.lacks(r.Header.Get(standin.HeaderAdapter)) {
		out.Header().Set(standin.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.fleet.Record.Add("server %s: runs %s %s %s of tenant %s", w.ID, id, r.Method, r.RequestURI, r.Header.Get(standin.HeaderTeam))
	if w.OnRun != nil && w.OnRun(out, r) {
		return
	}
	time.Sleep(w.Work)
	out.Header().Set(standin.HeaderStamp, w.ID)
	out.Header().Set("X-Pomelospring-Server-Load", "1,0,"+strconv.Itoa(w.Slots))
	fmt.Fprintf(out, "answer to %s", id)
}

// lacks reports whether the server lacks a model that a request names.
func (w *Worker) lacks(model string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Model != "" && !w.loaded && model == w.Model
}

// order takes an order to load the model.
func (w *Worker) order(out http.ResponseWriter, r *http.Request) {
	var order struct {
		Opcode string `json:"opcode"`
		Model  string `json:"model"`
		Expect *int64 `json:"expect"`
		Holder string `json:"holder"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Opcode != "model_load" || order.Model != w.Model {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy || order.Expect != nil && *order.Expect != w.seq {
		out.WriteHeader(http.StatusConflict)
		return
	}
	w.seq++
	w.fleet.Record.Add("server %s: order of %s to load %s", w.ID, order.Holder, order.Model)
	if w.loaded {
		return
	}
	w.busy = true
	born := w.born
	time.AfterFunc(w.LoadTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born != born {
			return
		}
		w.busy, w.loaded = false, true
		w.fleet.Record.Add("server %s: has loaded %s", w.ID, w.Model)
		select {
		case <-w.stop:
		default:
			w.fleet.Store.Put("keyed.servers", w.ID, w.entry())
		}
	})
	out.WriteHeader(http.StatusAccepted)
}
