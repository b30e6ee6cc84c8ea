package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// readyPatience is how long a front may take until it says that it is ready.
	readyPatience = 20 * time.Second
	readyInterval = 100 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
)

// front is a machine of the system with its one process.
type front struct {
	name    string
	zone    string
	callers string
	ready   string
	peers   string

	program  string
	settings string
	output   string
	values   map[string]any

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// startedAt is when the process was last started.
	startedAt time.Time
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// newFront prepares a front; start starts it. The settings are those that the template
// of the deploy file gives on a small deployment.
func newFront(o options, name, zone string, zones []string, store string) (f *front, err error) {
	var addresses [4]string
	for n := range addresses {
		if addresses[n], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return &front{
		name:     name,
		zone:     zone,
		callers:  addresses[0],
		ready:    addresses[1],
		peers:    addresses[2],
		program:  o.program,
		settings: filepath.Join(o.directory, name+".yaml"),
		output:   filepath.Join(o.directory, name+".log"),
		values: map[string]any{
			"name":    name,
			"domain":  zone,
			"domains": zones,
			"listen": map[string]any{
				"callers":   addresses[0],
				"readiness": addresses[1],
				"peers":     addresses[2],
				"metrics":   addresses[3],
			},
			"storeAddress":   store,
			"processorShare": 0.4,
			"groupParts":     12,
			"bounds": map[string]any{
				"stopWithin": grace.String(),
				"orderTurn":  "3000ms",
				"retrySlack": 52,
			},
		},
	}, nil
}

// start starts the process. first says that the whole fleet starts for the first time.
func (f *front) start(first bool) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values["firstStart"] = first
	// JSON is YAML.
	text, err := json.MarshalIndent(f.values, "", "  ")
	if err != nil {
		return err
	}
	if err = os.WriteFile(f.settings, text, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(f.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(f.program, "front")
	command.Env = append(os.Environ(), "POMELOSPRING_CONFIG="+f.settings)
	command.Stdout, command.Stderr = output, output
	if err = command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	f.command, f.ended, f.startedAt = command, ended, time.Now()
	return nil
}

// kill ends the process without notice.
func (f *front) kill() {
	f.mu.Lock()
	command, ended := f.command, f.ended
	f.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-ended
}

// awaitReady waits until the front says that it is ready.
func (f *front) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(readyPatience); time.Now().Before(deadline); time.Sleep(readyInterval) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+f.ready+"/api/readiness", http.NoBody)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", f.name, readyPatience)
}
