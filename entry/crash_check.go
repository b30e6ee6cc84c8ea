package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/quarantine"
)

// crashCheckTimeout bounds the question to a backend server whether it has ended.
const crashCheckTimeout = 400 * time.Millisecond

// maxSuspicion is the number of servers that may end under a call before it is not sent
// again.
const maxSuspicion = 2

// proofTime is how long an answer goes on until it shows that its server does not end under
// the call.
const proofTime = time.Second

// connectionBreakTime is the time within which all connections to a server that has
// ended break.
const connectionBreakTime = 200 * time.Millisecond

// checkQuarantine refuses a call under which, or under whose prompt parts, backend servers
// end, unless its first attempt is a trial.
func (c *session) checkQuarantine(ctx context.Context, now time.Time) *pomelospring.Refusal {
	if c.isTrial && c.attemptsSent == 0 {
		return nil
	}
	verdict, block, retryAt := c.service.Quarantine.Judge(c.team, c.suspects(), now)
	if verdict == quarantine.Admitted {
		return nil
	}
	if verdict == quarantine.Trial && c.service.Coordinator.MayTry(ctx, block.Parts[0]) {
		c.isTrial = true
		events.Log(c.service.Logger, events.PartsTried, log.Fields{
			"request": c.call.ID,
			"parts":   block.Parts,
			"crashes": block.Crashes,
		})
		return nil
	}
	code := pomelospring.CodePartBlocked
	if slices.ContainsFunc(block.Parts, pomelospring.IsFingerprint) {
		code = pomelospring.CodeRequestBlocked
	}
	return pomelospring.NewRefusal(code, retryAt, "backend servers end under %s", strings.Join(block.Parts, ", "))
}

// suspects returns what servers may end under: the call itself, and its prompt parts.
func (c *session) suspects() []string {
	call := c.quarantined(false)
	return call.Suspects()
}

// quarantined returns the call as the quarantine judges it; resent says that it was sent
// because its connection to another server broke.
func (c *session) quarantined(resent bool) quarantine.Call {
	return quarantine.Call{
		Team:    c.team,
		Parts:   c.parts,
		Request: c.fingerprint,
		Resent:  resent,
	}
}

// maySendAgain reports whether the call may be sent to another server after broken
// attempts whose connection broke. Two ends under a call, here or elsewhere, are enough.
func (c *session) maySendAgain(broken int) bool {
	return broken+c.service.Quarantine.Suspicion(c.suspects()) < maxSuspicion
}

// recordProof records that a backend server answered the call without ending.
func (a *attempt) recordProof() {
	a.session.service.Quarantine.RecordOutput(a.session.suspects(), a.session.service.Clock())
}

// recordOutput records that more of the answer to the call has arrived.
func (a *attempt) recordOutput() {
	now := a.session.service.Clock()
	if a.firstOutputAt.IsZero() {
		a.firstOutputAt = now
	}
	if !a.isProven && now.Sub(a.firstOutputAt) >= proofTime {
		a.isProven = true
		a.recordProof()
	}
}

// recordWhole records that the answer has ended. If only the end of the connection says
// so, the server may have broken it off.
func (a *attempt) recordWhole(answer *pomelospring.BackendAnswer) {
	switch {
	case a.isProven:
	case answer.EndsWithConnection:
		a.session.service.checkForCrash(a.server, brokenCall{
			Call:  a.session.quarantined(false),
			whole: true,
		})
	default:
		a.recordProof()
	}
}

// recordBreak records that the connection of the call's attempt broke.
func (a *attempt) recordBreak(ctx context.Context) {
	a.session.attemptsBroken++
	a.checkForCrash(ctx, a.session.attemptsBroken > 1)
}

// checkForCrash is called when the connection to a backend server broke. If the server
// has ended, the call is suspected, unless its answer had gone on for long. resent says
// that the call was sent there because its connection to another server broke.
func (a *attempt) checkForCrash(ctx context.Context, resent bool) {
	if a.isProven || ctx.Err() != nil || a.isTakenOver() {
		return
	}
	a.session.service.checkForCrash(a.server, brokenCall{
		Call: a.session.quarantined(resent),
	})
}

// brokenCall is a call whose connection to a server ended.
type brokenCall struct {
	quarantine.Call
	// whole is set if the answer seems to be whole.
	whole bool
}

// checkForCrash finds out whether a server has ended. Operators may stop the servers of an
// evacuated failure domain, which shows nothing of the calls that were under way there.
func (s *Service) checkForCrash(server pomelospring.FleetServer, call brokenCall) {
	if s.Board.Evacuated(server.Domain) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashChecks == nil {
		s.crashChecks = map[string][]brokenCall{}
	}
	calls, checking := s.crashChecks[server.ID]
	s.crashChecks[server.ID] = append(calls, call)
	if !checking {
		go s.checkServer(server, s.Clock())
	}
}

// checkServer asks a backend server whether it has ended, and if so records the calls
// whose connections there ended since brokenAt.
func (s *Service) checkServer(server pomelospring.FleetServer, brokenAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	report, err := s.Engine.Report(ctx, server)
	ended := hasEnded(&server, &report, err)
	if ended {
		// Connections of a worker that ended break at about the same time.
		time.Sleep(connectionBreakTime)
	}
	s.mu.Lock()
	broken := s.crashChecks[server.ID]
	delete(s.crashChecks, server.ID)
	s.mu.Unlock()
	if !ended || s.Board.RunningCalls(server.ID) > 0 || s.Board.Draining(server.ID) {
		s.recordWholeCalls(broken)
		return
	}
	calls := make([]quarantine.Call, 0, len(broken))
	parts, requests := map[string]int{}, map[string]int{}
	for _, call := range broken {
		calls = append(calls, call.Call)
		requests[call.Request]++
		for _, part := range call.Parts {
			parts[part]++
		}
	}
	s.Quarantine.RecordCrash(server.ID, calls, brokenAt, s.Clock())
	events.Log(s.Logger, events.ServerEnded, log.Fields{
		"server":   server.ID,
		"service":  server.Service,
		"calls":    len(calls),
		"parts":    parts,
		"contents": requests,
	})
}

// recordWholeCalls records the calls that a server which lives has answered.
func (s *Service) recordWholeCalls(calls []brokenCall) {
	for _, call := range calls {
		if call.whole {
			s.Quarantine.RecordOutput(call.Suspects(), s.Clock())
		}
	}
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
