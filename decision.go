package pomelospring

import "time"

// Work is an admitted request that waits for a model worker.
type Work struct {
	// ID is unique to one attempt of a request.
	ID   string
	Team string
	// Weight is the team's share in fair queuing: its rate in tokens a second.
	Weight  float64
	Adapter AdapterVersion
	// Base is the adapter's base model.
	Base string
	// Priority orders the requests of one team; the highest goes first.
	Priority int
	// Cost is the charge for the request, in tokens.
	Cost    float64
	Arrived time.Time
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
	// Prefix is a hash of the start of the prompt; 0 without a prompt.
	Prefix uint64
	// Avoid lists backend servers on which the request has already failed.
	Avoid []string
}

// Avoids reports whether the work must not go to a backend server.
func (w *Work) Avoids(server string) bool {
	for _, name := range w.Avoid {
		if name == server {
			return true
		}
	}
	return false
}

// Queue orders the work that waits for the model workers of one owner. It is
// not safe for concurrent use.
type Queue interface {
	// Push adds work.
	Push(work *Work)
	// Pop removes and returns the next work that may go to the server and whose
	// adapter is in ready; nil if there is none.
	Pop(server string, ready []AdapterVersion) *Work
	// Remove deletes work by its ID and reports whether it was queued.
	Remove(id string) bool
	// Settle credits a team with the tokens that were charged in excess.
	Settle(team string, weight, surplus float64)
	// Waiting summarizes the waiting work of each adapter.
	Waiting() map[AdapterVersion]Waiting
	// Expired removes and returns the work whose deadline has passed.
	Expired(now time.Time) []*Work
	// Len returns the number of requests in the queue.
	Len() int
}

// Waiting summarizes the work that waits for one adapter.
type Waiting struct {
	Count int
	// Base is the adapter's base model.
	Base string
	// Team is the least-served team that waits.
	Team string
	// Oldest is the earliest arrival time.
	Oldest time.Time
	// MinVirtualTime is the virtual time (tokens served by weight) of Team.
	// Loading the adapters with the smallest first is fair to the teams.
	MinVirtualTime float64
}

// ServerView describes one model worker to a placer.
type ServerView struct {
	Name    string
	Base    string
	Slots   int
	Running int
	Limit   int
	// MayEvict is false until the requests that the former owner sent are known.
	MayEvict bool
	Resident []ResidentView
}

// ResidentView describes one adapter on a model worker to a placer.
type ResidentView struct {
	Adapter AdapterVersion
	// Busy counts the requests that run on it; above 0 it can't be evicted.
	Busy    int
	Loading bool
	// Rate is the decayed rate of its requests, per second.
	Rate     float64
	LastUsed time.Time
	// Waiting counts the requests that wait for it.
	Waiting int
}

// DemandView describes to a placer one adapter that has work waiting.
type DemandView struct {
	Adapter AdapterVersion
	Base    string
	Waiting Waiting
	Rate    float64
	// Replicas counts the model workers that hold or are loading it.
	Replicas int
	// Avoid lists model workers that recently failed to load it.
	Avoid []string
}

// PlacementView is the whole input of a placer.
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
	// Reason explains the choice in the log.
	Reason string
}

// Placer decides which adapter to load next, and where.
type Placer interface {
	// Place returns the most valuable load at present; found is false if no load
	// is useful.
	Place(view PlacementView) (placement Placement, found bool)
}

// Target is the backend server chosen for a request, and its owner.
type Target struct {
	Server  string
	Owner   string
	Address string
	Domain  string
	// Reason explains the choice in the log.
	Reason string
	// RunnerUp is the second-best server, for the log.
	RunnerUp string
}

// RouteQuery is a router's input for one request.
type RouteQuery struct {
	Adapter AdapterVersion
	// Base is the base model that the server must run.
	Base   string
	Domain string
	Prefix uint64
	// Avoid lists backend servers on which the request has already failed.
	Avoid []string
	// Reachable reports whether an owner can be reached.
	Reachable func(owner string) bool
}

// Router picks the owner that a request goes to.
type Router interface {
	Route(query RouteQuery) (target Target, found bool)
}
