// Command pomelospringctl is the command line for operators: it sends commands and
// queries to a daemon and explains requests from logs.
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
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
