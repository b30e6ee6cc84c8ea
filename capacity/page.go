package capacity

import (
	"fmt"
	"io"
	"strings"
)

// The size to design for.
const (
	daemons          = 530.0
	workers          = 12000.0
	adapters         = 13000.0
	domains          = 21.0
	requestsPerSec   = 10000.0
	tokensPerSec     = 3.8e6
	changesPerDay    = 12000.0
	wakingPerHour    = 0.39
	teams            = 5.0
	secondsPerDay    = 86400.0
	renewPerMember   = 0.4
	snapshotSeconds  = 1200.0
	residentPerModel = 8.0
	// orderPart is the part of requests assumed to be orders with a key.
	orderPart = 0.01
	// answerSeconds is how long an answer is assumed to stream.
	answerSeconds = 5.0
	// pollBytes is one question to a peer with an empty answer, both ways.
	pollBytes = 160.0
	// outcomeBytes is the record of an order's claim or outcome.
	outcomeBytes = 500.0
	// idleMemory is a daemon's resident memory with 13,000 adapters configured
	// and few workers, in megabytes (scripts/memory).
	idleMemory = 31.7
)

// The budgets of control for one daemon, and of the log.
const (
	bytesBudget   = 4096.0
	cpuBudget     = 5.0
	memoryBudget  = 64.0
	appendsBudget = 300.0
)

// Line is one figure held against its budget.
type Line struct {
	Role      string
	What      string
	Value     float64
	Unit      string
	Budget    float64
	Mechanism string
}

// Verdict says whether the line keeps its budget.
func (l Line) Verdict() string {
	switch {
	case l.Budget == 0:
		return "part of a sum"
	case l.Value <= l.Budget:
		return fmt.Sprintf("within (%.0f%%)", 100*l.Value/l.Budget)
	}
	return fmt.Sprintf("**over, %.1f times**", l.Value/l.Budget)
}

// Lines works the figures out from the slopes.
func Lines(slopes []Slope) []Line {
	s := map[string]Slope{}
	for _, slope := range slopes {
		s[slope.Name] = slope
	}
	lines := append(traffic(s), processor(s)...)
	lines = append(lines, memory(s)...)
	return append(lines, log()...)
}

func members() float64 { return daemons / domains }

func renewInterval() float64 { return members() * renewPerMember }

func traffic(s map[string]Slope) []Line {
	pools := teams + 1
	perSecond := 1 / renewInterval()
	renewals := members() * perSecond * s[RenewalBytes].Estimate(pools)
	domain := 2 * perSecond * s[ClaimBytes].Estimate(pools)
	claims := domains * perSecond * s[ClaimBytes].Estimate(pools)
	changes := changesPerDay / secondsPerDay * s[ChangeBytes].Estimate(1)
	snapshot := s[SnapshotBytes].Estimate(adapters) / snapshotSeconds
	placements := adapters * wakingPerHour / 3600 * s[PlacementBytes].Estimate(residentPerModel)
	hub := 2 * pollBytes
	used := requestsPerSec / daemons * answerSeconds * 2 * pollBytes
	sum := renewals + domain + claims + changes + snapshot + placements + hub
	return []Line{
		{
			Role:      "entry daemon",
			What:      "renewals of its domain read",
			Value:     renewals,
			Unit:      "B/s",
			Mechanism: "one record an instance carries lease and claims; the interval grows with the domain",
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
			Mechanism: "by age each 20 minutes, by whichever instance comes first",
		},
		{
			Role:      "entry daemon",
			What:      "placements heard of",
			Value:     placements,
			Unit:      "B/s",
			Mechanism: "deltas by server; load rides on answers",
		},
		{
			Role:      "entry daemon",
			What:      "questions to the hub",
			Value:     hub,
			Unit:      "B/s",
			Mechanism: "one hub a domain above 16 instances",
		},
		{
			Role:      "entry daemon",
			What:      "all of the above",
			Value:     sum,
			Unit:      "B/s",
			Budget:    bytesBudget,
			Mechanism: "not built: compressed snapshots, renewals that tell only what changed",
		},
		{
			Role:      "entry daemon",
			What:      "questions to owners of requests in progress",
			Value:     used,
			Unit:      "B/s",
			Budget:    bytesBudget,
			Mechanism: "not built: heartbeats in the forwarded stream, sent only while it is silent",
		},
		{
			Role:      "hub of a domain",
			What:      "questions to its domain and the other hubs",
			Value:     (members() + domains) * 2 * pollBytes,
			Unit:      "B/s",
			Budget:    bytesBudget,
			Mechanism: "not built: questions less often the more peers there are",
		},
	}
}

func processor(s map[string]Slope) []Line {
	perSecond := 1 / renewInterval()
	fold := members()*perSecond*s[RenewalTime].Estimate(members()) + domains*perSecond*s[ClaimTime].Estimate(domains) + changesPerDay/secondsPerDay*s[ChangeTime].Estimate(adapters)
	heard := adapters * wakingPerHour / 3600 * s[PlacementTime].Estimate(workers)
	percent := func(micros float64) float64 { return micros / 1e6 * 100 }
	requests := requestsPerSec / daemons
	return []Line{
		{
			Role:      "entry daemon",
			What:      "folds of all streams",
			Value:     percent(fold),
			Unit:      "% of a core",
			Mechanism: "pure folds that copy only what they touch",
		},
		{
			Role:      "entry daemon",
			What:      "placements heard of",
			Value:     percent(heard),
			Unit:      "% of a core",
			Mechanism: "an index by adapter, changed in place",
		},
		{
			Role:      "entry daemon",
			What:      "routing and charging",
			Value:     percent(requests * (s[RouteTime].Estimate(workers) + s[SpendTime].Estimate(100))),
			Unit:      "% of a core",
			Mechanism: "no cost that grows with the fleet but cache misses",
		},
		{
			Role:   "entry daemon",
			What:   "all of the above",
			Value:  percent(fold + heard + requests*(s[RouteTime].Estimate(workers)+s[SpendTime].Estimate(100))),
			Unit:   "% of a core",
			Budget: cpuBudget,
		},
	}
}

