package measure

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Popularity is how often each adapter is requested. The adapter of rank r, from
// 1, has the weight r to the power of -Exponent.
type Popularity struct {
	Adapters int
	Exponent float64
}

// CompulsoryLoadCase is a workload that starts with all adapters cold.
type CompulsoryLoadCase struct {
	Popularity Popularity
	// Requests counts those that name an adapter.
	Requests int
	// Shifts is the number of times, evenly spread over the requests, at which the
	// ranks are dealt to the adapters anew.
	Shifts int
}

// RunCompulsoryLoads draws the adapter of each request and returns the number of
// distinct ones. Each of them has to be loaded from the weight store at least once.
func RunCompulsoryLoads(c CompulsoryLoadCase, seed uint64) (loads int) {
	random := rand.New(rand.NewPCG(seed, 0))
	cumulative := c.Popularity.cumulativeWeights()
	total := cumulative[len(cumulative)-1]
	requested := make([]bool, c.Popularity.Adapters)
	adapters := random.Perm(c.Popularity.Adapters)
	phase := 0
	for i := range c.Requests {
		if current := i * (c.Shifts + 1) / c.Requests; current != phase {
			phase = current
			adapters = random.Perm(c.Popularity.Adapters)
		}
		rank := min(sort.SearchFloat64s(cumulative, random.Float64()*total), c.Popularity.Adapters-1)
		if adapter := adapters[rank]; !requested[adapter] {
			requested[adapter] = true
			loads++
		}
	}
	return loads
}

// cumulativeWeights returns the sums of the weights up to each rank.
func (p Popularity) cumulativeWeights() []float64 {
	cumulative := make([]float64, p.Adapters)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -p.Exponent)
		cumulative[i] = sum
	}
	return cumulative
}
