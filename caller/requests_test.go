package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/caller"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/lending"
)

// alone lends nothing: this instance has no peers.
type alone struct{}

// Borrow implements admission.Lender.
func (alone) Borrow(context.Context, string, float64) lending.Loans { return lending.Loans{} }

// Spent implements admission.Lender.
func (alone) Spent(lending.Loans) {}

// Close implements admission.Lender.
func (alone) Close(_ lending.Loans, unused float64) float64 { return unused }

// counters count nothing.
type counters struct{}

// Served implements caller.Counters.
func (counters) Served(string, time.Duration) {}

// Refused implements caller.Counters.
func (counters) Refused(string, pomelospring.Code) {}

const secret = "ps-secret"

func fold(t testing.TB, operations ...configuration.Operation) *configuration.State {
	record, err := pomelospring.NewRecord("1", configuration.KindChange, time.Now(), configuration.Change{
		Operations: operations,
	})
	if err != nil {
		t.Fatal(err)
	}
	return configuration.Fold(configuration.NewState(), pomelospring.StoredRecord{
		Record: record,
	})
}

// newHandler is a daemon's API before any backend server: what gets past the
// checks is refused as over the rate.
func newHandler(t testing.TB) http.Handler {
	board := blackboard.New(pomelospring.Instance{
		ID: "self",
	})
	board.Configuration.Set(fold(t,
		configuration.Operation{
			SetTeam: &pomelospring.Team{
				Name:  "red",
				Rate:  100,
				Burst: 1000,
				Adapters: map[string][]string{
					"billing": {"v2"},
				},
			},
		},
		configuration.Operation{
			SetKey: &pomelospring.Key{
				ID:   "web",
				Team: "red",
				Hash: admission.Hash(secret),
			},
		},
		configuration.Operation{
			SetAdapter: &pomelospring.Adapter{
				Name:     "billing",
				Base:     "llama",
				Versions: []string{"v1", "v2"},
			},
		},
		configuration.Operation{
			SetRoute: &pomelospring.Route{
				Path:    "orders",
				Service: "orders",
			},
		},
	), time.Now())
	logger := &log.Logger{
		Handler: discard.New(),
	}
	handler := &caller.Handler{
		Board: board,
		Charger: &admission.Charger{
			Bank:       budget.NewBank(),
			LoanClient: alone{},
			Clock:      time.Now,
		},
		Services: &caller.Services{
			Board:  board,
			Logger: logger,
			Clock:  time.Now,
		},
		Metrics:  http.NotFoundHandler(),
		Counters: counters{},
		Limits: caller.Limits{
			BodyBytes:     2048,
			BodyTime:      time.Second,
			WriteTime:     time.Second,
			StartTime:     time.Second,
			TotalTime:     time.Second,
			MaxTokens:     16,
			BytesPerToken: 1,
			KeysTrusted:   time.Minute,
		},
		Logger: logger,
		Clock:  time.Now,
	}
	return handler.Router()
}

type reply struct {
	Status  int
	Code    string
	Outcome string
}

func send(t testing.TB, handler http.Handler, method, path, key, body string) reply {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", key)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	data, err := io.ReadAll(recorder.Body)
	if err != nil {
		t.Fatal(err)
	}
	var decoded caller.ErrorBody
	if err := json.Unmarshal(data, &decoded); err != nil {
		t.Fatalf("the answer is not JSON: %q", data)
	}
	if decoded.Error.Code != "" && decoded.Error.Message == "" {
		t.Errorf("the refusal %s says nothing", decoded.Error.Code)
	}
	return reply{
		Status:  recorder.Code,
		Code:    decoded.Error.Code,
		Outcome: decoded.Error.Outcome,
	}
}

