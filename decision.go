package pomelospring

import "time"

// Work is one admitted request that waits for a model worker.
type Work struct {
	// ID is unique to the request and the attempt.
	ID   string
	Team string
	// Weight is the team's rate, in tokens a second.
	Weight  float64
	Adapter AdapterVersion
	// Base is the base model that the adapter belongs to.
	Base string
	// Priority orders requests of one team; higher goes first.
	Priority int
	// Cost is what was charged, in tokens.
	Cost    float64
	Arrived time.Time
	// Deadline is when the request must have been started.
	Deadline time.Time
	// Prefix is a hash of the prompt's beginning; 0 without one.
	Prefix uint64
	// Avoid names backend servers that failed the request already.
	Avoid []string
}

// Avoids says whether the work shall not go to a backend server.
func (w *Work) Avoids(server string) bool {
	for _, name := range w.Avoid {
		if name == server {
			return true
		}
	}
	return false
}

// Queue orders the work that waits at one owner of model workers. It is not
// safe for concurrent use.
type Queue interface {
	// Push adds work.
	Push(work *Work)
	// Pop takes the next work whose adapter is among those that are ready and
	// which may go to the server; nil without any.
	Pop(server string, ready []AdapterVersion) *Work
	// Remove takes work out by its ID and reports whether it was there.
	Remove(id string) bool
	// Settle corrects a team's account by tokens charged too much.
	Settle(team string, weight, surplus float64)
	// Waiting gives what waits by adapter.
	Waiting() map[AdapterVersion]Waiting
	// Expired takes out the work whose deadline has passed.
	Expired(now time.Time) []*Work
	// Len counts the work in the queue.
	Len() int
}

// Waiting sums up the work that waits for one adapter.
type Waiting struct {
	Count int
	// Base is the base model that the adapter belongs to.
	Base string
	// Team is the one that waits with the lead.
	Team string
	// Oldest is the earliest arrival.
	Oldest time.Time
	// MinVirtualTime is the virtual time of the least-served team that waits, which
	// orders loads fairly; smaller is served less.
	MinVirtualTime float64
}

// ServerView is what a placer sees of one model worker.
type ServerView struct {
	Name    string
	Base    string
	Slots   int
	Running int
	Limit   int
	// MayEvict is false until the former owner's work is known.
	MayEvict bool
	Resident []ResidentView
}

// ResidentView is what a placer sees of one adapter on a model worker.
type ResidentView struct {
	Adapter AdapterVersion
	// Busy counts requests running on it; above 0 it must stay.
	Busy    int
	Loading bool
	// Rate is the decayed rate of its requests, a second.
	Rate     float64
	LastUsed time.Time
	// Waiting counts requests that wait for it.
	Waiting int
}

// DemandView is what a placer sees of one adapter that has work waiting.
type DemandView struct {
	Adapter AdapterVersion
	Base    string
	Waiting Waiting
	Rate    float64
	// Replicas counts the model workers that have it or are loading it.
	Replicas int
	// Avoid names model workers whose load of it failed lately.
	Avoid []string
}

// PlacementView is all that a placer decides from.
type PlacementView struct {
	Now     time.Time
	Demands []DemandView
	Servers []ServerView
}

// Placement is an order to load an adapter.
type Placement struct {
	Server  string
	Adapter AdapterVersion
	// Evict is the adapter to unload first; the zero value for none.
	Evict AdapterVersion
	// Reason is for the log.
	Reason string
}

// Placer decides which adapter to load next, and where.
type Placer interface {
	// Place returns the load worth most now, or false for none.
	Place(view PlacementView) (placement Placement, found bool)
}

// Target is a backend server's owner that a request may go to.
type Target struct {
	Server  string
	Owner   string
	Address string
	Domain  string
	// Reason is for the log.
	Reason string
	// RunnerUp is the server that came second, for the log.
	RunnerUp string
}

// RouteQuery is what a router decides from, besides what it knows.
type RouteQuery struct {
	Adapter AdapterVersion
	// Base is the base model that the server must run.
	Base   string
	Domain string
	Prefix uint64
	// Avoid names backend servers that failed the request already.
	Avoid []string
	// Reachable reports whether an owner can be reached.
	Reachable func(owner string) bool
}

// Router picks the owner that a request goes to.
type Router interface {
	Route(query RouteQuery) (target Target, found bool)
}
