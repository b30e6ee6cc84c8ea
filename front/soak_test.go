package front_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

// The soak test injects random faults into a fleet of complete fronts. Its size, its
// length and its seed can be set:
//
//	POMELOSPRING_SOAK="fronts=60 workers=60 seconds=300 seed=7" go test ./front -run Soak -timeout 20m -v
const soakVariable = "POMELOSPRING_SOAK"

const (
	soakSlots    = 8
	soakLoadTime = 100 * time.Millisecond
	// soakHandoverTime is how long after an order from one holder a worker must
	// not get an order from another.
	soakHandoverTime = 3 * time.Second
	// soakRecoveryTime is how long the fleet may take to recover after the last
	// fault.
	soakRecoveryTime = 12 * time.Second
)

// soakPlan holds the size, the length and the seed of a soak test.
type soakPlan struct {
	fronts  int
	workers int
	length  time.Duration
	seed    uint64
}

func readSoakPlan(t *testing.T) soakPlan {
	plan := soakPlan{
		fronts:  9,
		workers: 6,
		length:  15 * time.Second,
		seed:    1,
	}
	for _, option := range strings.Fields(os.Getenv(soakVariable)) {
		name, value, _ := strings.Cut(option, "=")
		number, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("%s: %q must be of the form name=number", soakVariable, option)
		}
		switch name {
		case "fronts":
			plan.fronts = number
		case "workers":
			plan.workers = number
		case "seconds":
			plan.length = time.Duration(number) * time.Second
		case "seed":
			plan.seed = uint64(number)
		default:
			t.Fatalf("%s: unknown option %q", soakVariable, name)
		}
	}
	return plan
}

// recorder collects violated invariants, and counts the executions of each request.
type recorder struct {
	mu         sync.Mutex
	violations []string
	executions map[string]int
}

func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *recorder) addExecution(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[id]++
}

// soakWorker is a model worker that checks the invariants of the orders it gets.
type soakWorker struct {
	recorder *recorder
	domain   string
	server   *httptest.Server

	mu           sync.Mutex
	id           string
	incarnations int
	born         time.Time
	sequence     int64
	readyAt      map[string]time.Time
	holder       string
	orderedAt    time.Time
}

func newSoakWorker(t *testing.T, r *recorder, number int, domain string) *soakWorker {
	w := &soakWorker{
		recorder: r,
		domain:   domain,
		id:       fmt.Sprintf("i-%d", number),
	}
	w.server = httptest.NewServer(w)
	t.Cleanup(func() {
		w.server.CloseClientConnections()
		w.server.Close()
	})
	return w
}

// startIncarnation starts a new incarnation of the worker, without adapters or
// earlier orders, and replaces the former one in the server list.
func (w *soakWorker) startIncarnation(store *standin.Store) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.id
	if w.incarnations > 0 {
		w.id, _, _ = strings.Cut(w.id, ".")
		w.id += "." + strconv.Itoa(w.incarnations)
		store.Put(platform.ServerTopic, previous, nil)
	}
	w.incarnations++
	w.born = time.Now()
	w.sequence = 0
	w.readyAt = map[string]time.Time{}
	store.Put(platform.ServerTopic, w.id, fmt.Appendf(nil,
		`{"service":"llm","address":%q,"zone":%q,"slots":8,"state":"ready","born":%d,"models":[{"name":"m","version":1,"adapters":[]}],"seq":0}`,
		strings.TrimPrefix(w.server.URL, "http://"), w.domain, w.born.UnixMilli()))
}

func (w *soakWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case standin.PathReport:
		w.report(out)
	case standin.PathOrder:
		w.order(out, r)
	default:
		w.execute(out, r)
	}
}

// report answers with the adapters that are resident and those that are loading.
func (w *soakWorker) report(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	resident, loading := []string{}, []string{}
	for name, at := range w.readyAt {
		if time.Now().Before(at) {
			loading = append(loading, "m/"+name+"@1")
		} else {
			resident = append(resident, name+"@1")
		}
	}
	_ = json.NewEncoder(out).Encode(map[string]any{
		"born":    w.born.UnixMilli(),
		"seq":     w.sequence,
		"models":  []any{map[string]any{"name": "m", "version": 1, "adapters": resident}},
		"loading": loading,
	})
}

