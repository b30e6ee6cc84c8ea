package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName = "daka510000"
	// streamEvents is the number of events of a whole stream, one each eventInterval.
	streamEvents  = 60
	eventInterval = 50 * time.Millisecond
	streamCount   = 24
	// streamDeadline is that of the small sites' short replies.
	streamDeadline = 15 * time.Second
	// maxTries bounds the client attempts of one stream.
	maxTries = 6
	// upgradeTime is how long the workers are away for the new software version.
	upgradeTime = time.Second
	// maxMixedStreams is the number of streams that may hold events of two versions.
	maxMixedStreams = 2
)

// playUpgrade restarts all model workers at once with another software version under the ids
// that they had, while clients read streams, which they take up again.
func playUpgrade(ctx context.Context, r *rig, trouble bool) (found verdict, err error) {
	for n, zone := range zones {
		if err = r.startWorker(&worker{
			id:       fmt.Sprintf("i-llm%d", n+1),
			service:  "dele69a",
			zone:     zone,
			slots:    64,
			model:    modelName,
			software: "v1",
			run:      runStream,
		}); err != nil {
			return found, err
		}
	}
	if err = r.configureModels(true, 2); err != nil {
		return found, err
	}
	if err = r.start(ctx); err != nil {
		return found, err
	}
	pause(ctx, 3*time.Second)
	results := make([][]string, streamCount)
	var clients sync.WaitGroup
	for n := range results {
		clients.Go(func() { results[n] = readStream(ctx, r, n+1) })
		pause(ctx, 40*time.Millisecond)
	}
	if trouble {
		pause(ctx, 600*time.Millisecond)
		r.upgrade(ctx)
	}
	clients.Wait()
	return judgeStreams(results), nil
}

// configureModels writes a configuration with a model service, whose streams may be resumed or
// not, and that are sent to a number of workers at most.
func (r *rig) configureModels(resumable bool, attempts int) error {
	return r.configure([]route{{
		name:      "agent-reply",
		prefix:    "/lohu930/",
		kind:      "streaming",
		service:   "dele69a",
		timeout:   streamDeadline,
		target:    time.Second,
		resumable: resumable,
		attempts:  attempts,
	}}, []any{map[string]any{
		"name": "dele69a",
		"engine": map[string]any{
			"adapter-slots": 8,
			"loads-per-s":   2.8,
			"weight-size":   35000,
			"models": []any{map[string]any{
				"name":        modelName,
				"weight-size": 34300,
				"load-s":      1,
				"adapters":    3000,
				"adapter-mb":  40,
			}},
		},
	}})
}

// upgrade ends all workers at once and starts them again with another software version.
func (r *rig) upgrade(ctx context.Context) {
	r.record.add("all workers end")
	for _, w := range r.workers {
		w.crash()
	}
	pause(ctx, upgradeTime)
	for _, w := range r.workers {
		if err := w.restart("v2"); err != nil {
			r.record.add("worker %s can't start: %v", w.id, err)
		}
	}
}

// runStream writes a stream, from the event after Last-Event-Id on.
func runStream(ctx context.Context, w *worker, software string, out http.ResponseWriter, request *http.Request) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if last > 0 {
		w.rig.record.add("worker %s (%s) goes on with a stream for %s after event %d", w.id, software, request.Header.Get("X-Pomelospring-Request-Id"), last)
	}
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Pomelospring-Weight-Versions", "1")
	for number := last + 1; number <= streamEvents; number++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", number, software); err != nil {
			return
		}
		if err := http.NewResponseController(out).Flush(); err != nil {
			return
		}
		pause(ctx, eventInterval)
		if ctx.Err() != nil {
			return
		}
	}
}

// readStream reads a stream to its end, as a client does, which takes it up again where it
// broke off. It returns the software version of each event.
func readStream(ctx context.Context, r *rig, number int) (events []string) {
	c := newClient(fmt.Sprintf("stream%d", number), uint64(number))
	deadline := time.Now().Add(streamDeadline)
	began, lastID := "", ""
	for range maxTries {
		m := message{
			path:     "/lohu930/2f",
			body:     "prompt",
			deadline: time.Until(deadline),
			header: map[string]string{
				"X-Pomelospring-Model-Id":      modelName,
				"X-Pomelospring-Token-Count":   "826,240",
				"X-Pomelospring-Prompt-Prefix": fmt.Sprintf("5c1e07a2:198,%08x:628", number),
			},
		}
		if lastID != "" {
			m.header["Last-Event-Id"], m.header["Resumes"] = lastID, began
		}
		a := c.send(ctx, r, m)
		r.record.add("stream %d, try %s at %s after event %q: status %d, %d events, last %q, %s; %v", number, a.id, a.front, lastID, a.status, len(a.events), a.lastID, strings.Join(versionsOf(a.events), "+"), a.broken)
		events = append(events, a.events...)
		if a.lastID != "" {
			lastID = a.lastID
			if began == "" {
				began = a.id
			}
		}
		isOver := a.status == http.StatusOK && a.broken == nil || time.Now().After(deadline) || ctx.Err() != nil
		if isOver {
			return events
		}
		// Clients honour Retry-After.
		pause(ctx, max(a.retryAfter, 100*time.Millisecond))
	}
	return events
}

// versionsOf lists the software versions of events, each change once.
func versionsOf(events []string) (versions []string) {
	for _, software := range events {
		if len(versions) == 0 || versions[len(versions)-1] != software {
			versions = append(versions, software)
		}
	}
	return versions
}

// judgeStreams counts the streams that hold events of two software versions.
func judgeStreams(results [][]string) verdict {
	mixed, whole := 0, 0
	for _, events := range results {
		if len(versionsOf(events)) > 1 {
			mixed++
		}
		if len(events) == streamEvents {
			whole++
		}
	}
	return verdict{
		broken: mixed > maxMixedStreams,
		reason: fmt.Sprintf("%d of %d streams hold events of two software versions (allowed %d); %d have all their events", mixed, len(results), maxMixedStreams, whole),
	}
}
