// Command standins runs small stand-ins for the outside systems: the log
// service, the instance list, the weight store, model workers and application
// workers, all in one process on loopback.
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
	// fetchTime is how long the weight store takes for one adapter.
	fetchTime = 250 * time.Millisecond
	// tokenTime is the time between tokens of a model worker.
	tokenTime = 10 * time.Millisecond
	// workTime is how long an application worker takes for a call.
	workTime = 10 * time.Millisecond
	// headerTime bounds the header of a request to a stand-in.
	headerTime = 5 * time.Second
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

// serveAll serves handlers by address until a signal comes.
func serveAll(handlers map[string]http.Handler) subcommands.ExitStatus {
	var group run.Group
	for address, handler := range handlers {
		server := &http.Server{
			Addr:              address,
			Handler:           handler,
			ReadHeaderTimeout: headerTime,
		}
		group.Add(server.ListenAndServe, func(error) { _ = server.Close() })
	}
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err := group.Run()
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitSuccess
}

// platformCommand runs the platform's services.
type platformCommand struct {
	log       string
	list      string
	weights   string
	retention time.Duration
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
	flags.StringVar(&p.log, "log", "127.0.0.1:7000", "address of the log service")
	flags.StringVar(&p.list, "list", "127.0.0.1:7001", "address of the instance list")
	flags.StringVar(&p.weights, "weights", "127.0.0.1:7002", "address of the weight store")
	flags.DurationVar(&p.retention, "retention", time.Hour, "how long the log keeps records")
}

// Execute implements subcommands.Command.
func (p *platformCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	return serveAll(map[string]http.Handler{
		p.log:     standin.NewLog(time.Now, p.retention).Handler(),
		p.list:    standin.NewInstanceList(time.Now).Handler(),
		p.weights: standin.NewWeightStore(fetchTime).Handler(),
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
	flags.IntVar(&m.slots, "slots", 4, "adapters that fit at once")
	flags.BoolVar(&m.checksFence, "checksFence", false, "refuse orders with an old fencing number")
}

// Execute implements subcommands.Command.
func (m *modelCommand) Execute(context.Context, *flag.FlagSet, ...interface{}) subcommands.ExitStatus {
	weights := &controlplane.WeightStore{
		BaseURL: m.weights,
		Client:  http.DefaultClient,
	}
	worker := standin.NewModelWorker(m.name, m.slots, tokenTime, weights)
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
		a.address: standin.NewApplicationWorker(a.name, workTime).Handler(),
	})
}
