// Package dispatch chooses the backend server for a call. It is pure: what is
// known, with its age, is handed in.
package dispatch

import (
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
	// KeptTokens of the prompt were read there before, as far as known.
	KeptTokens int64
}

// Need is what a call asks of a backend server.
type Need struct {
	Domain       string
	PromptTokens int64
	// Affinity names what calls share, the adapter; empty without one.
	Affinity string
	Model    bool
}

// Choice is the candidate that is best, with the time until it would answer.
type Choice struct {
	Candidate Candidate
	Wait      time.Duration
	Found     bool
	// cost is the wait with what speaks against the candidate otherwise.
	cost time.Duration
}

// Choose picks the candidate that will likely answer first.
func Choose(candidates []Candidate, need Need) (choice Choice) {
	ranks := ranksOf(candidates, need)
	for i, candidate := range candidates {
		wait := Wait(candidate, need)
		cost := wait + time.Duration(ranks[i])*rankCost
		if !choice.Found || cost < choice.cost {
			choice = Choice{
				Candidate: candidate,
				Wait:      wait,
				Found:     true,
				cost:      cost,
			}
		}
	}
	return choice
}

// ranksOf orders candidates by their hash for what calls share, so that
// instances agree without a word to each other; without that all rank first.
func ranksOf(candidates []Candidate, need Need) []int {
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
			if hashes[j] > hashes[i] {
				ranks[i]++
			}
		}
	}
	return ranks
}

// Wait estimates the time until a candidate gives its first output, with what
// a failure or the distance costs on top.
func Wait(candidate Candidate, need Need) time.Duration {
	var distance time.Duration
	if candidate.Server.Domain != need.Domain {
		distance = distanceCost
	}
	if !need.Model {
		slots := max(1, candidate.Server.Slots)
		queued := time.Duration(float64(plainWork) * float64(candidate.Running+1) / float64(slots))
		return queued + distance + time.Duration(candidate.FailureRate*float64(plainFailureCost))
	}
	unread := max(0, need.PromptTokens-candidate.KeptTokens)
	return Queued(candidate) + ReadingTime(unread) +
		time.Duration(candidate.Running)*runningCost +
		distance +
		time.Duration(candidate.FailureRate*float64(failureCost))
}

// Queued estimates the time until a candidate has read the prompts that wait
// there already.
func Queued(candidate Candidate) time.Duration { return ReadingTime(candidate.WaitingTokens) }

// ReadingTime estimates how long a model worker takes to read prompts.
func ReadingTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / readTokensPerSecond * float64(time.Second))
}
