package configuration

import (
	"fmt"
	"net"
	"regexp"

	"github.com/pomelospring/pomelospring"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Validate checks each operation against a state from before the change. A key
// may refer to a team that an earlier operation of the same change sets.
func Validate(state *State, operations []Operation) (err error) {
	if len(operations) == 0 {
		return fmt.Errorf("the change has no operations")
	}
	newTeams := map[string]bool{}
	for _, operation := range operations {
		if operation.SetTeam != nil {
			newTeams[operation.SetTeam.Name] = true
		}
		if err = validateOperation(state, operation, newTeams); err != nil {
			return fmt.Errorf("%s: %w", operation.Object(), err)
		}
	}
	return nil
}

func validateOperation(state *State, operation Operation, newTeams map[string]bool) error {
	switch {
	case operation.SetTeam != nil:
		return validateTeam(*operation.SetTeam)
	case operation.SetKey != nil:
		return validateKey(state, *operation.SetKey, newTeams)
	case operation.SetAdapter != nil:
		return validateAdapter(*operation.SetAdapter)
	case operation.SetRoute != nil:
		return validateRoute(*operation.SetRoute)
	case operation.SetBackendServer != nil:
		return validateBackendServer(*operation.SetBackendServer)
	case operation.Object() == "":
		return fmt.Errorf("the operation has no object")
	}
	if !exists(state, operation) {
		return fmt.Errorf("the object to delete does not exist")
	}
	return nil
}

// exists reports whether the object that an operation deletes exists.
func exists(state *State, operation Operation) bool {
	_, team := state.Teams[operation.DeleteTeam]
	_, key := state.Keys[operation.DeleteKey]
	_, adapter := state.Adapters[operation.DeleteAdapter]
	_, route := state.Routes[operation.DeleteRoute]
	_, server := state.BackendServers[operation.DeleteBackendServer]
	return team || key || adapter || route || server
}

func validateTeam(team pomelospring.Team) error {
	if !namePattern.MatchString(team.Name) {
		return fmt.Errorf("invalid name %q", team.Name)
	}
	if team.Rate < 0 || team.Burst < 0 {
		return fmt.Errorf("rate %v and burst %v must not be negative", team.Rate, team.Burst)
	}
	return nil
}

func validateKey(state *State, key pomelospring.Key, newTeams map[string]bool) error {
	if !namePattern.MatchString(key.ID) {
		return fmt.Errorf("invalid key name %q", key.ID)
	}
	if _, known := state.Teams[key.Team]; !known && !newTeams[key.Team] {
		return fmt.Errorf("team %q does not exist", key.Team)
	}
	if decodeHash(key.Hash) == decodeHash("") {
		return fmt.Errorf("the hash is not the hex form of a SHA-256 sum")
	}
	if other, taken := state.KeysByHash[decodeHash(key.Hash)]; taken && other != key.ID {
		return fmt.Errorf("the secret already belongs to another key")
	}
	if _, taken := state.Keys[key.ID]; taken {
		return fmt.Errorf("the key already exists; withdraw it first")
	}
	return nil
}

func validateAdapter(adapter pomelospring.Adapter) error {
	if !namePattern.MatchString(adapter.Name) {
		return fmt.Errorf("invalid name %q", adapter.Name)
	}
	if adapter.Base == "" {
		return fmt.Errorf("the base model is missing")
	}
	for _, version := range adapter.Versions {
		if !namePattern.MatchString(version) {
			return fmt.Errorf("invalid version %q", version)
		}
	}
	return nil
}

func validateRoute(route pomelospring.Route) error {
	if !namePattern.MatchString(route.Path) {
		return fmt.Errorf("invalid path %q", route.Path)
	}
	if !namePattern.MatchString(route.Service) {
		return fmt.Errorf("invalid service %q", route.Service)
	}
	return nil
}

func validateBackendServer(server pomelospring.BackendServer) error {
	if !namePattern.MatchString(server.Name) {
		return fmt.Errorf("invalid name %q", server.Name)
	}
	if _, _, err := net.SplitHostPort(server.Address); err != nil {
		return fmt.Errorf("invalid address %q: want host:port", server.Address)
	}
	if server.Domain == "" {
		return fmt.Errorf("the failure domain is missing")
	}
	if server.Running < 1 {
		return fmt.Errorf("running %d must be at least 1", server.Running)
	}
	switch server.Kind {
	case pomelospring.ModelWorker:
		if server.Base == "" || server.Slots < 1 {
			return fmt.Errorf("a model worker needs a base model and at least 1 slot")
		}
	case pomelospring.ApplicationWorker:
		if server.Service == "" {
			return fmt.Errorf("an application worker needs a service")
		}
	default:
		return fmt.Errorf("invalid kind %q: want model or application", server.Kind)
	}
	return nil
}
