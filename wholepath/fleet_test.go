// Package wholepath tests the daemons end to end: they run as separate processes
// against stand-ins in the test process, which record what they receive.
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
	operatorToken = "op-test"
	// leaseTime is how long an instance's membership lease is.
	leaseTime = 2 * time.Second
	// budgetLeaseTime and budgetStandingTime are how long the leased and the
	// standing part of a budget are held without renewal.
	budgetLeaseTime    = 6 * time.Second
	budgetStandingTime = 60 * time.Second
)

// daemonBinary is the path of the daemon that TestMain builds.
var daemonBinary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "wholepath")
	if err != nil {
		panic(err)
	}
	daemonBinary = filepath.Join(folder, "pomelospringd")
	build := exec.Command("go", "build", "-o", daemonBinary, "../cmd/pomelospringd")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build the daemon: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// fleet holds the stand-ins and the daemons of one test.
type fleet struct {
	t            *testing.T
	log          *standin.Log
	instanceList *standin.InstanceList
	weights      *standin.WeightStore
	models       []*standin.ModelWorker
	orders       []*standin.ApplicationWorker
	// daemons holds those of domain a first, then those of b and c.
	daemons []*daemon
	// logProxies has one proxy to the log for each failure domain.
	logProxies map[string]*proxy
	// modelAddresses and orderAddresses are in the order of models and orders.
	modelAddresses  []string
	orderAddresses  []string
	instanceListURL string
	// key is a caller's key of team red.
	key string
}

// daemon is a running process of the daemon binary.
type daemon struct {
	domain          string
	callerAddress   string
	peerAddress     string
	operatorAddress string
	process         *exec.Cmd
	output          *bytes.Buffer
	// exited is closed once the process has ended and its output is complete.
	exited chan struct{}
	// ended is set once the test has sent a signal that ends the process.
	ended bool
}

// proxy forwards TCP connections to a target, unless it is cut.
type proxy struct {
	address string
	target  string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &proxy{
		address: listener.Addr().String(),
		target:  target,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.forward(conn)
		}
	}()
	return p
}

func (p *proxy) forward(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := net.Dial("tcp", p.target)
	if p.cut || err != nil {
		_ = conn.Close()
		return
	}
	p.conns = append(p.conns, conn, out)
	for _, pair := range [][2]net.Conn{{conn, out}, {out, conn}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].Close()
		}()
	}
}

// setCut cuts the proxy or restores it. While the proxy is cut it has no open
// connections and refuses new ones.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for _, conn := range p.conns {
		if cut {
			_ = conn.Close()
		}
	}
	p.conns = nil
}

// start starts and configures a fleet of three failure domains, each with one
// model worker, one application worker and daemonsPerDomain daemons.
func start(t *testing.T, daemonsPerDomain int) *fleet {
	f := &fleet{
		t:            t,
		log:          standin.NewLog(time.Now, 0),
		instanceList: standin.NewInstanceList(time.Now),
		weights:      standin.NewWeightStore(100 * time.Millisecond),
		logProxies:   map[string]*proxy{},
	}
	logURL := f.serve(f.log.Handler())
	f.instanceListURL = "http://" + f.serve(f.instanceList.Handler())
	domains := []string{"a", "b", "c"}
	for _, domain := range domains {
		f.logProxies[domain] = newProxy(t, logURL)
		worker := standin.NewModelWorker("model-"+domain, 4, 5*time.Millisecond, f.weights)
		f.models = append(f.models, worker)
		f.modelAddresses = append(f.modelAddresses, f.serve(worker.Handler()))
		orders := standin.NewApplicationWorker("orders-"+domain, 5*time.Millisecond)
		f.orders = append(f.orders, orders)
		f.orderAddresses = append(f.orderAddresses, f.serve(orders.Handler()))
	}
	for _, domain := range domains {
		for range daemonsPerDomain {
			f.daemons = append(f.daemons, f.launch(domain))
		}
	}
	f.configure(domains)
	return f
}

