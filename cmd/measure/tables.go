package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/measure"
)

// stallsCommand compares the time that requests lose while their adapter loads
// (load stalls) under the daemon's policy and under baselines.
type stallsCommand struct {
	seeds    int
	duration time.Duration
}

// Name implements subcommands.Command.
func (*stallsCommand) Name() string { return "stalls" }

// Synopsis implements subcommands.Command.
func (*stallsCommand) Synopsis() string { return "time lost to load stalls, and batch efficiency" }

// Usage implements subcommands.Command.
func (*stallsCommand) Usage() string { return "stalls [-seeds N] [-length TIME]\n" }

// SetFlags implements subcommands.Command.
func (s *stallsCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&s.seeds, "seeds", 5, "number of seeds, counted from 1")
	flags.DurationVar(&s.duration, "length", 5*time.Minute, "virtual duration of each run")
}

// Execute implements subcommands.Command.
func (s *stallsCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	fmt.Println("| case | policy | stall s/request | p99 stall s | not started | loads | tokens/busy s | stall ratio (spread) | p99 ratio | efficiency ratio |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range measure.StallCases(s.duration) {
		s.print(c)
	}
	return subcommands.ExitSuccess
}

// print prints one row for each policy. The last row, of the daemon's policy,
// also has its ratios to the best baseline.
func (s *stallsCommand) print(c measure.Case) {
	policies := append(measure.Baselines(), measure.Current())
	results := runAll(c, policies, s.seeds)
	current := results[len(results)-1]
	best := bestBaseline(results[:len(results)-1])
	for p, policy := range policies {
		line := fmt.Sprintf("| %s | %s | %.3f | %.2f | %.1f%% | %.0f | %.1f |", c.Name, policy.Name,
			median(results[p], measure.Result.StallTime), median(results[p], p99Stall), 100*median(results[p], notStartedFraction), median(results[p], loadCount), median(results[p], measure.Result.Efficiency))
		if p < len(policies)-1 {
			fmt.Println(line + " | | |")
			continue
		}
		ratios := sortedRatios(current, best, measure.Result.StallTime)
		fmt.Printf("%s %.2f (%.2f to %.2f) | %.2f | %.2f |\n", line, ratios[len(ratios)/2], ratios[0], ratios[len(ratios)-1],
			medianOfSorted(sortedRatios(current, best, p99Stall)), medianOfSorted(sortedRatios(current, best, measure.Result.Efficiency)))
	}
}

// runAll runs every policy with every seed, at most six runs at once. Results are
// indexed by policy, then seed.
func runAll(c measure.Case, policies []measure.Policy, seeds int) [][]measure.Result {
	results := make([][]measure.Result, len(policies))
	var group sync.WaitGroup
	slots := make(chan struct{}, 6)
	for p, policy := range policies {
		results[p] = make([]measure.Result, seeds)
		for seed := range seeds {
			group.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				results[p][seed] = measure.Run(c, policy, uint64(seed+1))
			})
		}
	}
	group.Wait()
	return results
}

// bestBaseline returns the results of the baseline with the smallest median stall
// time.
func bestBaseline(baselines [][]measure.Result) []measure.Result {
	return slices.MinFunc(baselines, func(a, b []measure.Result) int {
		if median(a, measure.Result.StallTime) < median(b, measure.Result.StallTime) {
			return -1
		}
		return 1
	})
}

func p99Stall(r measure.Result) float64 { return r.StallQuantile(0.99) }

// notStartedFraction is the fraction of requests that were not started: refused
// on arrival or expired while waiting.
func notStartedFraction(r measure.Result) float64 {
	return float64(r.Expired+r.Refused) / float64(max(1, r.Requests))
}

func loadCount(r measure.Result) float64 { return float64(r.Loads) }

// median returns the median over results of a value taken from each.
func median(results []measure.Result, value func(measure.Result) float64) float64 {
	values := make([]float64, 0, len(results))
	for _, result := range results {
		values = append(values, value(result))
	}
	slices.Sort(values)
	return medianOfSorted(values)
}

func medianOfSorted(sorted []float64) float64 { return sorted[len(sorted)/2] }

// sortedRatios returns the ratios of current to best, seed by seed, in ascending
// order.
func sortedRatios(current, best []measure.Result, value func(measure.Result) float64) []float64 {
	ratios := make([]float64, 0, len(current))
	for seed := range current {
		ratios = append(ratios, value(current[seed])/max(1e-9, value(best[seed])))
	}
	slices.Sort(ratios)
	return ratios
}

// floodCommand compares the time to first token of the worst-served team with and
// without another team flooding the fleet.
type floodCommand struct {
	seeds    int
	duration time.Duration
}

// Name implements subcommands.Command.
func (*floodCommand) Name() string { return "flood" }

// Synopsis implements subcommands.Command.
func (*floodCommand) Synopsis() string {
	return "time to first token of the worst-served team while another sends five times its rate"
}

// Usage implements subcommands.Command.
func (*floodCommand) Usage() string { return "flood [-seeds N] [-length TIME]\n" }

// SetFlags implements subcommands.Command.
func (f *floodCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&f.seeds, "seeds", 5, "number of seeds, counted from 1")
	flags.DurationVar(&f.duration, "length", 5*time.Minute, "virtual duration of each run")
}

// Execute implements subcommands.Command.
func (f *floodCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	fmt.Println("| deployment | policy | p95 first token s, no flood | with flood | ratio (spread) |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, deployment := range []measure.Deployment{measure.Utility, measure.Consortium} {
		policies := append(measure.Baselines(), measure.Current())
		quiet := runAll(measure.FloodCase(deployment, 1, f.duration), policies, f.seeds)
		flooded := runAll(measure.FloodCase(deployment, 5, f.duration), policies, f.seeds)
		for p, policy := range policies {
			ratios := sortedRatios(flooded[p], quiet[p], worstFirstTokenOfOthers)
			fmt.Printf("| %s | %s | %.2f | %.2f | %.2f (%.2f to %.2f) |\n", deployment.Name, policy.Name,
				median(quiet[p], worstFirstTokenOfOthers), median(flooded[p], worstFirstTokenOfOthers), medianOfSorted(ratios), ratios[0], ratios[len(ratios)-1])
		}
	}
	return subcommands.ExitSuccess
}

// worstFirstTokenOfOthers returns, in seconds, the p95 time to first token of the
// worst-served team among those that don't flood; team 0 does.
func worstFirstTokenOfOthers(r measure.Result) float64 {
	return r.WorstFirstTokenTime([]int{1, 2, 3, 4})
}
