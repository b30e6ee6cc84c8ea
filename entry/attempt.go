package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
)

const (
	// maxBodyBytes bounds how much of an answer that isn't streamed is buffered. A
	// longer one is forwarded as it arrives, and can't be replaced by another
	// attempt's.
	maxBodyBytes = 8 << 20
	// readBufferBytes is how much of a stream is read at once.
	readBufferBytes = 4 << 10
	// unknownLength is the length of a stream. One that a server declared may not
	// hold after another server has gone on with the stream.
	unknownLength = -1
)

// errEventTooLong reports a stream of bytes that don't end as an event.
var errEventTooLong = fmt.Errorf("an event exceeds %d bytes", maxEventBytes)

// errInsideEvent reports a stream that was broken off although its connection ended
// in order.
var errInsideEvent = errors.New("the stream ended inside an event")

// errNoEvent reports an answer without an event that only ended with its connection.
var errNoEvent = errors.New("the connection ended before an event")

// errRepeated reports an answer that doesn't go on after the last event.
var errRepeated = errors.New("the answer repeats events that the caller has got")

// errOtherFormat reports an answer that can't be joined to the stream that began.
var errOtherFormat = errors.New("the answer has another format than the stream that it goes on with")

// attempt is one send of a call to one backend server.
type attempt struct {
	session *session
	choice  dispatch.Choice
	server  pomelospring.FleetServer
	// prefillTokens is the uncached part of the prompt until the first output, then
	// zero.
	prefillTokens int64
	// sentAt is when the call was sent, and queued says that others waited for the
	// server then, so that the time it takes shows no speed.
	sentAt time.Time
	queued bool
	ended  bool
	// lateAfter is how long the first output, or the whole of another answer, may take
	// before it is late.
	lateAfter time.Duration
	// longestPause is the longest time that the server let pass between two events, and
	// awaitedSince when the last one had been forwarded: a caller that reads slowly and
	// another server's pause don't count.
	longestPause time.Duration
	awaitedSince time.Time
	// resumes is set if the server was asked to go on after the last event.
	resumes bool
	// outcome is how the call ended for the server's permit.
	outcome pomelospring.PermitOutcome
	// firstOutputAt is when the first part of the answer arrived, and isProven is set
	// once the answer has gone on for so long that the server won't end under it.
	firstOutputAt time.Time
	isProven      bool
	// cancel ends the attempt.
	cancel context.CancelFunc

	watchdog watchdog
}

// recordTime records whether the server was late, as of its other calls then.
func (a *attempt) recordTime(took, limit time.Duration) {
	c := a.session
	c.service.Board.RecordTimedAnswer(a.server.ID, fleet.TimedAnswer{
		Calls: a.choice.Candidate.Running + 1,
		Took:  took,
		Limit: limit,
	}, c.service.Clock())
}

// recordPlainAnswer records how long a sound answer of a service without a model took.
func (a *attempt) recordPlainAnswer() {
	c := a.session
	now := c.service.Clock()
	took := now.Sub(a.sentAt)
	a.recordTime(took, a.lateAfter)
	if !a.queued {
		c.service.Board.RecordPlainAnswerTime(a.server.ID, c.targetService, took, now)
	}
}

// recordFirstOutput records that the prefill is done.
func (a *attempt) recordFirstOutput() {
	a.recordTime(a.session.service.Clock().Sub(a.sentAt), a.lateAfter)
	if !a.queued {
		now := a.session.service.Clock()
		a.session.service.Board.RecordAnswerTime(a.server.ID, a.prefillTokens, now.Sub(a.sentAt), now)
	}
	a.session.service.Board.RecordFirstOutput(a.server.ID, a.session.call.Adapter, a.prefillTokens, a.session.call.Parts, a.session.service.Clock())
	a.prefillTokens = 0
}

// end records the end of the attempt, once.
func (a *attempt) end(failed bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.session.service.Board.EndCall(a.server.ID, a.session.call.Adapter, a.prefillTokens, failed, a.session.service.Clock())
	a.session.returnPermit(a.choice, a.outcome)
}

// forward sends an answer to the caller and reports whether it is final.
func (a *attempt) forward(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	defer answer.Body.Close()
	if a.session.route.Streaming && answer.Status == http.StatusOK {
		return a.forwardStream(ctx, answer)
	}
	return a.forwardComplete(ctx, answer)
}

