// Package measure drives the decision code that the daemon runs with small
// fakes of the model worker and the weight store in virtual time, and compares
// it with simple baselines. It measures decisions, not a cluster: there are no
// processes, no log and no network in it.
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

// Deployment is one of the users' sizes of today.
type Deployment struct {
	Name    string
	Workers int
	// Instances is how many entry instances there are, a third in each of
	// three failure domains.
	Instances int
	Slots     int
	// Running is how many requests a worker runs at once.
	Running int
	// LoadRate is what the weight store allows a second.
	LoadRate float64
	// RequestRate is the requests a second of all teams together.
	RequestRate float64
}

// Utility and Consortium are the users' deployments.
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

const (
	adapters = 3000
	domains  = 3
)

// teamWeights are the parts of five teams, a few of them large.
var teamWeights = []float64{0.45, 0.3, 0.15, 0.07, 0.03}

// Case is one workload with its faults.
type Case struct {
	Name       string
	Deployment Deployment
	// Skew is the exponent of the adapters' popularity.
	Skew float64
	// Length is the virtual time measured, after a warm-up of a third of it.
	Length time.Duration
	// ShiftInterval renames the popular adapters at an interval; 0 never.
	ShiftInterval time.Duration
	// RestartInterval empties a worker at an interval; 0 never.
	RestartInterval time.Duration
	// LoadFailureRate is the part of loads that fail.
	LoadFailureRate float64
	// StoreSlowdown multiplies the time of a load.
	StoreSlowdown float64
	// LoseDomain takes a failure domain away in the middle third.
	LoseDomain bool
	// FloodFactor is how many times its rate the largest team sends; 1 is usual.
	FloodFactor float64
	// ReportLag delays what routers hear of placements.
	ReportLag time.Duration
	// EnforcesRates says whether teams are held to their rates.
	EnforcesRates bool
}

// request is one arrival.
type request struct {
	at      time.Duration
	team    int
	adapter pomelospring.AdapterVersion
	entry   int
	prompt  int
	tokens  int
}

// workload makes the arrivals of a case, the same for every policy.
func workload(c Case, seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 1))
	popularity := make([][]float64, len(teamWeights))
	for team, weight := range teamWeights {
		popularity[team] = cumulative(c.Skew, int(weight*adapters))
	}
	names := random.Perm(adapters)
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
			names = random.Perm(adapters)
			nextShift += c.ShiftInterval
		}
		team := pickTeam(random, c.FloodFactor)
		rank := sort.SearchFloat64s(popularity[team], random.Float64())
		requests = append(requests, request{
			at:   at,
			team: team,
			adapter: pomelospring.AdapterVersion{
				Adapter: fmt.Sprintf("%s-%d", teamOf(team), names[rank]),
				Version: "v1",
			},
			entry:  random.IntN(c.Deployment.Instances),
			prompt: 40 + int(random.ExpFloat64()*80),
			tokens: 10 + int(random.ExpFloat64()*50),
		})
	}
}

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

// cumulative sums up the popularity of a team's adapters, the hottest first.
func cumulative(skew float64, count int) []float64 {
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

// teamOf names a team.
func teamOf(team int) string {
	return fmt.Sprintf("team%d", team)
}
