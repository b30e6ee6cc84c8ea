package quota

import "maps"

// Totals adds up the spending of all instances, so that the leader can report
// to each instance what the others spend. It is not safe for concurrent use.
type Totals struct {
	// sums is the spending of all instances since their first report to this
	// leader.
	sums map[string]Spending
	// lastReported is the spending that each instance reported last.
	lastReported map[string]map[string]Spending
	// contributions is each instance's part of the sums.
	contributions map[string]map[string]Spending
}

// NewTotals returns empty totals.
func NewTotals() *Totals {
	return &Totals{
		sums:          map[string]Spending{},
		lastReported:  map[string]map[string]Spending{},
		contributions: map[string]map[string]Spending{},
	}
}

// Report applies an instance's spending. The first report of an instance only
// sets the baseline for its later ones.
func (t *Totals) Report(instance string, counts map[string]Spending) {
	before, known := t.lastReported[instance]
	if !known {
		t.contributions[instance] = map[string]Spending{}
	}
	for team, count := range counts {
		if !known {
			continue
		}
		increase := count.minus(before[team])
		t.sums[team] = t.sums[team].plus(increase)
		t.contributions[instance][team] = t.contributions[instance][team].plus(increase)
	}
	t.lastReported[instance] = maps.Clone(counts)
}

// Others returns the sums over all instances but one.
func (t *Totals) Others(instance string) map[string]Spending {
	others := make(map[string]Spending, len(t.sums))
	for team, sum := range t.sums {
		others[team] = sum.minus(t.contributions[instance][team])
	}
	return others
}

// OthersOfTeam returns one team's sum over all instances but one.
func (t *Totals) OthersOfTeam(instance, team string) Spending {
	return t.sums[team].minus(t.contributions[instance][team])
}

// Knows reports whether an instance has reported to this leader.
func (t *Totals) Knows(instance string) bool { return t.lastReported[instance] != nil }

// Add counts tokens that the leader granted an instance that it knows, until its next
// report.
func (t *Totals) Add(instance, team string, granted float64) {
	increase := Spending{
		Spent: granted,
	}
	t.sums[team] = t.sums[team].plus(increase)
	t.contributions[instance][team] = t.contributions[instance][team].plus(increase)
	t.lastReported[instance][team] = t.lastReported[instance][team].plus(increase)
}

func (s Spending) plus(other Spending) Spending {
	return Spending{
		Spent:  s.Spent + other.Spent,
		Asked:  s.Asked + other.Asked,
		ByRank: combine(s.ByRank, other.ByRank, 1),
	}
}

func (s Spending) minus(other Spending) Spending {
	return Spending{
		Spent:  s.Spent - other.Spent,
		Asked:  s.Asked - other.Asked,
		ByRank: combine(s.ByRank, other.ByRank, -1),
	}
}

func (s Spending) times(factor float64) Spending {
	return Spending{
		Spent:  s.Spent * factor,
		Asked:  s.Asked * factor,
		ByRank: combine(nil, s.ByRank, factor),
	}
}

// combine returns the tokens by rank plus others times a factor.
func combine(ranks, others map[int]float64, factor float64) map[int]float64 {
	if len(ranks)+len(others) == 0 {
		return nil
	}
	combined := maps.Clone(ranks)
	if combined == nil {
		combined = make(map[int]float64, len(others))
	}
	for rank, tokens := range others {
		combined[rank] += factor * tokens
	}
	return combined
}
