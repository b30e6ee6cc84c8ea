package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

const (
	// program is what the deploy file builds.
	program = "target/pomelospringd"
	// operatorTopic and serverTopic are the topics of the operator and of the workers.
	operatorTopic = "keyed.op"
	serverTopic   = "keyed.servers"
	host          = "ficu95.example"
	key           = "i9n73hh2b9wu3fexd9dn"
	tenant        = "hule930"
	// readyTime bounds the start of the fronts.
	readyTime = 20 * time.Second
	// stopTime bounds the end of a front after SIGTERM.
	stopTime = 9 * time.Second
)

var zones = []string{"plant-north", "ops-center", "substation-east"}

// rig is a small deployment: a front in each zone, workers and the platform's store.
type rig struct {
	record *record
	store  *standin.Store
	server *http.Server
	folder string
	fronts []*front

	mu      sync.Mutex
	workers []*worker
}

// front is a process of the program.
type front struct {
	name      string
	callers   string
	readiness string
	command   *exec.Cmd
	ended     chan struct{}
	// isStopped is set if the case has stopped it.
	isStopped bool
}

func newRig(record *record) (r *rig, err error) {
	folder, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := standin.NewStore()
	r = &rig{
		record: record,
		store:  store,
		folder: folder,
		server: &http.Server{
			Handler:           store,
			ReadHeaderTimeout: time.Minute,
		},
	}
	go func() { _ = r.server.Serve(listener) }()
	for n, zone := range zones {
		f, err := r.newFront(fmt.Sprintf("front-%s-%d", zone, n+1), zone, listener.Addr().String())
		if err != nil {
			return nil, err
		}
		r.fronts = append(r.fronts, f)
	}
	return r, nil
}

// newFront writes the settings of a front, with the values of the small site.
func (r *rig) newFront(name, zone, store string) (f *front, err error) {
	var addresses [4]string
	for n := range addresses {
		if addresses[n], _, err = standin.ReserveAddress(); err != nil {
			return nil, err
		}
	}
	regions := map[string]string{}
	for _, other := range zones {
		regions[other] = "tx-central"
	}
	// JSON is YAML.
	settings, err := json.MarshalIndent(map[string]any{
		"name":    name,
		"domain":  zone,
		"domains": zones,
		"regions": regions,
		"listen": map[string]any{
			"callers":   addresses[0],
			"readiness": addresses[1],
			"peers":     addresses[2],
			"metrics":   addresses[3],
		},
		"storeAddress":   store,
		"processorShare": 0.4,
		"groupParts":     12,
		"firstStart":     true,
		"bounds": map[string]any{
			"stopWithin":          "8s",
			"orderTurn":           "3000ms",
			"retrySlack":          52,
			"configurationWithin": "2000ms",
		},
		"memoryMB":       284,
		"maxDescriptors": 4100,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.folder, name+".yaml")
	command := exec.Command(program, "front")
	command.Env = append(os.Environ(), "POMELOSPRING_CONFIG="+path)
	f = &front{
		name:      name,
		callers:   addresses[0],
		readiness: addresses[1],
		command:   command,
		ended:     make(chan struct{}),
	}
	return f, os.WriteFile(path, settings, 0o600)
}

// start starts the fronts and waits until they are ready.
func (r *rig) start(ctx context.Context) (err error) {
	for _, f := range r.fronts {
		output, err := os.Create(filepath.Join(r.folder, f.name+".log"))
		if err != nil {
			return err
		}
		f.command.Stdout, f.command.Stderr = output, output
		if err = f.command.Start(); err != nil {
			return err
		}
		go func() {
			_ = f.command.Wait()
			_ = output.Close()
			close(f.ended)
		}()
	}
	for begin := time.Now(); time.Since(begin) < readyTime && ctx.Err() == nil; {
		ready := 0
		for _, f := range r.fronts {
			if f.isReady() {
				ready++
			}
		}
		if ready == len(r.fronts) {
			r.record.add("%d fronts are ready", ready)
			return nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	return errors.New("the fronts are not ready")
}

// isReady asks the readiness address as the platform does.
func (f *front) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + f.readiness + "/api/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// checkFronts returns an error if a front has ended by itself.
func (r *rig) checkFronts() error {
	for _, f := range r.fronts {
		if f.isStopped {
			continue
		}
		select {
		case <-f.ended:
			return fmt.Errorf("%s has ended", f.name)
		default:
		}
	}
	return nil
}

// end ends all processes. The stand-ins end with this one.
func (r *rig) end() {
	for _, f := range r.fronts {
		if f.command.Process != nil {
			_ = f.command.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, f := range r.fronts {
		if f.command.Process == nil {
			continue
		}
		select {
		case <-f.ended:
		case <-time.After(stopTime):
			_ = f.command.Process.Kill()
			<-f.ended
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.folder)
	}
}

// route is a route of the configuration.
type route struct {
	name      string
	prefix    string
	kind      string
	service   string
	timeout   time.Duration
	target    time.Duration
	resumable bool
	attempts  int
}

// configure writes the configuration.
func (r *rig) configure(routes []route, services []any) error {
	list := make([]any, 0, len(routes))
	for _, route := range routes {
		list = append(list, map[string]any{
			"name":              route.name,
			"host":              host,
			"path-prefix":       route.prefix,
			"kind":              route.kind,
			"timeout-ms":        route.timeout.Milliseconds(),
			"target-latency-ms": route.target.Milliseconds(),
			"gap-target-ms":     250,
			"priority":          1,
			"service":           route.service,
			"max-attempts":      route.attempts,
			"resumable":         route.resumable,
			"sticky":            route.kind == "streaming",
		})
	}
	value, err := json.Marshal(map[string]any{
		"version":  2,
		"routes":   list,
		"services": services,
		"limits": map[string]any{
			"max-header-bytes":  65536,
			"max-body-bytes":    4194304,
			"header-timeout-ms": 10000,
			"idle-timeout-ms":   60000,
		},
		"tenants": []any{map[string]any{
			"name":         tenant,
			"api-keys":     []string{key},
			"unit":         "tokens",
			"plain-tokens": 200,
			"rate-per-s":   1000000,
			"burst":        1000000,
		}},
	})
	if err == nil {
		r.store.Put(operatorTopic, "config", value)
	}
	return err
}

// pause waits until a time has passed or the context has ended.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
