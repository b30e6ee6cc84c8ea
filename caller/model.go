package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/ownership"
)

// handleModel serves chat and completions, whole or streamed.
func (h *Handler) handleModel(w http.ResponseWriter, r *http.Request) {
	arrived := h.Clock()
	state := h.Board.Configuration.Get()
	who, refusal := h.begin(r, state, false)
	if refusal != nil {
		h.refuse(w, r, who, refusal)
		return
	}
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		h.refuse(w, r, who, refusal)
		return
	}
	prepared, refusal := h.prepare(r.URL.Path, body, who, state, arrived)
	if refusal != nil {
		h.refuse(w, r, who, refusal)
		return
	}
	ctx, leave := h.enter(r.Context(), who)
	defer leave()
	charge, refusal := h.Charger.Charge(ctx, who.team, prepared.work.Cost)
	if refusal != nil {
		h.refuse(w, r, who, refusal)
		return
	}
	out := &answerWriter{
		w:            w,
		handler:      h,
		requestID:    who.requestID,
		streaming:    prepared.request.Streaming,
		includeUsage: prepared.includeUsage,
	}
	end, err := h.Serving.Serve(ctx, prepared.work, prepared.request, out.emit)
	h.Charger.Settle(charge, float64(end.Usage.PromptTokens+end.Usage.CompletionTokens))
	if err != nil {
		h.fail(w, r, who, ended(ctx, err), out)
		return
	}
	out.close()
	h.served(who, prepared.work, end, arrived, out.first)
}

// preparedCall is an admitted call, ready to be charged and served.
type preparedCall struct {
	work         *pomelospring.Work
	request      engine.Request
	includeUsage bool
}

func (h *Handler) prepare(path string, body []byte, who identity, state *configuration.State, arrived time.Time) (prepared preparedCall, refusal *pomelospring.Refusal) {
	call, refusal := parseModelCall(path, body)
	if refusal != nil {
		return prepared, refusal
	}
	if carries(who.secret, body) {
		return prepared, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "the body contains the caller's key, which no model worker may see")
	}
	name, adapter, refusal := admission.Authorize(state, who.team, call.Model)
	if refusal != nil {
		return prepared, refusal
	}
	out, err := call.outgoing(body, h.Limits)
	if err != nil {
		return prepared, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "%v", err)
	}
	prepared.work = &pomelospring.Work{
		ID:       who.requestID,
		Team:     who.team.Name,
		Weight:   who.team.Rate,
		Adapter:  name,
		Base:     adapter.Base,
		Priority: -call.Priority,
		Cost:     call.cost(h.Limits),
		Arrived:  arrived,
		Deadline: arrived.Add(h.Limits.StartTime),
		Prefix:   call.prefix(),
	}
	prepared.request = engine.Request{
		ID:        who.requestID,
		Path:      path,
		Adapter:   name,
		Body:      out,
		Streaming: call.Stream,
	}
	prepared.includeUsage = call.StreamOptions != nil && call.StreamOptions.IncludeUsage
	return prepared, nil
}

// fail ends a request that got no whole answer. Once a part was passed on, the
// stream ends with a typed error and without its closing event.
func (h *Handler) fail(w http.ResponseWriter, r *http.Request, who identity, refusal *pomelospring.Refusal, out *answerWriter) {
	if out.first.IsZero() {
		h.refuse(w, r, who, refusal)
		return
	}
	h.logRefusal(who, refusal)
	events.Log(h.Logger, events.RequestBroken, log.Fields{
		"request": who.requestID,
		"team":    who.team.Name,
		"code":    string(refusal.Code),
	})
	refusal.Outcome = pomelospring.OutcomeUnknown
	encoded, _ := json.Marshal(errorBody(who.requestID, refusal))
	_ = out.event(encoded)
}

