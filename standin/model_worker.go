package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/engine"
)

// ModelWorker simulates an inference engine with continuous batching and a
// limited number of adapter slots. It records the requests and orders that it
// receives.
type ModelWorker struct {
	Name string
	// Slots is the largest number of resident adapters.
	Slots int
	// ChecksFence refuses orders with a fencing number below the highest one seen.
	ChecksFence bool
	// TokenTime is the time that one token takes.
	TokenTime time.Duration
	// Weights is where adapter weights are fetched from on a load.
	Weights pomelospring.WeightStore

	faults   faultInjector
	mu       sync.Mutex
	resident map[string]bool
	// busy counts the requests in progress by model name.
	busy map[string]int
	// fence is the highest fencing number seen.
	fence   int64
	records ModelWorkerRecords
}

// ModelWorkerRecords are the requests and orders that a model worker received.
type ModelWorkerRecords struct {
	Served []ServedRequest `json:"served"`
	// Loads names the loaded adapters in the order of their loads.
	Loads []string `json:"loads"`
	// EvictedBusy names adapters that were unloaded while they served requests.
	EvictedBusy []string `json:"evictedBusy"`
	// RefusedOrders counts orders refused because of an old fencing number.
	RefusedOrders int `json:"refusedOrders"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int `json:"keysSeen"`
}

// ServedRequest is one request that a model worker started to serve.
type ServedRequest struct {
	RequestID        string    `json:"requestId"`
	Model            string    `json:"model"`
	PromptTokens     int64     `json:"promptTokens"`
	CompletionTokens int64     `json:"completionTokens"`
	At               time.Time `json:"at"`
	// Finished is false while the answer is being generated, and stays false if
	// it is cut short.
	Finished bool `json:"finished"`
}

// NewModelWorker returns a worker without resident adapters.
func NewModelWorker(name string, slots int, tokenTime time.Duration, weights pomelospring.WeightStore) *ModelWorker {
	return &ModelWorker{
		Name:      name,
		Slots:     slots,
		TokenTime: tokenTime,
		Weights:   weights,
		resident:  map[string]bool{},
		busy:      map[string]int{},
	}
}

// SetFaults replaces the active faults.
func (m *ModelWorker) SetFaults(faults Faults) {
	m.faults.Set(faults)
}

// Records returns the requests and orders received so far.
func (m *ModelWorker) Records() ModelWorkerRecords {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := m.records
	records.Served = append([]ServedRequest{}, m.records.Served...)
	return records
}

// Restart removes all resident adapters, as a restart of an engine does.
func (m *ModelWorker) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resident = map[string]bool{}
}

// Handler serves the engine's HTTP API, and the worker's faults, records and
// restart under /standin.
func (m *ModelWorker) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/standin/faults", &m.faults).Methods(http.MethodPut)
	router.HandleFunc("/standin/records", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, m.Records())
	})
	router.HandleFunc("/standin/restart", func(w http.ResponseWriter, _ *http.Request) {
		m.Restart()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	router.HandleFunc(engine.PathReport, m.faults.wrap(m.handleReport)).Methods(http.MethodGet)
	router.HandleFunc(engine.PathLoad, m.faults.wrap(m.handleLoad)).Methods(http.MethodPost)
	router.HandleFunc(engine.PathUnload, m.faults.wrap(m.handleUnload)).Methods(http.MethodPost)
	router.HandleFunc(engine.PathChat, m.faults.wrap(m.handleGenerate)).Methods(http.MethodPost)
	router.HandleFunc(engine.PathCompletion, m.faults.wrap(m.handleGenerate)).Methods(http.MethodPost)
	return router
}

func (m *ModelWorker) handleReport(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := pomelospring.LoadReport{
		At:       time.Now(),
		Resident: []string{},
		Busy:     map[string]int{},
	}
	for name := range m.resident {
		report.Resident = append(report.Resident, name)
	}
	for name, count := range m.busy {
		report.Running += count
		report.Busy[name] = count
	}
	writeJSON(w, http.StatusOK, report)
}

// checkFence refuses an order with an old fencing number if the worker checks
// them, and records the highest number seen.
func (m *ModelWorker) checkFence(r *http.Request) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	fence, _ := strconv.ParseInt(r.Header.Get(engine.HeaderFence), 10, 64)
	if m.ChecksFence && fence < m.fence {
		m.records.RefusedOrders++
		return fmt.Errorf("fencing number %d is below %d", fence, m.fence)
	}
	m.fence = max(m.fence, fence)
	return nil
}

func (m *ModelWorker) handleLoad(w http.ResponseWriter, r *http.Request) {
	var order engine.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := m.checkFence(r); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if err := m.load(r, order); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// load fetches the weights of an adapter and puts it into a free slot.
func (m *ModelWorker) load(r *http.Request, order engine.LoadOrder) error {
	if m.faults.Get().FailLoads {
		return errors.New("adapter load failed")
	}
	name, err := pomelospring.ParseAdapterVersion(order.Name)
	if err != nil {
		return err
	}
	if err := m.Weights.Fetch(r.Context(), name); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.resident[order.Name] && len(m.resident) >= m.Slots {
		return fmt.Errorf("all %d adapter slots are occupied", m.Slots)
	}
	m.resident[order.Name] = true
	m.records.Loads = append(m.records.Loads, order.Name)
	return nil
}

func (m *ModelWorker) handleUnload(w http.ResponseWriter, r *http.Request) {
	var order engine.UnloadOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := m.checkFence(r); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[order.Name] > 0 {
		m.records.EvictedBusy = append(m.records.EvictedBusy, order.Name)
	}
	delete(m.resident, order.Name)
	w.WriteHeader(http.StatusOK)
}

// generateRequest holds the fields of a generation request that the simulated
// engine uses.
type generateRequest struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	Prompt    string           `json:"prompt"`
	MaxTokens int64            `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// prompt returns the text of the prompt or of all messages.
func (g generateRequest) prompt() string {
	text := g.Prompt
	for _, message := range g.Messages {
		text += string(message.Content) + " "
	}
	return text
}

func (m *ModelWorker) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request generateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	index, found := m.beginRequest(r, request)
	if !found {
		http.Error(w, fmt.Sprintf("model %s is not loaded", request.Model), http.StatusNotFound)
		return
	}
	defer m.endRequest(request.Model)
	id := r.Header.Get(engine.HeaderRequestID)
	w.Header().Set(engine.HeaderRequestID, id)
	words := answerWords(request)
	if request.Stream {
		m.stream(w, r, request, id, words, index)
		return
	}
	for range words {
		if !m.waitTokenTime(r) {
			return
		}
	}
	m.recordFinished(index, int64(len(words)))
	text := strings.Join(words, "")
	writeJSON(w, http.StatusOK, answerBody(r.URL.Path, id, request, text, len(words), "message"))
}

