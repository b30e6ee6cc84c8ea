package fleet

import "time"

// LoadTotals adds up the server loads that instances report, so that a leader
// can tell each instance the load of the others. A report costs as much as it
// lists, whatever the number of instances. It is not safe for concurrent use.
type LoadTotals struct {
	reports map[string]loadReport
	sums    map[string]*ServerTotal
}

// loadReport is the last report of one instance.
type loadReport struct {
	loads     map[string]ServerLoad
	expiresAt time.Time
}

// ServerTotal is the load of all instances on one backend server.
type ServerTotal struct {
	Running       int
	WaitingTokens int64
	// Adapters counts the reports that list an adapter as in use.
	Adapters map[string]int
}

// NewLoadTotals returns totals without reports.
func NewLoadTotals() *LoadTotals {
	return &LoadTotals{
		reports: map[string]loadReport{},
		sums:    map[string]*ServerTotal{},
	}
}

// Report replaces the report of an instance; it counts until it expires.
func (t *LoadTotals) Report(instance string, loads map[string]ServerLoad, expiresAt time.Time) {
	t.withdraw(instance)
	t.reports[instance] = loadReport{
		loads:     loads,
		expiresAt: expiresAt,
	}
	for server, load := range loads {
		t.add(server, load, 1)
	}
}

// Expire withdraws the reports that have expired.
func (t *LoadTotals) Expire(now time.Time) {
	for instance, report := range t.reports {
		if now.After(report.expiresAt) {
			t.withdraw(instance)
		}
	}
}

// Total returns the load on a server; nil if no instance has any.
func (t *LoadTotals) Total(server string) *ServerTotal { return t.sums[server] }

// Others returns the loads of all instances but one, without the adapters.
func (t *LoadTotals) Others(instance string) map[string]ServerLoad {
	own := t.reports[instance].loads
	others := make(map[string]ServerLoad, len(t.sums))
	for server, sum := range t.sums {
		load := ServerLoad{
			Running:       sum.Running - own[server].Running,
			WaitingTokens: sum.WaitingTokens - own[server].WaitingTokens,
		}
		if load.Running > 0 || load.WaitingTokens > 0 {
			others[server] = load
		}
	}
	return others
}

// withdraw removes an instance's report from the sums.
func (t *LoadTotals) withdraw(instance string) {
	for server, load := range t.reports[instance].loads {
		t.add(server, load, -1)
	}
	delete(t.reports, instance)
}

// add adds a load to a server's sum, or subtracts it if sign is -1.
func (t *LoadTotals) add(server string, load ServerLoad, sign int) {
	sum := t.sums[server]
	if sum == nil {
		sum = &ServerTotal{
			Adapters: map[string]int{},
		}
		t.sums[server] = sum
	}
	sum.Running += sign * load.Running
	sum.WaitingTokens += int64(sign) * load.WaitingTokens
	for _, adapter := range load.Adapters {
		if sum.Adapters[adapter] += sign; sum.Adapters[adapter] == 0 {
			delete(sum.Adapters, adapter)
		}
	}
	if sum.Running == 0 && sum.WaitingTokens == 0 && len(sum.Adapters) == 0 {
		delete(t.sums, server)
	}
}
