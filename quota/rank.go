package quota

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// costBands is the number of bands of usual costs, each twice as wide as the one
	// before; the first one ends at lowestBandTokens.
	costBands        = 16
	lowestBandTokens = 128
	// maxPriority is the last priority that has ranks of its own.
	maxPriority = 6
	// floorFraction is the fraction of a flow that all ranks get in proportion to what
	// they ask, so that none starves.
	floorFraction = 0.2
)

// Rank tells which calls of a team come first when it is over its rate: lower ones. It
// follows the priority, where a negative one comes first, and then the usual cost of
// such calls.
func Rank(priority int, usualTokens float64) int {
	band := math.Ceil(math.Log2(max(usualTokens, 1) / lowestBandTokens))
	return (min(max(priority, -1), maxPriority)+1)*costBands + int(min(max(band, 0), costBands-1))
}

// drawOf returns a number in [0, 1) that is the same for a call and its repeats, on all
// instances.
func drawOf(call string) float64 {
	return float64(xxhash.Sum64String(call)>>11) / (1 << 53)
}

// pour divides a flow of tokens over what the ranks ask for, and returns the fraction of
// each rank that fits.
func pour(flow float64, asked map[int]float64) (fractions map[int]float64) {
	total := 0.0
	ranks := make([]int, 0, len(asked))
	for rank, tokens := range asked {
		if tokens > 0 {
			total += tokens
			ranks = append(ranks, rank)
		}
	}
	slices.Sort(ranks)
	flow = max(flow, 0)
	floor := min(1, floorFraction*flow/max(total, flow, 1))
	if total <= flow {
		floor = 1
	}
	left := flow - floor*total
	fractions = make(map[int]float64, len(ranks))
	for _, rank := range ranks {
		wanted := (1 - floor) * asked[rank]
		given := min(wanted, max(left, 0))
		left -= given
		fractions[rank] = floor + given/asked[rank]
	}
	return fractions
}
