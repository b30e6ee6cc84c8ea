package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

const (
	// deadlyBody is the body of the request that crashes each worker that begins to run it.
	deadlyBody = "order 7731"
	// deadlyInterval is the time between its repeats by its client.
	deadlyInterval = 2 * time.Second
	// downTime is how long a worker that crashed is away.
	downTime = 3 * time.Second
	// stableWindow is stable-window-ms of the small sites.
	stableWindow = 3 * time.Second
	// crashedWorkers is the number of workers from whose crash on the rule counts.
	crashedWorkers = 3
	// maxLateRetries is the number of retries that may reach workers from stableWindow after
	// the third crash on.
	maxLateRetries = 3
	// bystanderInterval is the time between sound orders, which take workTime.
	bystanderInterval = 50 * time.Millisecond
	workTime          = 60 * time.Millisecond
	deadlyTime        = 95 * time.Second
	quietTime         = 30 * time.Second
)

// deadlyCase counts the crashes under one request.
type deadlyCase struct {
	rig *rig

	mu      sync.Mutex
	crashes []crash
	// cut counts the sound orders that ended without an answer of their worker.
	cut int
}

// crash is the end of a worker under the deadly request.
type crash struct {
	worker string
	at     time.Time
}

// playDeadly sends one request that crashes the workers that run it again and again. The
// workers start again under the ids that they had.
func playDeadly(ctx context.Context, r *rig, trouble bool) (found verdict, err error) {
	c := &deadlyCase{
		rig: r,
	}
	for n, zone := range zones {
		if err = r.startWorker(&worker{
			id:       fmt.Sprintf("i-cis%d", n+1),
			service:  "xano55b",
			zone:     zone,
			slots:    6,
			software: "v1",
			run:      c.run,
		}); err != nil {
			return found, err
		}
	}
	if err = r.configure([]route{{
		name:     "service-order",
		prefix:   "/puxa403/",
		kind:     "non_idempotent",
		service:  "xano55b",
		timeout:  1500 * time.Millisecond,
		target:   300 * time.Millisecond,
		attempts: 2,
	}}, []any{map[string]any{"name": "xano55b"}}); err != nil {
		return found, err
	}
	if err = r.start(ctx); err != nil {
		return found, err
	}
	pause(ctx, 3*time.Second)
	length := quietTime
	if trouble {
		length = deadlyTime
	}
	playing, stop := context.WithTimeout(ctx, length)
	defer stop()
	var clients sync.WaitGroup
	clients.Go(func() { c.sendOrders(playing) })
	if trouble {
		clients.Go(func() { c.sendDeadly(playing, stop) })
	}
	clients.Wait()
	return c.judge(), nil
}

// run runs an order. The deadly one crashes the worker.
func (c *deadlyCase) run(ctx context.Context, w *worker, _ string, out http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if string(body) != deadlyBody {
		select {
		case <-ctx.Done():
		case <-time.After(workTime):
			_, _ = io.WriteString(out, "done")
		}
		return
	}
	c.mu.Lock()
	c.crashes = append(c.crashes, crash{
		worker: w.id,
		at:     time.Now(),
	})
	number := len(c.crashes)
	c.mu.Unlock()
	c.rig.record.add("worker %s begins to run the deadly request as %s and crashes: crash %d", w.id, request.Header.Get(standin.HeaderRequestID), number)
	w.crash()
	time.AfterFunc(downTime, func() {
		if err := w.restart("v1"); err != nil {
			c.rig.record.add("worker %s can't start: %v", w.id, err)
		}
	})
}

// sendDeadly repeats the deadly request until the rule is broken or the context ends.
func (c *deadlyCase) sendDeadly(ctx context.Context, stop func()) {
	caller := newClient("deadly", 7731)
	for ctx.Err() == nil {
		a := caller.send(ctx, c.rig, message{
			path:     "/puxa403/2f",
			body:     deadlyBody,
			deadline: 1500 * time.Millisecond,
		})
		c.rig.record.add("deadly request %s at %s: status %d %v", a.id, a.front, a.status, a.broken)
		if c.judge().broken {
			stop()
		}
		pause(ctx, deadlyInterval)
	}
}

// sendOrders sends sound orders.
func (c *deadlyCase) sendOrders(ctx context.Context) {
	caller := newClient("order", 1)
	var sent sync.WaitGroup
	defer sent.Wait()
	for number := 1; ctx.Err() == nil; number++ {
		one := newClient(fmt.Sprintf("order%d", number), caller.random.Uint64())
		sent.Go(func() {
			a := one.send(context.WithoutCancel(ctx), c.rig, message{
				path:     "/puxa403/2f",
				body:     "order " + strings.Repeat("x", 10) + one.name,
				deadline: 1500 * time.Millisecond,
			})
			if a.status == http.StatusOK {
				return
			}
			c.rig.record.add("sound order %s at %s: status %d %v", a.id, a.front, a.status, a.broken)
			if a.status == http.StatusBadGateway || a.broken != nil {
				c.mu.Lock()
				c.cut++
				c.mu.Unlock()
			}
		})
		pause(ctx, bystanderInterval)
	}
}

// judge counts the retries that reached workers later than stableWindow after the third
// worker crashed. All fronts are in touch all the time.
func (c *deadlyCase) judge() verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	ended := map[string]bool{}
	var thirdAt time.Time
	for _, crash := range c.crashes {
		if len(ended) == crashedWorkers && crash.at.Sub(thirdAt) > stableWindow {
			late++
		}
		if !ended[crash.worker] {
			ended[crash.worker] = true
			thirdAt = crash.at
		}
	}
	return verdict{
		broken: late > maxLateRetries,
		reason: fmt.Sprintf("%d crashes, %d retries reached workers later than %s after the third (allowed %d); %d sound orders ended with an unknown outcome", len(c.crashes), late, stableWindow, maxLateRetries, c.cut),
	}
}