// forwardComplete forwards an answer once it is complete.
func (a *attempt) forwardComplete(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	c := a.session
	// A partly forwarded stream can't continue with an answer that isn't a stream.
	failed := answer.Status >= http.StatusInternalServerError || c.forwarded
	body, whole, err := readComplete(c.call.Memory, answer)
	if err == nil && !failed && !a.claim() {
		err = errTakenOver
	}
	if err != nil {
		a.recordBreak(ctx)
		return a.handleBrokenAnswer(ctx, err)
	}
	if whole {
		a.recordWhole(answer)
	}
	if answer.Status < http.StatusBadRequest && !failed && c.limits == nil {
		a.recordPlainAnswer()
	}
	a.end(answer.Status >= http.StatusInternalServerError)
	c.avoid[a.server.ID] = true
	c.successor = a.settle()
	if failed && a.replaceFailure(ctx, answer, body, whole) {
		return false
	}
	if !whole && !c.forwarded {
		return a.forwardLong(ctx, answer, body)
	}
	if c.forwarded {
		c.giveUp(ctx, c.unansweredRefusal())
		return true
	}
	c.out.Head(answer, int64(len(body)))
	c.write(body)
	c.logServed(a.server, answer.Status)
	return true
}

// readComplete reads an answer to its end. One that is longer than maxBodyBytes, or that
// finds no memory, is read only in part and isn't whole.
func readComplete(memory pomelospring.Memory, answer *pomelospring.BackendAnswer) (body []byte, whole bool, err error) {
	body, err = pomelospring.ReadGranted(memory, io.LimitReader(answer.Body, maxBodyBytes+1), answer.Length)
	whole = err == nil && len(body) <= maxBodyBytes
	if errors.Is(err, pomelospring.ErrNoMemory) {
		err = nil
	}
	switch {
	case err != nil:
	case answer.Status < http.StatusOK:
		err = fmt.Errorf("status %d is not that of a final answer", answer.Status)
	case answer.Status < http.StatusMultipleChoices && !answer.Signed:
		err = errors.New("the answer has no signature")
	}
	return body, whole, err
}

// replaceFailure reports whether another attempt follows one that got a failed
// answer, which is kept in case that the other attempt fails too.
func (a *attempt) replaceFailure(ctx context.Context, answer *pomelospring.BackendAnswer, body []byte, whole bool) bool {
	c := a.session
	if c.successor == nil && (!whole && !c.forwarded || ctx.Err() != nil || !c.mayRetry(false)) {
		return false
	}
	if whole {
		c.failure, c.failureBody, c.failureServer = answer, body, a.server
	}
	c.logRetry(a.server, http.StatusText(answer.Status), true)
	return true
}

// forwardLong forwards an answer of which only the beginning could be buffered. If
// it breaks off, or doesn't end before the call's deadline, the caller sees that
// it is incomplete.
func (a *attempt) forwardLong(ctx context.Context, answer *pomelospring.BackendAnswer, beginning []byte) (done bool) {
	c := a.session
	c.forwarded = true
	c.out.Head(answer, answer.Length)
	if !c.write(beginning) {
		c.giveUp(ctx, c.unansweredRefusal())
		return true
	}
	if c.call.Memory != nil {
		c.call.Memory.Shrink(int64(cap(beginning)))
	}
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 && !c.write(buffer[:n]) || err != nil && !errors.Is(err, io.EOF) {
			c.giveUp(ctx, c.unansweredRefusal())
			return true
		}
		if err != nil {
			a.recordWhole(answer)
			c.logServed(a.server, answer.Status)
			return true
		}
	}
}

// handleBrokenAnswer handles an answer that can't be used, such as one that
// ended early, and reports whether the call has ended.
func (a *attempt) handleBrokenAnswer(ctx context.Context, err error) (done bool) {
	c := a.session
	a.end(!a.isSilent())
	err = a.cause(err)
	c.avoid[a.server.ID] = true
	c.successor = a.settle()
	willRetry := c.successor != nil || ctx.Err() == nil && c.mayRetry(false)
	c.logRetry(a.server, err.Error(), willRetry)
	if willRetry {
		return false
	}
	c.giveUp(ctx, c.unansweredRefusal())
	return true
}

// forwardStream forwards complete events as they arrive.
func (a *attempt) forwardStream(ctx context.Context, answer *pomelospring.BackendAnswer) (done bool) {
	c := a.session
	if err := c.checkStreamHead(answer); err != nil {
		return a.handleBrokenAnswer(ctx, err)
	}
	scanner := &eventScanner{
		memory: c.call.Memory,
	}
	defer scanner.drop()
	buffer := make([]byte, readBufferBytes)
	begun := false
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if !scanner.hold(n) {
				return a.handleBrokenAnswer(ctx, pomelospring.ErrNoMemory)
			}
			complete := scanner.add(buffer[:n])
			if err := a.acceptEvents(complete, begun); err != nil {
				return a.handleBrokenAnswer(ctx, err)
			}
			begun = begun || len(complete) > 0
			if len(complete) > 0 && !a.forwardEvents(answer, complete) {
				a.end(false)
				c.giveUp(ctx, c.unansweredRefusal())
				return true
			}
			c.lastEventID = scanner.lastID(c.lastEventID)
			if len(complete) > 0 {
				a.awaitMore(c.lastEventID)
			}
			if scanner.tooLong() {
				return a.handleBrokenAnswer(ctx, errEventTooLong)
			}
		}
		if errors.Is(err, io.EOF) {
			if err = a.endOfStream(answer, scanner, begun); err == nil {
				return a.finishStream(answer, scanner.pending())
			}
		}
		if err != nil {
			a.recordBreak(ctx)
			return a.handleBrokenAnswer(ctx, err)
		}
	}
}

