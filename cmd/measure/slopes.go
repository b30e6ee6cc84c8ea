package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/capacity"
)

// slopesCommand measures the cost of control-plane operations at several sizes.
type slopesCommand struct{}

// Name implements subcommands.Command.
func (*slopesCommand) Name() string { return "slopes" }

// Synopsis implements subcommands.Command.
func (*slopesCommand) Synopsis() string {
	return "measure the cost slopes of docs/CAPACITY.md, as JSON"
}

// Usage implements subcommands.Command.
func (*slopesCommand) Usage() string { return "slopes > docs/measurements/slopes.json\n" }

// SetFlags implements subcommands.Command.
func (*slopesCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*slopesCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(capacity.Measure()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// capacityCommand prints the capacity page from measured slopes.
type capacityCommand struct {
	path string
}

// Name implements subcommands.Command.
func (*capacityCommand) Name() string { return "capacity" }

// Synopsis implements subcommands.Command.
func (*capacityCommand) Synopsis() string { return "print docs/CAPACITY.md from measured slopes" }

// Usage implements subcommands.Command.
func (*capacityCommand) Usage() string { return "capacity > docs/CAPACITY.md\n" }

// SetFlags implements subcommands.Command.
func (c *capacityCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.path, "slopes", "docs/measurements/slopes.json", "JSON file written by the subcommand slopes")
}

// Execute implements subcommands.Command.
func (c *capacityCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	text, err := os.ReadFile(c.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	var slopes []capacity.Slope
	if err := json.Unmarshal(text, &slopes); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	capacity.WritePage(os.Stdout, slopes)
	return subcommands.ExitSuccess
}
