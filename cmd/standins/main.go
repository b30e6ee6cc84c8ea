// Command standins runs simulated external services (stand-ins) on loopback for
// local runs: the platform's log service, instance list and weight store, a model
// worker or an application worker.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/oklog/run"
	"github.com/pomelospring/pomelospring/controlplane"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// adapterFetchTime is how long the weight store takes to deliver one adapter.
	adapterFetchTime = 250 * time.Millisecond
	// tokenInterval is the time between two tokens that a model worker generates.
	tokenInterval = 10 * time.Millisecond
	// callTime is how long an application worker takes to answer a call.
	callTime = 10 * time.Millisecond
	// headerTimeout limits the time to receive the header of a request.
	headerTimeout = 5 * time.Second
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "standins")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&platformCommand{}, "")
	commander.Register(&modelCommand{}, "")
	commander.Register(&applicationCommand{}, "")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}

// serveAll serves each handler on its address until SIGINT or SIGTERM.
func serveAll(handlers map[string]http.Handler) subcommands.ExitStatus {
	var group run.Group
	for address, handler := range handlers {
		server := &http.Server{
			Addr:              address,
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
		}
		group.Add(server.ListenAndServe, func(error) { _ = server.Close() })
	}
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err := group.Run()
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitSuccess
}

// platformCommand runs the platform's services: log, instance list and weight
// store.
type platformCommand struct {
	logAddress     string
	listAddress    string
	weightsAddress string
	retention      time.Duration
}

// Name implements subcommands.Command.
func (*platformCommand) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCommand) Synopsis() string { return "run log, instance list and weight store" }

// Usage implements subcommands.Command.
func (*platformCommand) Usage() string {
	return "platform [-log HOST:PORT] [-list HOST:PORT] [-weights HOST:PORT] [-retention TIME]\n"
}

// SetFlags implements subcommands.Command.
func (p *platformCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&p.logAddress, "log", "127.0.0.1:7000", "address of the log service")
	flags.StringVar(&p.listAddress, "list", "127.0.0.1:7001", "address of the instance list")
	flags.StringVar(&p.weightsAddress, "weights", "127.0.0.1:7002", "address of the weight store")
	flags.DurationVar(&p.retention, "retention", time.Hour, "how long the log retains records")
}

// Execute implements subcommands.Command.
func (p *platformCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	return serveAll(map[string]http.Handler{
		p.logAddress:     standin.NewLog(time.Now, p.retention).Handler(),
		p.listAddress:    standin.NewInstanceList(time.Now).Handler(),
		p.weightsAddress: standin.NewWeightStore(adapterFetchTime).Handler(),
	})
}

// modelCommand runs one model worker.
type modelCommand struct {
	name        string
	address     string
	weights     string
	slots       int
	checksFence bool
}

// Name implements subcommands.Command.
func (*modelCommand) Name() string { return "model" }

// Synopsis implements subcommands.Command.
func (*modelCommand) Synopsis() string { return "run a model worker" }

// Usage implements subcommands.Command.
func (*modelCommand) Usage() string {
	return "model -name NAME -address HOST:PORT [-weights URL] [-slots N] [-checksFence]\n"
}

// SetFlags implements subcommands.Command.
func (m *modelCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&m.name, "name", "model", "name of the worker")
	flags.StringVar(&m.address, "address", "127.0.0.1:7100", "address of the worker")
	flags.StringVar(&m.weights, "weights", "http://127.0.0.1:7002", "base URL of the weight store")
	flags.IntVar(&m.slots, "slots", 4, "adapters that the worker can hold at once")
	flags.BoolVar(&m.checksFence, "checksFence", false, "refuse orders with a stale fencing number")
}

// Execute implements subcommands.Command.
func (m *modelCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	weights := &controlplane.WeightStore{
		BaseURL: m.weights,
		Client:  http.DefaultClient,
	}
	worker := standin.NewModelWorker(m.name, m.slots, tokenInterval, weights)
	worker.ChecksFence = m.checksFence
	return serveAll(map[string]http.Handler{
		m.address: worker.Handler(),
	})
}

// applicationCommand runs one application worker.
type applicationCommand struct {
	name    string
	address string
}

// Name implements subcommands.Command.
func (*applicationCommand) Name() string { return "application" }

// Synopsis implements subcommands.Command.
func (*applicationCommand) Synopsis() string { return "run an application worker" }

// Usage implements subcommands.Command.
func (*applicationCommand) Usage() string {
	return "application -name NAME -address HOST:PORT\n"
}

// SetFlags implements subcommands.Command.
func (a *applicationCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&a.name, "name", "application", "name of the worker")
	flags.StringVar(&a.address, "address", "127.0.0.1:7200", "address of the worker")
}

// Execute implements subcommands.Command.
func (a *applicationCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	return serveAll(map[string]http.Handler{
		a.address: standin.NewApplicationWorker(a.name, callTime).Handler(),
	})
}