// answerWords returns the answer's tokens. They repeat the model and the prompt,
// so that a test detects an answer that reaches the wrong caller.
func answerWords(request generateRequest) []string {
	promptWords := strings.Fields(request.prompt())
	words := append(make([]string, 0, len(promptWords)+5), "answer ", "of ", request.Model, " to", ":")
	for _, word := range promptWords {
		words = append(words, " "+strings.Trim(word, `"`))
	}
	limit := int64(len(words))
	if request.MaxTokens > 0 {
		limit = min(limit, request.MaxTokens)
	}
	return words[:limit]
}

// beginRequest records a request and returns its index in the records; found is
// false if its model isn't resident.
func (m *ModelWorker) beginRequest(r *http.Request, request generateRequest) (index int, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Header.Get("Authorization") != "" {
		m.records.KeysSeen++
	}
	if !m.resident[request.Model] {
		return 0, false
	}
	m.busy[request.Model]++
	m.records.Served = append(m.records.Served, ServedRequest{
		RequestID:    r.Header.Get(engine.HeaderRequestID),
		Model:        request.Model,
		PromptTokens: int64(len(strings.Fields(request.prompt()))),
		At:           time.Now(),
	})
	return len(m.records.Served) - 1, true
}

func (m *ModelWorker) endRequest(model string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy[model]--
	if m.busy[model] == 0 {
		delete(m.busy, model)
	}
}

// recordFinished records a complete answer and its number of tokens.
func (m *ModelWorker) recordFinished(index int, tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records.Served[index].CompletionTokens = tokens
	m.records.Served[index].Finished = true
}

// recordTokens records the number of tokens sent so far.
func (m *ModelWorker) recordTokens(index int, tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records.Served[index].CompletionTokens = tokens
}

// waitTokenTime waits for the time of one token; it returns false if the caller
// leaves first.
func (m *ModelWorker) waitTokenTime(r *http.Request) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(m.TokenTime):
		return true
	}
}

// stream sends an answer as server-sent events: one for each token, then one with
// the usage. It records the tokens sent, also if the answer is cut short.
func (m *ModelWorker) stream(w http.ResponseWriter, r *http.Request, request generateRequest, id string, words []string, index int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i, word := range words {
		if !m.waitTokenTime(r) {
			return
		}
		if dropAfter := m.faults.Get().DropAfterTokens; dropAfter > 0 && i >= dropAfter {
			panic(http.ErrAbortHandler)
		}
		m.recordTokens(index, int64(i+1))
		writeEvent(w, answerBody(r.URL.Path, id, request, word, 0, "delta"))
		_ = flusher.Flush()
	}
	m.recordFinished(index, int64(len(words)))
	last := answerBody(r.URL.Path, id, request, "", len(words), "")
	writeEvent(w, last)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// writeEvent writes one server-sent event.
func writeEvent(w http.ResponseWriter, body map[string]any) {
	encoded, _ := json.Marshal(body)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
}

// answerBody returns an answer in the format of the OpenAI API. tokens above 0
// add the usage. textField is the field of a chat choice that holds the text
// (message or delta); if it is empty, the answer has no choices.
func answerBody(path, id string, request generateRequest, text string, tokens int, textField string) map[string]any {
	choices := []any{}
	if textField != "" {
		choice := map[string]any{
			"index": 0,
		}
		if path == engine.PathChat {
			choice[textField] = map[string]any{
				"role":    "assistant",
				"content": text,
			}
		} else {
			choice["text"] = text
		}
		choices = append(choices, choice)
	}
	body := map[string]any{
		"id":      "cmpl-" + id,
		"object":  "chat.completion",
		"model":   request.Model,
		"choices": choices,
	}
	if tokens > 0 {
		prompt := int64(len(strings.Fields(request.prompt())))
		body["usage"] = engine.Usage{
			PromptTokens:     prompt,
			CompletionTokens: int64(tokens),
			TotalTokens:      prompt + int64(tokens),
		}
	}
	return body
}
