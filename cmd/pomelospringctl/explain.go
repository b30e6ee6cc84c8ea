package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/explanation"
)

// explainCommand reconstructs the history of a request from logs.
type explainCommand struct {
	causes bool
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "explain from logs how a request ended and why" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain ID FILE...
explain -causes FILE...
  Reads the logs of any number of processes, a file each or several in one with
  the process's name in front of each line, and prints the history of a request
  in order of time, with the state that each process knew when it received the
  request, and the cause of its end. -causes counts the ends of all requests
  instead. Unreadable lines are skipped and counted.
  Exit codes: 0 done, 1 failed, 2 bad usage.
`
}

// SetFlags implements subcommands.Command.
func (e *explainCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&e.causes, "causes", false, "count the ends of all requests and their causes")
}

// Execute implements subcommands.Command.
func (e *explainCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...interface{}) subcommands.ExitStatus {
	files := flags.Args()
	request := ""
	if !e.causes && len(files) > 0 {
		request, files = files[0], files[1:]
	}
	if len(files) == 0 {
		fmt.Fprint(os.Stderr, e.Usage())
		return subcommands.ExitUsageError
	}
	if err := e.explain(request, files); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// explain reads the log files and prints the history of a request, or with
// -causes the number of requests by cause of their end.
func (e *explainCommand) explain(request string, files []string) error {
	history := explanation.NewLog()
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		err = history.Read(name, file)
		if closeErr := file.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("close log %s: %w", name, closeErr)
		}
		if err != nil {
			return err
		}
	}
	if e.causes {
		return history.PrintCauses(os.Stdout)
	}
	return history.Print(os.Stdout, request)
}