// checkStreamHead checks that an answer is a stream that the caller can get.
func (c *session) checkStreamHead(answer *pomelospring.BackendAnswer) error {
	if !answer.Signed {
		return errors.New("the answer has no signature")
	}
	if c.forwarded && !sameFormat(c.streamHeader, answer.Header) {
		return errOtherFormat
	}
	return nil
}

// endOfStream returns why a stream whose body has ended is broken, or nil if it is whole
// and its attempt may finish it. begun says that an event has come.
func (a *attempt) endOfStream(answer *pomelospring.BackendAnswer, scanner *eventScanner, begun bool) error {
	switch {
	case !scanner.empty():
		return errInsideEvent
	case answer.EndsWithConnection && !begun:
		return errNoEvent
	case !a.claim():
		return errTakenOver
	}
	return nil
}

// acceptEvents checks that complete events may be forwarded. begun says that others of
// the answer came before.
func (a *attempt) acceptEvents(complete []byte, begun bool) error {
	switch {
	case len(complete) == 0:
		return nil
	case a.resumes && !begun && repeats(complete, a.session.lastEventID):
		return errRepeated
	case !a.claim():
		return errTakenOver
	}
	return nil
}

// forwardEvents forwards complete events, preceded by the head if they are the
// first ones, and reports whether they could be written.
func (a *attempt) forwardEvents(answer *pomelospring.BackendAnswer, complete []byte) bool {
	c := a.session
	if a.prefillTokens > 0 {
		a.recordFirstOutput()
	}
	a.recordOutput()
	if !c.forwarded {
		c.beginAt(&a.server)
		c.beginStream(answer)
		c.countServed()
	}
	c.recordEventTimes()
	if !a.awaitedSince.IsZero() {
		a.longestPause = max(a.longestPause, c.lastEventAt.Sub(a.awaitedSince))
	}
	if c.attemptsExecuted > 1 {
		c.logResumed(a.server)
	}
	written := c.write(complete)
	a.awaitedSince = c.service.Clock()
	return written
}

// finishStream ends a stream that is complete, with the bytes after its last event.
func (a *attempt) finishStream(answer *pomelospring.BackendAnswer, rest []byte) (done bool) {
	c := a.session
	a.recordWhole(answer)
	if a.longestPause > 0 {
		a.recordTime(a.longestPause, c.route.PauseTarget)
	}
	a.end(false)
	if !c.forwarded {
		c.beginStream(answer)
	}
	if len(rest) > 0 {
		c.write(rest)
	}
	c.logServed(a.server, answer.Status)
	return true
}

// beginStream sends the head of a stream.
func (c *session) beginStream(answer *pomelospring.BackendAnswer) {
	c.forwarded = true
	c.streamHeader = answer.Header
	c.out.Head(answer, unknownLength)
}

// countServed counts a stream as served, with the time until its first event.
func (c *session) countServed() {
	if c.service.Counters != nil {
		c.service.Counters.Served(c.team, c.service.Clock().Sub(c.call.Arrived))
	}
}

func (c *session) recordEventTimes() {
	now := c.service.Clock()
	if c.firstEventAt.IsZero() {
		c.firstEventAt = now
	} else {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

func (c *session) logResumed(server pomelospring.FleetServer) {
	if c.resumedServer == server.ID {
		return
	}
	c.resumedServer = server.ID
	events.Log(c.service.Logger, events.StreamResumed, log.Fields{
		"request":   c.call.ID,
		"server":    server.ID,
		"software":  server.Software,
		"lastEvent": c.lastEventID,
	})
}

func (c *session) logServed(server pomelospring.FleetServer, status int) {
	fields := log.Fields{
		"request": c.call.ID,
		"server":  server.ID,
		"route":   c.route.Name,
		"status":  status,
		"tookMs":  c.service.Clock().Sub(c.call.Arrived).Milliseconds(),
		"sends":   c.attemptsSent,
	}
	if !c.firstEventAt.IsZero() {
		fields["firstMs"] = c.firstEventAt.Sub(c.call.Arrived).Milliseconds()
		fields["pauseMs"] = c.longestPause.Milliseconds()
		fields["placedMs"] = c.placementTime.Milliseconds()
	}
	events.Log(c.service.Logger, events.CallServed, fields)
}
