package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pomelospring/pomelospring"
)

// Severity tells whether instances accept what a finding is about.
type Severity string

// Severities: instances refuse the configuration for an Error and accept it with a Warning.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Place
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
}

// String returns the finding without the name of its file.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%d: %s: %s", f.Line, f.Severity, f.Message)
	}
	return fmt.Sprintf("%d: %s: %s: %s", f.Line, f.Severity, f.Path, f.Message)
}

type reviewer struct {
	draft    *Draft
	findings []Finding
}

// Review returns warnings about a configuration in the order of their lines. No message
// holds a key.
func Review(draft *Draft) []Finding {
	r := &reviewer{draft: draft}
	if len(draft.Routes) == 0 {
		r.warn(draft.Locate(Whole, 0), "there are no routes")
	}
	r.reviewRoutes()
	r.reviewServices()
	r.reviewTeams()
	r.reviewLimits()
	slices.SortStableFunc(r.findings, func(x, y Finding) int { return cmp.Compare(x.Line, y.Line) })
	return r.findings
}

// ReviewVersion warns if instances keep the configuration in force, as the draft is no newer.
func ReviewVersion(draft *Draft, inForce *pomelospring.Policy) []Finding {
	r := &reviewer{draft: draft}
	if draft.Version <= inForce.Version {
		r.warn(draft.Locate(Version, 0), "version %d never takes effect: instances keep version %d", draft.Version, inForce.Version)
	}
	return r.findings
}

func (r *reviewer) warn(place Place, format string, args ...any) {
	r.findings = append(r.findings, Finding{
		Place:    place,
		Severity: Warning,
		Message:  fmt.Sprintf(format, args...),
	})
}

func (r *reviewer) reviewRoutes() {
	services := map[string]bool{}
	for _, service := range r.draft.Services {
		services[service.Name] = true
	}
	type match struct{ host, prefix string }
	first := map[match]int{}
	names := map[string]bool{}
	for _, route := range r.draft.Routes {
		if names[route.Name] {
			r.warn(route.Locate(Name, 0), "another route has the name %q", route.Name)
		}
		names[route.Name] = true
		key := match{host: route.Host, prefix: route.Prefix}
		if line, taken := first[key]; taken {
			r.warn(route.Locate(Whole, 0), "route %q never matches: the route of line %d has the same host and prefix", route.Name, line)
		} else {
			first[key] = route.Locate(Whole, 0).Line
		}
		if route.Prefix != "" && !strings.HasPrefix(route.Prefix, "/") {
			r.warn(route.Locate(Prefix, 0), "route %q never matches: no path begins with %q", route.Name, route.Prefix)
		}
		if route.UnknownKind {
			r.warn(route.Locate(Kind, 0), "the kind is not known; the route's requests run at most once")
		}
		r.reviewTimes(route)
		r.reviewSplits(route, services)
	}
}

func (r *reviewer) reviewTimes(route Route) {
	switch {
	case route.Timeout <= 0:
		r.warn(route.Locate(Timeout, 0), "the timeout is not above 0")
	case route.Timeout < route.Target:
		r.warn(route.Locate(Timeout, 0), "the timeout %v is under the latency target %v", route.Timeout, route.Target)
	}
	if route.Timeout > 0 && route.PauseTarget > route.Timeout {
		r.warn(route.Locate(PauseTarget, 0), "the target for pauses %v is above the timeout %v", route.PauseTarget, route.Timeout)
	}
}

func (r *reviewer) reviewSplits(route Route, services map[string]bool) {
	for i, split := range route.Splits {
		if !services[split.Service] {
			r.warn(route.Locate(Splits, i), "service %q does not exist", split.Service)
		}
		if len(route.Splits) > 1 && split.Weight <= 0 {
			r.warn(route.Locate(Splits, i), "weight %v: the split's service %q is not to be chosen", split.Weight, split.Service)
		}
	}
}

func (r *reviewer) reviewServices() {
	used := map[string]bool{}
	for _, route := range r.draft.Routes {
		for _, split := range route.Splits {
			used[split.Service] = true
		}
	}
	names := map[string]bool{}
	for _, service := range r.draft.Services {
		if names[service.Name] {
			r.warn(service.Locate(Name, 0), "service %q is there twice; the last one counts", service.Name)
		}
		names[service.Name] = true
		if !used[service.Name] {
			r.warn(service.Locate(Whole, 0), "no route leads to service %q", service.Name)
		}
		if service.MalformedCold {
			r.warn(service.Locate(Cold, 0), "the cold settings of service %q are malformed and ignored", service.Name)
		}
		if (service.ColdFor > 0) != (service.ColdPerSecond > 0) {
			r.warn(service.Locate(Cold, 0), "service %q has one of the two cold settings without the other", service.Name)
		}
	}
}

func (r *reviewer) reviewTeams() {
	last := map[string]int{}
	for i, team := range r.draft.Teams {
		for _, key := range team.Keys {
			last[key] = i
		}
	}
	names := map[string]bool{}
	for i, team := range r.draft.Teams {
		if names[team.Name] {
			r.warn(team.Locate(Name, 0), "team %q is there twice; the last one counts", team.Name)
		}
		names[team.Name] = true
		if len(team.Keys) == 0 {
			r.warn(team.Locate(Whole, 0), "team %q has no keys", team.Name)
		}
		for j, key := range team.Keys {
			switch owner := r.draft.Teams[last[key]]; {
			case key == "":
				r.warn(team.Locate(Keys, j), "a key of team %q is empty", team.Name)
			case last[key] != i:
				r.warn(team.Locate(Keys, j), "key %s of team %q belongs to team %q, which has it too and comes later", KeyPrefix(key), team.Name, owner.Name)
			}
		}
		r.reviewRate(team)
	}
}

func (r *reviewer) reviewRate(team Team) {
	switch {
	case team.TokensPerSecond < 0:
		r.warn(team.Locate(Rate, 0), "the rate of team %q is negative", team.Name)
	case team.Burst < 0:
		r.warn(team.Locate(Burst, 0), "the burst of team %q is negative", team.Name)
	case team.TokensPerSecond == 0 && team.Burst > 0:
		r.warn(team.Locate(Burst, 0), "team %q has a burst but no rate, which is no limit", team.Name)
	case team.TokensPerSecond == 0:
	case team.Burst == 0 || team.Burst < team.PlainTokens:
		r.warn(team.Locate(Burst, 0), "the burst %v of team %q is under one request's cost of %v", team.Burst, team.Name, team.PlainTokens)
	case team.TokensPerSecond < team.PlainTokens:
		r.warn(team.Locate(Rate, 0), "the rate %v of team %q is under one request's cost of %v: less than one a second", team.TokensPerSecond, team.Name, team.PlainTokens)
	}
}

func (r *reviewer) reviewLimits() {
	limits := r.draft.Limits
	for _, limit := range []struct {
		field Field
		value int64
	}{
		{field: HeaderBytes, value: limits.HeaderBytes},
		{field: BodyBytes, value: limits.BodyBytes},
		{field: HeaderTimeout, value: int64(limits.HeaderTimeout / time.Microsecond)},
		{field: IdleTimeout, value: int64(limits.IdleTimeout / time.Microsecond)},
	} {
		if limit.value < 0 {
			r.warn(r.draft.Locate(limit.field, 0), "the limit is negative")
		}
	}
}
