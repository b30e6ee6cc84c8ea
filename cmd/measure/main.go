// Command measure compares the daemon's scheduling and budget decisions with
// simple baselines in virtual time, and measures a running daemon's overhead. It
// prints tables for docs/MEASUREMENTS.md. It also measures the cost of
// control-plane operations and prints docs/CAPACITY.md from it.
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
	commander.Register(&compulsoryCommand{}, "")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
