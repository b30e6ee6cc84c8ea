package operator

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/configuration"
)

// secretBytes is the number of random bytes in a key's secret.
const secretBytes = 24

// Plan holds the changes that a script would make.
type Plan struct {
	Operations []configuration.Operation
	// Secret is the secret of a key that the script creates. Only its hash is
	// stored.
	Secret string
}

// NewPlan translates the changes of a script into operations on a state. Each
// statement sees the team changes of the ones before it.
func NewPlan(script *Script, state *configuration.State) (plan Plan, err error) {
	draft := newDraft(state)
	for _, statement := range script.Statements {
		if err = draft.addStatement(statement); err != nil {
			return Plan{}, err
		}
	}
	return draft.plan, nil
}

// draft is a plan that is being built. teams holds the teams that its operations
// set; they take precedence over those in state.
type draft struct {
	state *configuration.State
	plan  Plan
	teams map[string]pomelospring.Team
}

func newDraft(state *configuration.State) *draft {
	return &draft{
		state: state,
		teams: map[string]pomelospring.Team{},
	}
}

func (d *draft) addStatement(statement *Statement) error {
	switch {
	case statement.SetTeam != nil:
		d.setTeam(*statement.SetTeam)
	case statement.SetAdapter != nil:
		d.append(configuration.Operation{
			SetAdapter: &pomelospring.Adapter{
				Name:     statement.SetAdapter.Name,
				Base:     statement.SetAdapter.Base,
				Versions: statement.SetAdapter.Versions,
			},
		})
	case statement.SetRoute != nil:
		d.append(configuration.Operation{
			SetRoute: &pomelospring.Route{
				Path:       statement.SetRoute.Path,
				Service:    statement.SetRoute.Service,
				Idempotent: statement.SetRoute.Idempotent,
				Open:       statement.SetRoute.Open,
			},
		})
	case statement.SetServer != nil:
		d.setServer(*statement.SetServer)
	case statement.CreateKey != nil:
		return d.createKey(*statement.CreateKey)
	case statement.Withdraw != nil:
		d.append(configuration.Operation{
			DeleteKey: *statement.Withdraw,
		})
	case statement.Allow != nil:
		return d.grant(*statement.Allow, addVersions)
	case statement.Deny != nil:
		return d.grant(*statement.Deny, removeVersions)
	case statement.Drain != nil:
		return d.drain(*statement.Drain, true)
	case statement.Undrain != nil:
		return d.drain(*statement.Undrain, false)
	case statement.Delete != nil:
		d.delete(*statement.Delete)
	}
	return nil
}

func (d *draft) append(operation configuration.Operation) {
	d.plan.Operations = append(d.plan.Operations, operation)
}

// team returns a team with the changes of the operations so far.
func (d *draft) team(name string) (team pomelospring.Team, known bool) {
	if team, known = d.teams[name]; known {
		return team, true
	}
	team, known = d.state.Teams[name]
	return team, known
}

func (d *draft) putTeam(team pomelospring.Team) {
	d.teams[team.Name] = team
	d.append(configuration.Operation{
		SetTeam: &team,
	})
}

func (d *draft) setTeam(set SetTeam) {
	team, _ := d.team(set.Name)
	team.Name = set.Name
	if set.Rate != nil {
		team.Rate = *set.Rate
	}
	if set.Burst != nil {
		team.Burst = *set.Burst
	}
	d.putTeam(team)
}

func (d *draft) setServer(set SetServer) {
	server := pomelospring.BackendServer{
		Name:        set.Name,
		Kind:        pomelospring.ApplicationWorker,
		Address:     set.Address,
		Domain:      set.Domain,
		Base:        set.Base,
		Service:     set.Service,
		Slots:       set.Slots,
		Running:     set.Running,
		ChecksFence: set.ChecksFence,
		Draining:    d.state.BackendServers[set.Name].Draining,
	}
	if set.Base != "" {
		server.Kind = pomelospring.ModelWorker
	}
	d.append(configuration.Operation{
		SetBackendServer: &server,
	})
}

func (d *draft) createKey(create CreateKey) error {
	if d.plan.Secret != "" {
		return fmt.Errorf("a script can create only one key, as a reply shows one secret")
	}
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return err
	}
	d.plan.Secret = "ps-" + hex.EncodeToString(random)
	d.append(configuration.Operation{
		SetKey: &pomelospring.Key{
			ID:   create.Name,
			Team: create.Team,
			Hash: admission.Hash(d.plan.Secret),
		},
	})
	return nil
}

func (d *draft) drain(name string, draining bool) error {
	server, known := d.state.BackendServers[name]
	if !known {
		return fmt.Errorf("there is no backend server %q", name)
	}
	server.Draining = draining
	d.append(configuration.Operation{
		SetBackendServer: &server,
	})
	return nil
}

