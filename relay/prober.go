package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// probeStep is the time between looks for paths to probe.
	probeStep = 100 * time.Millisecond
	// maxProbesPerStep bounds the connections that probes make.
	maxProbesPerStep = 8
)

// Prober probes broken paths, so that calls need not be sent to learn that they are whole.
type Prober struct {
	Paths *Paths
	// Probe connects to a server and sends nothing.
	Probe func(ctx context.Context, server pomelospring.FleetServer) error
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	for pomelospring.Sleep(ctx, probeStep) == nil {
		for _, server := range p.Paths.Board.DuePathProbes(maxProbesPerStep, p.Paths.Clock()) {
			probes.Go(func() { p.probe(ctx, server) })
		}
	}
	return nil
}

func (p *Prober) probe(ctx context.Context, server pomelospring.FleetServer) {
	brokenSince := p.Paths.Board.PathBrokenSince(server.ID)
	err := p.Probe(ctx, server)
	now := p.Paths.Clock()
	if ctx.Err() != nil || !p.Paths.Board.RecordPathProbe(server, err == nil, now) {
		return
	}
	events.Log(p.Paths.Logger, events.PathWhole, log.Fields{
		"server":   server.ID,
		"brokenMs": now.Sub(brokenSince).Milliseconds(),
	})
}