// serve serves handler on a loopback port and returns the address.
func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// freeAddress returns a loopback address that nothing listens on, and reserves it
// for this test run.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, release, err := standin.ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return address
}

// launch starts a daemon in the given failure domain and kills it at the end of
// the test.
func (f *fleet) launch(domain string) *daemon {
	d := &daemon{
		domain:          domain,
		callerAddress:   freeAddress(f.t),
		peerAddress:     freeAddress(f.t),
		operatorAddress: freeAddress(f.t),
		output:          &bytes.Buffer{},
		exited:          make(chan struct{}),
	}
	settings := fmt.Sprintf(`instance:
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
`, domain, d.callerAddress, d.peerAddress, d.operatorAddress, f.logProxies[domain].address, f.instanceListURL, admission.Hash(operatorToken), budgetLeaseTime, budgetStandingTime, leaseTime)
	path := filepath.Join(f.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	d.process = exec.Command(daemonBinary, "serve", "-settings", path)
	d.process.Stdout = d.output
	d.process.Stderr = d.output
	if err := d.process.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = d.process.Wait()
		close(d.exited)
	}()
	f.t.Cleanup(func() { d.kill(f.t) })
	return d
}

// kill kills the process. It logs the end of the process's output if the test
// has failed, and fails the test if the daemon ended by itself, panicked or had a
// data race.
func (d *daemon) kill(t *testing.T) {
	d.checkRunning(t)
	_ = d.process.Process.Signal(syscall.SIGCONT)
	_ = d.process.Process.Kill()
	<-d.exited
	if t.Failed() {
		lines := strings.Split(d.output.String(), "\n")
		t.Logf("last lines of the log of a daemon in %s:\n%s", d.domain, strings.Join(lines[max(0, len(lines)-8):], "\n"))
	}
	if strings.Contains(d.output.String(), "panic:") || strings.Contains(d.output.String(), "DATA RACE") {
		t.Errorf("a daemon in %s panicked or had a data race: %s", d.domain, d.output.String())
	}
}

// checkRunning fails the test, with the exit and the whole output of the process,
// if the daemon has ended by itself.
func (d *daemon) checkRunning(t *testing.T) {
	t.Helper()
	select {
	case <-d.exited:
	default:
		return
	}
	if !d.ended {
		d.ended = true
		t.Errorf("a daemon in %s, process %d at %s, ended by itself: %s; its output:\n%s",
			d.domain, d.process.Process.Pid, d.callerAddress, d.process.ProcessState, d.output.String())
	}
}

func (d *daemon) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	d.checkRunning(t)
	if err := d.process.Process.Signal(signal); err != nil {
		<-d.exited
		d.checkRunning(t)
		t.Fatalf("signal %s: %v", signal, err)
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		d.ended = true
	}
}

// configure sets up teams, adapters, routes and servers, creates the caller's key
// and waits until every daemon serves requests.
func (f *fleet) configure(domains []string) {
	commands := make([]string, 0, 10+2*len(domains))
	commands = append(commands, "set team red rate 100000 burst 200000; set team blue rate 400 burst 800")
	for i := range 8 {
		commands = append(commands, fmt.Sprintf("set adapter red%d base llama versions v1, v2", i))
	}
	commands = append(commands, "set adapter blue0 base llama versions v1; set route orders service orders; set route lookup service orders idempotent")
	for i, domain := range domains {
		commands = append(commands,
			fmt.Sprintf("set server model-%s address %s domain %s model llama slots 4 running 64", domain, f.modelAddresses[i], domain),
			fmt.Sprintf("set server orders-%s address %s domain %s service orders running 64", domain, f.orderAddresses[i], domain))
	}
	f.command(0, strings.Join(commands, "; "))
	for i := range 8 {
		f.command(0, fmt.Sprintf("allow team red adapter red%d", i))
	}
	f.command(0, "allow team blue adapter blue0")
	f.key = f.command(0, "create key web team red").Secret
	f.eventually("every server has an owner", func() bool {
		table := f.command(0, "show placements").Table
		return table != nil && len(table.Rows) == len(domains)
	})
	for n := range f.daemons {
		f.eventually("every daemon serves a request", func() bool {
			return f.chat(n, "red0@v1", "warm up").complete
		})
	}
	// Buckets start empty and are full after burst / rate.
	time.Sleep(2 * time.Second)
}

