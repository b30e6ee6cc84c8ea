package measure

import (
	"fmt"
	"time"
)

// usualLag is how late routers hear of placements.
const usualLag = 300 * time.Millisecond

// StallCases are the workloads and faults that load stalls are measured under.
func StallCases(length time.Duration) []Case {
	var cases []Case
	for _, deployment := range []Deployment{Utility, Consortium} {
		base := Case{
			Deployment:    deployment,
			Skew:          1.0,
			Length:        length,
			StoreSlowdown: 1,
			FloodFactor:   1,
			ReportLag:     usualLag,
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

// quietPart is the part of a deployment's usual rate that a flood starts from,
// so that the weight store has room for what is usual.
const quietPart = 0.6

// FloodCase is a workload in which the largest team sends a multiple of its
// rate.
func FloodCase(deployment Deployment, flood float64, length time.Duration) Case {
	deployment.RequestRate *= quietPart
	return Case{
		Name:          fmt.Sprintf("%s, flood %.0f", deployment.Name, flood),
		Deployment:    deployment,
		Skew:          1.0,
		Length:        length,
		StoreSlowdown: 1,
		FloodFactor:   flood,
		ReportLag:     usualLag,
		EnforcesRates: true,
	}
}
