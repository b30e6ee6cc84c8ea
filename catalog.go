package pomelospring

import (
	"fmt"
	"strings"
	"time"
)

// Team is a group of callers that share a rate limit and a list of allowed
// adapters.
type Team struct {
	Name string `json:"name"`
	// Rate is the sustained limit over the whole fleet, in tokens a second.
	Rate float64 `json:"rate"`
	// Burst is how far the team may exceed Rate at once, in tokens over the whole
	// fleet.
	Burst float64 `json:"burst"`
	// Adapters maps an adapter's name, or "*" for any, to the versions that the
	// team may call; the version "*" allows all of them.
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

// Key is a caller's API key. Only the hash of its secret is stored.
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
	// Base is the base model that the adapter was trained for.
	Base string `json:"base"`
	// Versions lists the versions that may be served.
	Versions []string `json:"versions"`
}

// AdapterVersion identifies one version of an adapter.
type AdapterVersion struct {
	Adapter string `json:"adapter"`
	Version string `json:"version"`
}

// String returns adapter@version, the form that callers send as the model.
func (a AdapterVersion) String() string {
	return a.Adapter + "@" + a.Version
}

// ParseAdapterVersion parses adapter@version.
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

// BackendServerKind tells model workers from application workers.
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
	// Address is host:port of the server's HTTP listener.
	Address string `json:"address"`
	// Domain is the server's failure domain.
	Domain string `json:"domain"`
	// Base is the base model of a model worker.
	Base string `json:"base,omitempty"`
	// Service is the plain service that an application worker runs.
	Service string `json:"service,omitempty"`
	// Slots is the number of adapters that a model worker can hold.
	Slots int `json:"slots,omitempty"`
	// Running is the number of requests that the server runs concurrently.
	Running int `json:"running"`
	// ChecksFence is set if the server refuses orders with an outdated fencing
	// number.
	ChecksFence bool `json:"checksFence,omitempty"`
	// Draining is set if the server gets no new work.
	Draining bool `json:"draining,omitempty"`
}

// Route maps a path to a plain service.
type Route struct {
	// Path is the first path segment below /services/.
	Path string `json:"path"`
	// Service is the service that the application workers run.
	Service string `json:"service"`
	// Idempotent calls may be sent again after a failure.
	Idempotent bool `json:"idempotent"`
	// Open routes need no key.
	Open bool `json:"open"`
}

// LoadReport is a backend server's report on itself. It lags behind the server.
type LoadReport struct {
	// At is the time of the report on the server's clock.
	At time.Time `json:"at"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Resident lists the loaded adapters, in the form adapter@version.
	Resident []string `json:"resident"`
	// Busy counts running requests by adapter.
	Busy map[string]int `json:"busy"`
}
