// Package dispatch chooses the backend server for a call. It is pure: what is
// known, with its age, is handed in.
package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

const (
	// readTokensPerSecond is how fast a model worker reads prompts while it
	// runs some others; the engines' sheet gives 38,700 for one alone.
	readTokensPerSecond = 32000
	// runningCost is what each running request adds to the wait, by the
	// engines' sheet: a step is a little longer and prompts are read between.
	runningCost = 2 * time.Millisecond
	// failureCost is the wait that a certain failure is worth.
	failureCost = 1500 * time.Millisecond
	// plainFailureCost is the same for plain services, whose answers take
	// less time.
	plainFailureCost = 300 * time.Millisecond
	// distanceCost prefers backend servers of the own failure domain: bytes
	// between domains are paid for.
	distanceCost = 8 * time.Millisecond
	// plainWork is how long a plain call takes where nothing is known.
	plainWork = 60 * time.Millisecond
	// rankCost keeps requests of one adapter on few of the workers that hold
	// it, in an order that all instances agree on, until the wait there is
	// longer than that: the others' slots become free, and prompts that were
	// read are met again.
	rankCost = 100 * time.Millisecond
)

// Candidate is a backend server that could take the call.
type Candidate struct {
	Server pomelospring.FleetServer
	// Version of the call's adapter that it holds; 0 where that does not matter.
	Version int64
	// WaitingTokens are prompts sent to it, by all instances, that have no
	// output yet.
	WaitingTokens int64
	// Running counts calls in progress there, of all instances.
	Running int
	// FailureRate is the part of late calls that failed there, from 0 to 1.
	FailureRate float64
	// CachedTokens of the prompt were read there before, as far as known.
	CachedTokens int64
}

// Requirements is what a call asks of a backend server.
type Requirements struct {
	Domain       string
	PromptTokens int64
	// Affinity names what calls share, the adapter; empty without one.
	Affinity string
	Model    bool
	// UnreportedLoad is work on calls alike, as reading time, that other instances sent
	// to the same candidates without it being known here yet.
	UnreportedLoad time.Duration
	// HashPosition, from 0 to 1, spreads calls over candidates; those that share a part
	// of their prompt have the same.
	HashPosition float64
}

// Choice is the candidate that is best, with the time until it would answer.
type Choice struct {
	Candidate Candidate
	Wait      time.Duration
	Found     bool
}

// Choose picks the candidate that will likely answer first. For load: calls of
// a popular adapter come to many instances at once, and all know the queues as
// they were a moment ago, so that all would take the one that was shortest. The
// unseen calls are taken to have filled the candidates up to one level instead,
// and each call falls to a candidate with the share that it gets of them.
func Choose(candidates []Candidate, need Requirements) (choice Choice) {
	if len(candidates) == 0 {
		return Choice{}
	}
	ranks := ranksOf(candidates, need)
	costs := make([]time.Duration, len(candidates))
	best := 0
	for i := range candidates {
		costs[i] = Wait(candidates[i], need) + time.Duration(ranks[i])*rankCost
		if costs[i] < costs[best] {
			best = i
		}
	}
	if need.UnreportedLoad > 0 && need.Affinity != "" {
		best = drawn(costs, ranks, need)
	}
	return Choice{
		Candidate: candidates[best],
		Wait:      Wait(candidates[best], need),
		Found:     true,
	}
}

// drawn lays the candidates' shares of the unseen work side by side in the order
// of their ranks, which all instances agree on, and picks the one under the draw.
func drawn(costs []time.Duration, ranks []int, need Requirements) (best int) {
	level := levelOf(costs, need.UnreportedLoad)
	byRank := make([]int, len(ranks))
	for i, rank := range ranks {
		byRank[rank] = i
	}
	at := time.Duration(need.HashPosition * float64(need.UnreportedLoad))
	for _, i := range byRank {
		share := max(0, level-costs[i])
		if share > 0 {
			best = i
		}
		if at -= share; at < 0 {
			break
		}
	}
	return best
}

// levelOf is the cost at which all candidates that got some of the work stand,
// once it is poured over the cheapest.
func levelOf(costs []time.Duration, work time.Duration) (level time.Duration) {
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

// ranksOf orders candidates by their hash for what calls share, so that
// instances agree without a word to each other; without that all rank first.
func ranksOf(candidates []Candidate, need Requirements) []int {
	ranks := make([]int, len(candidates))
	if need.Affinity == "" {
		return ranks
	}
	hashes := make([]uint64, len(candidates))
	for i, candidate := range candidates {
		hashes[i] = xxhash.Sum64String(need.Affinity + "|" + candidate.Server.ID)
	}
	for i := range hashes {
		for j := range hashes {
			if hashes[j] > hashes[i] || hashes[j] == hashes[i] && j < i {
				ranks[i]++
			}
		}
	}
	return ranks
}

// Wait estimates the time until a candidate gives its first output, with what
// a failure or the distance costs on top.
func Wait(candidate Candidate, need Requirements) time.Duration {
	var distance time.Duration
	if candidate.Server.Domain != need.Domain {
		distance = distanceCost
	}
	if !need.Model {
		slots := max(1, candidate.Server.Slots)
		queued := time.Duration(float64(plainWork) * float64(candidate.Running+1) / float64(slots))
		return queued + distance + time.Duration(candidate.FailureRate*float64(plainFailureCost))
	}
	unread := max(0, need.PromptTokens-candidate.CachedTokens)
	return QueueTime(candidate) + PrefillTime(unread) +
		time.Duration(candidate.Running)*runningCost +
		distance +
		time.Duration(candidate.FailureRate*float64(failureCost))
}

// QueueTime estimates the time until a candidate has read the prompts that wait
// there already.
func QueueTime(candidate Candidate) time.Duration { return PrefillTime(candidate.WaitingTokens) }

// PrefillTime estimates how long a model worker takes to read prompts.
func PrefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / readTokensPerSecond * float64(time.Second))
}

// drawBits is how many bits of a hash a float64 holds exactly.
const drawBits = 53

// HashFraction turns what calls share into a draw.
func HashFraction(shared string) float64 {
	return float64(xxhash.Sum64String(shared)>>(64-drawBits)) / (1 << drawBits)
}
