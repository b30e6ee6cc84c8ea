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

// The soak plays faults at random on a fleet of whole fronts. Its size and
// length can be set, as the seed can:
//
//	POMELOSPRING_SOAK="fronts=60 workers=60 seconds=300 seed=7" go test ./front -run Soak -timeout 20m -v
const soakVariable = "POMELOSPRING_SOAK"

const (
	soakSlots    = 8
	soakLoadTime = 100 * time.Millisecond
	// soakTurn is how long no worker may be ordered by another holder.
	soakTurn = 3 * time.Second
	// soakCalm is the time without faults after which everything is served.
	soakCalm = 12 * time.Second
)

// soakPlan is what a soak plays.
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
	for _, word := range strings.Fields(os.Getenv(soakVariable)) {
		name, value, _ := strings.Cut(word, "=")
		number, err := strconv.Atoi(value)
		if err != nil {
			t.Fatalf("%s: %q is not name=number", soakVariable, word)
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
			t.Fatalf("%s: there is no %q", soakVariable, name)
		}
	}
	return plan
}

// judge collects what must never happen, and what ran.
type judge struct {
	mu     sync.Mutex
	broken []string
	runs   map[string]int
}

func (j *judge) breaks(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

func (j *judge) ran(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
}

// soakWorker is a model worker that judges its orders.
type soakWorker struct {
	judge  *judge
	domain string
	server *httptest.Server

	mu        sync.Mutex
	id        string
	starts    int
	born      time.Time
	sequence  int64
	ready     map[string]time.Time
	holder    string
	orderedAt time.Time
}

func newSoakWorker(t *testing.T, j *judge, number int, domain string) *soakWorker {
	w := &soakWorker{
		judge:  j,
		domain: domain,
		id:     fmt.Sprintf("i-%d", number),
	}
	w.server = httptest.NewServer(w)
	t.Cleanup(func() {
		w.server.CloseClientConnections()
		w.server.Close()
	})
	return w
}

// begin starts an incarnation that holds nothing and knows nothing, and lists it.
func (w *soakWorker) begin(store *standin.Store) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.id
	if w.starts > 0 {
		w.id, _, _ = strings.Cut(w.id, ".")
		w.id += "." + strconv.Itoa(w.starts)
		store.Put(platform.ServerTopic, before, nil)
	}
	w.starts++
	w.born = time.Now()
	w.sequence = 0
	w.ready = map[string]time.Time{}
	store.Put(platform.ServerTopic, w.id, fmt.Appendf(nil,
		`{"service":"llm","address":%q,"zone":%q,"slots":8,"state":"ready","born":%d,"models":[{"name":"m","version":1,"adapters":[]}],"seq":0}`,
		strings.TrimPrefix(w.server.URL, "http://"), w.domain, w.born.UnixMilli()))
}

func (w *soakWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		w.report(out)
	case "/api/order":
		w.order(out, r)
	default:
		w.run(out, r)
	}
}

func (w *soakWorker) report(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held, loading := []string{}, []string{}
	for name, at := range w.ready {
		if time.Now().Before(at) {
			loading = append(loading, "m/"+name+"@1")
		} else {
			held = append(held, name+"@1")
		}
	}
	_ = json.NewEncoder(out).Encode(map[string]any{
		"born":    w.born.UnixMilli(),
		"seq":     w.sequence,
		"models":  []any{map[string]any{"name": "m", "version": 1, "adapters": held}},
		"loading": loading,
	})
}

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
	if expected := r.Header.Get("X-Pomelospring-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	if w.holder != order.Holder && now.Sub(w.orderedAt) < soakTurn {
		w.judge.breaks("%s ordered by %s, %s after %s", w.id, order.Holder, now.Sub(w.orderedAt), w.holder)
	}
	w.holder, w.orderedAt = order.Holder, now
	if order.Expect != w.sequence {
		out.WriteHeader(http.StatusConflict)
		return
	}
	w.sequence++
	if order.Opcode == "model_unload" {
		delete(w.ready, order.Adapter)
		return
	}
	if _, held := w.ready[order.Adapter]; !held {
		w.ready[order.Adapter] = now.Add(soakLoadTime)
	}
	if len(w.ready) > soakSlots {
		w.judge.breaks("%s holds %d adapters", w.id, len(w.ready))
	}
	out.WriteHeader(http.StatusAccepted)
}

