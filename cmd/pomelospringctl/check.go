package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/audit"
	"github.com/pomelospring/pomelospring/platform"
)

// exitWarnings is the exit status if there are warnings but no errors.
const exitWarnings subcommands.ExitStatus = 3

// storeTimeout bounds reading the configuration in force from a store.
const storeTimeout = 10 * time.Second

// checkCommand tells what is wrong with a configuration.
type checkCommand struct {
	against string
	json    bool
}

// checkReport is what a check found.
type checkReport struct {
	Findings    []audit.Finding    `json:"findings"`
	Differences []audit.Difference `json:"differences"`
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a configuration before it is sent" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check [-against FILE|ADDRESS] [-json] FILE
  Reads a configuration of the users' platform (the JSON of op/config) and prints
  with line and field what instances would refuse (errors), and what can never match
  or contradicts itself (warnings, which instances accept). -against also prints what
  differs from the configuration in that file, or in force at the store of that
  address (HOST:PORT). Keys are shown by the start of their hash.
  Exit codes: 0 clean, 1 errors, 2 bad usage, 3 warnings only.
`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.against, "against", "", "file of the configuration in force, or address of the store")
	flags.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...interface{}) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	report, err := c.check(ctx, flags.Arg(0))
	if err == nil {
		err = c.print(os.Stdout, flags.Arg(0), report)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return report.status()
}

// check reads the files and judges the first.
func (c *checkCommand) check(ctx context.Context, name string) (report checkReport, err error) {
	report = checkReport{
		Findings:    []audit.Finding{},
		Differences: []audit.Difference{},
	}
	value, err := os.ReadFile(name)
	if err != nil {
		return report, fmt.Errorf("read configuration: %w", err)
	}
	draft, policy, refused := platform.DecodeDraft(value)
	if refused != nil {
		report.Findings = append(report.Findings, *refused)
		return report, nil
	}
	report.Findings = append(report.Findings, audit.Review(draft)...)
	if c.against == "" {
		return report, nil
	}
	if value, err = readInForce(ctx, c.against); err != nil {
		return report, fmt.Errorf("read configuration in force: %w", err)
	}
	inForce, err := platform.DecodePolicy(value)
	if err != nil {
		return report, fmt.Errorf("configuration in force: %w", err)
	}
	report.Findings = append(report.Findings, audit.ReviewVersion(draft, inForce)...)
	report.Differences = append(report.Differences, audit.Compare(inForce, policy)...)
	return report, nil
}

// readInForce reads a file or, if there is none of that name, the store at that address.
func readInForce(ctx context.Context, source string) (value []byte, err error) {
	value, err = os.ReadFile(source)
	if _, _, splitErr := net.SplitHostPort(source); splitErr != nil || !errors.Is(err, fs.ErrNotExist) {
		return value, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := platform.NewStore(source)
	defer store.Close()
	records, _, err := store.LatestRecords(ctx, platform.OperatorTopic)
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		if record.Key == platform.PolicyKey {
			return record.Value, nil
		}
	}
	return nil, errors.New("the store has no configuration")
}

// print prints the report as JSON or one line each.
func (c *checkCommand) print(out io.Writer, name string, report checkReport) error {
	if c.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, finding := range report.Findings {
		fmt.Fprintf(out, "%s:%s\n", name, finding)
	}
	for _, difference := range report.Differences {
		fmt.Fprintln(out, difference)
	}
	return nil
}

// status returns the exit status for scripts.
func (r checkReport) status() subcommands.ExitStatus {
	if len(r.Findings) == 0 {
		return subcommands.ExitSuccess
	}
	for _, finding := range r.Findings {
		if finding.Severity == audit.Error {
			return subcommands.ExitFailure
		}
	}
	return exitWarnings
}
