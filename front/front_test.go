package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/front"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/settings"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	stamp   = "X-Pomelospring-Server-Stamp"
	request = "X-Pomelospring-Request-Id"
	// readyWithin bounds the wait for a state that settles by itself.
	readyWithin = 15 * time.Second
)

// worker is a model worker that holds adapters as it is ordered.
type worker struct {
	id       string
	mu       sync.Mutex
	adapters map[string]bool
	sequence int64
	holders  map[string]bool
	runs     map[string]int
	// pieces and pause shape its streams.
	pieces int
	pause  time.Duration
	server *httptest.Server
}

func newWorker(t *testing.T, id string) *worker {
	w := &worker{
		id:       id,
		adapters: map[string]bool{},
		holders:  map[string]bool{},
		runs:     map[string]int{},
		pieces:   3,
	}
	w.server = httptest.NewServer(w)
	t.Cleanup(w.server.Close)
	return w
}

func (w *worker) entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":"llm","address":%q,"zone":"north","slots":8,"state":%q,"born":1000,"models":[{"name":"m","version":1,"adapters":[]}],"seq":0}`,
		strings.TrimPrefix(w.server.URL, "http://"), state)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		w.report(out)
	case "/api/order":
		w.order(out, r)
	default:
		w.run(out, r)
	}
}

func (w *worker) report(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	adapters := make([]string, 0, len(w.adapters))
	for name := range w.adapters {
		adapters = append(adapters, name+"@1")
	}
	_ = json.NewEncoder(out).Encode(map[string]any{
		"born":   1000,
		"seq":    w.sequence,
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": adapters}},
	})
}

