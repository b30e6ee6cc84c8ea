package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/operator"
)

// Exit codes of run, in addition to those of the subcommands library.
const (
	exitRefused        subcommands.ExitStatus = 3
	exitNotActive      subcommands.ExitStatus = 4
	exitUnknownOutcome subcommands.ExitStatus = 5
	exitUnauthorized   subcommands.ExitStatus = 6
)

const (
	// tokenVariable names the environment variable that holds the operator's token.
	tokenVariable = "POMELOSPRING_TOKEN"
	// addressVariable names the environment variable that holds the daemon's address.
	addressVariable = "POMELOSPRING_ADDRESS"
	// replyMargin is the time that a call may take beyond its requested wait.
	replyMargin = 20 * time.Second
)

// runCommand sends commands or a query of the command language to a daemon.
type runCommand struct {
	address     string
	authority   string
	format      string
	dryRun      bool
	wait        time.Duration
	madeAgainst int64
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "send a command or query to a daemon" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return `run [-address URL] [-format table|json|csv] [-dryRun] [-wait TIME] COMMAND
  Sends a command of the command language; see the subcommand language. If COMMAND
  is -, it is read from standard input.
  The operator's token is read from ` + tokenVariable + `.
  Examples:
    run 'set team utility rate 5000 burst 20000'
    run -wait 6s 'create key web team utility'
    run -format csv 'show usage by adapter since 30m'
  Exit codes: 0 done, 1 failed, 2 bad command, 3 refused (conflict with
  another change), 4 accepted but not in force everywhere yet, 5 unknown whether
  it was accepted, 6 no valid token.
`
}

// SetFlags implements subcommands.Command.
func (r *runCommand) SetFlags(flags *flag.FlagSet) {
	address := os.Getenv(addressVariable)
	if address == "" {
		address = "http://127.0.0.1:8003"
	}
	flags.StringVar(&r.address, "address", address, "base URL of a daemon's operator listener, or "+addressVariable)
	flags.StringVar(&r.authority, "authority", "", "PEM file of the authority that the daemon's certificate is verified against")
	flags.StringVar(&r.format, "format", "table", "table, json or csv")
	flags.BoolVar(&r.dryRun, "dryRun", false, "show what would change without changing it")
	flags.DurationVar(&r.wait, "wait", 0, "wait until the change is in force everywhere")
	flags.Int64Var(&r.madeAgainst, "madeAgainst", 0, "offset of the configuration that the change is based on")
}

// Execute implements subcommands.Command.
func (r *runCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...interface{}) subcommands.ExitStatus {
	if r.format != "table" && r.format != "json" && r.format != "csv" {
		fmt.Fprintf(os.Stderr, "format %q is not table, json or csv\n", r.format)
		return subcommands.ExitUsageError
	}
	text, err := commandText(flags.Args(), os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	request := operator.Request{
		Text:        text,
		DryRun:      r.dryRun,
		WaitSeconds: int(r.wait.Seconds()),
		MadeAgainst: r.madeAgainst,
	}
	status, reply, err := r.call(ctx, request)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if err := printReply(os.Stdout, r.format, reply); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if reply.Error != "" {
		fmt.Fprintln(os.Stderr, reply.Error)
	}
	return r.exitStatus(status, reply)
}

// commandText returns the command: the joined arguments, or standard input for
// "-".
func commandText(args []string, input io.Reader) (text string, err error) {
	if len(args) != 1 || args[0] != "-" {
		return strings.Join(args, " "), nil
	}
	read, err := io.ReadAll(input)
	return string(read), err
}

// exitStatus maps the status and reply of a daemon to an exit code.
func (r *runCommand) exitStatus(status int, reply operator.Reply) subcommands.ExitStatus {
	switch {
	case reply.Unsettled:
		return exitUnknownOutcome
	case status == http.StatusUnauthorized:
		return exitUnauthorized
	case status == http.StatusConflict:
		return exitRefused
	case status == http.StatusBadRequest:
		return subcommands.ExitUsageError
	case status != http.StatusOK:
		return subcommands.ExitFailure
	case r.wait > 0 && reply.Change != nil && !reply.Everywhere:
		return exitNotActive
	}
	return subcommands.ExitSuccess
}

// call sends a request to the daemon and decodes its reply.
func (r *runCommand) call(ctx context.Context, request operator.Request) (status int, reply operator.Reply, err error) {
	defer pomelospring.Annotate(&err, "call the daemon at %s", r.address)
	body, err := json.Marshal(request)
	if err != nil {
		return 0, reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.wait+replyMargin)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, r.address+operator.PathCommands, bytes.NewReader(body))
	if err != nil {
		return 0, reply, err
	}
	call.Header.Set("Authorization", "Bearer "+os.Getenv(tokenVariable))
	client, err := r.client()
	if err != nil {
		return 0, reply, err
	}
	response, err := client.Do(call)
	if err != nil {
		return 0, reply, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(io.LimitReader(response.Body, 64<<20)).Decode(&reply)
	return response.StatusCode, reply, err
}

// client returns an HTTP client that verifies the daemon against the authority, if
// one is set.
func (r *runCommand) client() (client *http.Client, err error) {
	if r.authority == "" {
		return http.DefaultClient, nil
	}
	text, err := os.ReadFile(r.authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New(r.authority + " has no certificate")
	}
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: &tls.Config{
				RootCAs:    pool,
				MinVersion: tls.VersionTLS12,
			},
		},
	}, nil
}
