package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/operator"
)

// tokenBytes is the number of random bytes in an operator's token.
const tokenBytes = 24

// languageCommand prints a summary and the grammar of the command language.
type languageCommand struct{}

// Name implements subcommands.Command.
func (*languageCommand) Name() string { return "language" }

// Synopsis implements subcommands.Command.
func (*languageCommand) Synopsis() string { return "explain the commands and queries" }

// Usage implements subcommands.Command.
func (*languageCommand) Usage() string { return "language\n" }

// SetFlags implements subcommands.Command.
func (*languageCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*languageCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	fmt.Print(`Commands; several, separated by ;, are applied all together or not at all:
  set team utility rate 5000 burst 20000
  set adapter billing base llama versions v1, v2
  set route orders service orders [idempotent] [open]
  set server m1 address 10.0.0.1:8000 domain a model llama slots 4 running 16 [checksFence]
  set server o1 address 10.0.0.2:8000 domain a service orders running 16
  create key web team utility
  withdraw key web
  allow team utility adapter billing versions v2
  deny team utility adapter billing versions v1
  drain m1; undrain m1
  delete team|adapter|route|server NAME
Queries:
  show teams|keys|adapters|routes|servers|instances|placements|budget
  show usage [by team|adapter|server|domain] [since 30m]
  status

Grammar:
`, operator.Grammar(), "\n")
	return subcommands.ExitSuccess
}

// completionCommand prints a completion script for bash.
type completionCommand struct{}

// Name implements subcommands.Command.
func (*completionCommand) Name() string { return "completion" }

// Synopsis implements subcommands.Command.
func (*completionCommand) Synopsis() string { return "print a completion script for bash" }

// Usage implements subcommands.Command.
func (*completionCommand) Usage() string {
	return "completion\n  Use it with: source <(pomelospringctl completion)\n"
}

// SetFlags implements subcommands.Command.
func (*completionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*completionCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	fmt.Print(`_pomelospringctl() {
  local word="${COMP_WORDS[COMP_CWORD]}"
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "run language completion token explain check help flags" -- "$word"))
    return
  fi
  COMPREPLY=($(compgen -W "-address -authority -format -dryRun -wait -madeAgainst -against -json set create withdraw allow deny drain undrain delete show status team adapter route server key usage by since" -- "$word"))
}
complete -F _pomelospringctl pomelospringctl
`)
	return subcommands.ExitSuccess
}

// tokenCommand generates an operator's token and its hash.
type tokenCommand struct{}

// Name implements subcommands.Command.
func (*tokenCommand) Name() string { return "token" }

// Synopsis implements subcommands.Command.
func (*tokenCommand) Synopsis() string { return "generate an operator's token and its hash" }

// Usage implements subcommands.Command.
func (*tokenCommand) Usage() string {
	return "token\n  The token goes to the operator, the hash into the settings of the daemons.\n"
}

// SetFlags implements subcommands.Command.
func (*tokenCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*tokenCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	random := make([]byte, tokenBytes)
	if _, err := rand.Read(random); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	token := "op-" + hex.EncodeToString(random)
	fmt.Printf("token: %s\ntokenHash: %s\n", token, admission.Hash(token))
	return subcommands.ExitSuccess
}
