package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// briefEvents is the number of events of a stream, one each briefInterval.
	briefEvents   = 40
	briefInterval = 100 * time.Millisecond
	// briefStreams is the number of streams that are under way when a worker crashes, and
	// newStreams that of those that begin while the others are taken up.
	briefStreams = 60
	newStreams   = 20
	// restartTime is how long the worker is away.
	restartTime = time.Second
	// reconnectTime is how long clients wait until they take a stream up, as is usual for
	// event streams.
	reconnectTime = 2 * time.Second
	takeUpTries   = 4
	// minTakenUp is the number of streams from which the rule counts, and minShare the
	// fraction of the share of new streams that must go on.
	minTakenUp = 12
	minShare   = 0.5
)

// playTakeUp crashes one of three model workers, which starts again under its id with the same
// software version, while young streams are read from it. Their clients take them up.
func playTakeUp(ctx context.Context, r *rig, trouble bool) (found verdict, err error) {
	for n, zone := range zones {
		if err = r.startWorker(&worker{
			id:       fmt.Sprintf("i-llm%d", n+1),
			service:  "dele69a",
			zone:     zone,
			slots:    64,
			model:    modelName,
			software: "v1",
			run:      runBrief,
		}); err != nil {
			return found, err
		}
	}
	if err = r.configureModels(true, 1); err != nil {
		return found, err
	}
	if err = r.start(ctx); err != nil {
		return found, err
	}
	pause(ctx, 3*time.Second)
	broken := make([]answer, briefStreams)
	wentOn := make([]bool, briefStreams)
	var clients sync.WaitGroup
	for n := range broken {
		clients.Go(func() { broken[n], wentOn[n] = r.readBrief(ctx, n+1) })
		pause(ctx, 8*time.Millisecond)
	}
	if trouble {
		pause(ctx, 300*time.Millisecond)
		w := r.workers[0]
		r.record.add("worker %s ends", w.id)
		w.crash()
		pause(ctx, restartTime)
		if err = w.restart("v1"); err != nil {
			return found, err
		}
	}
	pause(ctx, reconnectTime-restartTime)
	begun := make([]bool, newStreams)
	for n := range begun {
		clients.Go(func() {
			a := newClient(fmt.Sprintf("new%d", n+1), uint64(1000+n)).send(ctx, r, briefMessage(1000+n))
			begun[n] = a.status == http.StatusOK && len(a.events) > 0
			r.record.add("new stream %s at %s: status %d, %d events, %v", a.id, a.front, a.status, len(a.events), a.broken)
		})
		pause(ctx, 100*time.Millisecond)
	}
	clients.Wait()
	return judgeTakeUp(broken, wentOn, begun), nil
}

// runBrief writes a stream, from the event after Last-Event-Id on.
func runBrief(ctx context.Context, _ *worker, software string, out http.ResponseWriter, request *http.Request) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	out.Header().Set("Content-Type", "text/event-stream")
	for number := last + 1; number <= briefEvents; number++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", number, software); err != nil {
			return
		}
		if err := http.NewResponseController(out).Flush(); err != nil {
			return
		}
		if pause(ctx, briefInterval); ctx.Err() != nil {
			return
		}
	}
}

func briefMessage(number int) message {
	return message{
		path:     "/lohu930/2f",
		body:     "prompt",
		deadline: streamDeadline,
		header: map[string]string{
			"X-Pomelospring-Model-Id":      modelName,
			"X-Pomelospring-Token-Count":   "826,160",
			"X-Pomelospring-Prompt-Prefix": fmt.Sprintf("5c1e07a2:198,%08x:628", number),
		},
	}
}

// readBrief reads a stream. If it breaks off after an event, it takes it up after a while, and
// reports whether the stream went on.
func (r *rig) readBrief(ctx context.Context, number int) (first answer, wentOn bool) {
	c := newClient(fmt.Sprintf("brief%d", number), uint64(number))
	deadline := time.Now().Add(streamDeadline)
	first = c.send(ctx, r, briefMessage(number))
	if first.broken == nil || first.lastID == "" {
		return first, false
	}
	r.record.add("stream %s at %s broke off after event %s: %v", first.id, first.front, first.lastID, first.broken)
	pause(ctx, reconnectTime)
	for range takeUpTries {
		m := briefMessage(number)
		m.deadline = time.Until(deadline)
		m.header["Last-Event-Id"], m.header["Resumes"] = first.lastID, first.id
		a := c.send(ctx, r, m)
		r.record.add("stream %s is taken up as %s at %s: status %d, %d events, retry after %s, %v", first.id, a.id, a.front, a.status, len(a.events), a.retryAfter, a.broken)
		if a.status == http.StatusOK && len(a.events) > 0 {
			return first, true
		}
		pause(ctx, max(a.retryAfter, 100*time.Millisecond))
	}
	return first, false
}

// judgeTakeUp compares the share of the streams that were taken up and went on with that of
// the new streams that began. Two workers of the software version serve all the time.
func judgeTakeUp(first []answer, wentOn, begun []bool) verdict {
	takenUp, goOn, began := 0, 0, 0
	for n, a := range first {
		if a.broken != nil && a.lastID != "" {
			takenUp++
		}
		if wentOn[n] {
			goOn++
		}
	}
	for _, b := range begun {
		if b {
			began++
		}
	}
	share := float64(began) / float64(len(begun))
	return verdict{
		broken: takenUp >= minTakenUp && float64(goOn) < minShare*share*float64(takenUp),
		reason: fmt.Sprintf("%d streams were taken up, %d of them went on; %d of %d new streams began", takenUp, goOn, began, len(begun)),
	}
}
