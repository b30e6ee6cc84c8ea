package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
)

const (
	// listTimeout bounds the wait for the list of instances to ask, listPoll the time
	// between looks for it.
	listTimeout = 300 * time.Millisecond
	listPoll    = 20 * time.Millisecond
	// reportTimeout bounds the reply to a request for a report.
	reportTimeout = 800 * time.Millisecond
)

// Engine reads the reports of model workers, through other instances if it can't connect
// to a worker: that shows nothing of a worker which others reach. Orders are not relayed.
type Engine struct {
	pomelospring.Engine
	Relays *Client
}

// Report implements pomelospring.Engine. A report that another instance read has only the
// worker's start.
func (e *Engine) Report(ctx context.Context, server pomelospring.FleetServer) (report pomelospring.EngineReport, err error) {
	report, err = e.Engine.Report(ctx, server)
	if err == nil || errors.Is(err, pomelospring.ErrSilent) || ctx.Err() != nil {
		return report, err
	}
	relayed, relayErr := e.Relays.Report(ctx, server)
	if errors.Is(relayErr, errNoRelay) {
		return report, err
	}
	return relayed, relayErr
}

// Lives reports whether another instance reaches a model worker.
func (c *Client) Lives(ctx context.Context, server pomelospring.FleetServer) bool {
	_, err := c.Report(ctx, server)
	return err == nil || errors.Is(err, pomelospring.ErrSilent)
}

// Report asks other instances for the report of a model worker. It has ended if all that
// answer say so.
func (c *Client) Report(ctx context.Context, server pomelospring.FleetServer) (report pomelospring.EngineReport, err error) {
	c.awaitList(ctx)
	err = errNoRelay
	for _, relay := range c.choose("", nil) {
		reply, replyErr := c.report(ctx, relay, server)
		switch {
		case replyErr != nil:
			c.avoid(relay, "")
		case !reply.Asked:
		case reply.Error == "":
			return pomelospring.EngineReport{
				Started: time.UnixMilli(reply.Started),
			}, nil
		case reply.Silent:
			return report, fmt.Errorf("%w: %s", pomelospring.ErrSilent, reply.Error)
		case reply.Ended:
			err = fmt.Errorf("%w: %s", pomelospring.ErrServerEnded, reply.Error)
		case errors.Is(err, errNoRelay):
			err = errors.New(reply.Error)
		}
	}
	return report, err
}

func (c *Client) report(ctx context.Context, relay string, server pomelospring.FleetServer) (reply *coordinationpb.RelayReportReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return coordinationpb.NewDRPCRelayClient(c.Peers.Conn(ctx, relay)).Report(ctx, &coordinationpb.RelayReportRequest{
		Server:  server.ID,
		Started: server.Started.UnixMilli(),
	})
}

// awaitList waits for the list of instances to ask if it is being renewed.
func (c *Client) awaitList(ctx context.Context) {
	deadline := c.Clock().Add(listTimeout)
	for c.Wanted() && c.Clock().Before(deadline) && pomelospring.Sleep(ctx, listPoll) == nil {
		continue
	}
}
