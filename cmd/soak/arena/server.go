package arena

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	workerSlots     = 8
	adapterLoadTime = 100 * time.Millisecond
	// streamEvents and orderEvents are the numbers of events of whole answers.
	streamEvents  = 5
	orderEvents   = 1
	eventInterval = 20 * time.Millisecond
	// connectionEndTime is the time until connections are reset that did not end with
	// the server.
	connectionEndTime = 100 * time.Millisecond
	// crashingPartPrefix begins the ids of prompt parts that crash workers.
	crashingPartPrefix = "bad"
)

// server is the stand-in of a backend server, a model worker or a plain one.
type server struct {
	recorder *history.Recorder
	service  string
	domain   string
	id       string
	born     time.Time
	proxy    *proxy
	http     *http.Server
	// framesByClosing says that answers have neither a length nor chunks and end with
	// their connection.
	framesByClosing bool
	// onCrash is called when a prompt part crashes the server, and ends it.
	onCrash func(s *server)
	// newestVersion returns the version that a load without one fetches.
	newestVersion func(adapter string) int64

	mu          sync.Mutex
	gone        bool
	leaving     bool
	pausedUntil time.Time
	silentUntil time.Time
	// limit is the number of requests per second that the server names; 0 for none.
	limit    float64
	sequence int64
	loads    map[string]load
}

// load is the load of an adapter, which has ended at readyAt.
type load struct {
	readyAt time.Time
	version int64
}

func startServer(recorder *history.Recorder, service, domain, id string) (s *server, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s = &server{
		recorder: recorder,
		service:  service,
		domain:   domain,
		id:       id,
		born:     time.Now(),
		loads:    map[string]load{},
	}
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: requestTimeout,
	}
	go func() { _ = s.http.Serve(listener) }()
	s.proxy, err = newProxy(listener.Addr().String())
	return s, err
}

// list enters the server in the server list.
func (s *server) list(published *publications, state string) {
	record, err := json.Marshal(map[string]any{
		"service": s.service,
		"address": s.proxy.address(),
		"zone":    s.domain,
		"slots":   workerSlots,
		"state":   state,
		"born":    s.born.UnixMilli(),
		"models":  s.models(nil),
		"seq":     0,
	})
	if err == nil {
		published.put(platform.ServerTopic, s.id, record)
	}
}

func (s *server) models(resident []string) []any {
	if s.service != modelService {
		return []any{}
	}
	if resident == nil {
		resident = []string{}
	}
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": resident}}
}

// end ends the server with all its connections, as the end of a process does: nothing
// answers any longer when the first of them ends. It reports whether the server had not
// ended before.
func (s *server) end() (ended bool) {
	s.mu.Lock()
	ended = !s.gone
	s.gone = true
	s.mu.Unlock()
	s.proxy.stopAccepting()
	_ = s.http.Close()
	time.AfterFunc(connectionEndTime, s.proxy.close)
	return ended
}

// nameLimit lets the server name a limit in its answers; 0 for none.
func (s *server) nameLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

