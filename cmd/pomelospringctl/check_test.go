package main_test

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	cleanConfiguration = `{"version":2,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"safe","timeout-ms":9,"service":"app"}],
"services":[{"name":"app"}],"tenants":[{"name":"shop","api-keys":["secret"]}]}`
	olderConfiguration = `{"version":1,"routes":[],"tenants":[{"name":"shop","api-keys":["secret-old"]}]}`
)

func TestCheck(t *testing.T) {
	directory := t.TempDir()
	program := filepath.Join(directory, "pomelospringctl")
	if output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	clean, older := write("clean", cleanConfiguration), write("older", olderConfiguration)
	faulty := write("faulty", strings.Replace(cleanConfiguration, `"timeout-ms":9`, `"timeout-ms":"9"`, 1))
	warned := write("warned", strings.Replace(cleanConfiguration, `["secret"]`, `[]`, 1))
	store := standin.NewStore()
	store.Put(platform.OperatorTopic, platform.PolicyKey, []byte(olderConfiguration))
	server := httptest.NewServer(store)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, scenario := range []struct {
		name   string
		args   []string
		status int
		says   []string
	}{
		{"clean", []string{clean}, 0, nil},
		{"errors", []string{faulty}, 1, []string{faulty + ":1: error: routes[0].timeout-ms: "}},
		{"no file", []string{clean + "-"}, 1, nil},
		{"usage", nil, 2, nil},
		{"warnings", []string{warned}, 3, []string{warned + ":2: warning: tenants[0]: team \"shop\" has no keys"}},
		{"JSON", []string{"-json", warned}, 3, []string{`"line": 2`, `"field": "tenants[0]"`, `"severity": "warning"`}},
		{"against a file", []string{"-against", older, clean}, 0, []string{"added route r", "added service app", "added key ", "removed key "}},
		{"against the store", []string{"-against", address, clean}, 0, []string{"added route r", "removed key "}},
		{"not newer", []string{"-against", clean, older}, 3, []string{":1: warning: version: "}},
		{"against a faulty file", []string{"-against", faulty, clean}, 1, nil},
		{"against no file", []string{"-against", clean + "-", clean}, 1, nil},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			var output bytes.Buffer
			command := exec.Command(program, append([]string{"check"}, scenario.args...)...)
			command.Stdout, command.Stderr = &output, &output
			var exit *exec.ExitError
			if err := command.Run(); err != nil && !errors.As(err, &exit) {
				t.Fatal(err)
			}
			if status := command.ProcessState.ExitCode(); status != scenario.status {
				t.Errorf("status %d, want %d: %s", status, scenario.status, &output)
			}
			for _, text := range scenario.says {
				if !strings.Contains(output.String(), text) {
					t.Errorf("%q is not in: %s", text, &output)
				}
			}
			if strings.Contains(output.String(), "secret") {
				t.Errorf("a key is in: %s", &output)
			}
		})
	}
}
