package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/quarantine"
)

// crashCheckTimeout bounds the question to a backend server whether it has ended.
const crashCheckTimeout = 400 * time.Millisecond

// connectionBreakTime is the time within which all connections to a server that has
// ended break.
const connectionBreakTime = 200 * time.Millisecond

// checkQuarantine refuses a call with prompt parts under which model workers end,
// unless its first attempt is a trial.
func (c *session) checkQuarantine(now time.Time) *pomelospring.Refusal {
	if c.limits == nil || c.isTrial && c.attemptsSent == 0 {
		return nil
	}
	verdict, block, retryAt := c.service.Quarantine.Judge(c.team, c.parts, now)
	switch verdict {
	case quarantine.Admitted:
	case quarantine.Refused:
		return pomelospring.NewRefusal(pomelospring.CodePartBlocked, retryAt, "model workers end under the prompt parts %s", strings.Join(block.Parts, ", "))
	case quarantine.Trial:
		c.isTrial = true
		events.Log(c.service.Logger, events.PartsTried, log.Fields{
			"request": c.call.ID,
			"parts":   block.Parts,
			"crashes": block.Crashes,
		})
	}
	return nil
}

// recordOutput records that a model worker has begun to answer the call.
func (a *attempt) recordOutput() {
	if a.hasOutput || a.session.limits == nil {
		return
	}
	a.hasOutput = true
	a.session.service.Quarantine.RecordOutput(a.session.parts, a.session.service.Clock())
}

// checkForCrash is called when the connection to a backend server broke. If there was
// no output yet, and the server has ended, the call's prompt parts are suspected.
func (a *attempt) checkForCrash(ctx context.Context) {
	c := a.session
	if a.hasOutput || ctx.Err() != nil || a.isTakenOver() {
		return
	}
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashChecks == nil {
		s.crashChecks = map[string][]quarantine.Call{}
	}
	calls, checking := s.crashChecks[a.server.ID]
	s.crashChecks[a.server.ID] = append(calls, quarantine.Call{
		Team:    c.team,
		Parts:   c.parts,
		Request: c.fingerprint,
	})
	if !checking {
		go s.checkServer(a.server, s.Clock())
	}
}

// checkServer asks a backend server whether it has ended, and if so records the calls
// that broke off there since brokenAt.
func (s *Service) checkServer(server pomelospring.FleetServer, brokenAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	report, err := s.Engine.Report(ctx, server)
	if hasEnded(&server, &report, err) {
		// Connections of a worker that ended break at about the same time.
		time.Sleep(connectionBreakTime)
	}
	s.mu.Lock()
	calls := s.crashChecks[server.ID]
	delete(s.crashChecks, server.ID)
	s.mu.Unlock()
	if !hasEnded(&server, &report, err) || s.Board.RunningCalls(server.ID) > 0 {
		return
	}
	s.Quarantine.RecordCrash(server.ID, calls, brokenAt, s.Clock())
	parts, requests := map[string]int{}, map[string]int{}
	for _, call := range calls {
		requests[call.Request]++
		for _, part := range call.Parts {
			parts[part]++
		}
	}
	events.Log(s.Logger, events.ServerEnded, log.Fields{
		"server":   server.ID,
		"service":  server.Service,
		"calls":    len(calls),
		"parts":    parts,
		"contents": requests,
	})
}

// hasEnded reports whether a server's report, or the error in place of it, shows that it
// has ended. A report that is late, was reset or is not to be had shows nothing: a sound
// server may be silent for a while, resets connections beyond its maximum, and may have
// no reports.
func hasEnded(server *pomelospring.FleetServer, report *pomelospring.EngineReport, err error) bool {
	if err != nil {
		return errors.Is(err, pomelospring.ErrServerEnded)
	}
	return report.Started.After(server.Started)
}
