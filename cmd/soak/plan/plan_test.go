package plan_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/cmd/soak/plan"
)

func TestSeedGivesOnePlanWithAllKinds(t *testing.T) {
	for seed := range uint64(20) {
		p := plan.Draw(seed, time.Minute)
		if diff := cmp.Diff(p, plan.Draw(seed, time.Minute)); diff != "" {
			t.Errorf("seed %d drawn twice: %s", seed, diff)
		}
		for _, kind := range plan.Kinds() {
			if !slices.ContainsFunc(p.Steps, func(s plan.Step) bool { return s.Kind == kind }) {
				t.Errorf("seed %d has no %s", seed, kind)
			}
		}
	}
}

func TestResizedPlanKeepsItsFaults(t *testing.T) {
	usual, large := plan.Draw(1, time.Minute), plan.Draw(1, time.Minute)
	large.Resize(204)
	expected := plan.Plan{
		Seed:         1,
		Domains:      7,
		Instances:    204,
		ModelWorkers: 31,
		OrderServers: 28,
		Steps:        usual.Steps,
	}
	if diff := cmp.Diff(expected, large); diff != "" {
		t.Error(diff)
	}
}

func TestReleaseSwitchesEachInstanceForthAndBack(t *testing.T) {
	p := plan.Draw(3, time.Minute)
	faults := len(p.Steps)
	p.AddRelease(time.Minute)
	switches := map[int]int{}
	for n, step := range p.Steps {
		if n > 0 && step.Begin < p.Steps[n-1].Begin {
			t.Errorf("step %d begins before the one before", n)
		}
		if step.Kind == plan.SwitchBuild {
			switches[step.Target]++
		}
	}
	if diff := cmp.Diff(map[int]int{0: 2, 1: 2, 2: 2, 3: 2}, switches); diff != "" {
		t.Errorf("switches by instance: %s", diff)
	}
	if len(p.Steps) != faults+2*p.Instances {
		t.Errorf("%d steps, wanted %d", len(p.Steps), faults+2*p.Instances)
	}
}