// order executes an order. It records a violation if another holder gave an order
// less than the handover time ago, or if the adapters exceed the slots.
func (w *soakWorker) order(out http.ResponseWriter, r *http.Request) {
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
	if expected := r.Header.Get(standin.HeaderExpectServer); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	if w.holder != order.Holder && now.Sub(w.orderedAt) < soakHandoverTime {
		w.recorder.addViolation("%s got an order from %s, %s after one from %s", w.id, order.Holder, now.Sub(w.orderedAt), w.holder)
	}
	w.holder, w.orderedAt = order.Holder, now
	if order.Expect != w.sequence {
		out.WriteHeader(http.StatusConflict)
		return
	}
	w.sequence++
	if order.Opcode == "model_unload" {
		delete(w.readyAt, order.Adapter)
		return
	}
	if _, resident := w.readyAt[order.Adapter]; !resident {
		w.readyAt[order.Adapter] = now.Add(soakLoadTime)
	}
	if len(w.readyAt) > soakSlots {
		w.recorder.addViolation("%s has %d adapters resident or loading", w.id, len(w.readyAt))
	}
	out.WriteHeader(http.StatusAccepted)
}

// execute executes a request, or rejects it as not executed if its adapter is not
// resident or the request is for another incarnation.
func (w *soakWorker) execute(out http.ResponseWriter, r *http.Request) {
	_, adapter, _ := strings.Cut(r.Header.Get(standin.HeaderAdapter), "/")
	id := r.Header.Get(standin.HeaderRequestID)
	w.mu.Lock()
	at, resident := w.readyAt[adapter]
	expected := r.Header.Get(standin.HeaderExpectServer)
	accepted := resident && !time.Now().Before(at) && expected == w.id
	w.mu.Unlock()
	if !accepted {
		out.Header().Set(standin.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.recorder.addExecution(id)
	out.Header().Set(standin.HeaderStamp, w.id)
	out.Header().Set(standin.HeaderRequestID, id)
	for i := range 3 {
		fmt.Fprintf(out, "id: %d\ndata: %s %s\n\n", i+1, adapter, id)
		_ = http.NewResponseController(out).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// soak is a fleet of fronts and workers, with the results of a soak test.
type soak struct {
	t        *testing.T
	plan     soakPlan
	store    *standin.Store
	recorder *recorder
	workers  []*soakWorker

	mu        sync.Mutex
	instances []*instance
	proxies   []*storeProxy

	served  map[int]int
	refused map[string]int
	version int
}

var soakDomains = []string{"east", "north", "south"}

func newSoak(t *testing.T, plan soakPlan) *soak {
	s := &soak{
		t:        t,
		plan:     plan,
		store:    standin.NewStore(),
		recorder: &recorder{executions: map[string]int{}},
		served:   map[int]int{},
		refused:  map[string]int{},
	}
	s.publishPolicy()
	for i := range plan.workers {
		w := newSoakWorker(t, s.recorder, i, soakDomains[i%len(soakDomains)])
		w.startIncarnation(s.store)
		s.workers = append(s.workers, w)
	}
	for i := range plan.fronts {
		a, proxy := s.startFront(i)
		s.instances = append(s.instances, a)
		s.proxies = append(s.proxies, proxy)
	}
	return s
}

// publishPolicy publishes a new version of the policy.
func (s *soak) publishPolicy() {
	s.version++
	s.store.Put(platform.OperatorTopic, platform.PolicyKey, fmt.Appendf(nil, policy, s.version, "k1"))
}

// startFront starts a front with its own proxy to the store.
func (s *soak) startFront(number int) (*instance, *storeProxy) {
	proxy := &storeProxy{
		store: s.store,
	}
	server := httptest.NewServer(proxy)
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	config := newConfig(s.t, fmt.Sprint("front-", number), strings.TrimPrefix(server.URL, "http://"))
	config.Domain = soakDomains[number%len(soakDomains)]
	config.Domains = soakDomains
	config.Bounds.OrderTurn = soakHandoverTime
	return start(s.t, config), proxy
}

// sendRequest sends one request and checks its response. It records a violation if
// a request that was executed is refused or cut off, or got a wrong response.
func (s *soak) sendRequest(front int, id, adapter string) (ok bool) {
	s.mu.Lock()
	a := s.instances[front]
	s.mu.Unlock()
	status, body, err := a.send(id, "k1", adapter)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		// A request may fail because its front is restarting or is just closing
		// the connection, but only if it was not executed.
		s.refused["no answer"]++
		s.recorder.mu.Lock()
		executions := s.recorder.executions[id]
		s.recorder.mu.Unlock()
		if executions > 0 {
			s.recorder.addViolation("request %s was executed and its response was cut off: %v", id, err)
		}
	case status == http.StatusOK:
		s.served[front]++
		if strings.Count(body, "data: "+adapter+" "+id+"\n") != 3 {
			s.recorder.addViolation("request %s for %s got %q", id, adapter, body)
		}
		return true
	default:
		s.refused[strconv.Itoa(status)]++
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			s.recorder.mu.Lock()
			executions := s.recorder.executions[id]
			s.recorder.mu.Unlock()
			if executions > 0 {
				s.recorder.addViolation("request %s was refused with %d but was executed", id, status)
			}
		}
	}
	return false
}

// sendLoad sends requests to all fronts in the background until stop is closed.
func (s *soak) sendLoad(stop <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for front := range s.plan.fronts {
		group.Go(func() {
			random := rand.New(rand.NewPCG(s.plan.seed, uint64(front)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.ExpFloat64() * float64(200*time.Millisecond))):
				}
				adapter := fmt.Sprint("a", int(random.ExpFloat64()*float64(4*s.plan.workers)))
				s.sendRequest(front, fmt.Sprintf("f%d-%d", front, n), adapter)
			}
		})
	}
	return &group
}

