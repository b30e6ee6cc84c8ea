package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// confirmTimeout bounds the question to a server whether it was started anew, for which
// a resumed stream waits.
const confirmTimeout = 400 * time.Millisecond

// errStartedAnew reports an answer of a server that was started anew since its entry was
// written, perhaps with another software version.
var errStartedAnew = errors.New("the backend server was started anew, or does not say when it was")

// streamID identifies the call that brought the caller the first event of the stream. No
// other team's call has the same, whatever IDs its callers choose.
func (c *session) streamID() string {
	call := c.call.ID
	if c.call.Resumes != "" {
		call = c.call.Resumes
	}
	return c.team + "/" + call
}

// findOrigin finds the service and the software version at which a stream began that the
// call goes on with, or refuses the call.
func (c *session) findOrigin(ctx context.Context, policy *pomelospring.Policy, team pomelospring.PolicyTeam) *pomelospring.Refusal {
	if c.service.Origins == nil || !c.route.Streaming || c.call.ResumeAfter == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.firstEventDeadline)
	defer cancel()
	stream := ""
	if c.call.Resumes != "" {
		stream = c.streamID()
	}
	origin := c.service.Origins.Origin(ctx, c.targetService, stream)
	if !origin.Known {
		return pomelospring.NewRefusal(pomelospring.CodeOriginUnknown, origin.RetryAt, "it is not known at which software version the stream began")
	}
	if slices.ContainsFunc(c.route.Splits, func(split pomelospring.ServiceSplit) bool { return split.Service == origin.Service }) {
		c.setService(origin.Service, policy, team)
	}
	software := origin.Software
	if _, serves := c.service.Board.OtherSoftware(c.targetService, software); !serves {
		return pomelospring.NewRefusal(pomelospring.CodeOriginGone, origin.RetryAt, "the software version %s that began the stream has left", software)
	}
	c.software.Store(&software)
	return nil
}

// beginAt records that a server sent the first event of the stream, so that it goes on at
// that server's software version only.
func (c *session) beginAt(server *pomelospring.FleetServer) {
	if c.service.Origins == nil || !c.route.Resumable || !c.software.CompareAndSwap(nil, &server.Software) {
		return
	}
	c.service.Origins.Begin(pomelospring.StreamStart{
		Call:          c.streamID(),
		Service:       c.targetService,
		Software:      server.Software,
		Server:        server.ID,
		ServerStarted: server.Started,
		At:            c.service.Clock(),
		Deadline:      c.call.Deadline,
	})
}

// otherSoftware lists the servers at which the stream can't go on.
func (c *session) otherSoftware() []string {
	software := c.software.Load()
	if software == nil {
		return nil
	}
	others, _ := c.service.Board.OtherSoftware(c.targetService, *software)
	return others
}

// withOtherSoftware adds the servers at which the stream can't go on to those to avoid.
func (c *session) withOtherSoftware(avoid map[string]bool) map[string]bool {
	others := c.otherSoftware()
	if len(others) == 0 {
		return avoid
	}
	all := maps.Clone(avoid)
	for _, id := range others {
		all[id] = true
	}
	return all
}

// confirmSoftware checks that the server whose answer goes on with a stream is still the
// start that its entry describes. Its connection shows that it has not ended since.
func (a *attempt) confirmSoftware(ctx context.Context) error {
	c := a.session
	if c.software.Load() == nil || c.service.Origins == nil || !c.service.Origins.Several(c.targetService) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	report, err := c.service.Engine.Report(ctx, a.server)
	if err != nil {
		return fmt.Errorf("%w: %w", errStartedAnew, err)
	}
	if !report.Started.Equal(a.server.Started) {
		return errStartedAnew
	}
	return nil
}
