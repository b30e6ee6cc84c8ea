// Command measure compares the decisions that the daemon runs with simple
// baselines, in virtual time, and prints tables for docs/MEASUREMENTS.md.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "measure")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&stallsCommand{}, "")
	commander.Register(&floodCommand{}, "")
	commander.Register(&slopesCommand{}, "")
	commander.Register(&capacityCommand{}, "")
	commander.Register(&overheadCommand{}, "")
	commander.Register(&refusalsCommand{}, "")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
