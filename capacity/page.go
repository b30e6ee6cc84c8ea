package capacity

import (
	"fmt"
	"io"
	"strings"
)

// The fleet that the system is designed for.
const (
	daemons        = 530.0
	workers        = 12000.0
	adapters       = 13000.0
	domains        = 21.0
	requestsPerSec = 10000.0
	tokensPerSec   = 3.8e6
	changesPerDay  = 12000.0
	// activityChangesPerHour is the fraction of adapters that become active or
	// idle within an hour.
	activityChangesPerHour = 0.39
	teams                  = 5.0
	secondsPerDay          = 86400.0
	// renewSecondsPerMember is the renewal interval for each member of a domain.
	renewSecondsPerMember = 0.4
	// snapshotSeconds is the time between two snapshots of the configuration.
	snapshotSeconds = 1200.0
	// residentPerWorker is the assumed number of adapters on a model worker.
	residentPerWorker = 8.0
	// keyedFraction is the assumed fraction of requests with an idempotency key.
	keyedFraction = 0.01
	// answerSeconds is the assumed time that an answer streams.
	answerSeconds = 5.0
	// pollBytes is the size of one poll of a peer and its empty answer together.
	// A peer is polled twice a second.
	pollBytes = 160.0
	// intentRecordBytes is the size of the record of an intent's claim or outcome.
	intentRecordBytes = 500.0
	// idleMegabytes is the resident memory of a daemon with 13,000 adapters
	// configured and few workers (scripts/memory).
	idleMegabytes = 31.7
)

// The budgets for the control traffic, processor time and memory of one daemon,
// and for the appends to the log.
const (
	bytesPerSecondBudget   = 4096.0
	processorPercentBudget = 5.0
	megabytesBudget        = 64.0
	appendsPerSecondBudget = 300.0
)

// Line compares one figure with its budget; a Budget of 0 marks a part of a sum.
type Line struct {
	Role      string
	What      string
	Value     float64
	Unit      string
	Budget    float64
	Mechanism string
}

// Verdict says whether the figure is within its budget.
func (l Line) Verdict() string {
	switch {
	case l.Budget == 0:
		return "part of a sum"
	case l.Value <= l.Budget:
		return fmt.Sprintf("within (%.0f%%)", 100*l.Value/l.Budget)
	}
	return fmt.Sprintf("**over, %.1f times**", l.Value/l.Budget)
}

// Lines computes all figures from the slopes.
func Lines(slopes []Slope) []Line {
	s := map[string]Slope{}
	for _, slope := range slopes {
		s[slope.Name] = slope
	}
	lines := append(traffic(s), processor(s)...)
	lines = append(lines, memory(s)...)
	return append(lines, logLoad()...)
}

// domainMembers returns the average number of daemons in a failure domain.
func domainMembers() float64 { return daemons / domains }

func renewIntervalSeconds() float64 { return domainMembers() * renewSecondsPerMember }

