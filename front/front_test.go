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
	// readyWithin is how long eventually waits for a condition.
	readyWithin = 15 * time.Second
)

// worker is a model worker that loads and unloads adapters as ordered. It records
// the holders that gave orders, and how often each request was executed.
type worker struct {
	id         string
	service    string
	domain     string
	mu         sync.Mutex
	adapters   map[string]bool
	sequence   int64
	holders    map[string]bool
	executions map[string]int
	// eventCount is the number of events in a response, eventInterval the
	// time between them.
	eventCount    int
	eventInterval time.Duration
	// header is added to every response, and retryAfter, if set, to responses of
	// status 503 that reject every request and order.
	header     map[string]string
	retryAfter string
	// requests has the arrival times of requests, and orders those of orders.
	requests []time.Time
	orders   []time.Time
	server   *httptest.Server
}

func newWorker(t *testing.T, id string) *worker {
	w := &worker{
		id:         id,
		service:    "llm",
		domain:     "north",
		adapters:   map[string]bool{},
		holders:    map[string]bool{},
		executions: map[string]int{},
		eventCount: 3,
	}
	w.server = httptest.NewServer(w)
	t.Cleanup(w.server.Close)
	return w
}

// entry returns the worker's record in the server list.
func (w *worker) entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"slots":8,"state":%q,"born":1000,"models":[{"name":"m","version":1,"adapters":[]}],"seq":0}`,
		w.service, strings.TrimPrefix(w.server.URL, "http://"), w.domain, state)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if w.announce(out, r) {
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

// announce records an arrival and sets the headers of every response. It reports
// whether it rejected the request.
func (w *worker) announce(out http.ResponseWriter, r *http.Request) (rejected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, value := range w.header {
		out.Header().Set(name, value)
	}
	switch r.URL.Path {
	case standin.PathReport:
		return false
	case standin.PathOrder:
		w.orders = append(w.orders, time.Now())
	default:
		w.requests = append(w.requests, time.Now())
	}
	if w.retryAfter == "" {
		return false
	}
	out.Header().Set("Retry-After", w.retryAfter)
	out.Header().Set(standin.HeaderNotExecuted, "1")
	out.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	out.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// arrivals counts the requests and orders that arrived after a time.
func (w *worker) arrivals(after time.Time) (requests, orders int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.requests {
		if at.After(after) {
			requests++
		}
	}
	for _, at := range w.orders {
		if at.After(after) {
			orders++
		}
	}
	return requests, orders
}

// report answers with the adapters that are resident.
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

// order executes an order unless its expected sequence number is outdated.
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

// execute executes a request, or rejects it as not executed if its adapter is not
// resident.
func (w *worker) execute(out http.ResponseWriter, r *http.Request) {
	_, adapter, _ := strings.Cut(r.Header.Get(standin.HeaderAdapter), "/")
	w.mu.Lock()
	resident := adapter == "" || w.adapters[adapter]
	if resident {
		w.executions[r.Header.Get(standin.HeaderRequestID)]++
	}
	eventCount, eventInterval := w.eventCount, w.eventInterval
	w.mu.Unlock()
	if !resident {
		out.Header().Set(standin.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	out.Header().Set(standin.HeaderStamp, w.id)
	out.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
	for i := range eventCount {
		fmt.Fprintf(out, "id: %d\ndata: x\n\n", i+1)
		_ = http.NewResponseController(out).Flush()
		time.Sleep(eventInterval)
	}
}

const policy = `{"version":%d,"routes":[
	{"name":"proof","host":"shop.example","path-prefix":"/proof/","kind":"streaming","timeout-ms":8000,"service":"llm","max-attempts":1},
	{"name":"lookup","host":"shop.example","path-prefix":"/lookup/","kind":"safe","timeout-ms":4000,"service":"app","max-attempts":3},
	{"name":"order","host":"shop.example","path-prefix":"/order/","kind":"non_idempotent","timeout-ms":4000,"service":"app","max-attempts":1}],
	"services":[{"name":"app"},{"name":"llm","engine":{"adapter-slots":8,"loads-per-s":1,"models":[{"name":"m","load-s":1}]}}],
	"limits":{"max-body-bytes":1000},
	"tenants":[{"name":"shop","api-keys":["%s"],"unit":"tokens","plain-tokens":1,"rate-per-s":1000000,"burst":1000000}]}`

// instance is one front that runs in the test's process.
type instance struct {
	config *settings.Front
	stop   context.CancelFunc
	done   chan error
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, release, err := standin.ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return address
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
	return startPrepared(t, config, func(*front.Front) {})
}

// startPrepared starts an instance after prepare has changed it.
func startPrepared(t *testing.T, config *settings.Front, prepare func(f *front.Front)) *instance {
	logWriter := events.NewBoundedWriter(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{
		config: config,
		stop:   stop,
		done:   make(chan error, 1),
	}
	logger := &log.Logger{
		Handler: discard.New(),
	}
	f := front.New(config, "front_test.go", logger, logWriter)
	prepare(f)
	go func() { i.done <- f.Run(ctx) }()
	t.Cleanup(stop)
	return i
}

// stopAndWait stops the instance as in a planned stop, and waits until Run has
// returned.
func (i *instance) stopAndWait(t *testing.T) {
	t.Helper()
	i.stop()
	if err := <-i.done; err != nil {
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

// send sends one request and returns the status and the body of the response. A
// response that is cut off returns an error.
func (i *instance) send(id, key, adapter string) (status int, body string, err error) {
	return i.sendWith(id, key, adapter, nil)
}

// sendWith is send with more headers.
func (i *instance) sendWith(id, key, adapter string, header map[string]string) (status int, body string, err error) {
	httpRequest, err := http.NewRequest(http.MethodPost, "http://"+i.config.Listen.Callers+"/proof/1", strings.NewReader("x"))
	if err != nil {
		return 0, "", err
	}
	httpRequest.Header.Set(standin.HeaderAdapter, "m/"+adapter)
	httpRequest.Header.Set(standin.HeaderTokenCount, "100,10")
	for name, value := range header {
		httpRequest.Header.Set(name, value)
	}
	return sendRequest(httpRequest, id, key)
}

// sendTo sends a request without a body to a path of the instance, and returns the status
// of a complete response; 0 for none.
func (i *instance) sendTo(id, path string) (status int) {
	httpRequest, err := http.NewRequest(http.MethodPost, "http://"+i.config.Listen.Callers+path, http.NoBody)
	if err != nil {
		return 0
	}
	status, _, err = sendRequest(httpRequest, id, "k1")
	if err != nil {
		return 0
	}
	return status
}

// sendRequest sends a request in the name of a key and returns the status and the body
// of the response.
func sendRequest(httpRequest *http.Request, id, key string) (status int, body string, err error) {
	httpRequest.Host = "shop.example"
	httpRequest.Header.Set("Authorization", "Bearer "+key)
	httpRequest.Header.Set(standin.HeaderRequestID, id)
	httpRequest.Header.Set(standin.HeaderDeadline, "8000")
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// eventually waits until a condition holds, and fails the test after readyWithin.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after %s waiting for: %s", readyWithin, description)
}

// newStoreWithWorker starts a store that holds a policy and lists one worker.
func newStoreWithWorker(t *testing.T) (store *standin.Store, address string, w *worker) {
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

// serves reports whether the instance answers a request for the adapter in full.
func (i *instance) serves(key, adapter string) bool {
	status, body, err := i.send("probe", key, adapter)
	return err == nil && status == http.StatusOK && strings.Count(body, "id:") == 3
}

func TestAnAdapterIsLoadedForARequest(t *testing.T) {
	_, address, w := newStoreWithWorker(t)
	a := startInstance(t, "a", address)
	eventually(t, "ready", a.ready)
	eventually(t, "a request for a new adapter is served", func() bool { return a.serves("k1", "a7") })
	w.mu.Lock()
	defer w.mu.Unlock()
	if diff := cmp.Diff(map[string]bool{"a7": true}, w.adapters); diff != "" {
		t.Error(diff)
	}
}

func TestInstancesShareOneLeaderAndItsReads(t *testing.T) {
	store, address, w := newStoreWithWorker(t)
	a, b := startInstance(t, "a", address), startInstance(t, "b", address)
	eventually(t, "both serve", func() bool { return a.serves("k1", "a1") && b.serves("k1", "a2") })
	w.mu.Lock()
	if diff := cmp.Diff(1, len(w.holders)); diff != "" {
		t.Errorf("holders: %s", diff)
	}
	w.mu.Unlock()
	store.Put(platform.OperatorTopic, platform.PolicyKey, fmt.Appendf(nil, policy, 2, "k2"))
	startedAt := time.Now()
	eventually(t, "both accept the new key", func() bool { return a.serves("k2", "a1") && b.serves("k2", "a2") })
	if elapsed := time.Since(startedAt); elapsed > 2*time.Second {
		t.Errorf("active after %s, want at most 2 s", elapsed)
	}
	for _, i := range []*instance{a, b} {
		if status, _, err := i.send("r", "k1", "a1"); status != http.StatusUnauthorized {
			t.Errorf("withdrawn key: status %d, %v", status, err)
		}
	}
	// The leader reads both topics, about four times a second together. The other
	// instance reads neither.
	before := store.CallCount("/api/log-read")
	time.Sleep(2 * time.Second)
	if calls := store.CallCount("/api/log-read") - before; calls > 12 {
		t.Errorf("%d reads of the store in 2 s, want at most 12", calls)
	}
}

// A planned stop must not cut a response that is still streaming. The
// response takes longer than the load balancer needs to remove the instance, but
// less than the stop time.
func TestAPlannedStopCutsNoStreamingResponse(t *testing.T) {
	_, address, w := newStoreWithWorker(t)
	a := startInstance(t, "a", address)
	eventually(t, "serves", func() bool { return a.serves("k1", "a1") })
	w.mu.Lock()
	// 20 events at 200 ms take 4 s.
	w.eventCount, w.eventInterval = 20, 200*time.Millisecond
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
	if err := <-a.done; err != nil {
		t.Error(err)
	}
}

func TestAnotherInstanceLeadsAfterAPlannedStop(t *testing.T) {
	_, address, w := newStoreWithWorker(t)
	a := startInstance(t, "a", address)
	eventually(t, "a leads", func() bool { return a.serves("k1", "a1") })
	b := startInstance(t, "b", address)
	eventually(t, "b serves", func() bool { return b.serves("k1", "a1") })
	a.stopAndWait(t)
	eventually(t, "b loads a new adapter", func() bool { return b.serves("k1", "a2") })
	w.mu.Lock()
	defer w.mu.Unlock()
	if diff := cmp.Diff(2, len(w.holders)); diff != "" {
		t.Errorf("holders: %s", diff)
	}
}

// An instance that leads must keep its leadership over a planned restart. If
// another instance took over, it would wait for the handover time before its first
// order, and requests for adapters not yet loaded would be refused meanwhile.
func TestALeaderKeepsLeadershipOverAPlannedRestart(t *testing.T) {
	_, address, w := newStoreWithWorker(t)
	config := newConfig(t, "a", address)
	config.Bounds.OrderTurn = 4 * time.Second
	a := start(t, config)
	eventually(t, "a leads", func() bool { return a.serves("k1", "a1") })
	b := startInstance(t, "b", address)
	eventually(t, "b serves", func() bool { return b.serves("k1", "a1") })
	a.stopAndWait(t)
	startedAt := time.Now()
	a = start(t, config)
	eventually(t, "a loads a new adapter", func() bool { return a.serves("k1", "a2") })
	if elapsed := time.Since(startedAt); elapsed > 3*time.Second {
		t.Errorf("first order after %s, want at most 3 s", elapsed)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if diff := cmp.Diff(1, len(w.holders)); diff != "" {
		t.Errorf("holders: %s", diff)
	}
}

// storeProxy is a proxy between one instance and the store. It counts the reads,
// and can refuse all calls of this instance while others still reach the store.
type storeProxy struct {
	store    *standin.Store
	refusing atomic.Bool
	// noGroups refuses the group service, so that the instance finds no leader.
	noGroups atomic.Bool
	reads    atomic.Int64
}

func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/log-read" || r.URL.Path == "/api/log-newest" {
		p.reads.Add(1)
	}
	isGroup := r.URL.Path == "/api/log-owners" || r.URL.Path == "/api/log-join"
	if p.refusing.Load() || p.noGroups.Load() && isGroup {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.store.ServeHTTP(w, r)
}

// startWithStoreProxy starts an instance of a domain that reaches the store
// through its own proxy.
func startWithStoreProxy(t *testing.T, name, domain string, store *standin.Store) (*instance, *storeProxy) {
	proxy := &storeProxy{
		store: store,
	}
	server := httptest.NewServer(proxy)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	config := newConfig(t, name, strings.TrimPrefix(server.URL, "http://"))
	config.Domain = domain
	config.Domains = []string{"north", "south"}
	return start(t, config), proxy
}

// When the store refuses the calls of one domain's leader, the instances of that
// domain must get the records from another domain's leader. Otherwise all of them
// read both topics themselves, which came to 800 calls in 7 s.
func TestAnotherDomainsLeaderRelaysWhenADomainsLeaderCannotRead(t *testing.T) {
	store, _, _ := newStoreWithWorker(t)
	a, proxyOfA := startWithStoreProxy(t, "a", "north", store)
	eventually(t, "a leads the north", func() bool { return a.serves("k1", "a1") })
	b, _ := startWithStoreProxy(t, "b", "south", store)
	eventually(t, "b is ready", b.ready)
	c, proxyOfC := startWithStoreProxy(t, "c", "north", store)
	eventually(t, "c serves", func() bool { return c.serves("k1", "a1") })
	// Wait until c knows both leaders, which takes one of their polls of the group
	// service.
	time.Sleep(6 * time.Second)
	proxyOfA.refusing.Store(true)
	time.Sleep(2 * time.Second)
	before := proxyOfC.reads.Load()
	store.Put(platform.OperatorTopic, platform.PolicyKey, fmt.Appendf(nil, policy, 2, "k2"))
	startedAt := time.Now()
	eventually(t, "c accepts the new key", func() bool { return c.serves("k2", "a1") })
	if elapsed := time.Since(startedAt); elapsed > 2*time.Second {
		t.Errorf("active after %s, want at most 2 s", elapsed)
	}
	eventually(t, "a accepts the new key", func() bool { return a.serves("k2", "a1") })
	time.Sleep(2 * time.Second)
	if reads := proxyOfC.reads.Load() - before; reads > 4 {
		t.Errorf("c read the store %d times, want at most 4", reads)
	}
}

func TestServingGoesOnWithoutTheStore(t *testing.T) {
	scenarios := []struct {
		name   string
		silent bool
	}{
		{name: "the store refuses calls"},
		{name: "the store does not respond", silent: true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			store, address, w := newStoreWithWorker(t)
			a := startInstance(t, "a", address)
			eventually(t, "serves", func() bool { return a.serves("k1", "a1") })
			store.SetDown(true, scenario.silent)
			time.Sleep(3 * time.Second)
			if !a.serves("k1", "a1") || !a.ready() {
				t.Error("the instance does not serve, or is not ready, while the store is down")
			}
			store.Put(platform.ServerTopic, w.id, w.entry("draining"))
			store.SetDown(false, false)
			eventually(t, "the draining worker gets no more requests", func() bool {
				status, _, _ := a.send("r", "k1", "a1")
				return status == http.StatusServiceUnavailable
			})
		})
	}
}

// At a planned stop, a connection that a caller keeps open must be closed with its
// next response, so that the caller connects to another instance.
func TestAnIdleConnectionIsClosedAfterItsNextResponseAtAStop(t *testing.T) {
	_, address, _ := newStoreWithWorker(t)
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
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if diff := cmp.Diff([]any{http.StatusNotFound, true}, []any{response.StatusCode, response.Close}); diff != "" {
		t.Error(diff)
	}
}
