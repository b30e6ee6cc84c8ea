package budget

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Split parametrizes how a holder asks for its parts.
type Split struct {
	// Standing is the part of every pool held with a long deadline, in parts
	// per million; it is divided evenly.
	Standing int64
	// Floor is the least that each holder is offered of the leased part, as
	// parts per million of the leased part.
	Floor int64
}

// Targets gives what each holder should have of a pool, given what all want:
// the standing part evenly, the leased part by demand over an even floor.
// All that fold the same records compute the same targets.
func Targets(holders []string, wanted map[string]float64, available Share, split Split) map[string]Share {
	targets := make(map[string]Share, len(holders))
	count := int64(len(holders))
	if count == 0 {
		return targets
	}
	var sum float64
	for _, holder := range holders {
		sum += wanted[holder]
	}
	floor := available.Leased * split.Floor / FullShare / count
	rest := available.Leased - floor*count
	for _, holder := range holders {
		part := rest / count
		if sum > 0 {
			part = int64(float64(rest) * wanted[holder] / sum)
		}
		targets[holder] = Share{
			Leased:   floor + part,
			Standing: available.Standing / count,
		}
	}
	return targets
}

// SelectHolders picks the holders of one pool among those that there are: as many
// as leave each of them leastBurst tokens, and one at the least. A burst cut
// into parts near the cost of a request loses refill at every full part while
// others are empty; whoever holds no part borrows.
func SelectHolders(holders []string, pool string, burst, leastBurst float64) []string {
	count := max(1, int(burst/leastBurst))
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
