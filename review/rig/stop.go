package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// replyEvents and replyInterval are those of a short reply of the small site, which
	// sends 73 events and may pause for 250 ms.
	replyEvents   = 73
	replyInterval = 60 * time.Millisecond
	// connectedBefore is how long before the stop clients connect.
	connectedBefore = 500 * time.Millisecond
	// firstSent and lastSent bound when after the stop began they send their requests.
	firstSent = 3200 * time.Millisecond
	lastSent  = 4400 * time.Millisecond
	callers   = 13
	// excusedUntil is until when after SIGTERM a request may be sent that is cut at the end.
	excusedUntil = 3 * time.Second
	// grace is grace-s of the small sites.
	grace = 8 * time.Second
)

// late is a request that a client sent late in the grace.
type late struct {
	sent   time.Time
	ended  time.Time
	status int
	events int
	err    error
}

// playStop stops one front as planned, while clients that had connected before send their first
// requests.
func playStop(ctx context.Context, r *rig, trouble bool) (found verdict, err error) {
	for n, zone := range zones {
		if err = r.startWorker(&worker{
			id:       fmt.Sprintf("i-llm%d", n+1),
			service:  "dele69a",
			zone:     zone,
			slots:    64,
			model:    modelName,
			software: "v1",
			run:      runReply,
		}); err != nil {
			return found, err
		}
	}
	if err = r.configureModels(false, 2); err != nil {
		return found, err
	}
	if err = r.start(ctx); err != nil {
		return found, err
	}
	pause(ctx, 3*time.Second)
	stopped := r.fronts[0]
	stopAt := time.Now().Add(connectedBefore)
	results := make([]late, callers)
	var clients sync.WaitGroup
	for n := range results {
		after := firstSent + time.Duration(n)*(lastSent-firstSent)/(callers-1)
		clients.Go(func() { results[n] = r.sendLate(ctx, stopped, n+1, stopAt.Add(after)) })
	}
	pause(ctx, time.Until(stopAt))
	if trouble {
		r.record.add("SIGTERM to %s", stopped.name)
		stopped.isStopped = true
		if err = stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
			return found, err
		}
	}
	clients.Wait()
	return judgeStop(results, stopAt), nil
}

// runReply writes a short reply.
func runReply(ctx context.Context, w *worker, _ string, out http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Pomelospring-Request-Id")
	w.rig.record.add("worker %s begins to run %s", w.id, id)
	out.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= replyEvents; number++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", number, id); err != nil {
			return
		}
		if err := http.NewResponseController(out).Flush(); err != nil {
			return
		}
		if pause(ctx, replyInterval); ctx.Err() != nil {
			w.rig.record.add("worker %s: the connection of %s ended after event %d of %d", w.id, id, number, replyEvents)
			return
		}
	}
	w.rig.record.add("worker %s has sent all of %s", w.id, id)
}

// sendLate connects at once, sends one request at a time and reads its answer.
func (r *rig) sendLate(ctx context.Context, f *front, number int, at time.Time) (l late) {
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", f.callers)
	if err != nil {
		return late{err: err}
	}
	defer func() { _ = conn.Close() }()
	pause(ctx, time.Until(at))
	id := fmt.Sprintf("late-%d", number)
	lines := []string{
		"POST /lohu930/2f HTTP/1.1",
		"Host: " + host,
		"Authorization: Bearer " + key,
		"X-Pomelospring-Request-Id: " + id,
		"X-Pomelospring-Model-Id: " + modelName,
		"X-Pomelospring-Token-Count: 826,292",
		fmt.Sprintf("X-Pomelospring-Prompt-Prefix: 5c1e07a2:198,%08x:628", number),
		fmt.Sprintf("X-Pomelospring-Deadline-Ms: %d", streamDeadline.Milliseconds()),
		"Content-Length: 6",
		"",
		"prompt",
	}
	_ = conn.SetDeadline(time.Now().Add(streamDeadline))
	l.sent = time.Now()
	defer func() {
		l.ended = time.Now()
		r.record.add("%s, sent to %s: status %d, %d of %d events, %v", id, f.name, l.status, l.events, replyEvents, l.err)
	}()
	r.record.add("%s is sent", id)
	if _, l.err = io.WriteString(conn, strings.Join(lines, "\r\n")); l.err != nil {
		return l
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		l.err = err
		return l
	}
	defer response.Body.Close()
	l.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	l.events, l.err = strings.Count(string(body), "\n\n"), err
	return l
}

// judgeStop counts the requests that were read and passed on, and whose connection ended
// without a complete answer. None had reached its deadline, and no worker broke off.
func judgeStop(results []late, stopAt time.Time) verdict {
	cut, whole, refused := 0, 0, 0
	for _, l := range results {
		switch {
		case l.status == http.StatusOK && l.err == nil && l.events == replyEvents:
			whole++
		case l.status == http.StatusServiceUnavailable && l.err == nil:
			refused++
		case l.events > 0 && l.sent.Sub(stopAt) > excusedUntil && l.ended.Sub(stopAt) < grace+time.Second:
			cut++
		}
	}
	return verdict{
		broken: cut > 0,
		reason: fmt.Sprintf("of %d requests sent later than %s after SIGTERM %d were cut in their answer, %d were answered whole and %d refused", len(results), excusedUntil, cut, whole, refused),
	}
}
