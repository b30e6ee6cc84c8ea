package configuration

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/pomelospring/pomelospring"
)

// resultsKept bounds State.Results, in changes.
const resultsKept = 256

// Fold returns the state after one record. A record that can't be read or
// applied changes nothing but the offset, so no record stops the stream.
// Snapshot records are for a reader without a state; see stream.Follower.
func Fold(state *State, record pomelospring.StoredRecord) *State {
	if record.Offset < state.Next {
		return state
	}
	next := *state
	next.Next = record.Offset + 1
	if record.Offset == 0 {
		next.Started = true
	}
	if record.Kind == KindChange && next.Started {
		foldChange(&next, record)
	}
	return &next
}

// Decode reads a state from its snapshot form and derives what it leaves out.
func Decode(body []byte) (state *State, err error) {
	defer pomelospring.Annotate(&err, "decode configuration snapshot")
	state = NewState()
	if err = json.Unmarshal(body, state); err != nil {
		return nil, err
	}
	state.Started = true
	for id, key := range state.Keys {
		state.KeysByHash[hashOf(key.Hash)] = id
	}
	return state, nil
}

func foldChange(state *State, record pomelospring.StoredRecord) {
	var change Change
	result := Result{
		Offset:         record.Offset,
		ConflictOffset: -1,
	}
	if err := json.Unmarshal(record.Body, &change); err != nil {
		result.Reason = fmt.Sprintf("unreadable change: %v", err)
		remember(state, record.ID, result)
		return
	}
	if _, repeated := state.Results[record.ID]; repeated {
		return
	}
	if reason, winner := conflict(state, change); reason != "" {
		result.Reason = reason
		result.ConflictOffset = winner
		remember(state, record.ID, result)
		return
	}
	if err := Validate(state, change.Operations); err != nil {
		result.Reason = err.Error()
		remember(state, record.ID, result)
		return
	}
	apply(state, change.Operations, record.Offset)
	result.Accepted = true
	remember(state, record.ID, result)
}

func conflict(state *State, change Change) (reason string, winner int64) {
	for _, operation := range change.Operations {
		object := operation.Object()
		if state.Modified[object] > change.MadeAgainst {
			winner = state.Modified[object] - 1
			return fmt.Sprintf("%s was changed at offset %d, and this change was made against the state before offset %d", object, winner, change.MadeAgainst), winner
		}
	}
	return "", -1
}

func remember(state *State, id string, result Result) {
	state.Results = maps.Clone(state.Results)
	state.Results[id] = result
	if len(state.Results) <= resultsKept {
		return
	}
	oldest := id
	for other, held := range state.Results {
		if held.Offset < state.Results[oldest].Offset {
			oldest = other
		}
	}
	delete(state.Results, oldest)
}

// apply clones each map once, however many operations the change has.
func apply(state *State, operations []Operation, offset int64) {
	state.Teams = maps.Clone(state.Teams)
	state.Modified = maps.Clone(state.Modified)
	if touches(operations, "key/") {
		state.Keys = maps.Clone(state.Keys)
		state.KeysByHash = maps.Clone(state.KeysByHash)
	}
	if touches(operations, "adapter/") {
		state.Adapters = maps.Clone(state.Adapters)
	}
	if touches(operations, "route/") {
		state.Routes = maps.Clone(state.Routes)
	}
	if touches(operations, "server/") {
		state.BackendServers = maps.Clone(state.BackendServers)
	}
	for _, operation := range operations {
		applyOne(state, operation)
		state.Modified[operation.Object()] = offset + 1
	}
}

func touches(operations []Operation, prefix string) bool {
	for _, operation := range operations {
		object := operation.Object()
		if len(object) >= len(prefix) && object[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

func applyOne(state *State, operation Operation) {
	switch {
	case operation.SetTeam != nil:
		state.Teams[operation.SetTeam.Name] = *operation.SetTeam
	case operation.SetKey != nil:
		state.Keys[operation.SetKey.ID] = *operation.SetKey
		state.KeysByHash[hashOf(operation.SetKey.Hash)] = operation.SetKey.ID
	case operation.SetAdapter != nil:
		state.Adapters[operation.SetAdapter.Name] = *operation.SetAdapter
	case operation.SetRoute != nil:
		state.Routes[operation.SetRoute.Path] = *operation.SetRoute
	case operation.SetBackendServer != nil:
		state.BackendServers[operation.SetBackendServer.Name] = *operation.SetBackendServer
	case operation.DeleteTeam != "":
		delete(state.Teams, operation.DeleteTeam)
	case operation.DeleteKey != "":
		delete(state.KeysByHash, hashOf(state.Keys[operation.DeleteKey].Hash))
		delete(state.Keys, operation.DeleteKey)
	case operation.DeleteAdapter != "":
		delete(state.Adapters, operation.DeleteAdapter)
	case operation.DeleteRoute != "":
		delete(state.Routes, operation.DeleteRoute)
	case operation.DeleteBackendServer != "":
		delete(state.BackendServers, operation.DeleteBackendServer)
	}
}
