package origin

import (
	"sync"
	"time"
)

const (
	// maxListAge is how old the list of servers may be while it tells that a service has
	// one software version only, and listAgePerInstance what each instance adds to it. A
	// list that a leader relays is younger in a fleet in which all is well.
	maxListAge         = time.Second
	listAgePerInstance = 2 * time.Millisecond
)

// continuity tells whether an instance knows the list of servers without a gap, in which
// servers of another software version may have joined, or have come and gone.
type continuity struct {
	mu sync.Mutex
	// lookedAt is the uptime of the last look, and resumedAt when a look was found to
	// be late because the process stood still.
	lookedAt  time.Duration
	resumedAt time.Time
	current   bool
}

// look records the age of the list, and the uptime unless it is zero. It reports whether
// the list is current, and whether it has ceased to be so since the last look. Looks are
// due at an interval, with a list of at most an age.
func (c *continuity) look(age, maxAge time.Duration, now time.Time, uptime, interval time.Duration) (current, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stoodStill := c.lookedAt > 0 && uptime-c.lookedAt > interval+maxAge
	if stoodStill {
		c.resumedAt = now
	}
	c.lookedAt = uptime
	current = age <= maxAge && !now.Add(-age).Before(c.resumedAt)
	lost = c.current && !current || stoodStill
	c.current = current
	return current, lost
}
