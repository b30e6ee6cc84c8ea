// Command pomelospringctl is the command line for operators: it sends commands and
// queries to a daemon, explains requests from logs and checks configurations.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "pomelospringctl")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&runCommand{}, "")
	commander.Register(&languageCommand{}, "")
	commander.Register(&completionCommand{}, "")
	commander.Register(&tokenCommand{}, "")
	commander.Register(&explainCommand{}, "")
	commander.Register(&checkCommand{}, "")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
