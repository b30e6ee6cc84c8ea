package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/measure"
)

// refusalsCommand measures how many requests inside a team's rate each policy of
// sharing the budget refuses.
type refusalsCommand struct {
	seeds    int
	duration time.Duration
}

// Name implements subcommands.Command.
func (*refusalsCommand) Name() string { return "refusals" }

// Synopsis implements subcommands.Command.
func (*refusalsCommand) Synopsis() string {
	return "refusals inside a team's rate, compared with one central bucket"
}

// Usage implements subcommands.Command.
func (*refusalsCommand) Usage() string { return "refusals [-seeds N] [-length TIME]\n" }

// SetFlags implements subcommands.Command.
func (r *refusalsCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&r.seeds, "seeds", 5, "number of seeds, counted from 1")
	flags.DurationVar(&r.duration, "length", 3*time.Minute, "virtual duration of each run")
}

// Execute implements subcommands.Command.
func (r *refusalsCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	fmt.Println("| case | policy | refused inside the rate (spread) | most received of the bound |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, c := range measure.RefusalCases(r.duration) {
		for _, policy := range measure.SharingPolicies {
			percentages := make([]float64, 0, r.seeds)
			worst := 0.0
			for seed := range r.seeds {
				result := measure.RunRefusals(c, policy, uint64(seed+1))
				percentages = append(percentages, 100*float64(result.FalseRefusals)/float64(max(1, result.Requests)))
				worst = max(worst, result.MaxBoundUse)
			}
			slices.Sort(percentages)
			fmt.Printf("| %s | %s | %.2f%% (%.2f to %.2f) | %.3f |\n", c.Name, policy.Name, medianOfSorted(percentages), percentages[0], percentages[len(percentages)-1], worst)
		}
	}
	return subcommands.ExitSuccess
}
