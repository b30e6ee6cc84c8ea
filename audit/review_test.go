package audit_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pomelospring/pomelospring/audit"
	"github.com/pomelospring/pomelospring/platform"
)

// clean is a configuration without findings.
const clean = `{
"version": 7,
"routes": [
{"name": "orders", "host": "a.example", "path-prefix": "/orders/", "kind": "safe",
 "timeout-ms": 800, "target-latency-ms": 200,
 "service": "app"},
{"name": "chat", "host": "a.example", "path-prefix": "/orders/chat/", "kind": "streaming",
 "timeout-ms": 8000, "gap-target-ms": 300,
 "traffic-split": [{"service": "llm", "weight": 90},
  {"service": "new", "weight": 10}]}
],
"services": [{"name": "app"},
 {"name": "llm", "cold-s": 5, "cold-per-s": 2},
 {"name": "new"}],
"limits": {"max-body-bytes": 1000,
 "idle-timeout-ms": 15000},
"tenants": [
{"name": "shop", "api-keys": ["secret-1",
  "secret-2"],
 "unit": "tokens", "plain-tokens": 200,
 "rate-per-s": 1000, "burst": 2000},
{"name": "bank",
 "api-keys": ["secret-3"],
 "rate-per-s": 5, "burst": 10}
]}`

// place is what a finding names.
type place struct {
	Severity audit.Severity
	Line     int
	Path     string
}

func review(t *testing.T, text string) (findings []audit.Finding) {
	t.Helper()
	draft, _, refused := platform.DecodeDraft([]byte(text))
	_, err := platform.DecodePolicy([]byte(text))
	if (refused != nil) != (err != nil) {
		t.Fatalf("the check refuses: %v, instances refuse: %v", refused, err)
	}
	if refused != nil {
		return []audit.Finding{*refused}
	}
	return audit.Review(draft)
}