// traffic returns the control traffic of one daemon and of a hub.
func traffic(s map[string]Slope) []Line {
	// One pool for each team and one for adapter loads.
	pools := teams + 1
	perSecond := 1 / renewIntervalSeconds()
	renewals := domainMembers() * perSecond * s[RenewalBytes].Estimate(pools)
	domain := 2 * perSecond * s[ClaimBytes].Estimate(pools)
	claims := domains * perSecond * s[ClaimBytes].Estimate(pools)
	changes := changesPerDay / secondsPerDay * s[ChangeBytes].Estimate(1)
	snapshot := s[SnapshotBytes].Estimate(adapters) / snapshotSeconds
	placements := adapters * activityChangesPerHour / 3600 * s[PlacementBytes].Estimate(residentPerWorker)
	hubPolls := 2 * pollBytes
	ownerPolls := requestsPerSec / daemons * answerSeconds * 2 * pollBytes
	sum := renewals + domain + claims + changes + snapshot + placements + hubPolls
	return []Line{
		{
			Role:      "entry daemon",
			What:      "renewals of its domain read",
			Value:     renewals,
			Unit:      "B/s",
			Mechanism: "one record per instance carries lease and claims; the interval grows with the domain",
		},
		{
			Role:      "entry daemon",
			What:      "claims and grants of its domain read",
			Value:     domain,
			Unit:      "B/s",
			Mechanism: "one claim for all pools",
		},
		{
			Role:      "entry daemon",
			What:      "claims of all domains read",
			Value:     claims,
			Unit:      "B/s",
			Mechanism: "two levels of escrow",
		},
		{
			Role:      "entry daemon",
			What:      "changes of configuration read",
			Value:     changes,
			Unit:      "B/s",
			Mechanism: "one stream, pushed by waiting reads",
		},
		{
			Role:      "entry daemon",
			What:      "snapshots of the configuration read",
			Value:     snapshot,
			Unit:      "B/s",
			Mechanism: "every 20 minutes, written by the first instance that finds the snapshot too old",
		},
		{
			Role:      "entry daemon",
			What:      "placement updates received",
			Value:     placements,
			Unit:      "B/s",
			Mechanism: "deltas by server; load reports are sent with answers",
		},
		{
			Role:      "entry daemon",
			What:      "polls of the hub",
			Value:     hubPolls,
			Unit:      "B/s",
			Mechanism: "one hub per domain above 16 instances",
		},
		{
			Role:      "entry daemon",
			What:      "all of the above",
			Value:     sum,
			Unit:      "B/s",
			Budget:    bytesPerSecondBudget,
			Mechanism: "not built: compressed snapshots, renewals that contain only changes",
		},
		{
			Role:      "entry daemon",
			What:      "polls of the owners of requests in progress",
			Value:     ownerPolls,
			Unit:      "B/s",
			Budget:    bytesPerSecondBudget,
			Mechanism: "not built: heartbeats in the forwarded stream, sent only while it is idle",
		},
		{
			Role:      "hub of a domain",
			What:      "polls of its domain and the other hubs",
			Value:     (domainMembers() + domains) * 2 * pollBytes,
			Unit:      "B/s",
			Budget:    bytesPerSecondBudget,
			Mechanism: "not built: a poll interval that grows with the number of peers",
		},
	}
}

// processor returns the processor time of one daemon.
func processor(s map[string]Slope) []Line {
	perSecond := 1 / renewIntervalSeconds()
	fold := domainMembers()*perSecond*s[RenewalTime].Estimate(domainMembers()) + domains*perSecond*s[ClaimTime].Estimate(domains) + changesPerDay/secondsPerDay*s[ChangeTime].Estimate(adapters)
	placements := adapters * activityChangesPerHour / 3600 * s[PlacementTime].Estimate(workers)
	percent := func(micros float64) float64 { return micros / 1e6 * 100 }
	requests := requestsPerSec / daemons
	return []Line{
		{
			Role:      "entry daemon",
			What:      "folds of all streams",
			Value:     percent(fold),
			Unit:      "% of a core",
			Mechanism: "pure folds that copy only what they change",
		},
		{
			Role:      "entry daemon",
			What:      "placement updates received",
			Value:     percent(placements),
			Unit:      "% of a core",
			Mechanism: "an index by adapter, changed in place",
		},
		{
			Role:      "entry daemon",
			What:      "routing and charging",
			Value:     percent(requests * (s[RouteTime].Estimate(workers) + s[SpendTime].Estimate(100))),
			Unit:      "% of a core",
			Mechanism: "only cache misses grow with the fleet",
		},
		{
			Role:   "entry daemon",
			What:   "all of the above",
			Value:  percent(fold + placements + requests*(s[RouteTime].Estimate(workers)+s[SpendTime].Estimate(100))),
			Unit:   "% of a core",
			Budget: processorPercentBudget,
		},
	}
}

