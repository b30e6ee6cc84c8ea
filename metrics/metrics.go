// Package metrics collects the counters, timers and gauges of an instance and serves
// them to Prometheus.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between updates of the gauges, and between flushes of
// the collected values to the reporter.
const reportInterval = time.Second

// Metrics holds the root scope of all metrics and the reporter that exposes them.
type Metrics struct {
	scope    tally.Scope
	reporter promreporter.Reporter
	registry *prometheus.Registry
	closer   func() error
}

// New creates metrics with a registry of their own, so that several instances can
// run in one process.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "pomelospring",
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return &Metrics{
		scope:    scope,
		reporter: reporter,
		registry: registry,
		closer:   closer.Close,
	}
}

// Close flushes the collected values and stops reporting.
func (m *Metrics) Close() error { return m.closer() }

// Handler serves the metrics in the format of Prometheus.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// AddGauge adds a gauge that is read when the metrics are.
func (m *Metrics) AddGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pomelospring_" + name,
		Help: help,
	}, read))
}

// Served counts a served request and records the time to its first output.
func (m *Metrics) Served(team string, firstOutput time.Duration) {
	scope := m.scope.Tagged(map[string]string{
		"team": team,
	})
	scope.Counter("requests_served").Inc(1)
	scope.Timer("first_token").Record(firstOutput)
}

// Refused counts a refused request by its code.
func (m *Metrics) Refused(team string, code pomelospring.Code) {
	m.scope.Tagged(map[string]string{
		"team": team,
		"code": string(code),
	}).Counter("requests_refused").Inc(1)
}

// TokensAsked counts the tokens of a team's request, admitted or refused.
func (m *Metrics) TokensAsked(team string, tokens float64, admitted bool) {
	outcome := "refused"
	if admitted {
		outcome = "admitted"
	}
	m.scope.Tagged(map[string]string{
		"team":    team,
		"outcome": outcome,
	}).Counter("tokens_asked").Inc(int64(tokens))
}

// ServerSpeed sets how long work takes on a server, relative to usual, and how many calls it
// takes.
func (m *Metrics) ServerSpeed(server string, pace float64, room int) {
	scope := m.scope.Tagged(map[string]string{
		"server": server,
	})
	scope.Gauge("server_pace").Update(pace)
	scope.Gauge("server_room").Update(float64(room))
}

// StoreCalled counts a call to the platform's store by its kind and outcome.
func (m *Metrics) StoreCalled(kind, outcome string) {
	m.scope.Tagged(map[string]string{
		"kind":    kind,
		"outcome": outcome,
	}).Counter("store_calls").Inc(1)
}

// SetEvacuated shows whether a failure domain is evacuated.
func (m *Metrics) SetEvacuated(domain string, evacuated bool) {
	value := 0.0
	if evacuated {
		value = 1
	}
	m.scope.Tagged(map[string]string{
		"domain": domain,
	}).Gauge("domain_evacuated").Update(value)
}

// Run updates the gauges from the state of the blackboard until the context ends,
// and then closes the metrics.
func (m *Metrics) Run(ctx context.Context, board *blackboard.Blackboard, clock pomelospring.Clock) error {
	for {
		m.scope.Gauge("requests_running").Update(float64(board.Running.Len()))
		m.scope.Gauge("configuration_offset").Update(float64(board.Configuration.Get().Next))
		m.scope.Gauge("configuration_age_seconds").Update(clock().Sub(board.Configuration.FreshAt()).Seconds())
		m.scope.Gauge("instances_known").Update(float64(len(board.Peers.Get()) + 1))
		for pool, wanted := range board.Bank.DemandRates(clock()) {
			m.scope.Tagged(map[string]string{
				"pool": pool,
			}).Gauge("tokens_wanted").Update(wanted)
		}
		select {
		case <-ctx.Done():
			return m.Close()
		case <-time.After(reportInterval):
		}
	}
}
