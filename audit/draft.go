// Package audit judges a configuration before it is sent: entries that can never match,
// limits that contradict each other, and differences from the one in force.
package audit

import "github.com/pomelospring/pomelospring"

// Field is a part of an entry of a configuration.
type Field int

// Fields of entries; Whole is the entry itself.
const (
	Whole Field = iota
	Name
	Prefix
	Kind
	Timeout
	PauseTarget
	ServiceName
	Splits
	Cold
	Keys
	Rate
	Burst
	HeaderBytes
	BodyBytes
	HeaderTimeout
	IdleTimeout
	Version
)

// Place is where something stands in a file.
type Place struct {
	Line int `json:"line"`
	// Path names the field in the words of the file.
	Path string `json:"field"`
}

// Locator returns the place of a field of one entry, and of the item with that index for
// fields that are lists.
type Locator func(field Field, item int) Place

// Draft is a configuration with all its entries in the order of the file, also those
// that others override.
type Draft struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   pomelospring.CallerLimits
	// Locate returns the places of the limits and the version.
	Locate Locator
}

// Route is an entry of a route.
type Route struct {
	pomelospring.PolicyRoute
	// UnknownKind is set if the kind is none that instances know.
	UnknownKind bool
	Locate      Locator
}

// Service is an entry of a service.
type Service struct {
	pomelospring.Service
	// MalformedCold is set if the cold settings are ignored.
	MalformedCold bool
	Locate        Locator
}

// Team is an entry of a team with its keys.
type Team struct {
	pomelospring.PolicyTeam
	Keys   []string
	Locate Locator
}
