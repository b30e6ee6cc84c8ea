// Package dispatch chooses the backend server for a call. It keeps no state: the
// caller passes in what is known of the candidates.
package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

const (
	// runningCallCost is what each running call adds to the wait: a step takes a
	// little longer, and prefill is interleaved with steps.
	runningCallCost = 2 * time.Millisecond
	// failureCost is the wait added for a failure rate of 1.
	failureCost = 1500 * time.Millisecond
	// plainFailureCost is the same for services without a model, whose calls take
	// less time.
	plainFailureCost = 300 * time.Millisecond
	// crossDomainCost prefers servers of the instance's own failure domain, since
	// traffic between domains is charged.
	crossDomainCost = 8 * time.Millisecond
	// rankCost is added per rank, in an order that all instances of a domain agree
	// on. It keeps calls of one adapter on few of its workers until the wait there
	// is longer: this frees slots on the others and raises prefix cache hits.
	rankCost = 100 * time.Millisecond
	// crowdingCost is what the first call beyond a server's room adds to its wait, and
	// maxCrowdingCost the most that calls beyond it add.
	crowdingCost    = 10 * time.Millisecond
	maxCrowdingCost = time.Second
	// lateFactor is how many times longer than expected an answer takes that is late, and
	// minLateness by how much longer it takes at least.
	lateFactor  = 3
	minLateness = 50 * time.Millisecond
	// paceClassStep is the factor between the classes of paces by which servers are
	// ranked.
	paceClassStep = 1.5
)

// Candidate is a backend server that could take the call.
type Candidate struct {
	Server pomelospring.FleetServer
	// Version is the resident version of the call's adapter; 0 if the call needs
	// none.
	Version int64
	// WaitingTokens are the prompt tokens sent to it, by all instances, whose calls
	// have no output yet.
	WaitingTokens int64
	// Running counts the calls in flight there, of all instances.
	Running int
	// FailureRate is the smoothed fraction of recent calls that failed there, from
	// 0 to 1.
	FailureRate float64
	// CachedTokens of the prompt are assumed to be in its prefix cache.
	CachedTokens int64
	// Limited is set if the server names a limit, so that each call needs a
	// reservation, and TurnWait is how long a call would wait for its time.
	Limited  bool
	TurnWait time.Duration
	// Brittle is set if the server falls over under rejections, so that each call needs a
	// permit.
	Brittle bool
	// Pace is the time that work takes there relative to usual; 0 if unknown.
	Pace float64
	// Room is how many calls it takes without becoming late; 0 if unknown.
	Room int
}

// crowding is the cost of a call beyond the candidate's room, more the further beyond.
func (c Candidate) crowding() time.Duration {
	beyond := c.Running + 1 - c.Room
	if c.Room <= 0 || beyond <= 0 {
		return 0
	}
	return min(maxCrowdingCost, time.Duration(beyond*beyond)*crowdingCost)
}

// LateAfter returns how long the answer of a candidate, or its first output, may take before
// it is late: well over what it was expected to, and over what noise causes.
func LateAfter(candidate Candidate, requirements Requirements) time.Duration {
	expected := candidate.AtPace(requirements.Speeds.PlainCallTime())
	if requirements.Model {
		uncached := max(0, requirements.PromptTokens-candidate.CachedTokens)
		expected = candidate.AtPace(requirements.Speeds.PrefillTime(candidate.WaitingTokens + uncached))
	}
	return lateFactor*expected + minLateness
}

// AtPace returns how long work takes at the candidate that usually takes a time.
func (c Candidate) AtPace(usual time.Duration) time.Duration {
	if c.Pace <= 0 {
		return usual
	}
	return time.Duration(float64(usual) * c.Pace)
}

// Requirements describes a call and the instance that sends it.
type Requirements struct {
	Domain       string
	PromptTokens int64
	// Affinity is what related calls share, their adapter; empty without one.
	Affinity string
	// Model is set if the service runs a model, so that prefill determines the wait.
	Model bool
	// Speeds are those of the service's servers.
	Speeds Speeds
	// UnreportedLoad is the load, as prefill time, of calls with the same affinity
	// that the other instances of all domains sent and that is not reported here
	// yet.
	UnreportedLoad time.Duration
	// HashPosition, from 0 to 1, spreads calls over candidates; calls that share a
	// part of their prompt have the same position.
	HashPosition float64
}

// Choice is the chosen candidate, with the estimated time to its first output.
type Choice struct {
	Candidate Candidate
	Wait      time.Duration
	Found     bool
	// Permit is that to send a call to the candidate if it is brittle.
	Permit pomelospring.Permit
}

