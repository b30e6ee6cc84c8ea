package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/measure"
)

// compulsoryCommand estimates how many adapter loads a workload can't do without.
type compulsoryCommand struct {
	adapters int
	exponent float64
	requests int
	shifts   int
	loads    int
	seeds    int
}

// Name implements subcommands.Command.
func (*compulsoryCommand) Name() string { return "compulsory" }

// Synopsis implements subcommands.Command.
func (*compulsoryCommand) Synopsis() string {
	return "adapter loads that a workload can't do without, beside those measured"
}

// Usage implements subcommands.Command.
func (*compulsoryCommand) Usage() string {
	return "compulsory [-adapters N] [-exponent X] [-requests N] [-shifts N] [-loads N] [-seeds N]\n"
}

// SetFlags implements subcommands.Command.
func (c *compulsoryCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&c.adapters, "adapters", 13000, "number of adapters, all cold at first")
	flags.Float64Var(&c.exponent, "exponent", 1.2, "exponent of the Zipf popularity; 0 for adapters that are all alike")
	flags.IntVar(&c.requests, "requests", 15000, "number of requests that name an adapter")
	flags.IntVar(&c.shifts, "shifts", 0, "times at which other adapters become popular")
	flags.IntVar(&c.loads, "loads", 0, "measured number of loads to compare with")
	flags.IntVar(&c.seeds, "seeds", 9, "number of seeds, counted from 1")
}

// Execute implements subcommands.Command.
func (c *compulsoryCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	if c.adapters < 1 || c.requests < 1 || c.shifts < 0 || c.seeds < 1 {
		fmt.Fprintln(os.Stderr, "compulsory: adapters, requests and seeds must be positive, and shifts not negative")
		return subcommands.ExitUsageError
	}
	floors := make([]int, 0, c.seeds)
	for seed := range c.seeds {
		floors = append(floors, measure.RunCompulsoryLoads(measure.CompulsoryLoadCase{
			Popularity: measure.Popularity{
				Adapters: c.adapters,
				Exponent: c.exponent,
			},
			Requests: c.requests,
			Shifts:   c.shifts,
		}, uint64(seed+1)))
	}
	slices.Sort(floors)
	median := floors[len(floors)/2]
	fmt.Println("| adapters | exponent | requests | shifts | compulsory loads (spread) | measured | above |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	measured, above := "", ""
	if c.loads > 0 {
		measured = fmt.Sprint(c.loads)
		above = fmt.Sprintf("%d (%.2f times)", c.loads-median, float64(c.loads)/float64(median))
	}
	fmt.Printf("| %d | %g | %d | %d | %d (%d to %d) | %s | %s |\n", c.adapters, c.exponent, c.requests, c.shifts, median, floors[0], floors[len(floors)-1], measured, above)
	return subcommands.ExitSuccess
}
