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
	"github.com/pomelospring/pomelospring/daemon"
	"github.com/pomelospring/pomelospring/settings"
)

// serveCommand runs the daemon.
type serveCommand struct {
	path string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run the daemon until it is signalled to stop" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `serve -settings FILE
  Runs until SIGTERM or SIGINT, then stops without cutting off running requests.
  A second signal ends the process at once.
  Exit codes: 0 stopped as planned, 1 failed, 2 bad usage or settings.
`
}

// SetFlags implements subcommands.Command.
func (s *serveCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&s.path, "settings", "", "settings file, YAML")
}

// Execute implements subcommands.Command.
func (s *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...interface{}) subcommands.ExitStatus {
	config, err := settings.Read(s.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	// Without this a write to a closed standard output ends the process.
	signal.Ignore(syscall.SIGPIPE)
	logger := &log.Logger{
		Handler: jsonhandler.New(os.Stdout),
		Level:   log.MustParseLevel(config.Logging.Level),
	}
	d, err := daemon.New(config, logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ctx.Done()
		stop()
	}()
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
