package quota

// Totals adds up what all instances spend, for the leader that tells each of
// them about the others. It is not safe for concurrent use.
type Totals struct {
	// sums are over all instances since this leader heard of them first.
	sums map[string]float64
	// reported are the counts that each instance told last.
	reported map[string]map[string]float64
	// parts are what each instance has in the sums.
	parts map[string]map[string]float64
}

// NewTotals makes sums of nothing.
func NewTotals() *Totals {
	return &Totals{
		sums:     map[string]float64{},
		reported: map[string]map[string]float64{},
		parts:    map[string]map[string]float64{},
	}
}

// Report takes in an instance's counts; its first ones only set the mark that
// later ones are measured from.
func (t *Totals) Report(instance string, counts map[string]float64) {
	before, known := t.reported[instance]
	if !known {
		t.parts[instance] = map[string]float64{}
	}
	for team, count := range counts {
		if !known {
			continue
		}
		risen := count - before[team]
		t.sums[team] += risen
		t.parts[instance][team] += risen
	}
	t.reported[instance] = counts
}

// Others gives the sums over all instances but one.
func (t *Totals) Others(instance string) map[string]float64 {
	others := make(map[string]float64, len(t.sums))
	for team, sum := range t.sums {
		others[team] = sum - t.parts[instance][team]
	}
	return others
}
