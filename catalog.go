package pomelospring

import (
	"fmt"
	"strings"
	"time"
)

// Team is one paying customer of the pool.
type Team struct {
	Name string `json:"name"`
	// Rate is in tokens a second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is in tokens over the whole fleet.
	Burst float64 `json:"burst"`
	// Adapters maps an adapter's name, or "*", to the versions that the team
	// may call; an entry "*" allows every version.
	Adapters map[string][]string `json:"adapters"`
}

// Allows reports whether the team may call a version of an adapter.
func (t Team) Allows(name AdapterVersion) bool {
	for _, key := range []string{name.Adapter, "*"} {
		for _, version := range t.Adapters[key] {
			if version == "*" || version == name.Version {
				return true
			}
		}
	}
	return false
}

// Key is a caller's key, of which only the hash is kept.
type Key struct {
	// ID names the key in commands and logs.
	ID   string `json:"id"`
	Team string `json:"team"`
	// Hash is the hex SHA-256 of the secret.
	Hash string `json:"hash"`
}

// Adapter is one LoRA adapter on a base model.
type Adapter struct {
	Name string `json:"name"`
	// Base names the base model that it belongs to.
	Base string `json:"base"`
	// Versions are those that may be served.
	Versions []string `json:"versions"`
}

// AdapterVersion names exactly what a request runs on.
type AdapterVersion struct {
	Adapter string `json:"adapter"`
	Version string `json:"version"`
}

// String gives the form that callers use as model: adapter@version.
func (a AdapterVersion) String() string {
	return a.Adapter + "@" + a.Version
}

// ParseAdapterVersion reads adapter@version.
func ParseAdapterVersion(text string) (name AdapterVersion, err error) {
	adapter, version, found := strings.Cut(text, "@")
	if !found || adapter == "" || version == "" {
		return AdapterVersion{}, fmt.Errorf("model %q is not of the form adapter@version", text)
	}
	return AdapterVersion{
		Adapter: adapter,
		Version: version,
	}, nil
}

// BackendServerKind tells model workers from plain services.
type BackendServerKind string

// The kinds of backend server.
const (
	ModelWorker       BackendServerKind = "model"
	ApplicationWorker BackendServerKind = "application"
)

// BackendServer is a model worker or an application worker.
type BackendServer struct {
	Name string            `json:"name"`
	Kind BackendServerKind `json:"kind"`
	// Address is host:port of its HTTP listener.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
	// Base is the base model of a model worker.
	Base string `json:"base,omitempty"`
	// Service is the plain service that an application worker runs.
	Service string `json:"service,omitempty"`
	// Slots is how many adapters fit in a model worker at once.
	Slots int `json:"slots,omitempty"`
	// Running is how many requests it runs at once.
	Running int `json:"running"`
	// ChecksFence says whether it refuses orders with an old fencing number.
	ChecksFence bool `json:"checksFence,omitempty"`
	// Draining is set when it shall get no new work.
	Draining bool `json:"draining,omitempty"`
}

// Route leads to a plain service.
type Route struct {
	// Path is the first segment below /services/.
	Path string `json:"path"`
	// Service names the application workers' service.
	Service string `json:"service"`
	// Idempotent says that a call may be repeated.
	Idempotent bool `json:"idempotent"`
	// Open says that no key is needed.
	Open bool `json:"open"`
}

// LoadReport is what a backend server says of itself, with a lag.
type LoadReport struct {
	// At is the time of the report on the server's clock.
	At time.Time `json:"at"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Resident are the adapters loaded, in the form adapter@version.
	Resident []string `json:"resident"`
	// Busy counts running requests by adapter.
	Busy map[string]int `json:"busy"`
}
