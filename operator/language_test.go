package operator_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/operator"
)

func state() *configuration.State {
	s := configuration.NewState()
	s.Teams["red"] = pomelospring.Team{
		Name:  "red",
		Rate:  10,
		Burst: 100,
		Adapters: map[string][]string{
			"billing": {"v1", "v2"},
		},
	}
	s.BackendServers["m1"] = pomelospring.BackendServer{
		Name:    "m1",
		Kind:    pomelospring.ModelWorker,
		Address: "127.0.0.1:1",
		Domain:  "a",
		Base:    "llama",
		Slots:   4,
		Running: 8,
	}
	return s
}

func TestDiff(t *testing.T) {
	scenarios := []struct {
		text string
		want []string
	}{
		{
			text: "set team red rate 20",
			want: []string{"- team/red rate 10 burst 100 adapters [billing@v1,v2]", "+ team/red rate 20 burst 100 adapters [billing@v1,v2]"},
		},
		{
			text: "set team red rate 10",
			want: []string{"= team/red rate 10 burst 100 adapters [billing@v1,v2]"},
		},
		{
			text: "set team blue rate 1.5 burst 3; allow team blue adapter * versions *",
			want: []string{"+ team/blue rate 1.5 burst 3 adapters []", "+ team/blue rate 1.5 burst 3 adapters [*@*]"},
		},
		{
			text: "deny team red adapter billing versions v1",
			want: []string{"- team/red rate 10 burst 100 adapters [billing@v1,v2]", "+ team/red rate 10 burst 100 adapters [billing@v2]"},
		},
		{
			text: "set route orders service cutting open idempotent",
			want: []string{"+ route/orders service cutting idempotent true open true"},
		},
		{
			text: "create key web team red",
			want: []string{"+ key/web team red"},
		},
		{
			text: "delete server m1",
			want: []string{`- server/m1 model address 127.0.0.1:1 domain a base "llama" service "" slots 4 running 8 checksFence false draining false`},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.text, func(t *testing.T) {
			script, err := operator.Parse(scenario.text)
			if err != nil {
				t.Fatal(err)
			}
			plan, err := operator.NewPlan(script, state())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(scenario.want, operator.Diff(state(), plan.Operations)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestRejectsInvalidCommands(t *testing.T) {
	scenarios := []struct {
		text      string
		wantError string
	}{
		{text: "", wantError: "empty"},
		{text: "   ;", wantError: "1:"},
		{text: "show", wantError: "expected"},
		{text: "show colours", wantError: `unexpected token "colours"`},
		{text: "set team", wantError: "1:9"},
		{text: "set team red rate fast", wantError: `"fast"`},
		{text: "set server m2 address x", wantError: "domain"},
		{text: "set adapter x", wantError: "base"},
		{text: "drain m2", wantError: `no backend server "m2"`},
		{text: "allow team green adapter x", wantError: `no team "green"`},
		{text: "create key a team red; create key b team red", wantError: "one key"},
		{text: "grant everything", wantError: `unexpected token "grant"`},
		{text: "set team red rate 1 \x00", wantError: "invalid input"},
		{text: strings.Repeat("x", 2<<20), wantError: "over"},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.wantError, func(t *testing.T) {
			script, err := operator.Parse(scenario.text)
			if err == nil {
				_, err = operator.NewPlan(script, state())
			}
			if err == nil || !strings.Contains(err.Error(), scenario.wantError) {
				t.Errorf("the error does not contain %q: %v", scenario.wantError, err)
			}
		})
	}
}

// FuzzLanguage plans every text that parses; neither step may panic.
func FuzzLanguage(f *testing.F) {
	f.Add("set team red rate 20; show teams")
	f.Add("set server m1 address 1:2 domain d model b slots 4 running 8 checksFence")
	f.Fuzz(func(_ *testing.T, text string) {
		script, err := operator.Parse(text)
		if err != nil {
			return
		}
		plan, err := operator.NewPlan(script, state())
		if err == nil {
			operator.Diff(state(), plan.Operations)
			_ = configuration.Validate(state(), plan.Operations)
		}
	})
}

// FuzzRecord folds arbitrary records; each must advance the offset, and none may
// panic.
func FuzzRecord(f *testing.F) {
	f.Add("change", `{"madeAgainst":1,"operations":[{"setTeam":{"name":"x"}}]}`)
	f.Add("change", `{"operations":[{}]}`)
	f.Fuzz(func(t *testing.T, kind, body string) {
		next := configuration.Fold(state(), pomelospring.StoredRecord{
			Record: pomelospring.Record{
				ID:   "x",
				Kind: kind,
				Body: []byte(body),
			},
		})
		if next.Next != 1 {
			t.Errorf("the offset is %d, not 1", next.Next)
		}
	})
}
