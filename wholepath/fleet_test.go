// Package wholepath runs the daemons as real processes against stand-ins in
// the test's own process, and judges them by what the stand-ins recorded.
package wholepath_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/caller"
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/operator"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	token     = "op-test"
	leaseTime = 2 * time.Second
	leased    = 6 * time.Second
	standing  = 60 * time.Second
)

var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "wholepath")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "pomelospringd")
	build := exec.Command("go", "build", "-o", binary, "../cmd/pomelospringd")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build the daemon: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// fleet is the stand-ins and the daemons of one test.
type fleet struct {
	t       *testing.T
	log     *standin.Log
	list    *standin.InstanceList
	weights *standin.WeightStore
	models  []*standin.ModelWorker
	orders  []*standin.ApplicationWorker
	daemons []*daemon
	// logs has one relay to the log for each failure domain.
	logs map[string]*relay
	// addresses of the model workers and application workers.
	modelAddresses []string
	orderAddresses []string
	listURL        string
	key            string
}

// daemon is one process.
type daemon struct {
	domain    string
	callers   string
	peers     string
	operators string
	process   *exec.Cmd
	output    *bytes.Buffer
	done      chan struct{}
}

// relay passes bytes to a target until it is cut.
type relay struct {
	address string
	target  string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{
		address: listener.Addr().String(),
		target:  target,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.pass(conn)
		}
	}()
	return r
}

func (r *relay) pass(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, err := net.Dial("tcp", r.target)
	if r.cut || err != nil {
		_ = conn.Close()
		return
	}
	r.conns = append(r.conns, conn, out)
	for _, pair := range [][2]net.Conn{{conn, out}, {out, conn}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].Close()
		}()
	}
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for _, conn := range r.conns {
		if cut {
			_ = conn.Close()
		}
	}
	r.conns = nil
}

// start makes a fleet with one model worker and one application worker for
// each failure domain and as many daemons as asked for in each.
func start(t *testing.T, perDomain int) *fleet {
	f := &fleet{
		t:       t,
		log:     standin.NewLog(time.Now, 0),
		list:    standin.NewInstanceList(time.Now),
		weights: standin.NewWeightStore(100 * time.Millisecond),
		logs:    map[string]*relay{},
	}
	logURL := f.serve(f.log.Handler())
	f.listURL = "http://" + f.serve(f.list.Handler())
	domains := []string{"a", "b", "c"}
	for _, domain := range domains {
		f.logs[domain] = newRelay(t, logURL)
		worker := standin.NewModelWorker("model-"+domain, 4, 5*time.Millisecond, f.weights)
		f.models = append(f.models, worker)
		f.modelAddresses = append(f.modelAddresses, f.serve(worker.Handler()))
		orders := standin.NewApplicationWorker("orders-"+domain, 5*time.Millisecond)
		f.orders = append(f.orders, orders)
		f.orderAddresses = append(f.orderAddresses, f.serve(orders.Handler()))
	}
	for _, domain := range domains {
		for range perDomain {
			f.daemons = append(f.daemons, f.launch(domain))
		}
	}
	f.configure(domains)
	return f
}

func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// nextPort counts up below the ports that outgoing connections use, so that
// none of those takes a port before the daemon listens there.
var nextPort = 20000 + os.Getpid()%1000*10

func freeAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		// The UDP port of the same number keeps the port from other test runs
		// on this machine until the daemon that listens there has ended.
		reserved, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = reserved.Close() })
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

func (f *fleet) launch(domain string) *daemon {
	d := &daemon{
		domain:    domain,
		callers:   freeAddress(f.t),
		peers:     freeAddress(f.t),
		operators: freeAddress(f.t),
		output:    &bytes.Buffer{},
		done:      make(chan struct{}),
	}
	text := fmt.Sprintf(`instance:
  domain: %s
  callerAddress: %s
  peerAddress: %s
  operatorAddress: %s
platform:
  logURL: http://%s
  instanceListURL: %s
operators:
  - name: tester
    tokenHash: %s
budget:
  leasedTime: %s
  standingTime: %s
  renewEvery: 200ms
membership:
  leaseTime: %s
  flightTime: 200ms
  clockBound: 100ms
  noticeTime: 300ms
loads:
  rate: 20
  burst: 20
`, domain, d.callers, d.peers, d.operators, f.logs[domain].address, f.listURL, admission.Hash(token), leased, standing, leaseTime)
	path := filepath.Join(f.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	d.process = exec.Command(binary, "serve", "-settings", path)
	d.process.Stdout = d.output
	d.process.Stderr = d.output
	if err := d.process.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = d.process.Wait()
		close(d.done)
	}()
	f.t.Cleanup(func() { d.end(f.t) })
	return d
}

