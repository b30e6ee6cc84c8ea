// Package measure runs the daemon's routing, placement, queueing and budget code
// in virtual time against small simulations of the model workers and the weight
// store, and compares it with simple baselines. It measures decisions, not a
// cluster: no processes, log or network take part.
package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/pomelospring/pomelospring"
)

// Deployment is the size of a fleet.
type Deployment struct {
	Name    string
	Workers int
	// Instances is the number of instances, spread evenly over the three
	// failure domains.
	Instances int
	// Slots is the number of adapters that fit on a worker.
	Slots int
	// Running is the number of requests that a worker runs at once.
	Running int
	// LoadRate is the number of adapter loads a second that the weight store
	// allows.
	LoadRate float64
	// RequestRate is the number of requests a second of all teams together.
	RequestRate float64
}

// Utility and Consortium are the deployment sizes documented by the platform.
var (
	Utility = Deployment{
		Name:        "utility",
		Workers:     12,
		Instances:   9,
		Slots:       16,
		Running:     16,
		LoadRate:    3,
		RequestRate: 8,
	}
	Consortium = Deployment{
		Name:        "consortium",
		Workers:     9,
		Instances:   9,
		Slots:       16,
		Running:     16,
		LoadRate:    2,
		RequestRate: 5,
	}
)

// The adapters of all teams together, and the failure domains.
const (
	adapterCount = 3000
	domainCount  = 3
)

// teamWeights are the five teams' fractions of the requests and of the adapters.
var teamWeights = []float64{0.45, 0.3, 0.15, 0.07, 0.03}

// Case is one workload with its faults.
type Case struct {
	Name       string
	Deployment Deployment
	// Skew is the exponent of the Zipf distribution of the adapters'
	// popularity.
	Skew float64
	// Length is the virtual time that is measured. A warm-up of a third of it
	// comes first.
	Length time.Duration
	// ShiftInterval is the time between changes of which adapters are popular;
	// 0 means never.
	ShiftInterval time.Duration
	// RestartInterval is the time between restarts of a random worker, which
	// comes back empty; 0 means never.
	RestartInterval time.Duration
	// LoadFailureRate is the fraction of adapter loads that fail.
	LoadFailureRate float64
	// StoreSlowdown multiplies the duration of an adapter load.
	StoreSlowdown float64
	// LoseDomain takes the instances of a failure domain out of service for the
	// middle third of the run. Requests for them enter at other instances.
	LoseDomain bool
	// FloodFactor multiplies the request rate of the largest team; 1 means no
	// flood.
	FloodFactor float64
	// ReportLag is the delay after which routers receive placements.
	ReportLag time.Duration
	// EnforcesRates says whether requests above a team's rate are refused.
	EnforcesRates bool
}

// request is one request that arrives at an entry instance.
type request struct {
	at           time.Duration
	team         int
	adapter      pomelospring.AdapterVersion
	entry        int
	promptTokens int
	outputTokens int
}

// workload generates the requests of a case, the same for every policy.
func workload(c Case, seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 1))
	popularity := make([][]float64, len(teamWeights))
	for team, weight := range teamWeights {
		popularity[team] = cumulativePopularity(c.Skew, int(weight*adapterCount))
	}
	names := random.Perm(adapterCount)
	var requests []request
	total := c.Length + c.Length/3
	nextShift := c.ShiftInterval
	for at := time.Duration(0); ; {
		rate := c.Deployment.RequestRate * (1 + teamWeights[0]*(c.FloodFactor-1))
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at > total {
			return requests
		}
		if c.ShiftInterval > 0 && at > nextShift {
			names = random.Perm(adapterCount)
			nextShift += c.ShiftInterval
		}
		team := pickTeam(random, c.FloodFactor)
		rank := sort.SearchFloat64s(popularity[team], random.Float64())
		requests = append(requests, request{
			at:   at,
			team: team,
			adapter: pomelospring.AdapterVersion{
				Adapter: fmt.Sprintf("%s-%d", teamName(team), names[rank]),
				Version: "v1",
			},
			entry:        random.IntN(c.Deployment.Instances),
			promptTokens: 40 + int(random.ExpFloat64()*80),
			outputTokens: 10 + int(random.ExpFloat64()*50),
		})
	}
}

// pickTeam draws a team by weight, with the largest team's multiplied by the
// flood factor.
func pickTeam(random *rand.Rand, flood float64) int {
	weights := slices.Clone(teamWeights)
	weights[0] *= flood
	var sum float64
	for _, weight := range weights {
		sum += weight
	}
	at := random.Float64() * sum
	for team, weight := range weights {
		if at < weight {
			return team
		}
		at -= weight
	}
	return len(weights) - 1
}

// cumulativePopularity returns the cumulative distribution of the popularity of
// a team's adapters, the most popular first.
func cumulativePopularity(skew float64, count int) []float64 {
	sums := make([]float64, count)
	var sum float64
	for i := range sums {
		sum += math.Pow(float64(i+1), -skew)
		sums[i] = sum
	}
	for i := range sums {
		sums[i] /= sum
	}
	return sums
}

// teamName returns the name of a team.
func teamName(team int) string {
	return fmt.Sprintf("team%d", team)
}
