package budget

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Split sets how a holder divides its pools into standing and leased parts.
type Split struct {
	// Standing is the part of every pool held with a long deadline, in parts
	// per million; it is divided evenly.
	Standing int64
	// Floor is the part of the leased part that is divided evenly, regardless
	// of demand, in parts per million.
	Floor int64
}

// Targets returns the share that each holder should have of a pool: the
// standing part divided evenly, the leased part by demand above an even floor.
// All readers of the same records compute the same targets.
func Targets(holders []string, demand map[string]float64, available Share, split Split) map[string]Share {
	targets := make(map[string]Share, len(holders))
	count := int64(len(holders))
	if count == 0 {
		return targets
	}
	var sum float64
	for _, holder := range holders {
		sum += demand[holder]
	}
	floor := available.Leased * split.Floor / FullShare / count
	rest := available.Leased - floor*count
	for _, holder := range holders {
		part := rest / count
		if sum > 0 {
			part = int64(float64(rest) * demand[holder] / sum)
		}
		targets[holder] = Share{
			Leased:   floor + part,
			Standing: available.Standing / count,
		}
	}
	return targets
}

// SelectHolders picks which holders get a share of a pool: as many as can have
// a burst of minBurst tokens each, but at least one. If a burst is cut into
// parts close to the cost of a request, full parts lose their refill while
// others are empty. A holder without a share borrows.
func SelectHolders(holders []string, pool string, burst, minBurst float64) []string {
	count := max(1, int(burst/minBurst))
	if count >= len(holders) {
		return holders
	}
	chosen := slices.Clone(holders)
	slices.SortFunc(chosen, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(pool+"\x00"+a), xxhash.Sum64String(pool+"\x00"+b)),
			cmp.Compare(a, b),
		)
	})
	return chosen[:count]
}