func TestReview(t *testing.T) {
	for _, scenario := range []struct {
		name, old, new string
		want           []place
	}{
		{name: "clean"},
		{"syntax", `"version": 7,`, `"version": 7`, []place{{audit.Error, 3, ""}}},
		{"cut off", " \"rate-per-s\": 5, \"burst\": 10}\n]}", ` "rate-per-s": 5`, []place{{audit.Error, 24, ""}}},
		{"mistyped number", `"timeout-ms": 800`, `"timeout-ms": "800"`, []place{{audit.Error, 5, "routes[0].timeout-ms"}}},
		{"mistyped list", `"api-keys": ["secret-3"]`, `"api-keys": "secret-3"`, []place{{audit.Error, 23, "tenants[1].api-keys"}}},
		{"mistyped entry", `{"name": "new"}`, `"new"`, []place{{audit.Error, 14, "services[2]"}}},
		{"nothing", clean, `{}`, []place{{audit.Warning, 1, ""}}},
		{"same prefix", `/orders/chat/`, `/orders/`, []place{{audit.Warning, 7, "routes[1]"}}},
		{"same prefix, host in capitals", `"a.example", "path-prefix": "/orders/chat/"`, `"A.example", "path-prefix": "/orders/"`, []place{{audit.Warning, 7, "routes[1]"}}},
		{"same name", `"name": "chat"`, `"name": "orders"`, []place{{audit.Warning, 7, "routes[1].name"}}},
		{"no slash", `"/orders/"`, `"orders/"`, []place{{audit.Warning, 4, "routes[0].path-prefix"}}},
		{"unknown kind", `"safe"`, `"save"`, []place{{audit.Warning, 4, "routes[0].kind"}}},
		{"no timeout", `"timeout-ms": 800, `, ``, []place{{audit.Warning, 4, "routes[0].timeout-ms"}}},
		{"timeout under target", `"timeout-ms": 800,`, `"timeout-ms": 100,`, []place{{audit.Warning, 5, "routes[0].timeout-ms"}}},
		{"pauses above timeout", `"gap-target-ms": 300`, `"gap-target-ms": 9000`, []place{{audit.Warning, 8, "routes[1].gap-target-ms"}}},
		{"split of weight 0", `"weight": 10}`, `"weight": 0}`, []place{{audit.Warning, 10, "routes[1].traffic-split[1]"}}},
		{"split of no service", `{"service": "new", "weight"`, `{"service": "old", "weight"`, []place{{audit.Warning, 10, "routes[1].traffic-split[1]"}, {audit.Warning, 14, "services[2]"}}},
		{"route of no service", `"service": "app"`, `"service": "ap"`, []place{{audit.Warning, 6, "routes[0].service"}, {audit.Warning, 12, "services[0]"}}},
		{"same service", `{"name": "new"}`, `{"name": "new"}, {"name": "app"}`, []place{{audit.Warning, 14, "services[3].name"}}},
		{"malformed cold", `"cold-s": 5`, `"cold-s": "5"`, []place{{audit.Warning, 13, "services[1].cold-s"}}},
		{"half cold", `, "cold-per-s": 2`, ``, []place{{audit.Warning, 13, "services[1].cold-s"}}},
		{"negative limit", `15000`, `-1`, []place{{audit.Warning, 16, "limits.idle-timeout-ms"}}},
		{"no keys", `["secret-3"]`, `[]`, []place{{audit.Warning, 22, "tenants[1]"}}},
		{"key of two teams", `"secret-3"`, `"secret-2"`, []place{{audit.Warning, 19, "tenants[0].api-keys[1]"}}},
		{"empty key", `"secret-3"`, `""`, []place{{audit.Warning, 23, "tenants[1].api-keys[0]"}}},
		{"same team", `"name": "bank"`, `"name": "shop"`, []place{{audit.Warning, 22, "tenants[1].name"}}},
		{"burst under a request", `"burst": 2000`, `"burst": 100`, []place{{audit.Warning, 21, "tenants[0].burst"}}},
		{"rate under a request", `"rate-per-s": 1000`, `"rate-per-s": 100`, []place{{audit.Warning, 21, "tenants[0].rate-per-s"}}},
		{"burst without rate", `"rate-per-s": 5, `, ``, []place{{audit.Warning, 24, "tenants[1].burst"}}},
		{"negative rate", `"rate-per-s": 5`, `"rate-per-s": -5`, []place{{audit.Warning, 24, "tenants[1].rate-per-s"}}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			if scenario.old != "" && !strings.Contains(clean, scenario.old) {
				t.Fatalf("%q is not in the configuration", scenario.old)
			}
			findings := review(t, strings.Replace(clean, scenario.old, scenario.new, 1))
			got := make([]place, 0, len(findings))
			for _, finding := range findings {
				got = append(got, place{finding.Severity, finding.Line, finding.Path})
				if strings.Contains(finding.String(), "secret") {
					t.Errorf("%s holds a key", finding)
				}
			}
			if diff := cmp.Diff(scenario.want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCompare(t *testing.T) {
	next := strings.NewReplacer(`"timeout-ms": 800,`, `"timeout-ms": 900,`, `"chat"`, `"talk"`, `{"name": "new"}`, `{"name": "new"}, {"name": "more"}`,
		`"secret-3"`, `"secret-4"`, `"burst": 2000`, `"burst": 3000`, `15000`, `16000`).Replace(clean)
	_, inForce, _ := platform.DecodeDraft([]byte(clean))
	_, policy, _ := platform.DecodeDraft([]byte(next))
	differences := audit.Compare(inForce, policy)
	got := make([]string, 0, len(differences))
	for _, difference := range differences {
		got = append(got, difference.String())
	}
	slices.Sort(got)
	want := []string{
		"added key " + audit.KeyPrefix("secret-4") + " of team bank", "added route talk", "added service more",
		"changed limits of callers", "changed route orders", "changed team shop",
		"removed key " + audit.KeyPrefix("secret-3") + " of team bank", "removed route chat",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for version, want := range map[int64]int{6: 1, 7: 1, 8: 0} {
		draft, _, _ := platform.DecodeDraft([]byte(strings.Replace(clean, "7", fmt.Sprint(version), 1)))
		if diff := cmp.Diff(want, len(audit.ReviewVersion(draft, inForce))); diff != "" {
			t.Errorf("version %d: %s", version, diff)
		}
	}
	if same := audit.Compare(inForce, inForce); len(same) > 0 {
		t.Errorf("a configuration differs from itself: %v", same)
	}
}

// manyRoutes returns a configuration with a service, a team and two keys for each route.
func manyRoutes(count int) []byte {
	routes, services, teams := make([]string, count), make([]string, count), make([]string, count)
	for i := range count {
		routes[i] = fmt.Sprintf(`{"name":"r%d","host":"a.example","path-prefix":"/%d/","kind":"safe","timeout-ms":800,"service":"s%d"}`, i, i, i)
		services[i] = fmt.Sprintf(`{"name":"s%d"}`, i)
		teams[i] = fmt.Sprintf(`{"name":"t%d","api-keys":["a%d","b%d"]}`, i, i, i)
	}
	return fmt.Appendf(nil, "{\"routes\":[\n%s],\n\"services\":[\n%s],\n\"tenants\":[\n%s]}",
		strings.Join(routes, ",\n"), strings.Join(services, ",\n"), strings.Join(teams, ",\n"))
}

// TestReviewIsLinear counts allocations, as time depends on the machine.
func TestReviewIsLinear(t *testing.T) {
	allocations := func(count int) float64 {
		text := manyRoutes(count)
		return testing.AllocsPerRun(1, func() {
			draft, policy, refused := platform.DecodeDraft(text)
			if refused != nil {
				t.Fatal(refused)
			}
			if findings := audit.Review(draft); len(findings) > 0 {
				t.Fatal(findings[0])
			}
			audit.Compare(policy, policy)
		})
	}
	const routes = 12_000
	half, whole := allocations(routes/2), allocations(routes)
	t.Logf("%.0f allocations for %d routes, %.0f for %d", half, routes/2, whole, routes)
	if whole > 2.2*half {
		t.Errorf("twice the routes take %.2f times the allocations", whole/half)
	}
}

func BenchmarkCheck(b *testing.B) {
	text := manyRoutes(12_000)
	for b.Loop() {
		draft, policy, _ := platform.DecodeDraft(text)
		audit.Review(draft)
		audit.Compare(policy, policy)
	}
}