// command runs an operator command at daemon n and fails the test unless it succeeds.
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

// tryCommand runs an operator command at daemon n. It retries failed connections
// until the daemon listens.
func (f *fleet) tryCommand(n int, request operator.Request) (status int, reply operator.Reply) {
	f.t.Helper()
	body, err := json.Marshal(request)
	if err != nil {
		f.t.Fatal(err)
	}
	deadline := time.Now().Add(15 * time.Second)
	for {
		call, _ := http.NewRequest(http.MethodPost, "http://"+f.daemons[n].operatorAddress+operator.PathCommands, bytes.NewReader(body))
		call.Header.Set("Authorization", "Bearer "+operatorToken)
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

// eventually waits until the condition holds and fails the test after 20 s.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// answer is the response that a caller received.
type answer struct {
	status int
	// text is the response body, or the joined content of all events of a stream.
	text string
	// complete is true if a stream ended with its [DONE] event.
	complete bool
	// refusal is the error of a refused request or at the end of a stream.
	refusal caller.ErrorDetail
	err     error
}

// chat sends one streamed chat request to daemon n with the fleet's key.
func (f *fleet) chat(n int, model, text string) answer {
	return f.chatWith(context.Background(), n, f.key, model, text, 64)
}

// chatWith sends one streamed chat request to daemon n with the given key, for at
// most the given number of completion tokens.
func (f *fleet) chatWith(ctx context.Context, n int, key, model, text string, tokens int) (got answer) {
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
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[n].callerAddress+engine.PathChat, bytes.NewReader(body))
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
		got.refusal = parseRefusal(data)
		return got
	}
	got.readEvents(string(data))
	return got
}

// parseRefusal decodes an error body. Its result is empty if data is none.
func parseRefusal(data []byte) caller.ErrorDetail {
	var body caller.ErrorBody
	_ = json.Unmarshal(data, &body)
	return body.Error
}

// readEvents sets a's text, refusal and completeness from the events of a stream.
func (a *answer) readEvents(data string) {
	for _, event := range strings.Split(data, "\n\n") {
		payload := strings.TrimPrefix(event, "data: ")
		if payload == "[DONE]" {
			a.complete = true
			continue
		}
		if refusal := parseRefusal([]byte(payload)); refusal.Code != "" {
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

// sendOrder sends one call, which must not run twice, to the orders service at
// daemon n. An empty idempotencyKey is not sent.
func (f *fleet) sendOrder(n int, key, idempotencyKey, body string) answer {
	request, _ := http.NewRequest(http.MethodPost, "http://"+f.daemons[n].callerAddress+"/services/orders/cut", strings.NewReader(body))
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
		got.refusal = parseRefusal(data)
	}
	return got
}

// runCounts counts by request body how often the application workers ran a call.
func (f *fleet) runCounts() map[string]int {
	counts := map[string]int{}
	for _, worker := range f.orders {
		for _, call := range worker.Records().Ran {
			counts[call.Body]++
		}
	}
	return counts
}

// checkWorkers checks that no adapter was unloaded while serving and that no
// worker received a caller's key.
func (f *fleet) checkWorkers() {
	f.t.Helper()
	for _, worker := range f.models {
		records := worker.Records()
		if len(records.EvictedBusy) > 0 {
			f.t.Errorf("%s: adapters evicted while serving: %v", worker.Name, records.EvictedBusy)
		}
		if records.KeysSeen > 0 {
			f.t.Errorf("%s received %d callers' keys", worker.Name, records.KeysSeen)
		}
	}
	for _, worker := range f.orders {
		if seen := worker.Records().KeysSeen; seen > 0 {
			f.t.Errorf("%s received %d callers' keys", worker.Name, seen)
		}
	}
}