func (w *soakWorker) run(out http.ResponseWriter, r *http.Request) {
	_, adapter, _ := strings.Cut(r.Header.Get("X-Pomelospring-Model-Id"), "/")
	id := r.Header.Get(request)
	w.mu.Lock()
	at, held := w.ready[adapter]
	expected := r.Header.Get("X-Pomelospring-Expect-Instance")
	fits := held && !time.Now().Before(at) && expected == w.id
	w.mu.Unlock()
	if !fits {
		out.Header().Set("X-Pomelospring-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.judge.ran(id)
	out.Header().Set(stamp, w.id)
	out.Header().Set(request, id)
	for i := range 3 {
		fmt.Fprintf(out, "id: %d\ndata: %s %s\n\n", i+1, adapter, id)
		_ = http.NewResponseController(out).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// soak is a fleet under faults.
type soak struct {
	t       *testing.T
	plan    soakPlan
	store   *standin.Store
	judge   *judge
	workers []*soakWorker

	mu        sync.Mutex
	instances []*instance
	gates     []*gate

	served  map[int]int
	refused map[string]int
	version int
}

var soakDomains = []string{"east", "north", "south"}

func newSoak(t *testing.T, plan soakPlan) *soak {
	s := &soak{
		t:       t,
		plan:    plan,
		store:   standin.NewStore(),
		judge:   &judge{runs: map[string]int{}},
		served:  map[int]int{},
		refused: map[string]int{},
	}
	s.configure()
	for i := range plan.workers {
		w := newSoakWorker(t, s.judge, i, soakDomains[i%len(soakDomains)])
		w.begin(s.store)
		s.workers = append(s.workers, w)
	}
	for i := range plan.fronts {
		a, g := s.launch(i)
		s.instances = append(s.instances, a)
		s.gates = append(s.gates, g)
	}
	return s
}

func (s *soak) configure() {
	s.version++
	s.store.Put(platform.OperatorTopic, platform.PolicyKey, fmt.Appendf(nil, policy, s.version, "k1"))
}

func (s *soak) launch(number int) (*instance, *gate) {
	g := &gate{
		store: s.store,
	}
	server := httptest.NewServer(g)
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	config := newConfig(s.t, fmt.Sprint("front-", number), strings.TrimPrefix(server.URL, "http://"))
	config.Domain = soakDomains[number%len(soakDomains)]
	config.Domains = soakDomains
	config.Bounds.OrderTurn = soakTurn
	return start(s.t, config), g
}

// call sends one request and judges its answer.
func (s *soak) call(front int, id, adapter string) (ok bool) {
	s.mu.Lock()
	a := s.instances[front]
	s.mu.Unlock()
	status, body, err := a.send(id, "k1", adapter)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		// A call may meet a front that is between two starts, or cross the end
		// of a kept connection; one that has run may not.
		s.refused["no answer"]++
		s.judge.mu.Lock()
		runs := s.judge.runs[id]
		s.judge.mu.Unlock()
		if runs > 0 {
			s.judge.breaks("request %s has run and its answer was cut: %v", id, err)
		}
	case status == http.StatusOK:
		s.served[front]++
		if strings.Count(body, "data: "+adapter+" "+id+"\n") != 3 {
			s.judge.breaks("request %s for %s got %q", id, adapter, body)
		}
		return true
	default:
		s.refused[strconv.Itoa(status)]++
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			s.judge.mu.Lock()
			runs := s.judge.runs[id]
			s.judge.mu.Unlock()
			if runs > 0 {
				s.judge.breaks("request %s was refused with %d and has run", id, status)
			}
		}
	}
	return false
}

// load sends requests to all fronts until stop is closed.
func (s *soak) load(stop <-chan struct{}) *sync.WaitGroup {
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
				s.call(front, fmt.Sprintf("f%d-%d", front, n), adapter)
			}
		})
	}
	return &group
}

// fault plays one fault drawn at random and returns once it is over or under way.
func (s *soak) fault(random *rand.Rand) {
	front := random.IntN(s.plan.fronts)
	lasts := time.Duration(random.IntN(5000)) * time.Millisecond
	switch random.IntN(6) {
	case 0:
		s.gates[front].closed.Store(true)
		time.AfterFunc(lasts, func() { s.gates[front].closed.Store(false) })
	case 1:
		silent := random.IntN(2) == 0
		s.store.SetDown(true, silent)
		time.AfterFunc(lasts, func() { s.store.SetDown(false, false) })
	case 2:
		s.store.SetDelay(300 * time.Millisecond)
		time.AfterFunc(lasts, func() { s.store.SetDelay(0) })
	case 3:
		s.restart(front)
	case 4:
		s.workers[random.IntN(len(s.workers))].begin(s.store)
	default:
		s.configure()
	}
}

// restart stops a front as planned and starts it again at its addresses.
func (s *soak) restart(front int) {
	s.mu.Lock()
	before := s.instances[front]
	s.mu.Unlock()
	before.end(s.t)
	next := start(s.t, before.config)
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
	group := s.load(stop)
	random := rand.New(rand.NewPCG(plan.seed, 1<<32))
	for until := time.Now().Add(plan.length); time.Now().Before(until); {
		s.fault(random)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	s.store.SetDelay(0)
	s.store.SetDown(false, false)
	for _, g := range s.gates {
		g.closed.Store(false)
	}
	time.Sleep(soakCalm)
	close(stop)
	group.Wait()
	for front := range plan.fronts {
		n := 0
		eventually(t, fmt.Sprintf("front %d serves a new adapter", front), func() bool {
			n++
			return s.call(front, fmt.Sprintf("last-%d-%d", front, n), fmt.Sprint("new", front))
		})
	}
	s.report()
}

func (s *soak) report() {
	served := 0
	for _, count := range s.served {
		served += count
	}
	s.t.Logf("served %d, refused or failed: %v", served, s.refused)
	for _, text := range s.judge.broken {
		s.t.Error(text)
	}
	for id, runs := range s.judge.runs {
		if runs > 1 {
			s.t.Errorf("request %s has run %d times", id, runs)
		}
	}
	if served == 0 {
		s.t.Error("nothing was served")
	}
}
