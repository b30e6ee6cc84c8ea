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

// handleModel serves chat and text completions, streamed or as one response.
func (h *Handler) handleModel(w http.ResponseWriter, r *http.Request) {
	arrived := h.Clock()
	state := h.Board.Configuration.Get()
	identity, refusal := h.authenticate(r, state, false)
	if refusal != nil {
		h.refuse(w, r, identity, refusal)
		return
	}
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		h.refuse(w, r, identity, refusal)
		return
	}
	prepared, refusal := h.prepare(r.URL.Path, body, identity, state, arrived)
	if refusal != nil {
		h.refuse(w, r, identity, refusal)
		return
	}
	ctx, release := h.trackRequest(r.Context(), identity)
	defer release()
	charge, refusal := h.Charger.Charge(ctx, identity.team, prepared.work.Cost)
	if refusal != nil {
		h.refuse(w, r, identity, refusal)
		return
	}
	writer := &answerWriter{
		w:            w,
		handler:      h,
		requestID:    identity.requestID,
		streaming:    prepared.request.Streaming,
		includeUsage: prepared.includeUsage,
	}
	result, err := h.Serving.Serve(ctx, prepared.work, prepared.request, writer.emit)
	h.Charger.Settle(charge, float64(result.Usage.PromptTokens+result.Usage.CompletionTokens))
	if err != nil {
		h.failRequest(w, r, identity, cancellationRefusal(ctx, err), writer)
		return
	}
	writer.close()
	h.recordServed(identity, prepared.work, result, arrived, writer.firstChunkAt)
}

// preparedCall is a validated and authorized call, ready to be charged and
// served.
type preparedCall struct {
	work         *pomelospring.Work
	request      engine.Request
	includeUsage bool
}

// prepare validates and authorizes a model request, and builds the request for
// the model worker.
func (h *Handler) prepare(path string, body []byte, identity requestIdentity, state *configuration.State, arrived time.Time) (prepared preparedCall, refusal *pomelospring.Refusal) {
	call, refusal := parseModelCall(path, body)
	if refusal != nil {
		return prepared, refusal
	}
	if containsSecret(identity.secret, body) {
		return prepared, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "the body contains the caller's key, which must not reach a model worker")
	}
	name, adapter, refusal := admission.Authorize(state, identity.team, call.Model)
	if refusal != nil {
		return prepared, refusal
	}
	workerBody, err := call.buildWorkerBody(body, h.Limits)
	if err != nil {
		return prepared, pomelospring.NewRefusal(pomelospring.CodeBadRequest, time.Time{}, "%v", err)
	}
	prepared.work = &pomelospring.Work{
		ID:       identity.requestID,
		Team:     identity.team.Name,
		Weight:   identity.team.Rate,
		Adapter:  name,
		Base:     adapter.Base,
		Priority: -call.Priority,
		Cost:     call.cost(h.Limits),
		Arrived:  arrived,
		Deadline: arrived.Add(h.Limits.StartTime),
		Prefix:   call.prefixHash(),
	}
	prepared.request = engine.Request{
		ID:        identity.requestID,
		Path:      path,
		Adapter:   name,
		Body:      workerBody,
		Streaming: call.Stream,
	}
	prepared.includeUsage = call.StreamOptions != nil && call.StreamOptions.IncludeUsage
	return prepared, nil
}

// failRequest ends a request whose answer is missing or incomplete. If a chunk
// was already sent, the stream ends with an error event and without [DONE].
func (h *Handler) failRequest(w http.ResponseWriter, r *http.Request, identity requestIdentity, refusal *pomelospring.Refusal, writer *answerWriter) {
	if writer.firstChunkAt.IsZero() {
		h.refuse(w, r, identity, refusal)
		return
	}
	h.logRefusal(identity, refusal)
	events.Log(h.Logger, events.RequestBroken, log.Fields{
		"request": identity.requestID,
		"team":    identity.team.Name,
		"code":    string(refusal.Code),
	})
	refusal.Outcome = pomelospring.OutcomeUnknown
	encoded, _ := json.Marshal(errorBody(identity.requestID, refusal))
	_ = writer.writeEvent(encoded)
}

