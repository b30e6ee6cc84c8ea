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

// noPeers is a loan client for an instance without peers; it borrows nothing.
type noPeers struct{}

// Borrow implements admission.LoanClient.
func (noPeers) Borrow(context.Context, string, float64, time.Duration) lending.Loans {
	return lending.Loans{}
}

// Spent implements admission.LoanClient.
func (noPeers) Spent(lending.Loans) {}

// Close implements admission.LoanClient.
func (noPeers) Close(_ lending.Loans, unused float64) float64 { return unused }

// counters discards all counts.
type counters struct{}

// Served implements caller.Counters.
func (counters) Served(string, time.Duration) {}

// Refused implements caller.Counters.
func (counters) Refused(string, pomelospring.Code) {}

const secret = "ps-secret"

// foldOperations returns the configuration after a change with the operations.
func foldOperations(t testing.TB, operations ...configuration.Operation) *configuration.State {
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

// newHandler returns the API of an instance with no budget and no application
// workers: a valid model request is refused with budgetFilling.
func newHandler(t testing.TB) http.Handler {
	board := blackboard.New(pomelospring.Instance{
		ID: "self",
	})
	board.Configuration.Set(foldOperations(t,
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
			LoanClient: noPeers{},
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

// reply is the part of a response that the tests compare.
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
		t.Fatalf("the response is not JSON: %q", data)
	}
	if decoded.Error.Code != "" && decoded.Error.Message == "" {
		t.Errorf("refusal %s has no message", decoded.Error.Code)
	}
	return reply{
		Status:  recorder.Code,
		Code:    decoded.Error.Code,
		Outcome: decoded.Error.Outcome,
	}
}

// badBodies returns invalid chat request bodies by a description of the fault.
func badBodies() map[string]string {
	bodies := map[string]string{
		"an empty body":               ``,
		"a truncated object":          `{"model":`,
		"a list":                      `[]`,
		"a number":                    `7`,
		"a string":                    `"hello"`,
		"not JSON":                    `model=billing`,
		"invalid UTF-8":               "\xff\xfe",
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

// refused returns the reply to a refused request, which never runs.
func refused(status int, code string) reply {
	return reply{
		Status:  status,
		Code:    code,
		Outcome: "notRun",
	}
}

// TestBadRequests sends requests that must be refused with a typed error before
// any backend server is called, then checks that the API still answers.
func TestBadRequests(t *testing.T) {
	handler := newHandler(t)
	bearer := "Bearer " + secret
	validBody := `{"model":"billing@v2","messages":[{"role":"user","content":"hello"}]}`
	var scenarios []scenario
	add := func(name, method, path, key, body string, want reply) {
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
	badRequest := refused(http.StatusBadRequest, "badRequest")
	add("no key", "POST", chat, "", validBody, refused(401, "keyMissing"))
	add("a key with the Basic scheme", "POST", chat, "Basic "+secret, validBody, refused(401, "keyMissing"))
	add("a bearer without a key", "POST", chat, "Bearer ", validBody, refused(401, "keyMissing"))
	add("an unknown key", "POST", chat, "Bearer ps-other", validBody, refused(401, "keyUnknown"))
	add("the hash instead of the key", "POST", chat, "Bearer "+admission.Hash(secret), validBody, refused(401, "keyUnknown"))
	add("a key that contains a space", "POST", chat, bearer+" x", validBody, refused(401, "keyUnknown"))
	add("a very long key", "POST", chat, "Bearer "+strings.Repeat("k", 10000), validBody, refused(401, "keyUnknown"))
	add("a version that the team may not call", "POST", chat, bearer, strings.Replace(validBody, "v2", "v1", 1), refused(403, "adapterNotAllowed"))
	add("an adapter that the team may not call", "POST", chat, bearer, strings.Replace(validBody, "billing", "other", 1), refused(403, "adapterNotAllowed"))
	add("a body over the limit", "POST", chat, bearer, validBody+strings.Repeat(" ", 4096), refused(413, "bodyTooLarge"))
	add("a request over the burst", "POST", chat, bearer, strings.Replace(validBody, `"messages"`, `"max_tokens":5000,"messages"`, 1), refused(400, "largerThanBurst"))
	add("a body that contains the caller's key", "POST", chat, bearer, strings.Replace(validBody, "hello", secret, 1), badRequest)
	add("a valid request without budget", "POST", chat, bearer, validBody, refused(503, "budgetFilling"))
	add("a wrong method for chat", "GET", chat, bearer, "", badRequest)
	add("a wrong method for the models", "DELETE", "/v1/models", bearer, "", badRequest)
	add("a path that does not exist", "POST", "/v1/embeddings", bearer, validBody, refused(404, "notFound"))
	add("the root", "GET", "/", bearer, "", refused(404, "notFound"))
	add("a completion without a prompt", "POST", "/v1/completions", bearer, `{"model":"billing@v2"}`, badRequest)
	add("a completion with messages", "POST", "/v1/completions", bearer, validBody, badRequest)
	add("models without a key", "GET", "/v1/models", "", "", refused(401, "keyMissing"))
	add("a model that is not the team's", "GET", "/v1/models/billing@v1", bearer, "", refused(403, "adapterNotAllowed"))
	add("a model without a version", "GET", "/v1/models/billing", bearer, "", badRequest)
	add("a service that does not exist", "POST", "/services/nothing/x", bearer, "x", refused(404, "notFound"))
	add("a service without a key", "POST", "/services/orders/cut", "", "x", refused(401, "keyMissing"))
	add("a service with an unknown key", "POST", "/services/orders/cut", "Bearer x", "x", refused(401, "keyUnknown"))
	add("a service body over the limit", "POST", "/services/orders/cut", bearer, strings.Repeat("x", 4096), refused(413, "bodyTooLarge"))
	add("a service body with the key", "POST", "/services/orders/cut", bearer, secret, badRequest)
	add("a service query with the key", "POST", "/services/orders/cut?key="+secret, bearer, "x", badRequest)
	add("a service path with the key", "POST", "/services/orders/"+secret, bearer, "x", badRequest)
	add("a service without a worker", "POST", "/services/orders/cut", bearer, "x", refused(503, "noBackendServer"))
	for name, body := range badBodies() {
		add(name, "POST", chat, bearer, body, badRequest)
	}
	if len(scenarios) < 100 {
		t.Errorf("only %d scenarios; want at least 100", len(scenarios))
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if diff := cmp.Diff(s.want, send(t, handler, s.method, s.path, s.key, s.body)); diff != "" {
				t.Error(diff)
			}
		})
	}
	if got := send(t, handler, "GET", "/v1/models", bearer, ""); got.Status != http.StatusOK {
		t.Errorf("after the refused requests, the list of models is answered with %+v", got)
	}
	t.Logf("%d refused requests", len(scenarios))
}

// FuzzChat sends arbitrary chat bodies to an API without budget; each must be
// refused with a typed error that says that the request did not run.
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