// end kills the process; a failed test shows the end of its log.
func (d *daemon) end(t *testing.T) {
	_ = d.process.Process.Signal(syscall.SIGCONT)
	_ = d.process.Process.Kill()
	<-d.done
	if t.Failed() {
		lines := strings.Split(d.output.String(), "\n")
		t.Logf("log of a daemon in %s:\n%s", d.domain, strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
	if strings.Contains(d.output.String(), "panic:") || strings.Contains(d.output.String(), "DATA RACE") {
		t.Errorf("a daemon in %s panicked: %s", d.domain, d.output.String())
	}
}

func (d *daemon) signal(t *testing.T, signal syscall.Signal) {
	if err := d.process.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) configure(domains []string) {
	text := make([]string, 0, 10+2*len(domains))
	text = append(text, "set team red rate 100000 burst 200000; set team blue rate 400 burst 800")
	for i := range 8 {
		text = append(text, fmt.Sprintf("set adapter red%d base llama versions v1, v2", i))
	}
	text = append(text, "set adapter blue0 base llama versions v1; set route orders service orders; set route lookup service orders idempotent")
	for i, domain := range domains {
		text = append(text,
			fmt.Sprintf("set server model-%s address %s domain %s model llama slots 4 running 64", domain, f.modelAddresses[i], domain),
			fmt.Sprintf("set server orders-%s address %s domain %s service orders running 64", domain, f.orderAddresses[i], domain))
	}
	f.command(0, strings.Join(text, "; "))
	for i := range 8 {
		f.command(0, fmt.Sprintf("allow team red adapter red%d", i))
	}
	f.command(0, "allow team blue adapter blue0")
	f.key = f.command(0, "create key web team red").Secret
	f.eventually("the budget is shared out and every server has an owner", func() bool {
		table := f.command(0, "show placements").Table
		return table != nil && len(table.Rows) == len(domains)
	})
	for n := range f.daemons {
		f.eventually("every daemon answers", func() bool {
			return f.ask(n, "red0@v1", "warm up").whole
		})
	}
	// Fresh buckets are empty; they fill within burst over rate.
	time.Sleep(2 * time.Second)
}

// command sends an operator's command to a daemon and expects it to succeed.
func (f *fleet) command(n int, text string) operator.Reply {
	f.t.Helper()
	status, reply := f.tryCommand(n, operator.Request{
		Text:        text,
		WaitSeconds: 6,
	})
	if status != http.StatusOK {
		f.t.Fatalf("command %q: status %d: %s", text, status, reply.Error)
	}
	return reply
}

func (f *fleet) tryCommand(n int, request operator.Request) (status int, reply operator.Reply) {
	f.t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		f.t.Fatal(err)
	}
	deadline := time.Now().Add(15 * time.Second)
	for {
		call, _ := http.NewRequest(http.MethodPost, "http://"+f.daemons[n].operators+operator.PathCommands, bytes.NewReader(body))
		call.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(call)
		if err != nil && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if err != nil {
			f.t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
			f.t.Fatal(err)
		}
		return response.StatusCode, reply
	}
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	// text is the content, of all events of a stream together.
	text string
	// whole says that the answer came to its proper end.
	whole bool
	// refusal is the typed error, of a refusal or at the end of a stream.
	refusal caller.ErrorDetail
	err     error
}

// ask sends one streamed chat request to a daemon.
func (f *fleet) ask(n int, model, text string) answer {
	return f.askWith(context.Background(), n, f.key, model, text, 64)
}

func (f *fleet) askWith(ctx context.Context, n int, key, model, text string, tokens int) (got answer) {
	body, _ := json.Marshal(map[string]any{
		"model":      model,
		"stream":     true,
		"max_tokens": tokens,
		"messages": []map[string]string{
			{
				"role":    "user",
				"content": text,
			},
		},
	})
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[n].callers+engine.PathChat, bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status = response.StatusCode
	data, err := io.ReadAll(response.Body)
	got.err = err
	if response.StatusCode != http.StatusOK {
		got.refusal = refusalIn(data)
		return got
	}
	got.readEvents(string(data))
	return got
}

func refusalIn(data []byte) caller.ErrorDetail {
	var body caller.ErrorBody
	_ = json.Unmarshal(data, &body)
	return body.Error
}

func (a *answer) readEvents(data string) {
	for _, event := range strings.Split(data, "\n\n") {
		payload := strings.TrimPrefix(event, "data: ")
		if payload == "[DONE]" {
			a.whole = true
			continue
		}
		if refusal := refusalIn([]byte(payload)); refusal.Code != "" {
			a.refusal = refusal
			continue
		}
		var part struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(payload), &part) == nil && len(part.Choices) > 0 {
			a.text += part.Choices[0].Delta.Content
		}
	}
}

// order sends one call that may not be repeated.
func (f *fleet) order(n int, key, idempotencyKey, body string) answer {
	request, _ := http.NewRequest(http.MethodPost, "http://"+f.daemons[n].callers+"/services/orders/cut", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{
			err: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	got := answer{
		status: response.StatusCode,
		text:   string(data),
		err:    err,
	}
	if response.StatusCode != http.StatusOK {
		got.refusal = refusalIn(data)
	}
	return got
}

// ran counts how often each body was run by any application worker.
func (f *fleet) ran() map[string]int {
	counts := map[string]int{}
	for _, worker := range f.orders {
		for _, call := range worker.Records().Ran {
			counts[call.Body]++
		}
	}
	return counts
}

// checkWorkers holds what the model workers recorded against the promises.
func (f *fleet) checkWorkers() {
	f.t.Helper()
	for _, worker := range f.models {
		records := worker.Records()
		if len(records.EvictedBusy) > 0 {
			f.t.Errorf("%s: evicted while serving: %v", worker.Name, records.EvictedBusy)
		}
		if records.KeysSeen > 0 {
			f.t.Errorf("%s saw %d callers' keys", worker.Name, records.KeysSeen)
		}
	}
	for _, worker := range f.orders {
		if seen := worker.Records().KeysSeen; seen > 0 {
			f.t.Errorf("%s saw %d callers' keys", worker.Name, seen)
		}
	}
}
