// Package arena plays the faults of a plan on processes of the real program, between
// stand-ins of callers, backend servers and the store, and records what is seen.
package arena

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"github.com/pomelospring/pomelospring/cmd/soak/plan"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// warmUpTime is the time with load from the first answers to the first fault.
	warmUpTime = 2 * time.Second
	// settleTime is the time with load after the last recovery.
	settleTime = 6 * time.Second
	// recoveryPatience is how long an instance is asked to serve a new adapter.
	recoveryPatience = 40 * time.Second
	probeInterval    = 200 * time.Millisecond
	// One server in closingShare ends its answers with their connection.
	closingShare = 3
)

// arena is a fleet under test with its surroundings.
type arena struct {
	recorder  history.Recorder
	store     *standin.Store
	published *publications
	operator  *operator
	instances []*instance
	// group has the background work of faults.
	group sync.WaitGroup
	// storeFaults and parts are held while a fault of their kind lasts.
	storeFaults sync.Mutex
	parts       sync.Mutex

	mu      sync.Mutex
	started int
	servers []*server
	taken   map[*server]bool
}

// Programs are the builds of the program that a fleet runs.
type Programs struct {
	Current string
	// Previous is the build that a release replaces; empty without one.
	Previous string
}

// Run plays a plan with programs and returns what was seen. Settings and logs of
// the processes go into a directory. No process outlives it, also when the context
// ends first.
func Run(ctx context.Context, programs Programs, directory string, p plan.Plan) (h *history.History, err error) {
	store := standin.NewStore()
	a := &arena{
		store:     store,
		published: newPublications(store),
		taken:     map[*server]bool{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	storeServer := &http.Server{
		Handler:           a.store,
		ReadHeaderTimeout: requestTimeout,
	}
	go func() { _ = storeServer.Serve(listener) }()
	defer storeServer.Close()
	a.operator = newOperator(a.published, &a.recorder)
	a.operator.change()
	defer a.endServers()
	if err = a.startServers(p); err != nil {
		return nil, err
	}
	defer a.killInstances()
	if err = a.startInstances(programs, directory, listener.Addr().String(), p); err != nil {
		return nil, err
	}
	played := make(chan error, 1)
	go func() { played <- a.play(p) }()
	select {
	case err = <-played:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return a.recorder.History(), nil
}

func domainName(number int) string { return fmt.Sprint("domain-", number) }

func (a *arena) startServers(p plan.Plan) (err error) {
	for n := range p.ModelWorkers + p.OrderServers {
		service := modelService
		if n >= p.ModelWorkers {
			service = orderService
		}
		if err = a.startServer(service, domainName(n%p.Domains)); err != nil {
			return err
		}
	}
	return nil
}

func (a *arena) startServer(service, domain string) (err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started++
	s, err := startServer(&a.recorder, service, domain, fmt.Sprint("i-", a.started))
	if err != nil {
		return err
	}
	s.newestVersion = a.operator.newestVersion
	s.onCrash = func(s *server) { go a.crash(s)() }
	s.framesByClosing = a.started%closingShare == 0
	a.servers = append(a.servers, s)
	s.list(a.published, "ready")
	return nil
}

// replace starts the successor of a server, which gets no more faults.
func (a *arena) replace(s *server) {
	a.mu.Lock()
	for n, other := range a.servers {
		if other == s {
			a.servers = append(a.servers[:n:n], a.servers[n+1:]...)
			break
		}
	}
	a.mu.Unlock()
	if err := a.startServer(s.service, s.domain); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

func (a *arena) unlist(s *server) { a.published.put(platform.ServerTopic, s.id, nil) }

// takeServer returns a server that has no fault, or nil.
func (a *arena) takeServer(target int) *server {
	a.mu.Lock()
	defer a.mu.Unlock()
	for n := range a.servers {
		s := a.servers[(target+n)%len(a.servers)]
		if !a.taken[s] && !s.isGone() {
			a.taken[s] = true
			return s
		}
	}
	return nil
}

func (a *arena) releaseServer(s *server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.taken, s)
}

func (a *arena) endServers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.servers {
		s.end()
	}
}

func (a *arena) startInstances(programs Programs, directory, store string, p plan.Plan) (err error) {
	domains := make([]string, 0, p.Domains)
	for n := range p.Domains {
		domains = append(domains, domainName(n))
	}
	for n := range p.Instances {
		i, err := newInstance(fmt.Sprint("front-", n), domains[n%p.Domains], domains, store, directory, programs, &a.recorder)
		if err != nil {
			return err
		}
		a.instances = append(a.instances, i)
		a.recorder.Record(func(h *history.History) {
			if h.Holders == nil {
				h.Holders = map[string]string{}
			}
			h.Holders[i.peers] = i.name
		})
	}
	failures := make([]error, len(a.instances))
	var group sync.WaitGroup
	for n, i := range a.instances {
		group.Go(func() { failures[n] = i.start() })
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// killInstances ends processes that are left over after a failure.
func (a *arena) killInstances() {
	for _, i := range a.instances {
		i.close()
	}
}

// play sends load, plays the faults, waits for the recovery and stops the fleet.
func (a *arena) play(p plan.Plan) (err error) {
	balancing, stopBalancing := context.WithCancel(context.Background())
	calling, stopCalling := context.WithCancel(context.Background())
	defer stopBalancing()
	defer stopCalling()
	var callers sync.WaitGroup
	share := time.Duration(max(1, len(a.instances)/usualInstances))
	for n, i := range a.instances {
		go i.balance(balancing)
		for c := range callersPerInstance + 1 {
			random := rand.New(rand.NewPCG(p.Seed, uint64(n*(callersPerInstance+1)+c+1)))
			draw := func() target { return drawTarget(random, a.operator.keys) }
			name := fmt.Sprintf("c%d-%d", n, c)
			if c == callersPerInstance {
				draw = func() target { return orderTarget(floodKey) }
				name = fmt.Sprint("flood-", n)
			}
			caller := newCaller(name, i, &a.recorder)
			callers.Go(func() { caller.run(calling, share*meanCallInterval, random, draw) })
		}
	}
	a.recorder.Record(func(h *history.History) {
		h.Quotas = []history.Quota{{
			Team:            teamOf(floodKey),
			TokensPerSecond: floodRate,
			Burst:           floodRate,
			RequestTokens:   floodRequestTokens,
		}}
	})
	a.awaitServing("first")
	time.Sleep(warmUpTime)
	before, err := a.levels()
	if err != nil {
		return err
	}
	a.injectAll(p.Steps)
	a.awaitServing("new")
	time.Sleep(settleTime)
	after, err := a.levels()
	if err != nil {
		return err
	}
	stopCalling()
	callers.Wait()
	for n, i := range a.instances {
		a.recorder.Record(func(h *history.History) {
			h.Levels = append(h.Levels, history.Level{
				Instance: i.name,
				Before:   before[n],
				After:    after[n],
			})
		})
		i.signal(syscall.SIGTERM)
	}
	for _, i := range a.instances {
		i.waitEnd(history.StopBound + killMargin)
	}
	return nil
}

func (a *arena) levels() (levels []history.Resources, err error) {
	for _, i := range a.instances {
		level, err := i.resources()
		if err != nil {
			return nil, err
		}
		levels = append(levels, level)
	}
	return levels, nil
}

// injectAll plays the faults at their times and returns when all are over.
func (a *arena) injectAll(steps []plan.Step) {
	begin := time.Now()
	for _, step := range steps {
		time.Sleep(time.Until(begin.Add(step.Begin)))
		a.group.Go(func() { a.inject(step) })
	}
	a.group.Wait()
}

// awaitServing waits until each instance serves an adapter of its own, which no worker
// has.
func (a *arena) awaitServing(adapter string) {
	begin := time.Now()
	var group sync.WaitGroup
	for n, i := range a.instances {
		group.Go(func() {
			recovery := history.Recovery{
				Subject: i.name + " serves adapter " + adapter,
				Begin:   begin,
			}
			prober := newCaller(adapter+"-"+i.name, i, &a.recorder)
			defer prober.client.CloseIdleConnections()
			for time.Since(begin) < recoveryPatience && recovery.End.IsZero() {
				answer := prober.send(streamTarget(soundKeys[0], fmt.Sprint(adapter, n)))
				if answer.Status == http.StatusOK && len(answer.Events) == streamEvents {
					recovery.End = answer.Ended
				}
				time.Sleep(probeInterval)
			}
			a.recorder.Record(func(h *history.History) { h.Recoveries = append(h.Recoveries, recovery) })
		})
	}
	group.Wait()
}