// memory returns the resident memory of one daemon.
func memory(s map[string]Slope) []Line {
	const bytesPerMegabyte = 1 << 20
	directory := s[PlacementMemory].Estimate(workers) / bytesPerMegabyte
	return []Line{
		{
			Role:      "entry daemon",
			What:      "idle, with 13,000 adapters configured",
			Value:     idleMegabytes,
			Unit:      "MB",
			Mechanism: "hashes of keys, two versions per adapter",
		},
		{
			Role:      "entry daemon",
			What:      "12,000 workers known",
			Value:     directory,
			Unit:      "MB",
			Mechanism: "one entry per worker, one index",
		},
		{
			Role:   "entry daemon",
			What:   "both",
			Value:  idleMegabytes + directory,
			Unit:   "MB",
			Budget: megabytesBudget,
		},
	}
}

// logLoad returns the load of the whole fleet on the log.
func logLoad() []Line {
	perSecond := 1 / renewIntervalSeconds()
	renewals := daemons * perSecond
	claims := 3 * domains * perSecond
	changes := changesPerDay / secondsPerDay
	keyed := requestsPerSec * keyedFraction
	return []Line{
		{
			Role:      "log",
			What:      "renewals",
			Value:     renewals,
			Unit:      "appends/s",
			Mechanism: "interval 0.4 s for each member of a domain",
		},
		{
			Role:      "log",
			What:      "domains' claims, their announcements and grants",
			Value:     claims,
			Unit:      "appends/s",
			Mechanism: "one writer per domain",
		},
		{
			Role:  "log",
			What:  "changes of configuration",
			Value: changes,
			Unit:  "appends/s",
		},
		{
			Role:      "log",
			What:      "outcomes of requests with an idempotency key, 1 request in 100",
			Value:     keyed,
			Unit:      "appends/s",
			Mechanism: "claims are batched for 5 ms at the home domain; outcomes not yet",
		},
		{
			Role:      "log",
			What:      "all of the above",
			Value:     renewals + claims + changes + keyed,
			Unit:      "appends/s",
			Budget:    appendsPerSecondBudget,
			Mechanism: "the log allows several hundred a second; the budget is set to 300",
		},
		{
			Role:      "log",
			What:      "records of intents",
			Value:     2 * keyed * intentRecordBytes,
			Unit:      "B/s",
			Mechanism: "read in the home domain only",
		},
	}
}

// WritePage writes docs/CAPACITY.md, computed from the slopes.
func WritePage(out io.Writer, slopes []Slope) {
	put := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
	put("%s", strings.TrimLeft(intro, "\n"))
	put("## Slopes\n\nMeasured by `bin/measure slopes` into docs/measurements/slopes.json; value = fixed + each x size.\n\n")
	put("| what | size counts | points (size: value) | unit | fixed | each | largest error |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range slopes {
		points := make([]string, 0, len(s.Points))
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %g", p.Size, p.Value))
		}
		put("| %s | %s | %s | %s | %g | %g | %.1f%% |\n", s.Name, s.Size, strings.Join(points, "; "), s.Unit, s.Fixed, s.PerUnit, 100*s.MaxRelativeError)
	}
	put("\n## Figures and budgets\n\n| role | what | figure | budget | verdict | mechanism |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, l := range Lines(slopes) {
		budget := ""
		if l.Budget > 0 {
			budget = fmt.Sprintf("%g %s", l.Budget, l.Unit)
		}
		put("| %s | %s | %.3g %s | %s | %s | %s |\n", l.Role, l.What, l.Value, l.Unit, budget, l.Verdict(), l.Mechanism)
	}
	put("%s", conclusion)
}

const intro = `
# Capacity

The system is designed for 530 daemons in front of 12,000 workers in 21 failure
domains of 7 regions, 13,000 adapters of which 39% become active or idle within
an hour, 10,000 requests and 3.8 million tokens a second, and 12,000 changes of
configuration a day. ` + "`bin/measure capacity`" + ` generates this page from measured
slopes; a test checks that it matches them. Assumed, not measured: 5 teams, 8
adapters resident on a worker, 1 request in 100 with an idempotency key, answers
that stream for 5 s.

`