func (d *draft) delete(what Delete) {
	operation := configuration.Operation{}
	switch what.Kind {
	case "team":
		operation.DeleteTeam = what.Name
	case "adapter":
		operation.DeleteAdapter = what.Name
	case "route":
		operation.DeleteRoute = what.Name
	case "server":
		operation.DeleteBackendServer = what.Name
	}
	d.append(operation)
}

// grant applies change to the versions of an adapter that a team may call.
func (d *draft) grant(grant Grant, change func(granted, versions []string) []string) error {
	team, known := d.team(grant.Team)
	if !known {
		return fmt.Errorf("there is no team %q", grant.Team)
	}
	versions := grant.Versions
	if len(versions) == 0 {
		versions = []string{"*"}
	}
	adapters := map[string][]string{}
	for name, granted := range team.Adapters {
		adapters[name] = granted
	}
	adapters[grant.Adapter] = change(adapters[grant.Adapter], versions)
	if len(adapters[grant.Adapter]) == 0 {
		delete(adapters, grant.Adapter)
	}
	team.Adapters = adapters
	d.putTeam(team)
	return nil
}

func addVersions(granted, versions []string) []string {
	joined := append(slices.Clone(granted), versions...)
	slices.Sort(joined)
	return slices.Compact(joined)
}

// removeVersions removes versions from those granted; "*" removes all.
func removeVersions(granted, versions []string) []string {
	return slices.DeleteFunc(slices.Clone(granted), func(version string) bool {
		return slices.Contains(versions, "*") || slices.Contains(versions, version)
	})
}

// Diff describes what operations change in a state, line by line: "-" marks a
// definition before, "+" one after, and "=" one that stays the same.
func Diff(state *configuration.State, operations []configuration.Operation) []string {
	lines := []string{}
	for _, operation := range operations {
		before, after := beforeAndAfter(state, operation)
		if before == after {
			lines = append(lines, "= "+operation.Object()+" "+after)
			continue
		}
		if before != "" {
			lines = append(lines, "- "+operation.Object()+" "+before)
		}
		if after != "" {
			lines = append(lines, "+ "+operation.Object()+" "+after)
		}
	}
	return lines
}

// beforeAndAfter describes the object of an operation before and after it; ""
// stands for no object.
func beforeAndAfter(state *configuration.State, operation configuration.Operation) (before, after string) {
	_, name, _ := strings.Cut(operation.Object(), "/")
	switch {
	case operation.SetTeam != nil || operation.DeleteTeam != "":
		return describe(state.Teams, name, teamText), describePointer(operation.SetTeam, teamText)
	case operation.SetKey != nil || operation.DeleteKey != "":
		return describe(state.Keys, name, keyText), describePointer(operation.SetKey, keyText)
	case operation.SetAdapter != nil || operation.DeleteAdapter != "":
		return describe(state.Adapters, name, adapterText), describePointer(operation.SetAdapter, adapterText)
	case operation.SetRoute != nil || operation.DeleteRoute != "":
		return describe(state.Routes, name, routeText), describePointer(operation.SetRoute, routeText)
	}
	return describe(state.BackendServers, name, serverText), describePointer(operation.SetBackendServer, serverText)
}

func describe[T any](objects map[string]T, name string, text func(T) string) string {
	object, known := objects[name]
	if !known {
		return ""
	}
	return text(object)
}

func describePointer[T any](object *T, text func(T) string) string {
	if object == nil {
		return ""
	}
	return text(*object)
}

func teamText(team pomelospring.Team) string {
	grants := make([]string, 0, len(team.Adapters))
	for adapter, versions := range team.Adapters {
		grants = append(grants, adapter+"@"+strings.Join(versions, ","))
	}
	slices.Sort(grants)
	return fmt.Sprintf("rate %v burst %v adapters [%s]", team.Rate, team.Burst, strings.Join(grants, " "))
}

func keyText(key pomelospring.Key) string {
	return "team " + key.Team
}

func adapterText(adapter pomelospring.Adapter) string {
	return fmt.Sprintf("base %s versions %s", adapter.Base, strings.Join(adapter.Versions, ","))
}

func routeText(route pomelospring.Route) string {
	return fmt.Sprintf("service %s idempotent %t open %t", route.Service, route.Idempotent, route.Open)
}

func serverText(server pomelospring.BackendServer) string {
	return fmt.Sprintf("%s address %s domain %s base %q service %q slots %d running %d checksFence %t draining %t", server.Kind, server.Address, server.Domain, server.Base, server.Service, server.Slots, server.Running, server.ChecksFence, server.Draining)
}
