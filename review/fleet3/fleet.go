// Package fleet3 starts instances of the project's own program as separate processes, with
// stand-ins of the platform's store, of backend servers and of callers around them, for the
// cases of the third review.
package fleet3

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

// Zones are those of the small deployment whose settings the cases use.
var Zones = []string{"plant-north", "ops-center", "substation-east"}

const (
	// Host is the host of all routes.
	Host = "calls.example"
	// Key is the key of the one tenant.
	Key = "key-one"

	program        = "target/pomelospringd"
	readyPatience  = 20 * time.Second
	readyPoll      = 50 * time.Millisecond
	requestTimeout = 20 * time.Second
	headTimeout    = 5 * time.Second
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Fleet is a deployment under test.
type Fleet struct {
	Store  *standin.Store
	Record *Record
	// Instances are the machines of the system.
	Instances []*Instance

	directory    string
	storeAddress string
	storeServer  *http.Server
}

// New starts the stand-in of the platform's store. Close ends all that the fleet starts.
func New(record *Record) (f *Fleet, err error) {
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f = &Fleet{
		Store:        standin.NewStore(),
		Record:       record,
		directory:    directory,
		storeAddress: listener.Addr().String(),
	}
	f.storeServer = &http.Server{
		Handler:           f.Store,
		ReadHeaderTimeout: headTimeout,
	}
	go func() { _ = f.storeServer.Serve(listener) }()
	return f, nil
}

// Close ends all processes and the store.
func (f *Fleet) Close() {
	for _, i := range f.Instances {
		i.Kill()
	}
	_ = f.storeServer.Close()
	_ = os.RemoveAll(f.directory)
}

// Configure has the operator write a configuration.
func (f *Fleet) Configure(configuration map[string]any) error {
	text, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	f.Store.Put("keyed.op", "config", text)
	f.Record.Add("operator: configuration %v acknowledged", configuration["version"])
	return nil
}

// Instance is one machine of the system.
type Instance struct {
	Name    string
	Zone    string
	Callers string
	Peers   string

	fleet     *Fleet
	readiness string
	settings  string
	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{}
}

// Add adds a machine in a zone and starts it.
func (f *Fleet) Add(zone string) (i *Instance, err error) {
	addresses := make([]string, 4)
	for n := range addresses {
		address, _, err := standin.ReserveAddress()
		if err != nil {
			return nil, err
		}
		addresses[n] = address
	}
	i = &Instance{
		Name:      fmt.Sprintf("front-%s-%d", zone, len(f.Instances)+1),
		Zone:      zone,
		Callers:   addresses[0],
		Peers:     addresses[2],
		fleet:     f,
		readiness: addresses[1],
	}
	i.settings = filepath.Join(f.directory, i.Name+".yaml")
	f.Instances = append(f.Instances, i)
	return i, i.Start(true, addresses)
}

// settingsText is deploy/settings.yaml as the platform fills it in for a small deployment.
const settingsText = `name: %q
domain: %q
domains: ["plant-north","ops-center","substation-east"]
regions: { "plant-north": "tx-central","ops-center": "tx-central","substation-east": "tx-central" }
listen:
  callers: %q
  readiness: %q
  peers: %q
  metrics: %q
storeAddress: %q
processorShare: 0.4
groupParts: 12
firstStart: %t
bounds:
  stopWithin: 8s
  orderTurn: 3000ms
  retrySlack: 52
  configurationWithin: 2000ms
memoryMB: 284
maxDescriptors: 4100
`

// Start starts the machine's process with the command of the deploy file. addresses are
// given at the first start only.
func (i *Instance) Start(first bool, addresses []string) error {
	if len(addresses) > 0 {
		text := fmt.Sprintf(settingsText, i.Name, i.Zone, addresses[0], addresses[1], addresses[2], addresses[3], i.fleet.storeAddress, first)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
	} else if err := i.notFirst(); err != nil {
		return err
	}
	log, err := os.OpenFile(i.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(program, "front")
	process.Env = []string{"POMELOSPRING_CONFIG=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err = process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process, i.ended = process, ended
	i.fleet.Record.Add("%s: started", i.Name)
	return nil
}

// notFirst renders the settings as for a later start.
func (i *Instance) notFirst() error {
	text, err := os.ReadFile(i.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, bytes.Replace(text, []byte("firstStart: true"), []byte("firstStart: false"), 1), 0o600)
}

// Signal sends a signal to the machine's process.
func (i *Instance) Signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(signal)
	}
}

// Kill kills the process and waits for its end.
func (i *Instance) Kill() {
	i.Signal(syscall.SIGKILL)
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Ended is closed when the present process has ended.
func (i *Instance) Ended() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ended
}

// Log returns what the machine's processes wrote.
func (i *Instance) Log() string {
	text, _ := os.ReadFile(i.settings + ".log")
	return string(text)
}

// AwaitReady waits until the balancer would send callers to the machine.
func (i *Instance) AwaitReady() error {
	for deadline := time.Now().Add(readyPatience); time.Now().Before(deadline); time.Sleep(readyPoll) {
		response, err := http.Get("http://" + i.readiness + "/api/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(i.Name + " is not ready")
}

// Call is one request of a caller.
type Call struct {
	ID     string
	Method string
	Path   string
	Body   string
	Header map[string]string
}

// Send sends a call to the machine on a connection of its own, and returns the status and
// the body of the answer; status is 0 if none came that was whole.
func (i *Instance) Send(call Call) (status int, body string) {
	request, err := http.NewRequest(call.Method, "http://"+i.Callers+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return 0, ""
	}
	request.Host = Host
	request.Header.Set("Authorization", "Bearer "+Key)
	request.Header.Set(standin.HeaderRequestID, call.ID)
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		Timeout: requestTimeout,
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}
