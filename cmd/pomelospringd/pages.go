package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/settings"
)

// checkCommand validates a settings file without starting anything.
type checkCommand struct {
	path  string
	front bool
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check [-front] -settings FILE
  Reports errors in a settings file by line and field. With -front the file is for
  the command front, an instance behind a load balancer.
  Exit codes: 0 good, 2 bad.
`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.path, "settings", "", "settings file, YAML")
	flags.BoolVar(&c.front, "front", false, "the file is for the command front")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	if err := c.check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	fmt.Println("good")
	return subcommands.ExitSuccess
}

// check validates the file as settings of the command front or serve.
func (c *checkCommand) check() (err error) {
	if c.front {
		_, err = settings.ReadFront(c.path)
		return err
	}
	_, err = settings.Read(c.path)
	return err
}

// referenceCommand prints the reference page of all settings.
type referenceCommand struct{}

// Name implements subcommands.Command.
func (*referenceCommand) Name() string { return "reference" }

// Synopsis implements subcommands.Command.
func (*referenceCommand) Synopsis() string { return "print the reference page of the settings" }

// Usage implements subcommands.Command.
func (*referenceCommand) Usage() string { return "reference\n" }

// SetFlags implements subcommands.Command.
func (*referenceCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*referenceCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	settings.WriteReference(os.Stdout)
	return subcommands.ExitSuccess
}

// eventsCommand prints the reference page of all log events.
type eventsCommand struct{}

// Name implements subcommands.Command.
func (*eventsCommand) Name() string { return "events" }

// Synopsis implements subcommands.Command.
func (*eventsCommand) Synopsis() string { return "print the catalogue of events" }

// Usage implements subcommands.Command.
func (*eventsCommand) Usage() string { return "events\n" }

// SetFlags implements subcommands.Command.
func (*eventsCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*eventsCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	events.WritePage(os.Stdout)
	return subcommands.ExitSuccess
}