func (h *Handler) served(who identity, work *pomelospring.Work, end ownership.ServeResult, arrived, first time.Time) {
	h.Counters.Served(who.team.Name, first.Sub(arrived))
	h.Board.Usage.Add(blackboard.UsageRow{
		Team:             who.team.Name,
		Adapter:          work.Adapter.String(),
		Server:           end.Server,
		Requests:         1,
		PromptTokens:     end.Usage.PromptTokens,
		CompletionTokens: end.Usage.CompletionTokens,
	}, h.Clock())
	events.Log(h.Logger, events.RequestServed, log.Fields{
		"request":          work.ID,
		"team":             who.team.Name,
		"adapter":          work.Adapter.Adapter,
		"version":          work.Adapter.Version,
		"server":           end.Server,
		"promptTokens":     end.Usage.PromptTokens,
		"completionTokens": end.Usage.CompletionTokens,
		"firstMillis":      first.Sub(arrived).Milliseconds(),
		"stalledMillis":    end.Stalled.Milliseconds(),
	})
}

// answerWriter passes an answer on to the caller.
type answerWriter struct {
	w            http.ResponseWriter
	handler      *Handler
	requestID    string
	streaming    bool
	includeUsage bool
	// first is when the first piece was passed on.
	first time.Time
}

func (a *answerWriter) emit(data []byte) error {
	if !a.streaming {
		a.begin("application/json")
		return a.write(data)
	}
	if !a.includeUsage && isUsageOnly(data) {
		return nil
	}
	return a.event(data)
}

func (a *answerWriter) event(data []byte) error {
	a.begin("text/event-stream")
	return a.write(slices.Concat([]byte("data: "), data, []byte("\n\n")))
}

func (a *answerWriter) close() {
	if a.streaming {
		_ = a.event([]byte("[DONE]"))
	}
}

func (a *answerWriter) begin(contentType string) {
	if !a.first.IsZero() {
		return
	}
	a.first = a.handler.Clock()
	a.w.Header().Set("Content-Type", contentType)
	a.w.Header().Set("Cache-Control", "no-cache")
	a.w.Header().Set(headerRequestID, a.requestID)
	a.w.WriteHeader(http.StatusOK)
}

func (a *answerWriter) write(data []byte) error {
	control := http.NewResponseController(a.w)
	_ = control.SetWriteDeadline(a.handler.Clock().Add(a.handler.Limits.WriteTime))
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}

// isUsageOnly finds the last event, which callers get only if they asked.
func isUsageOnly(data []byte) bool {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return false
	}
	var answer engine.Answer
	return json.Unmarshal(data, &answer) == nil && answer.Usage != nil && len(answer.Choices) == 0
}

// modelEntry is one model of the OpenAI-compatible list.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists what the caller's team may call.
func (h *Handler) handleModels(w http.ResponseWriter, r *http.Request) {
	state := h.Board.Configuration.Get()
	who, refusal := h.begin(r, state, false)
	if refusal != nil {
		h.refuse(w, r, who, refusal)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"object": "list",
		"data":   modelsOf(state, who.team),
	})
}

// handleModelByName shows one model that the caller's team may call.
func (h *Handler) handleModelByName(w http.ResponseWriter, r *http.Request) {
	state := h.Board.Configuration.Get()
	who, refusal := h.begin(r, state, false)
	if refusal != nil {
		h.refuse(w, r, who, refusal)
		return
	}
	name, _, refusal := admission.Authorize(state, who.team, mux.Vars(r)["model"])
	if refusal != nil {
		h.refuse(w, r, who, refusal)
		return
	}
	writeJSON(w, http.StatusOK, modelOf(name, who.team))
}

func modelOf(name pomelospring.AdapterVersion, team pomelospring.Team) modelEntry {
	return modelEntry{
		ID:      name.String(),
		Object:  "model",
		OwnedBy: team.Name,
	}
}

func modelsOf(state *configuration.State, team pomelospring.Team) []modelEntry {
	models := []modelEntry{}
	for _, adapter := range state.Adapters {
		for _, version := range adapter.Versions {
			name := pomelospring.AdapterVersion{
				Adapter: adapter.Name,
				Version: version,
			}
			if team.Allows(name) {
				models = append(models, modelOf(name, team))
			}
		}
	}
	slices.SortFunc(models, func(a, b modelEntry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return models
}
