// Command pomelospringd runs an instance that serves callers, and checks and
// documents its settings and events.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "pomelospringd")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&serveCommand{}, "")
	commander.Register(&frontCommand{}, "")
	commander.Register(&checkCommand{}, "")
	commander.Register(&referenceCommand{}, "")
	commander.Register(&eventsCommand{}, "")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
