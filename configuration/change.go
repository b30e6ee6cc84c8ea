package configuration

import (
	"github.com/pomelospring/pomelospring"
)

// KindChange is the kind of a record that carries a Change.
const KindChange = "change"

// Change is one accepted-or-lost step of configuration. It is applied whole
// or not at all.
type Change struct {
	// MadeAgainst is the offset that the author had folded up to.
	MadeAgainst int64 `json:"madeAgainst"`
	// Author names the operator.
	Author     string      `json:"author"`
	Operations []Operation `json:"operations"`
}

// Operation sets or deletes one object; exactly one field group is used.
type Operation struct {
	SetTeam             *pomelospring.Team          `json:"setTeam,omitempty"`
	SetKey              *pomelospring.Key           `json:"setKey,omitempty"`
	SetAdapter          *pomelospring.Adapter       `json:"setAdapter,omitempty"`
	SetRoute            *pomelospring.Route         `json:"setRoute,omitempty"`
	SetBackendServer    *pomelospring.BackendServer `json:"setBackendServer,omitempty"`
	DeleteTeam          string                      `json:"deleteTeam,omitempty"`
	DeleteKey           string                      `json:"deleteKey,omitempty"`
	DeleteAdapter       string                      `json:"deleteAdapter,omitempty"`
	DeleteRoute         string                      `json:"deleteRoute,omitempty"`
	DeleteBackendServer string                      `json:"deleteBackendServer,omitempty"`
}

// Object names what the operation touches, as kind/name.
func (o Operation) Object() string {
	switch {
	case o.SetTeam != nil:
		return "team/" + o.SetTeam.Name
	case o.SetKey != nil:
		return "key/" + o.SetKey.ID
	case o.SetAdapter != nil:
		return "adapter/" + o.SetAdapter.Name
	case o.SetRoute != nil:
		return "route/" + o.SetRoute.Path
	case o.SetBackendServer != nil:
		return "server/" + o.SetBackendServer.Name
	case o.DeleteTeam != "":
		return "team/" + o.DeleteTeam
	case o.DeleteKey != "":
		return "key/" + o.DeleteKey
	case o.DeleteAdapter != "":
		return "adapter/" + o.DeleteAdapter
	case o.DeleteRoute != "":
		return "route/" + o.DeleteRoute
	case o.DeleteBackendServer != "":
		return "server/" + o.DeleteBackendServer
	}
	return ""
}