// recordServed logs a served request and counts it in the metrics and the
// team's usage.
func (h *Handler) recordServed(identity requestIdentity, work *pomelospring.Work, result ownership.ServeResult, arrived, firstChunkAt time.Time) {
	h.Counters.Served(identity.team.Name, firstChunkAt.Sub(arrived))
	h.Board.Usage.Add(blackboard.UsageRow{
		Team:             identity.team.Name,
		Adapter:          work.Adapter.String(),
		Server:           result.Server,
		Requests:         1,
		PromptTokens:     result.Usage.PromptTokens,
		CompletionTokens: result.Usage.CompletionTokens,
	}, h.Clock())
	events.Log(h.Logger, events.RequestServed, log.Fields{
		"request":          work.ID,
		"team":             identity.team.Name,
		"adapter":          work.Adapter.Adapter,
		"version":          work.Adapter.Version,
		"server":           result.Server,
		"promptTokens":     result.Usage.PromptTokens,
		"completionTokens": result.Usage.CompletionTokens,
		"firstMillis":      firstChunkAt.Sub(arrived).Milliseconds(),
		"stalledMillis":    result.Stalled.Milliseconds(),
	})
}

// answerWriter writes a model worker's answer to the caller.
type answerWriter struct {
	w            http.ResponseWriter
	handler      *Handler
	requestID    string
	streaming    bool
	includeUsage bool
	// firstChunkAt is when the first chunk was written, or zero before that.
	firstChunkAt time.Time
}

// emit writes one chunk of the answer. It drops the usage event of a stream
// unless the caller requested it.
func (a *answerWriter) emit(data []byte) error {
	if !a.streaming {
		a.writeHeaders("application/json")
		return a.write(data)
	}
	if !a.includeUsage && isUsageOnly(data) {
		return nil
	}
	return a.writeEvent(data)
}

// writeEvent writes data as a server-sent event.
func (a *answerWriter) writeEvent(data []byte) error {
	a.writeHeaders("text/event-stream")
	return a.write(slices.Concat([]byte("data: "), data, []byte("\n\n")))
}

// close writes the closing event of a stream.
func (a *answerWriter) close() {
	if a.streaming {
		_ = a.writeEvent([]byte("[DONE]"))
	}
}

// writeHeaders writes the status and headers before the first chunk.
func (a *answerWriter) writeHeaders(contentType string) {
	if !a.firstChunkAt.IsZero() {
		return
	}
	a.firstChunkAt = a.handler.Clock()
	a.w.Header().Set("Content-Type", contentType)
	a.w.Header().Set("Cache-Control", "no-cache")
	a.w.Header().Set(headerRequestID, a.requestID)
	a.w.WriteHeader(http.StatusOK)
}

// write writes and flushes data, within the limit on write time.
func (a *answerWriter) write(data []byte) error {
	control := http.NewResponseController(a.w)
	_ = control.SetWriteDeadline(a.handler.Clock().Add(a.handler.Limits.WriteTime))
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}

// isUsageOnly reports whether an event contains usage and no choices, as the
// last event of a stream does.
func isUsageOnly(data []byte) bool {
	if !bytes.Contains(data, []byte(`"usage"`)) {
		return false
	}
	var answer engine.Answer
	return json.Unmarshal(data, &answer) == nil && answer.Usage != nil && len(answer.Choices) == 0
}

// modelEntry is a model in the OpenAI-compatible list.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the models that the caller's team may call.
func (h *Handler) handleModels(w http.ResponseWriter, r *http.Request) {
	state := h.Board.Configuration.Get()
	identity, refusal := h.authenticate(r, state, false)
	if refusal != nil {
		h.refuse(w, r, identity, refusal)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"object": "list",
		"data":   allowedModels(state, identity.team),
	})
}

// handleModelByName returns one model, if the caller's team may call it.
func (h *Handler) handleModelByName(w http.ResponseWriter, r *http.Request) {
	state := h.Board.Configuration.Get()
	identity, refusal := h.authenticate(r, state, false)
	if refusal != nil {
		h.refuse(w, r, identity, refusal)
		return
	}
	name, _, refusal := admission.Authorize(state, identity.team, mux.Vars(r)["model"])
	if refusal != nil {
		h.refuse(w, r, identity, refusal)
		return
	}
	writeJSON(w, http.StatusOK, newModelEntry(name, identity.team))
}

func newModelEntry(name pomelospring.AdapterVersion, team pomelospring.Team) modelEntry {
	return modelEntry{
		ID:      name.String(),
		Object:  "model",
		OwnedBy: team.Name,
	}
}

// allowedModels returns the adapter versions that the team may call, sorted by
// ID.
func allowedModels(state *configuration.State, team pomelospring.Team) []modelEntry {
	models := []modelEntry{}
	for _, adapter := range state.Adapters {
		for _, version := range adapter.Versions {
			name := pomelospring.AdapterVersion{
				Adapter: adapter.Name,
				Version: version,
			}
			if team.Allows(name) {
				models = append(models, newModelEntry(name, team))
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
