package pomelospring

import "time"

// Policy is the configuration in force on an entry instance that runs behind
// the users' balancer: one whole version, never changed in place.
type Policy struct {
	Version int64
	// Routes are ordered by host, then by prefix, the longest first.
	Routes   []PolicyRoute
	Services map[string]Service
	// Teams are by name.
	Teams map[string]PolicyTeam
	// KeyTeams gives the team that holds a key.
	KeyTeams map[string]string
	Limits   CallerLimits
}

// PolicyRoute leads requests of one host and path prefix to services.
type PolicyRoute struct {
	Name   string
	Host   string
	Prefix string
	// Streaming answers are events with increasing IDs.
	Streaming bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may go on at another model worker.
	Resumable bool
	// Open routes need no key.
	Open bool
	// Timeout bounds the time until a final answer.
	Timeout time.Duration
	// Target is the latency at which an answer is on time.
	Target time.Duration
	// PauseTarget is the longest pause between events of an answer on time.
	PauseTarget time.Duration
	// Attempts is the most backend servers that may run one request.
	Attempts int
	// Priority is the rank among routes; 0 goes first.
	Priority int
	Splits   []ServiceSplit
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *PolicyRoute) Repeatable() bool {
	return r.Idempotent || r.Streaming && r.Resumable
}

// ServiceSplit is a service's part of a route.
type ServiceSplit struct {
	Service string
	Weight  float64
}

// Service is a group of backend servers that are alike.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *EngineLimits
}

// EngineLimits bounds what a model worker may be ordered to hold.
type EngineLimits struct {
	AdapterSlots int
	// LoadsPerSecond is the weight store's rate of base model loads.
	LoadsPerSecond float64
	// Models are by name.
	Models map[string]ModelLimits
}

// ModelLimits describes one base model.
type ModelLimits struct {
	Name string
}

// PolicyTeam is a team's part of the shared capacity.
type PolicyTeam struct {
	Name string
	// Priority replaces the route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// TokensPerSecond and Burst bound the team over the whole fleet; 0 for no bound.
	TokensPerSecond float64
	Burst           float64
	// PlainTokens is what a request without a token count is charged.
	PlainTokens float64
}

// CallerLimits bounds what callers may send.
type CallerLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match finds the route of a request: the longest prefix of its host.
func (p *Policy) Match(host, path string) *PolicyRoute {
	for i := range p.Routes {
		route := &p.Routes[i]
		if route.Host == host && len(path) >= len(route.Prefix) && path[:len(route.Prefix)] == route.Prefix {
			return route
		}
	}
	return nil
}
