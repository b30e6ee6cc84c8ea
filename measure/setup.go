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

// newSimulation sets up the instances and workers of a case.
func newSimulation(c Case, policy Policy, seed uint64) *simulation {
	s := &simulation{
		c:          c,
		policy:     policy,
		random:     rand.New(rand.NewPCG(seed, 2)),
		directory:  routing.NewDirectory(),
		workers:    map[string]*worker{},
		lostDomain: -1,
		result: Result{
			FirstTokenTimes: map[int][]time.Duration{},
		},
	}
	s.router = policy.Router(s.directory)
	s.addOwners()
	s.addWorkers()
	return s
}

// addOwners creates the instances, each with an even share of the load budget
// and of every team's budget.
func (s *simulation) addOwners() {
	count := s.c.Deployment.Instances
	for i := range count {
		o := &owner{
			id:        fmt.Sprintf("instance%d", i),
			index:     i,
			domain:    fmt.Sprintf("domain%d", i%domainCount),
			scheduler: ownership.NewScheduler(s.policy.Queue(), s.policy.Placer),
			bank:      budget.NewBank(),
			waiting:   map[string]*running{},
		}
		o.scheduler.LoadWait = s.policy.LoadWait
		s.owners = append(s.owners, o)
		s.setTerms(o, lending.PoolLoads, s.c.Deployment.LoadRate, 8, lending.LoadCost)
		for team := range teamWeights {
			rate := s.teamRate(team)
			s.setTerms(o, lending.PoolOfTeam(teamName(team)), rate, 4*rate, 0)
		}
	}
}

// teamRate returns a team's rate in tokens a second: a quarter above what its
// requests are charged in advance when no team floods.
func (s *simulation) teamRate(team int) float64 {
	// The mean numbers of prompt tokens and output tokens in workload.
	const meanCharge = 40 + 80 + 10 + 50
	return 1.25 * s.c.Deployment.RequestRate * teamWeights[team] * meanCharge
}

// setTerms gives an instance an even share of a pool.
func (s *simulation) setTerms(o *owner, pool string, rate, burst, minBurst float64) {
	s.setShare(o, pool, rate, burst, minBurst, budget.FullShare/int64(s.c.Deployment.Instances))
}

// setShare sets an instance's leased share of a pool. The lease outlasts every
// run.
func (s *simulation) setShare(o *owner, pool string, rate, burst, minBurst float64, share int64) {
	o.bank.SetTerms(pool, budget.Terms{
		Rate:     rate,
		Burst:    burst,
		MinBurst: minBurst,
		Share: budget.Share{
			Leased: share,
		},
		LeasedDeadline: virtualStart.Add(1000 * time.Hour),
	}, s.clock())
}

// addWorkers creates the workers and assigns each to an owner in its failure
// domain by the daemon's own rule.
func (s *simulation) addWorkers() {
	for i := range s.c.Deployment.Workers {
		backend := pomelospring.BackendServer{
			Name:    fmt.Sprintf("model%d", i),
			Kind:    pomelospring.ModelWorker,
			Domain:  fmt.Sprintf("domain%d", i%domainCount),
			Base:    "base",
			Slots:   s.c.Deployment.Slots,
			Running: s.c.Deployment.Running,
		}
		state := failuredomain.NewState()
		for _, o := range s.owners {
			if o.domain == backend.Domain {
				state.Members[o.id] = failuredomain.Member{
					Instance: pomelospring.Instance{
						ID: o.id,
					},
				}
			}
		}
		modelWorker := &worker{
			backend: backend,
			running: map[string]*running{},
		}
		for _, o := range s.owners {
			if o.id == state.Owner(backend.Name) {
				modelWorker.owner = o
			}
		}
		modelWorker.owner.scheduler.AddServer(backend, 1, time.Time{})
		modelWorker.owner.scheduler.ApplyReport(backend.Name, pomelospring.LoadReport{}, s.clock().Add(time.Millisecond))
		s.workers[backend.Name] = modelWorker
		s.workerNames = append(s.workerNames, backend.Name)
	}
	for _, o := range s.owners {
		s.publish(o)
	}
}

// scheduleFaults schedules the renewals of shares and the faults of the case.
func (s *simulation) scheduleFaults() {
	total := s.c.Length + s.c.Length/3
	if s.policy.Lends {
		for at := renewInterval; at < total; at += renewInterval {
			s.after(at, s.rebalanceLoadShares)
		}
	}
	if s.c.RestartInterval > 0 {
		for at := s.c.RestartInterval; at < total; at += s.c.RestartInterval {
			name := s.workerNames[s.random.IntN(len(s.workerNames))]
			s.after(at, func() { s.restart(name) })
		}
	}
	if s.c.LoseDomain {
		s.after(total/3, func() { s.lostDomain = 0 })
		s.after(2*total/3, func() { s.lostDomain = -1 })
	}
}
