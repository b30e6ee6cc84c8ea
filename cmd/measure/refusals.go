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

// refusalsCommand counts refusals inside a team's rate.
type refusalsCommand struct {
	seeds  int
	length time.Duration
}

// Name implements subcommands.Command.
func (*refusalsCommand) Name() string { return "refusals" }

// Synopsis implements subcommands.Command.
func (*refusalsCommand) Synopsis() string { return "refusals inside a team's rate, against one bucket" }

// Usage implements subcommands.Command.
func (*refusalsCommand) Usage() string { return "refusals [-seeds N] [-length TIME]\n" }

// SetFlags implements subcommands.Command.
func (r *refusalsCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&r.seeds, "seeds", 5, "how many seeds, from 1")
	flags.DurationVar(&r.length, "length", 3*time.Minute, "virtual time measured")
}

// Execute implements subcommands.Command.
func (r *refusalsCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	fmt.Println("| case | policy | refused inside the rate (spread) | most received of the bound |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, c := range measure.RefusalCases(r.length) {
		for _, policy := range measure.SharingPolicies {
			parts := make([]float64, 0, r.seeds)
			worst := 0.0
			for seed := range r.seeds {
				result := measure.RunRefusals(c, policy, uint64(seed+1))
				parts = append(parts, 100*float64(result.FalseRefusals)/float64(max(1, result.Requests)))
				worst = max(worst, result.MaxBoundUse)
			}
			slices.Sort(parts)
			fmt.Printf("| %s | %s | %.2f%% (%.2f to %.2f) | %.3f |\n", c.Name, policy.Name, middle(parts), parts[0], parts[len(parts)-1], worst)
		}
	}
	return subcommands.ExitSuccess
}
