package session_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/cmd/soak/plan"
	"github.com/pomelospring/pomelospring/cmd/soak/session"
)

const (
	shortSeed = 1
	// shortLength is the time in which faults of the short run begin.
	shortLength = 10 * time.Second
)

func TestShortSoakKeepsAllPromises(t *testing.T) {
	program := filepath.Join(t.TempDir(), "pomelospringd")
	build := exec.Command("go", "build", "-o", program, "github.com/pomelospring/pomelospring/cmd/pomelospringd")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	directory := t.TempDir()
	p := plan.Draw(shortSeed, shortLength)
	report, err := session.Play(t.Context(), program, directory, p)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Errorf("%s: %s", v.Check, v.Text)
	}
	if report.Outcomes["served"] == 0 {
		t.Errorf("no request was served: %v", report.Outcomes)
	}
	kept, err := session.ReadPlan(directory)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(p, kept); diff != "" {
		t.Errorf("the plan kept for a replay: %s", diff)
	}
	again, err := session.Judge(directory)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(report.Outcomes, again.Outcomes); diff != "" {
		t.Errorf("the history kept: %s", diff)
	}
}