// badBodies are bodies of a chat that each have one fault.
func badBodies() map[string]string {
	bodies := map[string]string{
		"an empty body":               ``,
		"half an object":              `{"model":`,
		"a list":                      `[]`,
		"a number":                    `7`,
		"a string":                    `"hello"`,
		"not JSON":                    `model=billing`,
		"a byte that is no UTF-8":     "\xff\xfe",
		"two objects":                 `{"model":"billing@v2"}{"model":"billing@v2"}`,
		"no model":                    `{"messages":[{"role":"user","content":"x"}]}`,
		"an empty model":              `{"model":"","messages":[{"role":"user","content":"x"}]}`,
		"a model that is a number":    `{"model":7,"messages":[{"role":"user","content":"x"}]}`,
		"no messages":                 `{"model":"billing@v2"}`,
		"empty messages":              `{"model":"billing@v2","messages":[]}`,
		"messages that are an object": `{"model":"billing@v2","messages":{}}`,
		"messages that are text":      `{"model":"billing@v2","messages":"x"}`,
		"a message without a role":    `{"model":"billing@v2","messages":[{"content":"x"}]}`,
		"a message that is a number":  `{"model":"billing@v2","messages":[5]}`,
		"a role that is a number":     `{"model":"billing@v2","messages":[{"role":5}]}`,
		"null":                        `null`,
		"a model that is null":        `{"model":null,"messages":[{"role":"user","content":"x"}]}`,
		"messages that are null":      `{"model":"billing@v2","messages":null}`,
		"a message that is null":      `{"model":"billing@v2","messages":[null]}`,
		"an empty role":               `{"model":"billing@v2","messages":[{"role":"","content":"x"}]}`,
		"deep nesting":                strings.Repeat("[", 1500),
	}
	for field, values := range map[string][]string{
		"max_tokens":            {`0`, `-1`, `"many"`, `1.5`, `2147483648`, `99999999999999999999`, `{}`, `[]`, `true`},
		"max_completion_tokens": {`0`, `-5`, `"x"`, `0.5`, `2147483648`},
		"stream":                {`"yes"`, `1`, `{}`, `[]`, `"true"`},
		"stream_options":        {`7`, `"x"`, `[]`, `{"include_usage":"x"}`, `{"include_usage":1}`},
		"n":                     {`0`, `2`, `-1`, `"x"`, `1.5`, `{}`},
		"best_of":               {`2`, `0`, `"x"`, `[]`},
		"priority":              {`101`, `-101`, `"high"`, `1.5`, `{}`},
	} {
		for _, value := range values {
			name := fmt.Sprintf("%s is %s", field, value)
			bodies[name] = fmt.Sprintf(`{"model":"billing@v2","messages":[{"role":"user","content":"x"}],%q:%s}`, field, value)
		}
	}
	for _, model := range []string{"billing", "@v2", "billing@", "@", "billing:v2", " ", "billing v2"} {
		bodies[fmt.Sprintf("model %q", model)] = fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"x"}]}`, model)
	}
	return bodies
}

type scenario struct {
	name   string
	method string
	path   string
	key    string
	body   string
	want   reply
}

func refused(status int, code string) reply {
	return reply{
		Status:  status,
		Code:    code,
		Outcome: "notRun",
	}
}

func TestBadRequests(t *testing.T) {
	handler := newHandler(t)
	bearer := "Bearer " + secret
	good := `{"model":"billing@v2","messages":[{"role":"user","content":"hello"}]}`
	var scenarios []scenario
	try := func(name, method, path, key, body string, want reply) {
		scenarios = append(scenarios, scenario{
			name:   name,
			method: method,
			path:   path,
			key:    key,
			body:   body,
			want:   want,
		})
	}
	chat := "/v1/chat/completions"
	bad := refused(http.StatusBadRequest, "badRequest")
	try("no key", "POST", chat, "", good, refused(401, "keyMissing"))
	try("a key of another scheme", "POST", chat, "Basic "+secret, good, refused(401, "keyMissing"))
	try("a bearer without a key", "POST", chat, "Bearer ", good, refused(401, "keyMissing"))
	try("an unknown key", "POST", chat, "Bearer ps-other", good, refused(401, "keyUnknown"))
	try("the hash in place of the key", "POST", chat, "Bearer "+admission.Hash(secret), good, refused(401, "keyUnknown"))
	try("a key with a space in it", "POST", chat, bearer+" x", good, refused(401, "keyUnknown"))
	try("a very long key", "POST", chat, "Bearer "+strings.Repeat("k", 10000), good, refused(401, "keyUnknown"))
	try("a version that the team may not call", "POST", chat, bearer, strings.Replace(good, "v2", "v1", 1), refused(403, "adapterNotAllowed"))
	try("an adapter that the team may not call", "POST", chat, bearer, strings.Replace(good, "billing", "other", 1), refused(403, "adapterNotAllowed"))
	try("a body over the limit", "POST", chat, bearer, good+strings.Repeat(" ", 4096), refused(413, "bodyTooLarge"))
	try("a request over the burst", "POST", chat, bearer, strings.Replace(good, `"messages"`, `"max_tokens":5000,"messages"`, 1), refused(400, "largerThanBurst"))
	try("a body with the caller's key in it", "POST", chat, bearer, strings.Replace(good, "hello", secret, 1), bad)
	try("a good request while there is no budget", "POST", chat, bearer, good, refused(503, "budgetFilling"))
	try("the wrong method", "GET", chat, bearer, "", bad)
	try("the wrong method at the models", "DELETE", "/v1/models", bearer, "", bad)
	try("a path that does not exist", "POST", "/v1/embeddings", bearer, good, refused(404, "notFound"))
	try("the root", "GET", "/", bearer, "", refused(404, "notFound"))
	try("a completion without a prompt", "POST", "/v1/completions", bearer, `{"model":"billing@v2"}`, bad)
	try("a completion with messages", "POST", "/v1/completions", bearer, good, bad)
	try("models without a key", "GET", "/v1/models", "", "", refused(401, "keyMissing"))
	try("a model that is not the team's", "GET", "/v1/models/billing@v1", bearer, "", refused(403, "adapterNotAllowed"))
	try("a model without a version", "GET", "/v1/models/billing", bearer, "", bad)
	try("a service that does not exist", "POST", "/services/nothing/x", bearer, "x", refused(404, "notFound"))
	try("a service without a key", "POST", "/services/orders/cut", "", "x", refused(401, "keyMissing"))
	try("a service with a key that is unknown", "POST", "/services/orders/cut", "Bearer x", "x", refused(401, "keyUnknown"))
	try("a service body over the limit", "POST", "/services/orders/cut", bearer, strings.Repeat("x", 4096), refused(413, "bodyTooLarge"))
	try("a service body with the key", "POST", "/services/orders/cut", bearer, secret, bad)
	try("a service query with the key", "POST", "/services/orders/cut?key="+secret, bearer, "x", bad)
	try("a service path with the key", "POST", "/services/orders/"+secret, bearer, "x", bad)
	try("a service without a worker", "POST", "/services/orders/cut", bearer, "x", refused(503, "noBackendServer"))
	for name, body := range badBodies() {
		try(name, "POST", chat, bearer, body, bad)
	}
	if len(scenarios) < 100 {
		t.Errorf("only %d requests are tried", len(scenarios))
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if diff := cmp.Diff(s.want, send(t, handler, s.method, s.path, s.key, s.body)); diff != "" {
				t.Error(diff)
			}
		})
	}
	if got := send(t, handler, "GET", "/v1/models", bearer, ""); got.Status != http.StatusOK {
		t.Errorf("after all that the daemon answers %+v", got)
	}
	t.Logf("%d bad requests", len(scenarios))
}

// FuzzChat sends any body; the answer must always be a typed refusal.
func FuzzChat(f *testing.F) {
	for _, body := range badBodies() {
		f.Add(body)
	}
	handler := newHandler(f)
	f.Fuzz(func(t *testing.T, body string) {
		got := send(t, handler, "POST", "/v1/chat/completions", "Bearer "+secret, body)
		if got.Status < 400 || got.Outcome != "notRun" {
			t.Errorf("%q is answered with %+v", body, got)
		}
	})
}
