package quota

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
	t.lastReported[instance] = counts
}

// Others returns the sums over all instances but one.
func (t *Totals) Others(instance string) map[string]Spending {
	others := make(map[string]Spending, len(t.sums))
	for team, sum := range t.sums {
		others[team] = sum.minus(t.contributions[instance][team])
	}
	return others
}

func (s Spending) plus(other Spending) Spending {
	return Spending{
		Spent: s.Spent + other.Spent,
		Asked: s.Asked + other.Asked,
	}
}

func (s Spending) minus(other Spending) Spending {
	return Spending{
		Spent: s.Spent - other.Spent,
		Asked: s.Asked - other.Asked,
	}
}
