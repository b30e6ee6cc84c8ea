package arena

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// readinessInterval and readinessMisses are those of the load balancer.
	readinessInterval = time.Second
	readinessMisses   = 2
	// readyBound is how long a new process may take until it is ready.
	readyBound = 30 * time.Second
)

// instance is an instance that runs in a process of its own, and is started again
// at the same addresses.
type instance struct {
	name      string
	directory string
	program   string
	// otherProgram is the build to which a release switches; empty without one.
	otherProgram string
	callers      string
	readiness    string
	peers        string
	metrics      string
	store        *proxy
	recorder     *history.Recorder
	// faults is held while a fault of the process lasts.
	faults sync.Mutex
	// inRotation says that the load balancer sends new connections here.
	inRotation atomic.Bool

	mu      sync.Mutex
	closed  bool
	command *exec.Cmd
	stop    *history.Stop
	ended   chan struct{}
}

func newInstance(name, domain string, domains []string, store, directory string, programs Programs, recorder *history.Recorder) (i *instance, err error) {
	i = &instance{
		name:      name,
		directory: directory,
		program:   programs.Current,
		recorder:  recorder,
	}
	if programs.Previous != "" {
		i.program, i.otherProgram = programs.Previous, programs.Current
	}
	if i.store, err = newProxy(store); err != nil {
		return nil, err
	}
	var addresses [4]string
	for n := range addresses {
		if addresses[n], _, err = standin.ReserveAddress(); err != nil {
			return nil, err
		}
	}
	i.callers, i.readiness, i.peers, i.metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	// JSON is YAML.
	settings, err := json.MarshalIndent(map[string]any{
		"name":    name,
		"domain":  domain,
		"domains": domains,
		"listen": map[string]any{
			"callers":   addresses[0],
			"readiness": addresses[1],
			"peers":     addresses[2],
			"metrics":   addresses[3],
		},
		"storeAddress": i.store.address(),
		"bounds": map[string]any{
			"stopWithin": history.StopBound.String(),
			"orderTurn":  history.HandoverTime.String(),
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	return i, os.WriteFile(i.settingsPath(), settings, 0o600)
}

func (i *instance) settingsPath() string { return filepath.Join(i.directory, i.name+".yaml") }

// start starts the process and waits until it is ready.
func (i *instance) start() (err error) {
	output, err := os.OpenFile(filepath.Join(i.directory, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(i.program, "front", "-settings", i.settingsPath())
	command.Stdout, command.Stderr = output, output
	begin := time.Now()
	ended, err := i.launch(command)
	if err != nil {
		return err
	}
	for time.Since(begin) < readyBound && !i.isReady() {
		select {
		case <-ended:
			return fmt.Errorf("%s ended before it was ready", i.name)
		case <-time.After(50 * time.Millisecond):
		}
	}
	if !i.isReady() {
		return fmt.Errorf("%s is not ready after %s", i.name, readyBound)
	}
	return nil
}

// launch starts the process unless the instance is closed.
func (i *instance) launch(command *exec.Cmd) (ended chan struct{}, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return nil, fmt.Errorf("%s is closed", i.name)
	}
	if err = command.Start(); err != nil {
		return nil, err
	}
	ended = make(chan struct{})
	i.command, i.ended, i.stop = command, ended, &history.Stop{Instance: i.name}
	go i.wait(command, ended)
	return ended, nil
}

// wait records the end of a process.
func (i *instance) wait(command *exec.Cmd, ended chan struct{}) {
	_ = command.Wait()
	i.mu.Lock()
	stop := *i.stop
	i.mu.Unlock()
	stop.EndedAt, stop.ExitCode = time.Now(), command.ProcessState.ExitCode()
	i.recorder.Record(func(h *history.History) { h.Stops = append(h.Stops, stop) })
	close(ended)
}

// signal sends a signal to the process.
func (i *instance) signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch signal {
	default:
	case syscall.SIGTERM:
		i.stop.Planned, i.stop.SignalledAt = true, time.Now()
	case syscall.SIGKILL:
		i.stop.Forced = true
	}
	// The process may have ended by itself, which its end tells.
	_ = i.command.Process.Signal(signal)
}

// waitEnd waits for the end of the process, and kills it after a time.
func (i *instance) waitEnd(within time.Duration) {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(within):
		i.signal(syscall.SIGKILL)
		<-ended
	}
}

func (i *instance) isReady() bool {
	client := http.Client{
		Timeout: readinessInterval,
	}
	response, err := client.Get("http://" + i.readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// balance keeps inRotation as the load balancer does.
func (i *instance) balance(ctx context.Context) {
	misses := 0
	for ctx.Err() == nil {
		if i.isReady() {
			misses = 0
		} else {
			misses++
		}
		i.inRotation.Store(misses < readinessMisses)
		select {
		case <-ctx.Done():
		case <-time.After(readinessInterval):
		}
	}
}

// resources reads the resources of the process.
func (i *instance) resources() (r history.Resources, err error) {
	i.mu.Lock()
	directory := fmt.Sprintf("/proc/%d", i.command.Process.Pid)
	i.mu.Unlock()
	descriptors, err := os.ReadDir(directory + "/fd")
	if err != nil {
		return r, err
	}
	r.Descriptors = len(descriptors)
	status, err := os.ReadFile(directory + "/status")
	if err != nil {
		return r, err
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		fields := strings.Fields(value)
		if name == "VmRSS" && len(fields) > 0 {
			kibibytes, err := strconv.ParseInt(fields[0], 10, 64)
			if err != nil {
				return r, err
			}
			r.MemoryBytes = kibibytes << 10
		}
	}
	r.Goroutines, err = i.goroutines()
	return r, err
}

// goroutines reads the number of goroutines from the metrics.
func (i *instance) goroutines() (count int, err error) {
	response, err := http.Get("http://" + i.metrics + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "go_goroutines "); found {
			return strconv.Atoi(text)
		}
	}
	return 0, fmt.Errorf("%s has no count of goroutines: %w", i.name, lines.Err())
}

// close kills the process if it still runs, and keeps another from starting.
func (i *instance) close() {
	i.mu.Lock()
	i.closed = true
	ended := i.ended
	i.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	default:
		i.signal(syscall.SIGKILL)
		<-ended
	}
}
