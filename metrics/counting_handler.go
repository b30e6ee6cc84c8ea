package metrics

import (
	"sync"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// countingHandler counts log lines by event name, and passes them on to the next
// handler.
type countingHandler struct {
	next     log.Handler
	scope    tally.Scope
	mu       sync.Mutex
	counters map[string]tally.Counter
}

// CountEvents wraps a log handler so that each log line also increments the events
// counter for its event. Every logged decision thus appears in the metrics.
func (m *Metrics) CountEvents(next log.Handler) log.Handler {
	return &countingHandler{
		next:     next,
		scope:    m.scope,
		counters: map[string]tally.Counter{},
	}
}

// HandleLog implements log.Handler.
func (c *countingHandler) HandleLog(entry *log.Entry) error {
	c.counter(entry.Message).Inc(1)
	return c.next.HandleLog(entry)
}

// counter returns the counter of an event, and creates it on first use.
func (c *countingHandler) counter(event string) tally.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.counters[event]
	if counter == nil {
		counter = c.scope.Tagged(map[string]string{
			"event": event,
		}).Counter("events")
		c.counters[event] = counter
	}
	return counter
}
