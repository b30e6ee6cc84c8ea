// Command soak plays faults drawn from a seed on processes of the real program, and
// judges what callers and backend servers saw.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "soak")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&runCommand{}, "")
	commander.Register(&manyCommand{}, "")
	commander.Register(&replayCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}
