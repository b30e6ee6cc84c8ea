package coordination

import (
	"sync"
)

// RelayChoice picks one leader of another domain that relays what it read from the store
// while neither the home domain's leader nor the store keeps this instance up to date.
// Asking all of them would multiply what is sent by their number, when it is least borne.
type RelayChoice struct {
	// Domains are the failure domains other than the home domain, in the order in which
	// their leaders are asked.
	Domains []string
	// Stale reports whether this instance's copy of the store's topics is outdated, and
	// HomeFresh whether the home leader's relay or the store keeps it up to date.
	Stale     func() bool
	HomeFresh func() bool

	mu sync.Mutex
	// active is set while a substitute is asked, the leader of the domain at index.
	active bool
	index  int
}

// Asks reports whether the leader of a domain is asked for its relay.
func (c *RelayChoice) Asks(domain string) bool {
	stale, homeFresh := c.Stale(), c.HomeFresh()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = len(c.Domains) > 0 && (stale || c.active && !homeFresh)
	return c.active && c.Domains[c.index] == domain
}

// Failed has another domain's leader asked if that of a domain is the substitute and does
// not relay anything recent.
func (c *RelayChoice) Failed(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active && c.Domains[c.index] == domain {
		c.index = (c.index + 1) % len(c.Domains)
	}
}
