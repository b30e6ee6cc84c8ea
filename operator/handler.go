package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/settings"
	"github.com/pomelospring/pomelospring/stream"
)

// PathCommands is where commands are posted.
const PathCommands = "/v1/commands"

const (
	// commitTimeout limits the time to append a change and to read back its
	// result.
	commitTimeout = 10 * time.Second
	// maxInForceWait limits how long a command waits until its change is in
	// effect on all instances.
	maxInForceWait = 5 * time.Minute
	// inForcePollInterval is the pause between two polls of all instances.
	inForcePollInterval = 200 * time.Millisecond
)

// Request is a command as it is posted to PathCommands.
type Request struct {
	Text string `json:"text"`
	// DryRun returns the diff of a change and changes nothing.
	DryRun bool `json:"dryRun,omitempty"`
	// WaitSeconds is how long to wait until the change is in effect on all
	// instances.
	WaitSeconds int `json:"waitSeconds,omitempty"`
	// MadeAgainst is the configuration offset that the operator has seen; 0
	// stands for that of the instance which runs the command.
	MadeAgainst int64 `json:"madeAgainst,omitempty"`
}

// Reply answers a command.
type Reply struct {
	Table *Table `json:"table,omitempty"`
	// Diff describes each object that the change touches, as Diff returns it.
	Diff   []string              `json:"diff,omitempty"`
	Change *configuration.Result `json:"change,omitempty"`
	// Unsettled is set if it is unknown whether the change was accepted.
	Unsettled bool `json:"unsettled,omitempty"`
	// InForce lists for each instance whether the change is in effect there;
	// Everywhere is set if it is in effect on all of them.
	InForce    *Table `json:"inForce,omitempty"`
	Everywhere bool   `json:"everywhere,omitempty"`
	// Secret is the secret of a new key. It can't be shown again.
	Secret string `json:"secret,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Handler executes commands that operators send over HTTP.
type Handler struct {
	Board     *blackboard.Blackboard
	Follower  *stream.Follower
	Queries   *Queries
	Operators []settings.Operator
	Logger    log.Interface
}

// Router returns the routes of the operators' API.
func (h *Handler) Router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathCommands, h.handle).Methods(http.MethodPost)
	return router
}

func (h *Handler) handle(w http.ResponseWriter, r *http.Request) {
	name, known := h.operator(r)
	if !known {
		writeReply(w, http.StatusUnauthorized, Reply{
			Error: "an operator's token is required: Authorization: Bearer TOKEN",
		})
		return
	}
	var request Request
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxCommandBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeReply(w, http.StatusBadRequest, Reply{
			Error: "the body is not a valid command: " + err.Error(),
		})
		return
	}
	status, reply := h.Execute(r.Context(), name, request)
	writeReply(w, status, reply)
}

// operator identifies the operator that sent a command by the hash of the
// token. It compares with all operators in constant time, so that its duration
// tells nothing about the hashes.
func (h *Handler) operator(r *http.Request) (name string, known bool) {
	_, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	hash := []byte(admission.Hash(token))
	for _, operator := range h.Operators {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(operator.TokenHash))) == 1 {
			name, known = operator.Name, true
		}
	}
	return name, known
}

// Execute runs a command for an operator. It returns the HTTP status and the
// reply.
func (h *Handler) Execute(ctx context.Context, author string, request Request) (status int, reply Reply) {
	script, err := Parse(request.Text)
	if err != nil {
		return http.StatusBadRequest, Reply{
			Error: err.Error(),
		}
	}
	state := h.Board.Configuration.Get()
	plan, err := NewPlan(script, state)
	if err != nil {
		return http.StatusBadRequest, Reply{
			Error: err.Error(),
		}
	}
	if len(plan.Operations) > 0 {
		if status, reply = h.change(ctx, author, request, plan, state); status != http.StatusOK || request.DryRun {
			return status, reply
		}
	}
	return h.query(ctx, script, reply)
}

// change validates and commits a plan, and reports where it is in effect.
func (h *Handler) change(ctx context.Context, author string, request Request, plan Plan, state *configuration.State) (status int, reply Reply) {
	reply.Diff = Diff(state, plan.Operations)
	if err := configuration.Validate(state, plan.Operations); err != nil {
		reply.Error = err.Error()
		return http.StatusBadRequest, reply
	}
	if request.DryRun {
		return http.StatusOK, reply
	}
	change := configuration.Change{
		MadeAgainst: state.Next,
		Author:      author,
		Operations:  plan.Operations,
	}
	if request.MadeAgainst > 0 {
		change.MadeAgainst = request.MadeAgainst
	}
	result, err := h.commit(ctx, change)
	if errors.Is(err, stream.ErrUnconfirmed) {
		reply.Unsettled = true
		reply.Error = "it is unknown whether the change was accepted; check before sending it again: " + err.Error()
		return http.StatusGatewayTimeout, reply
	}
	if err != nil {
		reply.Error = err.Error()
		return http.StatusServiceUnavailable, reply
	}
	reply.Change = &result
	h.log(author, result)
	if !result.Accepted {
		reply.Error = result.Reason
		return http.StatusConflict, reply
	}
	reply.Secret = plan.Secret
	h.reportInForce(ctx, request, result, &reply)
	return http.StatusOK, reply
}

// commit appends a change and returns its result once this instance has folded
// it. It returns stream.ErrUnconfirmed if the result does not arrive in time.
func (h *Handler) commit(ctx context.Context, change configuration.Change) (result configuration.Result, err error) {
	defer pomelospring.Annotate(&err, "change configuration")
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	id, offset, err := h.Follower.Append(ctx, configuration.KindChange, change)
	if err != nil {
		return result, err
	}
	for {
		changed := h.Board.Configuration.Changed()
		if state := h.Board.Configuration.Get(); state.Next > offset {
			return state.Results[id], nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result, stream.ErrUnconfirmed
		}
	}
}

// log writes the event for an accepted or refused change.
func (h *Handler) log(author string, result configuration.Result) {
	event := events.ChangeAccepted
	if !result.Accepted {
		event = events.ChangeRefused
	}
	events.Log(h.Logger, event, log.Fields{
		"operator": author,
		"offset":   result.Offset,
		"reason":   result.Reason,
	})
}

// reportInForce sets reply.InForce and reply.Everywhere. It polls until the change
// is in effect on all instances, for at most request.WaitSeconds and
// maxInForceWait.
func (h *Handler) reportInForce(ctx context.Context, request Request, result configuration.Result, reply *Reply) {
	wait := min(maxInForceWait, time.Duration(request.WaitSeconds)*time.Second)
	ctx, cancel := context.WithTimeout(ctx, wait+statusTimeout)
	defer cancel()
	deadline := time.Now().Add(wait)
	for {
		table, everywhere := h.Queries.InForce(ctx, result.Offset)
		reply.InForce = &table
		reply.Everywhere = everywhere
		if everywhere || !time.Now().Before(deadline) {
			return
		}
		time.Sleep(inForcePollInterval)
	}
}

// query runs the queries of a script; the reply holds the result of the last
// one.
func (h *Handler) query(ctx context.Context, script *Script, reply Reply) (int, Reply) {
	for _, statement := range script.Statements {
		switch {
		case statement.ShowUsage != nil:
			table, err := h.Queries.Usage(ctx, *statement.ShowUsage)
			if err != nil {
				reply.Error = err.Error()
				return http.StatusBadRequest, reply
			}
			reply.Table = &table
		case statement.Show != nil:
			table := h.Queries.Show(*statement.Show)
			reply.Table = &table
		case statement.Status:
			table, everywhere := h.Queries.InForce(ctx, h.Board.Configuration.Get().Next-1)
			reply.Table = &table
			reply.Everywhere = everywhere
		}
	}
	return http.StatusOK, reply
}

func writeReply(w http.ResponseWriter, status int, reply Reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}
