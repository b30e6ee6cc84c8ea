package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/failuredomain"
	"github.com/pomelospring/pomelospring/lending"
	"github.com/pomelospring/pomelospring/ownership"
	"github.com/pomelospring/pomelospring/routing"
)

func newWorld(c Case, policy Policy, seed uint64) *world {
	w := &world{
		c:         c,
		policy:    policy,
		random:    rand.New(rand.NewPCG(seed, 2)),
		directory: routing.NewDirectory(),
		workers:   map[string]*worker{},
		lost:      -1,
		result: Result{
			FirstTokenTimes: map[int][]time.Duration{},
		},
	}
	w.router = policy.Router(w.directory)
	w.addOwners()
	w.addWorkers()
	return w
}

func (w *world) addOwners() {
	count := w.c.Deployment.Instances
	for i := range count {
		o := &owner{
			id:        fmt.Sprintf("instance%d", i),
			index:     i,
			domain:    fmt.Sprintf("domain%d", i%domains),
			scheduler: ownership.NewScheduler(w.policy.Queue(), w.policy.Placer),
			bank:      budget.NewBank(),
			waiting:   map[string]*running{},
		}
		o.scheduler.LoadWait = w.policy.LoadWait
		w.owners = append(w.owners, o)
		w.setTerms(o, lending.PoolLoads, w.c.Deployment.LoadRate, 8, lending.LoadCost)
		for team := range teamWeights {
			rate := w.teamRate(team)
			w.setTerms(o, lending.PoolOfTeam(teamOf(team)), rate, 4*rate, 0)
		}
	}
}

// teamRate is a team's rate in tokens a second: a quarter above what it sends
// when no team floods, at what is charged ahead.
func (w *world) teamRate(team int) float64 {
	const tokens = 40 + 80 + 10 + 50
	return 1.25 * w.c.Deployment.RequestRate * teamWeights[team] * tokens
}

func (w *world) setTerms(o *owner, pool string, rate, burst, unit float64) {
	w.setShare(o, pool, rate, burst, unit, budget.FullShare/int64(w.c.Deployment.Instances))
}

func (w *world) setShare(o *owner, pool string, rate, burst, unit float64, share int64) {
	o.bank.SetTerms(pool, budget.Terms{
		Rate:     rate,
		Burst:    burst,
		MinBurst: unit,
		Share: budget.Share{
			Leased: share,
		},
		LeasedDeadline: epoch.Add(1000 * time.Hour),
	}, w.clock())
}

// addWorkers gives each worker its owner by the rule of the daemon.
func (w *world) addWorkers() {
	for i := range w.c.Deployment.Workers {
		backend := pomelospring.BackendServer{
			Name:    fmt.Sprintf("model%d", i),
			Kind:    pomelospring.ModelWorker,
			Domain:  fmt.Sprintf("domain%d", i%domains),
			Base:    "base",
			Slots:   w.c.Deployment.Slots,
			Running: w.c.Deployment.Running,
		}
		state := failuredomain.NewState()
		for _, o := range w.owners {
			if o.domain == backend.Domain {
				state.Members[o.id] = failuredomain.Member{
					Instance: pomelospring.Instance{
						ID: o.id,
					},
				}
			}
		}
		held := &worker{
			backend: backend,
			running: map[string]*running{},
		}
		for _, o := range w.owners {
			if o.id == state.Owner(backend.Name) {
				held.owner = o
			}
		}
		held.owner.scheduler.AddServer(backend, 1, time.Time{})
		held.owner.scheduler.ApplyReport(backend.Name, pomelospring.LoadReport{}, w.clock().Add(time.Millisecond))
		w.workers[backend.Name] = held
		w.names = append(w.names, backend.Name)
	}
	for _, o := range w.owners {
		w.publish(o)
	}
}

// plan enters the faults of the case.
func (w *world) plan() {
	total := w.c.Length + w.c.Length/3
	if w.policy.Lends {
		for at := renewTime; at < total; at += renewTime {
			w.after(at, w.follow)
		}
	}
	if w.c.RestartInterval > 0 {
		for at := w.c.RestartInterval; at < total; at += w.c.RestartInterval {
			name := w.names[w.random.IntN(len(w.names))]
			w.after(at, func() { w.restart(name) })
		}
	}
	if w.c.LoseDomain {
		w.after(total/3, func() { w.lost = 0 })
		w.after(2*total/3, func() { w.lost = -1 })
	}
}
