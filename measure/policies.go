package measure

import (
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/placement"
	"github.com/pomelospring/pomelospring/queue"
	"github.com/pomelospring/pomelospring/routing"
)

// loadWait is the daemon's default for callers.loadWait.
const loadWait = 5 * time.Second

// Current returns the policy that the daemon runs.
func Current() Policy {
	return Policy{
		Name:   "current",
		Router: newAffinity,
		Placer: placement.StallSaving{},
		Queue:  func() pomelospring.Queue { return queue.NewFair() },
		Lends:  true,

		LoadWait: loadWait,
	}
}

// Baselines returns the simple policies that Current is compared with.
func Baselines() []Policy {
	return []Policy{
		{
			Name:   "least loaded, LRU, first come",
			Router: newLeastLoaded,
			Placer: placement.LeastLoaded{},
			Queue:  func() pomelospring.Queue { return queue.NewFIFO() },
		},
		{
			Name:   "rendezvous, LRU, first come",
			Router: newRendezvous,
			Placer: placement.LeastLoaded{},
			Queue:  func() pomelospring.Queue { return queue.NewFIFO() },
		},
	}
}

func newAffinity(d *routing.Directory) pomelospring.Router {
	return routing.Affinity{
		Directory: d,
	}
}

func newLeastLoaded(d *routing.Directory) pomelospring.Router {
	return routing.LeastLoaded{
		Directory: d,
	}
}

func newRendezvous(d *routing.Directory) pomelospring.Router {
	return routing.Rendezvous{
		Directory: d,
	}
}
