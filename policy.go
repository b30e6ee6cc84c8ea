package pomelospring

import "time"

// Policy is one complete version of the configuration that a front has active.
// It is never changed in place.
type Policy struct {
	Version int64
	// Routes are ordered by host, then by prefix, the longest first.
	Routes   []PolicyRoute
	Services map[string]Service
	// Teams maps names to teams.
	Teams map[string]PolicyTeam
	// KeyTeams maps a key to the name of its team.
	KeyTeams map[string]string
	Limits   CallerLimits
	// Ignored names what was malformed and is taken as not said.
	Ignored []string
}

// PolicyRoute maps requests of one host and path prefix to services.
type PolicyRoute struct {
	Name   string
	Host   string
	Prefix string
	// Streaming is set if answers are streams of events with increasing IDs.
	Streaming bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may continue on another model worker.
	Resumable bool
	// Open routes need no key.
	Open bool
	// Timeout limits the time until the answer is complete.
	Timeout time.Duration
	// Target is the latency up to which an answer counts as on time.
	Target time.Duration
	// PauseTarget is the longest pause between two events up to which an answer
	// counts as on time.
	PauseTarget time.Duration
	// Attempts is the maximum number of backend servers that may run a request.
	Attempts int
	// Priority is the rank of the route's requests; 0 goes first.
	Priority int
	Splits   []ServiceSplit
	// Homes are the regions that the route's calls must not leave.
	Homes Homes
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *PolicyRoute) Repeatable() bool {
	return r.Idempotent || r.Streaming && r.Resumable
}

// ServiceSplit is the weight of a service among those of a route.
type ServiceSplit struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *EngineLimits
	// ColdFor is how long a server is cold after it was started, and ColdPerSecond how many
	// requests a second it then takes from all instances together; both are 0 for services
	// whose servers are never cold.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// EngineLimits limits what a model worker may be ordered to load.
type EngineLimits struct {
	AdapterSlots int
	// LoadsPerSecond is the weight store's rate limit for base model loads.
	LoadsPerSecond float64
	// Models maps names to base models.
	Models map[string]ModelLimits
}

// ModelLimits describes one base model.
type ModelLimits struct {
	Name string
}

// PolicyTeam holds a team's priority and rate limit.
type PolicyTeam struct {
	Name string
	// Priority overrides the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// TokensPerSecond and Burst (in tokens) limit the team over the whole fleet;
	// 0 for no limit.
	TokensPerSecond float64
	Burst           float64
	// PlainTokens is the charge for a request without a token count.
	PlainTokens float64
	// Homes are the regions that the team's calls must not leave.
	Homes Homes
}

// CallerLimits limits the size and duration of callers' requests.
type CallerLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the route of a request: that of its host with the longest
// matching prefix, or nil.
func (p *Policy) Match(host, path string) *PolicyRoute {
	for i := range p.Routes {
		route := &p.Routes[i]
		if route.Host == host && len(path) >= len(route.Prefix) && path[:len(route.Prefix)] == route.Prefix {
			return route
		}
	}
	return nil
}
