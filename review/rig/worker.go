package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

// heartbeatInterval is the time between a worker's writes to the store.
const heartbeatInterval = 1200 * time.Millisecond

// run executes a request that a worker has begun to run.
type run func(ctx context.Context, w *worker, software string, out http.ResponseWriter, request *http.Request)

// worker is the stand-in of a worker, which may crash and start again under its id and at its
// address.
type worker struct {
	rig     *rig
	id      string
	service string
	zone    string
	address string
	model   string
	slots   int
	run     run

	mu       sync.Mutex
	software string
	born     time.Time
	server   *http.Server
	conns    map[net.Conn]struct{}
	ended    chan struct{}
}

// startWorker starts a worker, which registers at once.
func (r *rig) startWorker(w *worker) (err error) {
	w.rig = r
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	r.mu.Lock()
	r.workers = append(r.workers, w)
	r.mu.Unlock()
	w.serve(listener)
	return nil
}

// serve begins an incarnation, which registers at once.
func (w *worker) serve(listener net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born = time.Now()
	w.conns = map[net.Conn]struct{}{}
	w.ended = make(chan struct{})
	ended, software, born := w.ended, w.software, w.born
	w.server = &http.Server{
		Handler: http.HandlerFunc(func(out http.ResponseWriter, request *http.Request) {
			w.handle(software, born, out, request)
		}),
		ReadHeaderTimeout: time.Minute,
		ConnState: func(conn net.Conn, state http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			switch state {
			case http.StateNew:
				w.conns[conn] = struct{}{}
			case http.StateClosed, http.StateHijacked:
				delete(w.conns, conn)
			default:
			}
		},
	}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	go w.heartbeat(ended, software, born)
}

// heartbeat writes the worker's entry until its incarnation ends.
func (w *worker) heartbeat(ended chan struct{}, software string, born time.Time) {
	for seq := 0; ; seq++ {
		w.publish(software, born, seq)
		select {
		case <-ended:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (w *worker) models() []any {
	if w.model == "" {
		return []any{}
	}
	return []any{map[string]any{
		"name":     w.model,
		"version":  1,
		"adapters": []string{},
	}}
}

func (w *worker) publish(software string, born time.Time, seq int) {
	value, err := json.Marshal(map[string]any{
		"service":      w.service,
		"address":      w.address,
		"zone":         w.zone,
		"version":      software,
		"slots":        w.slots,
		"state":        "ready",
		"cold-left-ms": 0,
		"born":         born.UnixMilli(),
		"models":       w.models(),
		"seq":          seq,
	})
	if err != nil {
		return
	}
	if seq == 0 {
		w.rig.record.add("worker %s (%s) registers, born %d", w.id, software, born.UnixMilli())
	}
	w.rig.store.Put(serverTopic, w.id, value)
}

// crash ends the incarnation: connections are reset and nothing listens any longer.
func (w *worker) crash() {
	w.mu.Lock()
	select {
	case <-w.ended:
		w.mu.Unlock()
		return
	default:
	}
	close(w.ended)
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	server := w.server
	w.mu.Unlock()
	// It waits for the listener, which reports new connections.
	_ = server.Close()
}

// restart starts the worker again under its id, at its address and with a software version. It
// registers at once.
func (w *worker) restart(software string) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.software = software
	w.mu.Unlock()
	w.rig.record.add("worker %s starts again (%s)", w.id, software)
	w.serve(listener)
	return nil
}

// handle answers one request as the pages tell.
func (w *worker) handle(software string, born time.Time, out http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get(standin.HeaderExpectServer); expected != "" && expected != w.id {
		out.Header().Set(standin.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case request.URL.Path == standin.PathReport:
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{
			"stage":    "colocated",
			"born":     born.UnixMilli(),
			"models":   w.models(),
			"busy":     false,
			"seq":      0,
			"queued":   0,
			"active":   0,
			"kv-used":  0,
			"kv-total": 232000,
			"handles":  0,
			"loading":  []string{},
		})
	case strings.HasPrefix(request.URL.Path, "/api/"):
		out.WriteHeader(http.StatusBadRequest)
	default:
		id := request.Header.Get(standin.HeaderRequestID)
		out.Header().Set(standin.HeaderRequestID, id)
		out.Header().Set(standin.HeaderStamp, fmt.Sprintf("%s.%s", w.id, id))
		w.run(request.Context(), w, software, out, request)
	}
}
