package metrics

import (
	"sync"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
)

// countingHandler counts log lines by the name of their event.
type countingHandler struct {
	next     log.Handler
	scope    tally.Scope
	mu       sync.Mutex
	counters map[string]tally.Counter
}

// CountEvents puts a count of events in front of a handler of log lines, so that
// each decision that is logged can be counted on the metrics' page too.
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
