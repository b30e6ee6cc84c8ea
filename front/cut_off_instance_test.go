package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/front"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	cutPolicy = `{"version":1,"routes":[
	{"name":"proof","host":"shop.example","path-prefix":"/proof/","kind":"streaming","resumable":true,"timeout-ms":8000,"target-latency-ms":1000,"gap-target-ms":250,"service":"llm","max-attempts":2},
	{"name":"lookup","host":"shop.example","path-prefix":"/lookup/","kind":"safe","timeout-ms":4000,"target-latency-ms":300,"service":"app","max-attempts":2},
	{"name":"order","host":"shop.example","path-prefix":"/order/","kind":"non_idempotent","timeout-ms":4000,"target-latency-ms":300,"service":"app","max-attempts":1}],
	"services":[{"name":"app"},{"name":"llm","engine":{"adapter-slots":8,"loads-per-s":20,"models":[{"name":"m","load-s":1}]}}],
	"limits":{"max-body-bytes":1000000},
	"tenants":[{"name":"shop","api-keys":["k1"],"unit":"tokens","plain-tokens":1,"rate-per-s":1000000,"burst":1000000}]}`

	// cutStable is the time from the beginning of a cut after which the callers of all
	// instances are owed the same, and cutRecovery that from its end until no trace is left.
	cutStable   = 3 * time.Second
	cutRecovery = 4 * time.Second
	// leastCutServed is the part of the others' rate of calls served at the first try that
	// instances which are cut off must reach.
	leastCutServed = 2.0 / 3
	// cutCallInterval is the time between the calls of one kind at one instance.
	cutCallInterval = 60 * time.Millisecond
	// cutFleetsAtOnce is how many fleets are played side by side.
	cutFleetsAtOnce = 3
)

// cutKind is how the links from an instance to its servers fail.
type cutKind string

const (
	cutNone   cutKind = ""
	cutReset  cutKind = "reset"
	cutHang   cutKind = "hang"
	cutRefuse cutKind = "refuse"
	cutOneWay cutKind = "one way"
)

// links are the links from one instance to the servers.
type links struct {
	mu sync.Mutex
	// kind applies to connections to addresses in cut, or to all if that is nil.
	kind  cutKind
	cut   map[string]bool
	conns map[*link]bool
}

// link is one connection to a server.
type link struct {
	net.Conn
	links   *links
	address string
	closed  chan struct{}
	once    sync.Once
}

func newLinks() *links { return &links{conns: map[*link]bool{}} }

// stateOf returns how the links to an address fail.
func (l *links) stateOf(address string) cutKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut != nil && !l.cut[address] {
		return cutNone
	}
	return l.kind
}

// fail lets the links to some servers, or to all for nil, fail from now on.
func (l *links) fail(kind cutKind, addresses map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind, l.cut = kind, addresses
	for conn := range l.conns {
		if kind == cutReset && (addresses == nil || addresses[conn.address]) {
			_ = conn.Conn.Close()
		}
	}
}

func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.stateOf(address) {
	case cutNone:
	case cutReset, cutRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case cutHang, cutOneWay:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	wrapped := &link{Conn: conn, links: l, address: address, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[wrapped] = true
	return wrapped, nil
}

func (l *link) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.links.mu.Lock()
	delete(l.links.conns, l)
	l.links.mu.Unlock()
	return l.Conn.Close()
}

// await returns once the connection passes bytes, or is closed.
func (l *link) await(kinds ...cutKind) {
	for {
		state := l.links.stateOf(l.address)
		held := false
		for _, kind := range kinds {
			held = held || state == kind
		}
		if !held {
			return
		}
		select {
		case <-l.closed:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (l *link) Read(p []byte) (n int, err error) {
	n, err = l.Conn.Read(p)
	l.await(cutHang, cutOneWay)
	return n, err
}

func (l *link) Write(p []byte) (n int, err error) {
	// Bytes that can't leave wait in the buffer of the connection.
	if l.links.stateOf(l.address) == cutHang {
		l.await(cutHang)
	}
	return l.Conn.Write(p)
}

// cutFleet is a fleet of instances, each with links of its own to all servers.
type cutFleet struct {
	store     *standin.Store
	instances []*instance
	links     []*links
	models    []*worker
	plain     []*worker
	// prefix begins the IDs of the load's calls.
	prefix string
}

func newCutFleet(t *testing.T, instances int) *cutFleet {
	f := &cutFleet{store: standin.NewStore()}
	server := httptest.NewServer(f.store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.store.Put(platform.OperatorTopic, platform.PolicyKey, []byte(cutPolicy))
	for n := range 3 {
		w := newWorker(t, fmt.Sprintf("m-%d", n))
		w.eventCount, w.eventInterval = 4, 20*time.Millisecond
		f.models = append(f.models, w)
		p := newWorker(t, fmt.Sprintf("p-%d", n))
		p.service = "app"
		f.plain = append(f.plain, p)
		f.store.Put(platform.ServerTopic, w.id, w.entry("ready"))
		f.store.Put(platform.ServerTopic, p.id, p.entry("ready"))
	}
	for n := range instances {
		f.add(t, fmt.Sprintf("front-%d", n), strings.TrimPrefix(server.URL, "http://"))
	}
	for _, i := range f.instances {
		eventually(t, "ready", i.ready)
		for n := range 4 {
			eventually(t, "serves", func() bool {
				status, _, err := i.send(fmt.Sprint("probe-", i.config.Name, n, time.Now().UnixNano()), "k1", fmt.Sprintf("a%d", n))
				return err == nil && status == http.StatusOK
			})
		}
	}
	return f
}

// add starts an instance.
func (f *cutFleet) add(t *testing.T, name, store string) {
	l := newLinks()
	f.instances = append(f.instances, startPrepared(t, newConfig(t, name, store), func(instance *front.Front) { instance.Dial = l.dial }))
	f.links = append(f.links, l)
}

// cut lets the links of the first instances fail, those to the first servers of each
// service or to all for nil.
func (f *cutFleet) cut(kind cutKind, instances int, addresses map[string]bool) {
	for _, l := range f.links[:instances] {
		l.fail(kind, addresses)
	}
}

// firstServers returns the addresses of the first servers of each service.
func (f *cutFleet) firstServers(count int) map[string]bool {
	addresses := map[string]bool{}
	for _, w := range append(f.models[:count:count], f.plain[:count]...) {
		addresses[strings.TrimPrefix(w.server.URL, "http://")] = true
	}
	return addresses
}

// cutCall is one call, as its caller saw it.
type cutCall struct {
	instance int
	at       time.Time
	path     string
	id       string
	whole    bool
	status   int
}

// send sends a call and reads its answer. A stream is whole with all of its events.
func (f *cutFleet) send(instance int, path, id string, adapter int) (call cutCall) {
	call = cutCall{instance: instance, at: time.Now(), path: path, id: id}
	request, err := http.NewRequest(http.MethodPost, "http://"+f.instances[instance].config.Listen.Callers+path+"1", strings.NewReader("body"))
	if err != nil {
		return call
	}
	request.Host = "shop.example"
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(standin.HeaderRequestID, id)
	request.Header.Set(standin.HeaderDeadline, "4000")
	if path == "/proof/" {
		request.Header.Set(standin.HeaderAdapter, fmt.Sprintf("m/a%d", adapter))
		request.Header.Set(standin.HeaderTokenCount, "100,10")
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return call
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	call.status = response.StatusCode
	call.whole = err == nil && response.StatusCode == http.StatusOK && strings.Contains(string(body), "id: 3\n")
	return call
}

// load sends calls of all kinds at all instances until the time is over, and returns what
// came of them.
func (f *cutFleet) load(duration time.Duration) <-chan []cutCall {
	done := make(chan []cutCall, 1)
	var mu sync.Mutex
	var calls []cutCall
	var group sync.WaitGroup
	start := time.Now()
	for instance := range f.instances {
		for kind, path := range []string{"/proof/", "/lookup/", "/order/"} {
			group.Go(func() {
				for n := 0; time.Since(start) < duration; n++ {
					group.Go(func() {
						call := f.send(instance, path, fmt.Sprintf("%sc-%d-%d-%d", f.prefix, instance, kind, n), n%4)
						mu.Lock()
						defer mu.Unlock()
						calls = append(calls, call)
					})
					time.Sleep(cutCallInterval)
				}
			})
		}
	}
	go func() {
		group.Wait()
		done <- calls
	}()
	return done
}

// servedParts returns the part of the calls sent in a time that were served whole, at the
// first instances and at the others.
func servedParts(calls []cutCall, cutOff int, path string, from, to time.Time) (cut, others float64) {
	var sent, served [2]float64
	for _, call := range calls {
		if call.at.Before(from) || call.at.After(to) || path != "" && call.path != path {
			continue
		}
		group := 1
		if call.instance < cutOff {
			group = 0
		}
		sent[group]++
		if call.whole {
			served[group]++
		}
	}
	return served[0] / max(1, sent[0]), served[1] / max(1, sent[1])
}

// executionsOf counts how often a server began to run a call.
func (f *cutFleet) executionsOf(id string) (count int) {
	for _, w := range append(f.models[:len(f.models):len(f.models)], f.plain...) {
		w.mu.Lock()
		count += w.executions[id]
		w.mu.Unlock()
	}
	return count
}

// checkPromises checks that no call ran more often than it may.
func (f *cutFleet) checkPromises(t *testing.T, calls []cutCall) {
	t.Helper()
	twice, refused := 0, 0
	for _, call := range calls {
		if call.path != "/order/" {
			continue
		}
		runs := f.executionsOf(call.id)
		if runs > 1 {
			twice++
		}
		if runs > 0 && (call.status == http.StatusServiceUnavailable || call.status == http.StatusTooManyRequests) {
			refused++
		}
	}
	if twice > 0 {
		t.Errorf("%d calls ran twice that may run once", twice)
	}
	if refused > 0 {
		t.Errorf("%d calls ran that were refused as not run", refused)
	}
}

// TestCallersOfInstancesCutOffFromServersAreRefused guards against instances that refuse
// calls because they don't reach the servers, while others do.
func TestCallersOfInstancesCutOffFromServersAreRefused(t *testing.T) {
	scenarios := []struct {
		name   string
		kind   cutKind
		cutOff int
		// servers is how many servers of each service are cut off; 0 for all.
		servers int
	}{
		{name: "reset, one of six", kind: cutReset, cutOff: 1},
		{name: "reset, four of six", kind: cutReset, cutOff: 4},
		{name: "hang, one of six", kind: cutHang, cutOff: 1},
		{name: "hang, four of six", kind: cutHang, cutOff: 4},
		{name: "new ones are refused, one of six", kind: cutRefuse, cutOff: 1},
		{name: "new ones are refused, four of six", kind: cutRefuse, cutOff: 4},
		{name: "one way, four of six", kind: cutOneWay, cutOff: 4},
		{name: "some servers, reset, four of six", kind: cutReset, cutOff: 4, servers: 2},
		{name: "some servers, hang, four of six", kind: cutHang, cutOff: 4, servers: 2},
	}
	places := make(chan struct{}, cutFleetsAtOnce)
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			f := newCutFleet(t, 6)
			const lead, cut = time.Second, 6 * time.Second
			done := f.load(lead + cut + cutRecovery + 2*time.Second)
			time.Sleep(lead)
			var addresses map[string]bool
			if scenario.servers > 0 {
				addresses = f.firstServers(scenario.servers)
			}
			began := time.Now()
			f.cut(scenario.kind, scenario.cutOff, addresses)
			time.Sleep(cut)
			ended := time.Now()
			f.cut(cutNone, scenario.cutOff, nil)
			calls := <-done
			for _, path := range []string{"/proof/", "/lookup/", "/order/"} {
				cutOff, others := servedParts(calls, scenario.cutOff, path, began.Add(cutStable), ended)
				t.Logf("%s: cut off %.2f, others %.2f", path, cutOff, others)
				if cutOff < leastCutServed*others || others < leastCutServed {
					t.Errorf("%s: %.2f of the calls are served at instances that are cut off, %.2f at the others", path, cutOff, others)
				}
			}
			cutOff, others := servedParts(calls, scenario.cutOff, "", ended.Add(cutRecovery), time.Now())
			t.Logf("after the cut: %.2f, others %.2f", cutOff, others)
			if cutOff < 1 || others < 1 {
				t.Errorf("%.2f and %.2f of the calls are served after the cut", cutOff, others)
			}
			f.checkPromises(t, calls)
		})
	}
}
