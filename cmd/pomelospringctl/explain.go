package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/explanation"
)

// explainCommand tells from logs what became of a request.
type explainCommand struct {
	causes bool
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "tell from logs what became of a request and why" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain ID FILE...
explain -causes FILE...
  Reads the logs of any number of processes, a file each or several in one with
  the process's name in front of each line, and prints the history of a request
  in order of time, with what each process believed when it got it, and the cause
  of its end. -causes counts the ends of all requests instead.
  Lines that can't be read are passed over and counted.
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

func (e *explainCommand) explain(request string, files []string) error {
	history := explanation.NewLog()
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open the log: %w", err)
		}
		err = history.Read(name, file)
		if closing := file.Close(); err == nil && closing != nil {
			err = fmt.Errorf("close the log %s: %w", name, closing)
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
