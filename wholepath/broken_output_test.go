package wholepath_test

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pomelospring/pomelospring/settings"
	"github.com/pomelospring/pomelospring/standin"
)

// TestBrokenOutputDoesNotEndAFront guards against instances that ended with all their
// calls because the reader of their standard output had gone.
func TestBrokenOutputDoesNotEndAFront(t *testing.T) {
	config := settings.DefaultFront()
	config.Name = "front"
	config.Domain = "north"
	config.Domains = []string{"north"}
	for _, address := range []*string{&config.StoreAddress, &config.Listen.Callers, &config.Listen.Readiness, &config.Listen.Peers, &config.Listen.Metrics} {
		reserved, release, err := standin.ReserveAddress()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(release)
		*address = reserved
	}
	encoded, err := yaml.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err = os.WriteFile(path, encoded, 0o600); err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	process := exec.Command(daemonBinary, "front", "-settings", path)
	process.Stdout = writer
	if err = process.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	_ = reader.Close()
	exited := make(chan error, 1)
	go func() { exited <- process.Wait() }()
	select {
	case err = <-exited:
		t.Fatalf("the front ended: %v", err)
	case <-time.After(3 * time.Second):
	}
	response, err := http.Get("http://" + config.Listen.Metrics + "/metrics")
	if err != nil {
		t.Error(err)
	} else {
		_ = response.Body.Close()
	}
	if err = process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err = <-exited:
		if err != nil {
			t.Errorf("a planned stop ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		_ = process.Process.Kill()
		t.Error("the front did not stop")
	}
}