const conclusion = `
Not on this page yet, as it was not measured: processor time per forwarded
request and per streamed token, state of the weight store's budget at 12,000
workers, time until a change is active with 530 readers (six daemons on
loopback: milliseconds), first token and time between tokens at 10,000 requests
a second.

## The configuration on the users' platform

There the configuration is one record, in full with each change: 349 kB with 1,400 routes,
2.99 MB with 12,000, in the tests below. Sent whole at 12,000 changes a day, 12,000 routes
cost 415 kB/s an instance, a hundred times the 4 KB/s for control, and 2.4 s of a link of
10 Mbit/s a change. So only leaders read it from the store; others are told its position and
fetch the blocks of its value that they lack, cut by content.

| what | figure | source |
| --- | --- | --- |
| bytes a change at an instance that doesn't lead, all exchanges with leaders included: 1,400 routes, a change in 1.25 s | 14.6 to 25.8 kB; 14.6 to 28 kB with leaders on links of 10 Mbit/s | TestLargeConfigurationIsInForceInTime, 16 instances in 4 domains |
| 1,400 routes, a change in 0.35 s | 10.1 kB | same |
| 12,000 routes, a change in 7.2 s | 62 kB | same |
| the same, every second instance of a build that sends records whole | 243 and 301 kB | same |
| 1,400 routes, a change in 1.25 or 0.35 s, all leaders without the store for 7 of 20 s | 191 and 182 kB: instances read the store themselves meanwhile | same |
| a change in 0.35 s, the store away from all for 7 of 20 s, all links of 10 Mbit/s | 34 kB; 329 kB when each missed version was read | same |
| a change in 0.35 s, instances restarted in turn | 23 to 51 kB | same |
| a change in 0.35 s, messages 60 ms on their way | 8 to 12 kB; 121 to 167 kB when fetches began anew with each change | same |
| of that, exchanges that would be made without changes | 5.1 kB/s | the difference of the first two rows |
| a change itself, 1,400 and 12,000 routes | 8 and 20 kB | the rows less exchanges |
| a change of 12,000 routes at 12,000 changes a day | 2.8 kB/s | 20 kB in 7.2 s |
| a leader | 415 kB/s from the store, and 20 kB a change to each instance that it relays to | computed; **over, 100 times**: the store has no differences. One that is behind by more than two answers of the store reads the newest records only |
| first configuration of an instance | the whole record, once, 32 to 41 kB a call | maxBlocksAsked |

Not measured: 530 instances, whose exchanges are 0.9 s apart instead of 0.12 s; processor time to
decode 12,000 routes on the smallest machine.

## Estimated effects of failures

| failure | what is unavailable or refused | time to recover |
| --- | --- | --- |
| one instance crashes | its backend servers wait for its lease (30 s in a domain of 25); the leased part of its share of each budget (1 in 530) for 75 s, the standing part for 10 minutes | 75 s, except for 0.06% of the budgets |
| a planned replacement | nothing: servers are handed over, shares released | at once |
| a rack of 25 instances is lost | as above, 25 times; if they are a whole domain, its share (1 in 21) of each budget | 75 s; 1.4% of the budgets for 10 minutes |
| a failure domain is lost | its workers and its 4.8% of the budgets: 3.3% for 75 s, 1.4% for 10 minutes; adapters resident only there are loaded elsewhere, within the load budget of the weight store | depends on the load budget: 4,600 resident adapters |
| regions partitioned for minutes | each region keeps its holdings and spends them until their deadlines; the others can't claim them before; intents whose home domain is across the partition are refused and not executed | one renewal (10 s) after the partition ends |
| all daemons replaced within an hour | nothing, if the stops are planned; 9 starts a minute each read one snapshot (1.5 MB) and the domain's stream | at once |
| the log unavailable for an hour | the leased parts of shares expire after 75 s, the standing parts (30% of each budget) after 10 minutes: after that no instance has budget to lend, so nothing is admitted; no changes, no requests with idempotency keys; owners continue while all peers of their domain agree; keys are accepted for 5 minutes after the last contact with the log or a peer (keysTrusted) | one renewal after the log is back |

The last line is the most severe: with the default settings an outage of an hour
stops the service after 5 to 10 minutes. Higher values of standingTime,
standingPercent and keysTrusted extend that time, but then a crash locks up more
of the budgets for longer, and withdrawn keys are accepted for longer.
`
