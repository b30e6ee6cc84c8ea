package quota

// Totals adds up what all instances spend, for the leader that tells each of
// them about the others. It is not safe for concurrent use.
type Totals struct {
	// sums are over all instances since this leader heard of them first.
	sums map[string]Spending
	// reported are the counts that each instance told last.
	reported map[string]map[string]Spending
	// parts are what each instance has in the sums.
	parts map[string]map[string]Spending
}

// NewTotals makes sums of nothing.
func NewTotals() *Totals {
	return &Totals{
		sums:     map[string]Spending{},
		reported: map[string]map[string]Spending{},
		parts:    map[string]map[string]Spending{},
	}
}

// Report takes in an instance's counts; its first ones only set the mark that
// later ones are measured from.
func (t *Totals) Report(instance string, counts map[string]Spending) {
	before, known := t.reported[instance]
	if !known {
		t.parts[instance] = map[string]Spending{}
	}
	for team, count := range counts {
		if !known {
			continue
		}
		risen := count.minus(before[team])
		t.sums[team] = t.sums[team].plus(risen)
		t.parts[instance][team] = t.parts[instance][team].plus(risen)
	}
	t.reported[instance] = counts
}

// Others gives the sums over all instances but one.
func (t *Totals) Others(instance string) map[string]Spending {
	others := make(map[string]Spending, len(t.sums))
	for team, sum := range t.sums {
		others[team] = sum.minus(t.parts[instance][team])
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