func (s *server) isGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silence := time.Until(s.silentUntil)
	if s.leaving {
		w.Header().Set(standin.HeaderLeaving, "1")
	}
	if s.limit > 0 {
		w.Header().Set(standin.HeaderLimit, strconv.FormatFloat(s.limit, 'f', -1, 64))
	}
	s.mu.Unlock()
	time.Sleep(silence)
	switch r.URL.Path {
	case standin.PathReport:
		s.report(w)
	case standin.PathOrder:
		s.order(w, r)
	default:
		s.execute(w, r)
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resident, loading := []string{}, []string{}
	for name, l := range s.loads {
		versioned := name + "@" + strconv.FormatInt(l.version, 10)
		if time.Now().Before(l.readyAt) {
			loading = append(loading, modelName+"/"+versioned)
		} else {
			resident = append(resident, versioned)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"born":    s.born.UnixMilli(),
		"seq":     s.sequence,
		"models":  s.models(resident),
		"loading": loading,
	})
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Opcode  string `json:"opcode"`
		Adapter string `json:"adapter"`
		Expect  int64  `json:"expect"`
		Version int64  `json:"version"`
		Holder  string `json:"holder"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if order.Version == 0 {
		order.Version = s.newestVersion(order.Adapter)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if expected := r.Header.Get(standin.HeaderExpectServer); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.recorder.Record(func(h *history.History) {
		h.Orders = append(h.Orders, history.Order{
			Server: s.id,
			Holder: order.Holder,
			At:     time.Now(),
		})
	})
	if order.Expect != s.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.sequence++
	if order.Opcode == "model_unload" {
		delete(s.loads, order.Adapter)
		return
	}
	if s.loads[order.Adapter].version != order.Version {
		s.loads[order.Adapter] = load{
			readyAt: time.Now().Add(adapterLoadTime),
			version: order.Version,
		}
	}
	w.WriteHeader(http.StatusAccepted)
}

// admit decides whether a request runs, and records its arrival. status is zero for
// one that runs; index is that of the arrival in the history.
func (s *server) admit(r *http.Request, part string) (status, index int, version int64, pausedUntil time.Time) {
	_, adapter, _ := strings.Cut(r.Header.Get(standin.HeaderAdapter), "/")
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loads[adapter]
	expectedVersion := r.Header.Get(standin.HeaderExpectVersion)
	switch {
	case r.Context().Err() != nil || s.gone:
		return http.StatusServiceUnavailable, 0, 0, time.Time{}
	case r.Header.Get(standin.HeaderExpectServer) != s.id:
		return http.StatusMisdirectedRequest, 0, 0, time.Time{}
	case now.Before(s.pausedUntil):
		status, pausedUntil = http.StatusServiceUnavailable, s.pausedUntil
	case s.service == modelService && (l.version == 0 || now.Before(l.readyAt)):
		return http.StatusMisdirectedRequest, 0, 0, time.Time{}
	case s.service == modelService && expectedVersion != "" && expectedVersion != strconv.FormatInt(l.version, 10):
		return http.StatusMisdirectedRequest, 0, 0, time.Time{}
	}
	s.recorder.Record(func(h *history.History) {
		index = len(h.Arrivals)
		h.Arrivals = append(h.Arrivals, history.Arrival{
			RequestID:   r.Header.Get(standin.HeaderRequestID),
			Server:      s.id,
			At:          now,
			Part:        part,
			Ran:         status == 0,
			Crashed:     status == 0 && part != "",
			Leaving:     s.leaving,
			PausedUntil: pausedUntil,
			Limit:       s.limit,
		})
	})
	return status, index, l.version, pausedUntil
}

// execute runs a request, or rejects it as not run.
func (s *server) execute(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequestID)
	part := crashingPart(r)
	status, index, version, pausedUntil := s.admit(r, part)
	w.Header().Set(standin.HeaderRequestID, id)
	if status != 0 {
		if !pausedUntil.IsZero() {
			w.Header().Set("Retry-After", strconv.FormatFloat(time.Until(pausedUntil).Seconds(), 'f', 3, 64))
		}
		w.Header().Set(standin.HeaderNotExecuted, "1")
		w.WriteHeader(status)
		return
	}
	w.Header().Set(standin.HeaderStamp, s.id)
	if part != "" {
		moment, framesByClosing := crashOf(part)
		if framesByClosing {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		s.beginAnswer(w, r, moment, version)
		s.onCrash(s)
		panic(http.ErrAbortHandler)
	}
	if s.framesByClosing {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if s.write(w, r, version, s.eventCount()) {
		s.recorder.Record(func(h *history.History) { h.Arrivals[index].Completed = true })
	}
}

// Moments of an answer at which servers crash.
const (
	beforeHead = iota
	afterHead
	afterEvent
	insideEvent
	momentCount
)

// crashOf returns the moment at which servers crash under a part, and whether their answers
// would end with their connection. Both are always the same for a part.
func crashOf(part string) (moment int, framesByClosing bool) {
	variant := int(part[len(part)-1])
	return variant % momentCount, variant/momentCount%2 == 1
}

// beginAnswer writes what a server sends of its answer before it crashes at a moment.
func (s *server) beginAnswer(w http.ResponseWriter, r *http.Request, moment int, version int64) {
	if moment == beforeHead {
		return
	}
	w.WriteHeader(http.StatusOK)
	if moment >= afterEvent {
		s.write(w, r, version, 1)
	}
	if moment == insideEvent {
		_, _ = io.WriteString(w, "id: 2\ndata: ")
	}
	_ = http.NewResponseController(w).Flush()
}

// eventCount returns the number of events of a whole answer.
func (s *server) eventCount() int {
	if s.service != modelService {
		return orderEvents
	}
	return streamEvents
}

// write writes a number of events of the answer and reports whether all were written.
func (s *server) write(w http.ResponseWriter, r *http.Request, version int64, count int) (whole bool) {
	id := r.Header.Get(standin.HeaderRequestID)
	_, adapter, _ := strings.Cut(r.Header.Get(standin.HeaderAdapter), "/")
	for i := range count {
		event, err := json.Marshal(history.Event{
			Number:    i + 1,
			RequestID: id,
			Adapter:   adapter,
			Version:   version,
			Team:      r.Header.Get(standin.HeaderTeam),
		})
		if err != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, event); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
		time.Sleep(eventInterval)
	}
	return r.Context().Err() == nil && !s.isGone()
}

// crashingPart returns the prompt part, or the name of the request, that crashes servers,
// if there is one.
func crashingPart(r *http.Request) string {
	for _, part := range strings.Split(r.Header.Get(standin.HeaderPromptPrefix), ",") {
		id, _, _ := strings.Cut(part, ":")
		if strings.HasPrefix(id, crashingPartPrefix) {
			return id
		}
	}
	if name := path.Base(r.URL.Path); strings.HasPrefix(name, history.CrashingRequestPrefix) {
		return name
	}
	return ""
}