// Choose picks the candidate with the lowest estimated wait.
//
// With unreported load it spreads calls instead: calls of a popular adapter reach
// many instances at once, all with the same stale queue lengths, so that all would
// pick the shortest queue. Choose assumes that the unreported load filled the
// queues up to a common level (water-filling), and selects each candidate in
// proportion to its share of that load.
func Choose(candidates []Candidate, requirements Requirements) (choice Choice) {
	if len(candidates) == 0 {
		return Choice{}
	}
	ranks := rankCandidates(candidates, requirements)
	costs := make([]time.Duration, len(candidates))
	best := 0
	for i := range candidates {
		costs[i] = Wait(candidates[i], requirements) + time.Duration(ranks[i])*rankCost
		if costs[i] < costs[best] {
			best = i
		}
	}
	if requirements.UnreportedLoad > 0 && requirements.Affinity != "" {
		best = chooseByHash(costs, ranks, sharedLoad(candidates, requirements), requirements)
	}
	return Choice{
		Candidate: candidates[best],
		Wait:      Wait(candidates[best], requirements),
		Found:     true,
	}
}

// sharedLoad returns the part of the unreported load that competes for the same
// candidates: where several domains have some, each domain uses its own first.
func sharedLoad(candidates []Candidate, requirements Requirements) time.Duration {
	domains := map[string]bool{}
	for i := range candidates {
		domains[candidates[i].Server.Domain] = true
	}
	if !domains[requirements.Domain] {
		return requirements.UnreportedLoad
	}
	return requirements.UnreportedLoad / time.Duration(len(domains))
}

// chooseByHash lays the candidates' shares of the unreported load end to end, in
// the rank order that all instances of a domain agree on, and returns the
// candidate whose share covers the hash position.
func chooseByHash(costs []time.Duration, ranks []int, work time.Duration, requirements Requirements) (best int) {
	level := waterLevel(costs, work)
	byRank := make([]int, len(ranks))
	for i, rank := range ranks {
		byRank[rank] = i
	}
	position := time.Duration(requirements.HashPosition * float64(work))
	for _, i := range byRank {
		share := max(0, level-costs[i])
		if share > 0 {
			best = i
		}
		if position -= share; position < 0 {
			break
		}
	}
	return best
}

// waterLevel returns the cost that the cheapest candidates reach once work is
// distributed over them so that their costs are equal.
func waterLevel(costs []time.Duration, work time.Duration) (level time.Duration) {
	sorted := slices.Clone(costs)
	slices.Sort(sorted)
	sum := work
	for i, cost := range sorted {
		if i > 0 && cost >= level {
			return level
		}
		sum += cost
		level = sum / time.Duration(i+1)
	}
	return level
}

// rankCandidates ranks the candidates of the own domain before the others, faster
// ones before slower ones, and each group by a hash of the affinity and the server, so
// that the instances of a domain agree without communicating; without affinity all
// ranks are 0.
func rankCandidates(candidates []Candidate, requirements Requirements) []int {
	ranks := make([]int, len(candidates))
	if requirements.Affinity == "" {
		return ranks
	}
	hashes, classes := make([]uint64, len(candidates)), make([]int, len(candidates))
	for i, candidate := range candidates {
		classes[i] = paceClass(candidate.Pace)
		hashes[i] = xxhash.Sum64String(requirements.Affinity + "|" + candidate.Server.ID)
	}
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int {
		xLocal, yLocal := candidates[x].Server.Domain == requirements.Domain, candidates[y].Server.Domain == requirements.Domain
		if xLocal != yLocal {
			if xLocal {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(classes[x], classes[y]), cmp.Compare(hashes[y], hashes[x]), cmp.Compare(x, y))
	})
	for rank, i := range order {
		ranks[i] = rank
	}
	return ranks
}

// paceClass returns the class of a pace, 0 for the usual one and less for faster servers,
// so that instances that know slightly different paces rank servers alike.
func paceClass(pace float64) int {
	if pace <= 0 {
		return 0
	}
	return int(math.Round(math.Log(pace) / math.Log(paceClassStep)))
}

// Wait estimates the time until a candidate's first output, plus penalties for
// its failure rate and for another failure domain.
func Wait(candidate Candidate, requirements Requirements) time.Duration {
	penalty := candidate.crowding()
	if candidate.Server.Domain != requirements.Domain {
		penalty += crossDomainCost
	}
	if !requirements.Model {
		slots := max(1, candidate.Server.Slots)
		queued := time.Duration(float64(requirements.Speeds.PlainCallTime()) * float64(candidate.Running+1) / float64(slots))
		return candidate.TurnWait + candidate.AtPace(queued) + penalty + time.Duration(candidate.FailureRate*float64(plainFailureCost))
	}
	uncached := max(0, requirements.PromptTokens-candidate.CachedTokens)
	return candidate.TurnWait +
		candidate.AtPace(requirements.Speeds.PrefillTime(candidate.WaitingTokens+uncached)+time.Duration(candidate.Running)*runningCallCost) +
		penalty +
		time.Duration(candidate.FailureRate*float64(failureCost))
}

// hashPositionBits is how many bits of a hash a float64 represents exactly.
const hashPositionBits = 53

// HashFraction maps what calls share to a position in [0, 1).
func HashFraction(shared string) float64 {
	return float64(xxhash.Sum64String(shared)>>(64-hashPositionBits)) / (1 << hashPositionBits)
}
