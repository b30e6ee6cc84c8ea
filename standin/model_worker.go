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

// ModelWorker is a stand-in of an engine that batches continuously and holds
// a few adapters. It keeps a record of everything that it was asked.
type ModelWorker struct {
	Name  string
	Slots int
	// ChecksFence refuses orders with a fencing number below the highest seen.
	ChecksFence bool
	// TokenTime is the time between tokens.
	TokenTime time.Duration
	Weights   pomelospring.WeightStore

	faults   faultBox
	mu       sync.Mutex
	resident map[string]bool
	busy     map[string]int
	fence    int64
	records  ModelWorkerRecords
}

// ModelWorkerRecords is what a model worker was asked.
type ModelWorkerRecords struct {
	Served []ServedRequest `json:"served"`
	Loads  []string        `json:"loads"`
	// EvictedBusy names adapters that were unloaded while serving.
	EvictedBusy []string `json:"evictedBusy"`
	// RefusedOrders counts orders refused for an old fencing number.
	RefusedOrders int `json:"refusedOrders"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int `json:"keysSeen"`
}

// ServedRequest is one request that reached a worker.
type ServedRequest struct {
	RequestID        string    `json:"requestId"`
	Model            string    `json:"model"`
	PromptTokens     int64     `json:"promptTokens"`
	CompletionTokens int64     `json:"completionTokens"`
	At               time.Time `json:"at"`
	Finished         bool      `json:"finished"`
}

// NewModelWorker makes an empty worker.
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

// SetFaults replaces the faults in force.
func (m *ModelWorker) SetFaults(faults Faults) {
	m.faults.Set(faults)
}

// Records returns what the worker was asked so far.
func (m *ModelWorker) Records() ModelWorkerRecords {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := m.records
	records.Served = append([]ServedRequest{}, m.records.Served...)
	return records
}

// Restart empties the worker, as a restart of the engine does.
func (m *ModelWorker) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resident = map[string]bool{}
}

// Handler serves the worker's HTTP API.
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

// checkOrder refuses an order with an old fencing number.
func (m *ModelWorker) checkOrder(r *http.Request) error {
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
	if err := m.checkOrder(r); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if err := m.load(r, order); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (m *ModelWorker) load(r *http.Request, order engine.LoadOrder) error {
	if m.faults.Get().FailLoads {
		return errors.New("the load failed")
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
		return fmt.Errorf("all %d slots are taken", m.Slots)
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
	if err := m.checkOrder(r); err != nil {
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

// generation is the part of a request that the stand-in reads.
type generation struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	Prompt    string           `json:"prompt"`
	MaxTokens int64            `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

func (g generation) prompt() string {
	text := g.Prompt
	for _, message := range g.Messages {
		text += string(message.Content) + " "
	}
	return text
}

func (m *ModelWorker) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request generation
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	index, found := m.begin(r, request)
	if !found {
		http.Error(w, fmt.Sprintf("model %s is not loaded", request.Model), http.StatusNotFound)
		return
	}
	defer m.end(request.Model)
	id := r.Header.Get(engine.HeaderRequestID)
	w.Header().Set(engine.HeaderRequestID, id)
	words := answerWords(request)
	if request.Stream {
		m.stream(w, r, request, id, words, index)
		return
	}
	for range words {
		if !m.sleep(r) {
			return
		}
	}
	m.finish(index, int64(len(words)))
	chat := strings.Join(words, "")
	writeJSON(w, http.StatusOK, answerBody(r.URL.Path, id, request, chat, len(words), "message"))
}

// answerWords says who answers whom, so that a test can tell a crossed answer.
func answerWords(request generation) []string {
	asked := strings.Fields(request.prompt())
	words := append(make([]string, 0, len(asked)+5), "answer ", "of ", request.Model, " to", ":")
	for _, word := range asked {
		words = append(words, " "+strings.Trim(word, `"`))
	}
	limit := int64(len(words))
	if request.MaxTokens > 0 {
		limit = min(limit, request.MaxTokens)
	}
	return words[:limit]
}

func (m *ModelWorker) begin(r *http.Request, request generation) (index int, found bool) {
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

func (m *ModelWorker) end(model string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy[model]--
	if m.busy[model] == 0 {
		delete(m.busy, model)
	}
}

func (m *ModelWorker) finish(index int, tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records.Served[index].CompletionTokens = tokens
	m.records.Served[index].Finished = true
}

func (m *ModelWorker) count(index int, tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records.Served[index].CompletionTokens = tokens
}

func (m *ModelWorker) sleep(r *http.Request) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(m.TokenTime):
		return true
	}
}

func (m *ModelWorker) stream(w http.ResponseWriter, r *http.Request, request generation, id string, words []string, index int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i, word := range words {
		if !m.sleep(r) {
			return
		}
		if drop := m.faults.Get().DropAfterTokens; drop > 0 && i >= drop {
			panic(http.ErrAbortHandler)
		}
		m.count(index, int64(i+1))
		writeEvent(w, answerBody(r.URL.Path, id, request, word, 0, "delta"))
		_ = flusher.Flush()
	}
	m.finish(index, int64(len(words)))
	last := answerBody(r.URL.Path, id, request, "", len(words), "")
	writeEvent(w, last)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, body map[string]any) {
	encoded, _ := json.Marshal(body)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
}

// answerBody makes the published form; tokens above 0 add the usage, and an
// empty part leaves out the choices.
func answerBody(path, id string, request generation, text string, tokens int, part string) map[string]any {
	choices := []any{}
	if part != "" {
		choice := map[string]any{
			"index": 0,
		}
		if path == engine.PathChat {
			choice[part] = map[string]any{
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
