package relay

import (
	"context"
	"errors"
	"fmt"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
)

// Backend sends calls to backend servers, through other instances where its own path to a
// server is broken, and records over which paths no connection can be made.
type Backend struct {
	// Direct sends calls over this instance's own paths.
	Direct pomelospring.Backend
	Paths  *Paths
	// Relays are the instances to send through; nil for none.
	Relays *Client
}

var _ pomelospring.Backend = (*Backend)(nil)

// Send implements pomelospring.Backend.
func (b *Backend) Send(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (answer *pomelospring.BackendAnswer, err error) {
	var relayErr error
	isBroken := !b.Paths.Board.PathBrokenSince(dispatch.Server.ID).IsZero()
	if isBroken {
		answer, relayErr = b.sendThrough(ctx, call, dispatch)
		if relayErr == nil || !errors.Is(relayErr, pomelospring.ErrNotSent) || ctx.Err() != nil {
			return answer, relayErr
		}
	}
	answer, err = b.sendDirect(ctx, call, dispatch)
	if err == nil || !errors.Is(err, pomelospring.ErrNotSent) || errors.Is(err, pomelospring.ErrEvacuated) || ctx.Err() != nil {
		return answer, err
	}
	b.Paths.RecordFailure(dispatch.Server, err)
	if !isBroken {
		answer, relayErr = b.sendThrough(ctx, call, dispatch)
		if relayErr == nil || !errors.Is(relayErr, pomelospring.ErrNotSent) {
			return answer, relayErr
		}
	}
	return nil, fmt.Errorf("%w; %w", err, relayErr)
}

// sendDirect sends a call over the instance's own path.
func (b *Backend) sendDirect(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (answer *pomelospring.BackendAnswer, err error) {
	if b.Paths.Board.Evacuated(dispatch.Server.Domain) {
		return nil, pomelospring.ErrEvacuated
	}
	return b.Direct.Send(ctx, call, dispatch)
}

// sendThrough sends a call through another instance, unless none reached the server
// shortly before.
func (b *Backend) sendThrough(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (answer *pomelospring.BackendAnswer, err error) {
	if b.Relays == nil {
		return nil, errNoRelay
	}
	if b.Paths.Board.Evacuated(dispatch.Server.Domain) {
		return nil, pomelospring.ErrEvacuated
	}
	if b.Paths.Board.UnreachableElsewhere(dispatch.Server.ID, b.Paths.Clock()) {
		return nil, errUnreachable
	}
	return b.Relays.Send(ctx, call, dispatch)
}

// Paths records the state of this instance's paths to backend servers.
type Paths struct {
	Board  *fleet.Board
	Logger log.Interface
	Clock  pomelospring.Clock
	// OnBroken is called when a path breaks; it may be nil.
	OnBroken func()
}

// RecordFailure records that no connection to a server could be made.
func (p *Paths) RecordFailure(server pomelospring.FleetServer, err error) {
	if !p.Board.RecordPathFailure(server, p.Clock()) {
		return
	}
	events.Log(p.Logger, events.PathBroken, log.Fields{
		"server": server.ID,
		"domain": server.Domain,
		"error":  err.Error(),
	})
	if p.OnBroken != nil {
		p.OnBroken()
	}
}
