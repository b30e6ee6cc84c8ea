package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"
	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/front"
	"github.com/pomelospring/pomelospring/settings"
)

// settingsVariable names the environment variable that holds the path of the
// settings file where -settings isn't given.
const settingsVariable = "POMELOSPRING_CONFIG"

// frontCommand runs an instance behind a load balancer.
type frontCommand struct {
	path string
}

// Name implements subcommands.Command.
func (*frontCommand) Name() string { return "front" }

// Synopsis implements subcommands.Command.
func (*frontCommand) Synopsis() string {
	return "run an instance behind a load balancer until it is signalled to stop"
}

// Usage implements subcommands.Command.
func (*frontCommand) Usage() string {
	return `front [-settings FILE]
  Without -settings the path is taken from POMELOSPRING_CONFIG.
  Runs until SIGTERM or SIGINT, then stops without cutting off running requests.
  Exit codes: 0 stopped as planned, 1 failed, 2 bad usage or settings.
`
}

// SetFlags implements subcommands.Command.
func (f *frontCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.path, "settings", "", "settings file, YAML")
}

// Execute implements subcommands.Command.
func (f *frontCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...interface{}) subcommands.ExitStatus {
	if f.path == "" {
		f.path = os.Getenv(settingsVariable)
	}
	config, err := settings.ReadFront(f.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	// Without this a write to a closed standard output ends the process.
	signal.Ignore(syscall.SIGPIPE)
	output := events.NewBoundedWriter(os.Stdout)
	logger := &log.Logger{
		Handler: jsonhandler.New(output),
		Level:   log.MustParseLevel(config.Logging.Level),
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := front.New(config, f.path, logger, output).Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