// injectFault injects one random fault. It waits for the restart of a front;
// other faults end in the background.
func (s *soak) injectFault(random *rand.Rand) {
	front := random.IntN(s.plan.fronts)
	duration := time.Duration(random.IntN(5000)) * time.Millisecond
	switch random.IntN(6) {
	case 0:
		s.proxies[front].refusing.Store(true)
		time.AfterFunc(duration, func() { s.proxies[front].refusing.Store(false) })
	case 1:
		silent := random.IntN(2) == 0
		s.store.SetDown(true, silent)
		time.AfterFunc(duration, func() { s.store.SetDown(false, false) })
	case 2:
		s.store.SetDelay(300 * time.Millisecond)
		time.AfterFunc(duration, func() { s.store.SetDelay(0) })
	case 3:
		s.restart(front)
	case 4:
		s.workers[random.IntN(len(s.workers))].startIncarnation(s.store)
	default:
		s.publishPolicy()
	}
}

// restart does a planned restart of a front at the same addresses.
func (s *soak) restart(front int) {
	s.mu.Lock()
	previous := s.instances[front]
	s.mu.Unlock()
	previous.stopAndWait(s.t)
	next := start(s.t, previous.config)
	s.mu.Lock()
	s.instances[front] = next
	s.mu.Unlock()
}

func TestSoak(t *testing.T) {
	plan := readSoakPlan(t)
	t.Logf("%+v", plan)
	s := newSoak(t, plan)
	eventually(t, "all fronts are ready", func() bool {
		for _, a := range s.instances {
			if !a.ready() {
				return false
			}
		}
		return true
	})
	stop := make(chan struct{})
	group := s.sendLoad(stop)
	random := rand.New(rand.NewPCG(plan.seed, 1<<32))
	for deadline := time.Now().Add(plan.length); time.Now().Before(deadline); {
		s.injectFault(random)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	s.store.SetDelay(0)
	s.store.SetDown(false, false)
	for _, proxy := range s.proxies {
		proxy.refusing.Store(false)
	}
	time.Sleep(soakRecoveryTime)
	close(stop)
	group.Wait()
	for front := range plan.fronts {
		n := 0
		eventually(t, fmt.Sprintf("front %d serves a new adapter", front), func() bool {
			n++
			return s.sendRequest(front, fmt.Sprintf("last-%d-%d", front, n), fmt.Sprint("new", front))
		})
	}
	s.report()
}

// report logs the results and fails the test for each violation.
func (s *soak) report() {
	served := 0
	for _, count := range s.served {
		served += count
	}
	s.t.Logf("served %d, refused or failed: %v", served, s.refused)
	for _, text := range s.recorder.violations {
		s.t.Error(text)
	}
	for id, executions := range s.recorder.executions {
		if executions > 1 {
			s.t.Errorf("request %s was executed %d times", id, executions)
		}
	}
	if served == 0 {
		s.t.Error("no request was served")
	}
}
