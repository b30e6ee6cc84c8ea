package front_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/settings"
)

const (
	// recoveryTime is how long after the restart of all instances requests may fail.
	recoveryTime = 12 * time.Second
	// powerOffTime is how long the instances are gone.
	powerOffTime = time.Second
)

// process is a front that runs in a process of its own, so that it can be killed.
type process struct {
	*instance
	binary  string
	path    string
	command *exec.Cmd
}

func newProcess(t *testing.T, binary, domain, store string) *process {
	config := newConfig(t, "front-"+domain, store)
	config.Domain, config.Domains = domain, []string{"north", "south"}
	config.Bounds.OrderTurn = settings.DefaultFront().Bounds.OrderTurn
	p := &process{
		instance: &instance{config: config},
		binary:   binary,
		path:     filepath.Join(t.TempDir(), "settings.yaml"),
	}
	p.powerOn(t, true)
	t.Cleanup(p.powerOff)
	return p
}

func (p *process) powerOn(t *testing.T, firstStart bool) {
	t.Helper()
	p.config.FirstStart = firstStart
	text, err := yaml.Marshal(p.config)
	if err != nil {
		t.Fatal(err)
	}
	if err = os.WriteFile(p.path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(p.binary, "front", "-settings", p.path)
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
}

// powerOff kills the process.
func (p *process) powerOff() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// All instances lose power at once, right after the store acknowledged a
// configuration that withdraws a key.
func TestAcknowledgedConfigurationOutlastsPowerLossOfAllInstances(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "pomelospringd")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/pomelospringd").CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	scenarios := []struct {
		name     string
		restores int
	}{
		{name: "in the store's first era"},
		{name: "in a later era", restores: 1},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) { losePower(t, binary, scenario.restores) })
	}
}

// losePower runs a fleet with a store that was restored some times before.
func losePower(t *testing.T, binary string, restores int) {
	store, address, _ := newStoreWithWorker(t)
	for range restores {
		store.Rewind(0, 0)
	}
	processes := make([]*process, 0, 6)
	for i := range cap(processes) {
		processes = append(processes, newProcess(t, binary, []string{"north", "south"}[i%2], address))
	}
	for i, p := range processes {
		eventually(t, fmt.Sprintf("front %d serves", i), func() bool { return p.serves("k1", "a1") })
	}
	putPolicy(store.Put, 2, "k2")
	for _, p := range processes {
		p.powerOff()
	}
	time.Sleep(powerOffTime)
	for _, p := range processes {
		p.powerOn(t, false)
	}
	startedAt := time.Now()
	for i, p := range processes {
		eventually(t, fmt.Sprintf("front %d serves the new key", i), func() bool {
			if status, _, err := p.send("withdrawn", "k1", "a1"); err == nil && status == http.StatusOK {
				t.Errorf("front %d accepts the withdrawn key", i)
			}
			return p.serves("k2", "a1")
		})
		eventually(t, fmt.Sprintf("front %d serves a new adapter", i), func() bool { return p.serves("k2", fmt.Sprint("new", i)) })
	}
	elapsed := time.Since(startedAt)
	t.Logf("recovered after %s", elapsed)
	if elapsed > recoveryTime {
		t.Errorf("recovered after %s, want at most %s", elapsed, recoveryTime)
	}
	for i, p := range processes {
		status, _, err := p.send("r", "k1", "a1")
		if diff := cmp.Diff(http.StatusUnauthorized, status); diff != "" || err != nil {
			t.Errorf("withdrawn key at front %d: %s, %v", i, diff, err)
		}
	}
}
