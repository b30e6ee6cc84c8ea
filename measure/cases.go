package measure

import (
	"fmt"
	"time"
)

// defaultReportLag is the delay after which routers receive placements.
const defaultReportLag = 300 * time.Millisecond

// StallCases returns the workloads and faults under which stalls for adapter
// loads are measured.
func StallCases(length time.Duration) []Case {
	var cases []Case
	for _, deployment := range []Deployment{Utility, Consortium} {
		base := Case{
			Deployment:    deployment,
			Skew:          1.0,
			Length:        length,
			StoreSlowdown: 1,
			FloodFactor:   1,
			ReportLag:     defaultReportLag,
		}
		add := func(name string, change func(c *Case)) {
			c := base
			c.Name = fmt.Sprintf("%s, %s", deployment.Name, name)
			change(&c)
			cases = append(cases, c)
		}
		for _, skew := range []float64{0.9, 1.0, 1.2} {
			add(fmt.Sprintf("skew %.1f", skew), func(c *Case) { c.Skew = skew })
		}
		add("popularity shifts each minute", func(c *Case) { c.ShiftInterval = time.Minute })
		add("a worker restarts empty each 30 s", func(c *Case) { c.RestartInterval = 30 * time.Second })
		add("one load in ten fails", func(c *Case) { c.LoadFailureRate = 0.1 })
		add("store at half speed", func(c *Case) { c.StoreSlowdown = 2 })
		add("reports 2 s late", func(c *Case) { c.ReportLag = 2 * time.Second })
		add("a failure domain lost for a third", func(c *Case) { c.LoseDomain = true })
	}
	return cases
}

// baseRateFraction is the fraction of a deployment's request rate at which the
// teams send without a flood, so that the weight store has headroom under normal
// load.
const baseRateFraction = 0.6

// FloodCase returns a workload in which the largest team sends a multiple of its
// rate. A flood of 1 is the same workload without a flood.
func FloodCase(deployment Deployment, flood float64, length time.Duration) Case {
	deployment.RequestRate *= baseRateFraction
	return Case{
		Name:          fmt.Sprintf("%s, flood %.0f", deployment.Name, flood),
		Deployment:    deployment,
		Skew:          1.0,
		Length:        length,
		StoreSlowdown: 1,
		FloodFactor:   flood,
		ReportLag:     defaultReportLag,
		EnforcesRates: true,
	}
}
