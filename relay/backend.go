package relay

import (
	"context"
	"errors"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
)

// Backend sends calls to backend servers and records over which paths no connection can
// be made.
type Backend struct {
	// Direct sends calls over this instance's own paths.
	Direct pomelospring.Backend
	Paths  *Paths
}

var _ pomelospring.Backend = (*Backend)(nil)

// Send implements pomelospring.Backend.
func (b *Backend) Send(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (answer *pomelospring.BackendAnswer, err error) {
	answer, err = b.Direct.Send(ctx, call, dispatch)
	if err != nil && errors.Is(err, pomelospring.ErrNotSent) && ctx.Err() == nil {
		b.Paths.RecordFailure(dispatch.Server, err)
	}
	return answer, err
}

// Paths records the state of this instance's paths to backend servers.
type Paths struct {
	Board  *fleet.Board
	Logger log.Interface
	Clock  pomelospring.Clock
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
}