func (w *worker) order(out http.ResponseWriter, r *http.Request) {
	var order struct {
		Opcode  string `json:"opcode"`
		Adapter string `json:"adapter"`
		Expect  int64  `json:"expect"`
		Holder  string `json:"holder"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.Expect != w.sequence {
		out.WriteHeader(http.StatusConflict)
		return
	}
	w.sequence++
	w.holders[order.Holder] = true
	if order.Opcode == "model_unload" {
		delete(w.adapters, order.Adapter)
		return
	}
	w.adapters[order.Adapter] = true
	out.WriteHeader(http.StatusAccepted)
}

func (w *worker) run(out http.ResponseWriter, r *http.Request) {
	_, adapter, _ := strings.Cut(r.Header.Get("X-Pomelospring-Model-Id"), "/")
	w.mu.Lock()
	held := adapter == "" || w.adapters[adapter]
	if held {
		w.runs[r.Header.Get(request)]++
	}
	pieces, pause := w.pieces, w.pause
	w.mu.Unlock()
	if !held {
		out.Header().Set("X-Pomelospring-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	out.Header().Set(stamp, w.id)
	out.Header().Set(request, r.Header.Get(request))
	for i := range pieces {
		fmt.Fprintf(out, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(out).Flush()
		time.Sleep(pause)
	}
}

const policy = `{"version":%d,"routes":[
	{"name":"proof","host":"shop.example","path-prefix":"/proof/","kind":"streaming","timeout-ms":8000,"service":"llm","max-attempts":1}],
	"services":[{"name":"llm","engine":{"adapter-slots":8,"loads-per-s":1,"models":[{"name":"m","load-s":1}]}}],
	"limits":{"max-body-bytes":1000},
	"tenants":[{"name":"shop","api-keys":["%s"],"unit":"tokens","plain-tokens":1,"rate-per-s":1000000,"burst":1000000}]}`

// instance is one front in this process.
type instance struct {
	config *settings.Front
	stop   context.CancelFunc
	ended  chan error
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func startInstance(t *testing.T, name, store string) *instance {
	return start(t, newConfig(t, name, store))
}

func newConfig(t *testing.T, name, store string) *settings.Front {
	config := settings.DefaultFront()
	config.Name = name
	config.Domain = "north"
	config.Domains = []string{"north"}
	config.StoreAddress = store
	config.Bounds.OrderTurn = 0
	config.Listen = settings.FrontListen{
		Callers:   freeAddress(t),
		Readiness: freeAddress(t),
		Peers:     freeAddress(t),
		Metrics:   freeAddress(t),
	}
	return config
}

func start(t *testing.T, config *settings.Front) *instance {
	lines := events.NewBoundedWriter(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{
		config: config,
		stop:   stop,
		ended:  make(chan error, 1),
	}
	logger := &log.Logger{
		Handler: discard.New(),
	}
	go func() { i.ended <- front.New(config, "front_test.go", logger, lines).Run(ctx) }()
	t.Cleanup(stop)
	return i
}

// end stops the instance as planned and waits until it has.
func (i *instance) end(t *testing.T) {
	t.Helper()
	i.stop()
	if err := <-i.ended; err != nil {
		t.Error(err)
	}
}

func (i *instance) ready() bool {
	response, err := http.Get("http://" + i.config.Listen.Readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends one call and gives status and body; an answer that breaks off
// gives an error.
func (i *instance) send(id, key, adapter string) (status int, body string, err error) {
	call, err := http.NewRequest(http.MethodPost, "http://"+i.config.Listen.Callers+"/proof/1", strings.NewReader("x"))
	if err != nil {
		return 0, "", err
	}
	call.Host = "shop.example"
	call.Header.Set("Authorization", "Bearer "+key)
	call.Header.Set(request, id)
	call.Header.Set("X-Pomelospring-Model-Id", "m/"+adapter)
	call.Header.Set("X-Pomelospring-Token-Count", "100,10")
	call.Header.Set("X-Pomelospring-Deadline-Ms", "8000")
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %s: %s", readyWithin, what)
}

// newSite is a store with a configuration and one worker.
func newSite(t *testing.T) (store *standin.Store, address string, w *worker) {
	store = standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	w = newWorker(t, "i-1")
	store.Put(platform.OperatorTopic, platform.PolicyKey, fmt.Appendf(nil, policy, 1, "k1"))
	store.Put(platform.ServerTopic, w.id, w.entry("ready"))
	return store, strings.TrimPrefix(server.URL, "http://"), w
}

func (i *instance) serves(key, adapter string) bool {
	status, body, err := i.send("probe", key, adapter)
	return err == nil && status == http.StatusOK && strings.Count(body, "id:") == 3
}

func TestARequestIsServedOnAnAdapterThatWasLoadedForIt(t *testing.T) {
	_, address, w := newSite(t)
	a := startInstance(t, "a", address)
	eventually(t, "ready", a.ready)
	eventually(t, "a new adapter is served", func() bool { return a.serves("k1", "a7") })
	w.mu.Lock()
	defer w.mu.Unlock()
	if diff := cmp.Diff(map[string]bool{"a7": true}, w.adapters); diff != "" {
		t.Error(diff)
	}
}

func TestInstancesShareOneLeaderAndItsReading(t *testing.T) {
	store, address, w := newSite(t)
	a, b := startInstance(t, "a", address), startInstance(t, "b", address)
	eventually(t, "both serve", func() bool { return a.serves("k1", "a1") && b.serves("k1", "a2") })
	w.mu.Lock()
	if diff := cmp.Diff(1, len(w.holders)); diff != "" {
		t.Errorf("holders: %s", diff)
	}
	w.mu.Unlock()
	store.Put(platform.OperatorTopic, platform.PolicyKey, fmt.Appendf(nil, policy, 2, "k2"))
	began := time.Now()
	eventually(t, "the new key at both", func() bool { return a.serves("k2", "a1") && b.serves("k2", "a2") })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("in force after %s, the users ask for 2 s", took)
	}
	for _, i := range []*instance{a, b} {
		if status, _, err := i.send("r", "k1", "a1"); status != http.StatusUnauthorized {
			t.Errorf("withdrawn key: status %d, %v", status, err)
		}
	}
	// One instance reads both topics about four times a second; the other none.
	before := store.CallCount("/api/log-read")
	time.Sleep(2 * time.Second)
	if calls := store.CallCount("/api/log-read") - before; calls > 12 {
		t.Errorf("%d reads in 2 s", calls)
	}
}

// TestAPlannedStopCutsNoAnswer is the finding of hunts ec4285ef and d7aff7ca.
func TestAPlannedStopOfAFrontCutsNoAnswer(t *testing.T) {
	_, address, w := newSite(t)
	a := startInstance(t, "a", address)
	eventually(t, "serves", func() bool { return a.serves("k1", "a1") })
	w.mu.Lock()
	// Longer than the balancer takes to leave, shorter than the time to stop.
	w.pieces, w.pause = 20, 200*time.Millisecond
	w.mu.Unlock()
	type result struct {
		Status int
		Events int
		Broken bool
	}
	results := make(chan result, 1)
	go func() {
		status, body, err := a.send("long", "k1", "a1")
		results <- result{
			Status: status,
			Events: strings.Count(body, "id:"),
			Broken: err != nil,
		}
	}()
	time.Sleep(300 * time.Millisecond)
	a.stop()
	eventually(t, "not ready", func() bool { return !a.ready() })
	if diff := cmp.Diff(result{Status: http.StatusOK, Events: 20}, <-results); diff != "" {
		t.Error(diff)
	}
	if err := <-a.ended; err != nil {
		t.Error(err)
	}
}

func TestAnotherInstanceLeadsAfterAPlannedStop(t *testing.T) {
	_, address, w := newSite(t)
	a := startInstance(t, "a", address)
	eventually(t, "a leads", func() bool { return a.serves("k1", "a1") })
	b := startInstance(t, "b", address)
	eventually(t, "b serves", func() bool { return b.serves("k1", "a1") })
	a.end(t)
	eventually(t, "b loads a new adapter", func() bool { return b.serves("k1", "a2") })
	w.mu.Lock()
	defer w.mu.Unlock()
	if diff := cmp.Diff(2, len(w.holders)); diff != "" {
		t.Errorf("holders: %s", diff)
	}
}

// TestAMachineLeadsOnAfterAPlannedRestart is what incident inc-6427 lacked:
// another machine would wait for the turn time first.
func TestAMachineLeadsOnAfterAPlannedRestart(t *testing.T) {
	_, address, w := newSite(t)
	config := newConfig(t, "a", address)
	config.Bounds.OrderTurn = 4 * time.Second
	a := start(t, config)
	eventually(t, "a leads", func() bool { return a.serves("k1", "a1") })
	b := startInstance(t, "b", address)
	eventually(t, "b serves", func() bool { return b.serves("k1", "a1") })
	a.end(t)
	began := time.Now()
	a = start(t, config)
	eventually(t, "a loads a new adapter", func() bool { return a.serves("k1", "a2") })
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("took %s", took)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if diff := cmp.Diff(1, len(w.holders)); diff != "" {
		t.Errorf("holders: %s", diff)
	}
}

// gate is one instance's way to the store, which can be closed for it alone.
type gate struct {
	store  *standin.Store
	closed atomic.Bool
	reads  atomic.Int64
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/log-read" || r.URL.Path == "/api/log-newest" {
		g.reads.Add(1)
	}
	if g.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.store.ServeHTTP(w, r)
}

// startBehindGate starts an instance of a domain with its own way to the store.
func startBehindGate(t *testing.T, name, domain string, store *standin.Store) (*instance, *gate) {
	g := &gate{
		store: store,
	}
	server := httptest.NewServer(g)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	config := newConfig(t, name, strings.TrimPrefix(server.URL, "http://"))
	config.Domain = domain
	config.Domains = []string{"north", "south"}
	return start(t, config), g
}

// TestAnotherDomainsLeaderTellsWhatTheOwnCanNotRead: when a leader was turned
// away by the store, all instances of its domain read both topics themselves
// (lgb-grid-grown quiet-1: 800 calls in 7 s).
func TestAnotherDomainsLeaderTellsWhatTheOwnCanNotRead(t *testing.T) {
	store, _, _ := newSite(t)
	a, gateOfA := startBehindGate(t, "a", "north", store)
	eventually(t, "a leads the north", func() bool { return a.serves("k1", "a1") })
	b, _ := startBehindGate(t, "b", "south", store)
	eventually(t, "b is ready", b.ready)
	c, gateOfC := startBehindGate(t, "c", "north", store)
	eventually(t, "c serves", func() bool { return c.serves("k1", "a1") })
	// Both other leaders must be known to c, which takes a look of theirs.
	time.Sleep(6 * time.Second)
	gateOfA.closed.Store(true)
	time.Sleep(2 * time.Second)
	before := gateOfC.reads.Load()
	store.Put(platform.OperatorTopic, platform.PolicyKey, fmt.Appendf(nil, policy, 2, "k2"))
	began := time.Now()
	eventually(t, "the new key at c", func() bool { return c.serves("k2", "a1") })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("in force after %s, the users ask for 2 s", took)
	}
	eventually(t, "the new key at a", func() bool { return a.serves("k2", "a1") })
	time.Sleep(2 * time.Second)
	if reads := gateOfC.reads.Load() - before; reads > 4 {
		t.Errorf("c read the store %d times", reads)
	}
}

func TestServingGoesOnWithoutTheStore(t *testing.T) {
	scenarios := []struct {
		name   string
		silent bool
	}{
		{name: "it refuses"},
		{name: "it is silent", silent: true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			store, address, w := newSite(t)
			a := startInstance(t, "a", address)
			eventually(t, "serves", func() bool { return a.serves("k1", "a1") })
			store.SetDown(true, scenario.silent)
			time.Sleep(3 * time.Second)
			if !a.serves("k1", "a1") || !a.ready() {
				t.Error("does not serve while the store is down")
			}
			store.Put(platform.ServerTopic, w.id, w.entry("draining"))
			store.SetDown(false, false)
			eventually(t, "the leave is known", func() bool {
				status, _, _ := a.send("r", "k1", "a1")
				return status == http.StatusServiceUnavailable
			})
		})
	}
}

func TestAKeptConnectionIsAskedToCloseAtAStop(t *testing.T) {
	_, address, _ := newSite(t)
	a := startInstance(t, "a", address)
	eventually(t, "serves", func() bool { return a.serves("k1", "a1") })
	conn, err := net.Dial("tcp", a.config.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	a.stop()
	eventually(t, "not ready", func() bool { return !a.ready() })
	fmt.Fprintf(conn, "GET /none HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if diff := cmp.Diff([]any{http.StatusNotFound, true}, []any{answer.StatusCode, answer.Close}); diff != "" {
		t.Error(diff)
	}
}