func memory(s map[string]Slope) []Line {
	const mega = 1 << 20
	known := s[PlacementMemory].Estimate(workers) / mega
	return []Line{
		{
			Role:      "entry daemon",
			What:      "idle, with 13,000 adapters configured",
			Value:     idleMemory,
			Unit:      "MB",
			Mechanism: "hashes of keys, two versions an adapter",
		},
		{
			Role:      "entry daemon",
			What:      "12,000 workers known",
			Value:     known,
			Unit:      "MB",
			Mechanism: "one entry a worker, one index",
		},
		{
			Role:   "entry daemon",
			What:   "both",
			Value:  idleMemory + known,
			Unit:   "MB",
			Budget: memoryBudget,
		},
	}
}

func log() []Line {
	perSecond := 1 / renewInterval()
	renewals := daemons * perSecond
	claims := 3 * domains * perSecond
	changes := changesPerDay / secondsPerDay
	orders := requestsPerSec * orderPart
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
			Mechanism: "one writer a domain",
		},
		{
			Role:  "log",
			What:  "changes of configuration",
			Value: changes,
			Unit:  "appends/s",
		},
		{
			Role:      "log",
			What:      "outcomes of orders with a key, 1 in 100 requests",
			Value:     orders,
			Unit:      "appends/s",
			Mechanism: "claims are gathered for 5 ms at the home domain; outcomes not yet",
		},
		{
			Role:      "log",
			What:      "all of the above",
			Value:     renewals + claims + changes + orders,
			Unit:      "appends/s",
			Budget:    appendsBudget,
			Mechanism: "several hundred a second are allowed; 300 is taken",
		},
		{
			Role:      "log",
			What:      "records of orders",
			Value:     2 * orders * outcomeBytes,
			Unit:      "B/s",
			Mechanism: "read in the home domain only",
		},
	}
}

// WritePage writes docs/CAPACITY.md.
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
	put("\n## Held against the budgets\n\n| role | what | figure | budget | verdict | mechanism |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, l := range Lines(slopes) {
		budget := ""
		if l.Budget > 0 {
			budget = fmt.Sprintf("%g %s", l.Budget, l.Unit)
		}
		put("| %s | %s | %.3g %s | %s | %s | %s |\n", l.Role, l.What, l.Value, l.Unit, budget, l.Verdict(), l.Mechanism)
	}
	put("%s", outro)
}

const intro = `
# Capacity

The size to design for: 530 daemons before 12,000 workers in 21 failure domains
of 7 regions, 13,000 adapters of which 39% wake or idle within an hour, 10,000
requests and 3.8 million tokens a second, 12,000 changes of configuration a day.
This page is made by ` + "`bin/measure capacity`" + ` from measured slopes; a test keeps it
in step with them. Assumed, not measured: 5 teams, 8 adapters resident on a
worker, 1 request in 100 an order with an idempotency key, answers that stream
for 5 s.

`

const outro = `
Not on this page yet, as it was not measured: processor time per forwarded
request and per streamed token, state of the weight store's budget at 12,000
workers, time until a change is in force with 530 readers (six daemons on
loopback: milliseconds), first token and time between tokens at 10,000 requests
a second.

## Bad days, on paper

| day | what is locked up or refused | until whole |
| --- | --- | --- |
| one instance crashes | its backend servers wait for its lease (30 s in a domain of 25); its leased part of each budget (1 in 530) for 75 s, its standing part for 10 minutes | 75 s, but for 0.06% of the budgets |
| a planned replacement | nothing: servers are handed over, parts released | at once |
| a rack of 25 instances is lost | as above, 25 times; if it is a whole domain's, its part (1 in 21) of each budget | 75 s; 1.4% of the budgets for 10 minutes |
| a failure domain is lost | its workers and its 4.8% of the budgets: 3.3% for 75 s, 1.4% for 10 minutes; adapters resident only there are loaded elsewhere, as the store allows | load budget decides: 4,600 residents |
| regions cut for minutes | a region's holdings stay its own: it spends them to their deadlines; the rest can't take them before; intents whose home is beyond the cut are refused, truly not run | at the end of the cut plus one renewal (10 s) |
| all daemons replaced within an hour | nothing at planned stops; 9 starts a minute read one snapshot (1.5 MB) and the domain's stream | at once |
| the log out for an hour | leased parts end after 75 s, standing parts (30% of each budget) after 10 minutes: then only loans from nobody, so nothing is admitted; no changes, no orders with keys; owners go on while all peers of their domain agree; keys are accepted for 5 minutes after the last word (a setting) | one renewal after it is back |

The last line is the weakest: with the settings as they stand an outage of an
hour stops the service after 5 to 10 minutes. standingTime, standingPercent and
keysTrusted move that, at the price that the table names for crashes and
withdrawn keys.
`
