package configuration

import (
	"github.com/pomelospring/pomelospring"
)

// KindChange is the kind of a record that carries a Change.
const KindChange = "change"

// Change is one change of the configuration. It is applied completely or not at
// all: an invalid change, or one that conflicts with an earlier change, is
// rejected.
type Change struct {
	// MadeAgainst is the offset after the last record that the author's state
	// contained. A later change to the same object is a conflict.
	MadeAgainst int64 `json:"madeAgainst"`
	// Author is the name of the operator.
	Author     string      `json:"author"`
	Operations []Operation `json:"operations"`
}

// Operation sets or deletes one object; exactly one field is used.
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

// Object returns the object that the operation changes, as kind/name; empty
// without one.
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
