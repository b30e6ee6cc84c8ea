package configuration

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/pomelospring/pomelospring"
)

// maxResults bounds State.Results; the oldest result is dropped first.
const maxResults = 256

// Fold returns the state after one record, without changing the given state. A
// change that can't be read or applied leaves only its result and the new offset,
// so no record blocks the stream. Snapshot records are for a reader without a
// state; see stream.Follower.
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

// Decode reads a state from a snapshot and rebuilds KeysByHash, which the snapshot
// omits.
func Decode(body []byte) (state *State, err error) {
	defer pomelospring.Annotate(&err, "decode configuration snapshot")
	state = NewState()
	if err = json.Unmarshal(body, state); err != nil {
		return nil, err
	}
	state.Started = true
	for id, key := range state.Keys {
		state.KeysByHash[decodeHash(key.Hash)] = id
	}
	return state, nil
}

// foldChange applies a change or rejects it, and stores its result. A record with
// the ID of a recent change is a repeated append and is ignored.
func foldChange(state *State, record pomelospring.StoredRecord) {
	var change Change
	result := Result{
		Offset:         record.Offset,
		ConflictOffset: -1,
	}
	if err := json.Unmarshal(record.Body, &change); err != nil {
		result.Reason = fmt.Sprintf("unreadable change: %v", err)
		storeResult(state, record.ID, result)
		return
	}
	if _, repeated := state.Results[record.ID]; repeated {
		return
	}
	if reason, offset := findConflict(state, change); reason != "" {
		result.Reason = reason
		result.ConflictOffset = offset
		storeResult(state, record.ID, result)
		return
	}
	if err := Validate(state, change.Operations); err != nil {
		result.Reason = err.Error()
		storeResult(state, record.ID, result)
		return
	}
	apply(state, change.Operations, record.Offset)
	result.Accepted = true
	storeResult(state, record.ID, result)
}

// findConflict returns why a change conflicts with an earlier one, and the offset
// of that one; an empty reason and -1 without a conflict.
func findConflict(state *State, change Change) (reason string, offset int64) {
	for _, operation := range change.Operations {
		object := operation.Object()
		if state.Modified[object] > change.MadeAgainst {
			offset = state.Modified[object] - 1
			return fmt.Sprintf("%s was changed at offset %d, and this change was made against the state before offset %d", object, offset, change.MadeAgainst), offset
		}
	}
	return "", -1
}

// storeResult stores the result of a change and drops the oldest one beyond
// maxResults.
func storeResult(state *State, id string, result Result) {
	state.Results = maps.Clone(state.Results)
	state.Results[id] = result
	if len(state.Results) <= maxResults {
		return
	}
	oldest := id
	for other, stored := range state.Results {
		if stored.Offset < state.Results[oldest].Offset {
			oldest = other
		}
	}
	delete(state.Results, oldest)
}

// apply carries out the operations of the change at an offset. It clones each
// changed map once, however many operations the change has.
func apply(state *State, operations []Operation, offset int64) {
	state.Teams = maps.Clone(state.Teams)
	state.Modified = maps.Clone(state.Modified)
	if changesKind(operations, "key/") {
		state.Keys = maps.Clone(state.Keys)
		state.KeysByHash = maps.Clone(state.KeysByHash)
	}
	if changesKind(operations, "adapter/") {
		state.Adapters = maps.Clone(state.Adapters)
	}
	if changesKind(operations, "route/") {
		state.Routes = maps.Clone(state.Routes)
	}
	if changesKind(operations, "server/") {
		state.BackendServers = maps.Clone(state.BackendServers)
	}
	for _, operation := range operations {
		applyOperation(state, operation)
		state.Modified[operation.Object()] = offset + 1
	}
}

// changesKind reports whether any of the operations changes an object with a prefix
// such as "key/".
func changesKind(operations []Operation, prefix string) bool {
	for _, operation := range operations {
		object := operation.Object()
		if len(object) >= len(prefix) && object[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

// applyOperation changes the maps of a state in place.
func applyOperation(state *State, operation Operation) {
	switch {
	case operation.SetTeam != nil:
		state.Teams[operation.SetTeam.Name] = *operation.SetTeam
	case operation.SetKey != nil:
		state.Keys[operation.SetKey.ID] = *operation.SetKey
		state.KeysByHash[decodeHash(operation.SetKey.Hash)] = operation.SetKey.ID
	case operation.SetAdapter != nil:
		state.Adapters[operation.SetAdapter.Name] = *operation.SetAdapter
	case operation.SetRoute != nil:
		state.Routes[operation.SetRoute.Path] = *operation.SetRoute
	case operation.SetBackendServer != nil:
		state.BackendServers[operation.SetBackendServer.Name] = *operation.SetBackendServer
	case operation.DeleteTeam != "":
		delete(state.Teams, operation.DeleteTeam)
	case operation.DeleteKey != "":
		delete(state.KeysByHash, decodeHash(state.Keys[operation.DeleteKey].Hash))
		delete(state.Keys, operation.DeleteKey)
	case operation.DeleteAdapter != "":
		delete(state.Adapters, operation.DeleteAdapter)
	case operation.DeleteRoute != "":
		delete(state.Routes, operation.DeleteRoute)
	case operation.DeleteBackendServer != "":
		delete(state.BackendServers, operation.DeleteBackendServer)
	}
}
