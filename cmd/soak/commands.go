package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/cmd/soak/arena"
	"github.com/pomelospring/pomelospring/cmd/soak/plan"
	"github.com/pomelospring/pomelospring/cmd/soak/session"
)

// defaultLength is the time in which faults begin.
const defaultLength = 20 * time.Second

// options are those of all commands.
type options struct {
	programs  arena.Programs
	directory string
}

func (o *options) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.programs.Current, "program", "bin/pomelospringd", "program to run")
	flags.StringVar(&o.programs.Previous, "previous", "", "build from which the instances are switched to the program one by one, and back")
	flags.StringVar(&o.directory, "out", "run/soak", "directory of the runs")
}

// play plays a plan in a new directory below the directory of the runs.
func (o *options) play(ctx context.Context, p plan.Plan) (kept bool) {
	directory := filepath.Join(o.directory, fmt.Sprintf("%d-%s", p.Seed, time.Now().Format("20060102T150405")))
	report, err := session.Play(ctx, o.programs, directory, p)
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", p.Seed, err)
		return false
	}
	report.Print(os.Stdout)
	return len(report.Violations) == 0
}

func exitStatus(kept bool) subcommands.ExitStatus {
	if kept {
		return subcommands.ExitSuccess
	}
	return subcommands.ExitFailure
}

func usageError(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, text)
	return subcommands.ExitUsageError
}

// runCommand plays the plan of one seed.
type runCommand struct {
	options
	length    time.Duration
	instances int
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "play the faults of one seed" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return "run [-program FILE] [-previous FILE] [-out DIR] [-length TIME] [-instances N] SEED\n  Exit codes: 0 all promises kept, 1 broken or failed, 2 bad usage.\n"
}

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.DurationVar(&c.length, "length", defaultLength, "time in which faults begin")
	flags.IntVar(&c.instances, "instances", 0, "number of instances, 4 or more; 0 for that of the plan")
}

// draw draws the plan of a seed in the size that is asked for.
func (c *runCommand) draw(seed uint64) plan.Plan {
	p := plan.Draw(seed, c.length)
	if c.instances > p.Instances {
		p.Resize(c.instances)
	}
	if c.programs.Previous != "" {
		p.AddRelease(c.length)
	}
	return p
}

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...interface{}) subcommands.ExitStatus {
	seed, err := strconv.ParseUint(flags.Arg(0), 10, 64)
	if err != nil || flags.NArg() != 1 {
		return usageError("a seed is needed: a number")
	}
	return exitStatus(c.play(ctx, c.draw(seed)))
}

// manyCommand plays the plans of several seeds.
type manyCommand struct {
	runCommand
	first uint64
	count uint64
}

// Name implements subcommands.Command.
func (*manyCommand) Name() string { return "many" }

// Synopsis implements subcommands.Command.
func (*manyCommand) Synopsis() string { return "play the faults of several seeds, one after another" }

// Usage implements subcommands.Command.
func (*manyCommand) Usage() string {
	return "many [-seeds N] [-first SEED] [-program FILE] [-previous FILE] [-out DIR] [-length TIME] [-instances N]\n"
}

// SetFlags implements subcommands.Command.
func (c *manyCommand) SetFlags(flags *flag.FlagSet) {
	c.runCommand.SetFlags(flags)
	flags.Uint64Var(&c.first, "first", 1, "first seed")
	flags.Uint64Var(&c.count, "seeds", 10, "number of seeds")
}

// Execute implements subcommands.Command.
func (c *manyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...interface{}) subcommands.ExitStatus {
	var broken []uint64
	for seed := c.first; seed < c.first+c.count && ctx.Err() == nil; seed++ {
		if !c.play(ctx, c.draw(seed)) {
			broken = append(broken, seed)
		}
	}
	fmt.Printf("%d seeds, broken or failed: %d %v\n", c.count, len(broken), broken)
	return exitStatus(len(broken) == 0)
}

// replayCommand plays the plan of an earlier run again, or judges it again.
type replayCommand struct {
	options
	judge bool
}

// Name implements subcommands.Command.
func (*replayCommand) Name() string { return "replay" }

// Synopsis implements subcommands.Command.
func (*replayCommand) Synopsis() string { return "play the plan of an earlier run again" }

// Usage implements subcommands.Command.
func (*replayCommand) Usage() string {
	return "replay [-judge] [-program FILE] [-previous FILE] [-out DIR] DIR\n  DIR is the directory of the earlier run.\n"
}

// SetFlags implements subcommands.Command.
func (c *replayCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.BoolVar(&c.judge, "judge", false, "run nothing, judge what was recorded")
}

// Execute implements subcommands.Command.
func (c *replayCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...interface{}) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return usageError("the directory of an earlier run is needed")
	}
	if c.judge {
		report, err := session.Judge(flags.Arg(0))
		if err != nil {
			return usageError(err.Error())
		}
		report.Print(os.Stdout)
		return exitStatus(len(report.Violations) == 0)
	}
	p, err := session.ReadPlan(flags.Arg(0))
	if err != nil {
		return usageError(err.Error())
	}
	return exitStatus(c.play(ctx, p))
}
