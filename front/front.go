// Package front wires the parts of an instance behind the users' balancer, on
// their platform. It is the only place that does.
package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/oklog/run"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/entry"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/metrics"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/quota"
	"github.com/pomelospring/pomelospring/settings"
)

const (
	// operatorWait is how long one read of operators' records waits at the
	// store: what the leader passes on must be under a second old, and a
	// silent connection shows only after it.
	operatorWait = 600 * time.Millisecond
	// serverEvery is the time between reads of the server list. With the way
	// through the leader it stays within the two seconds in which a server
	// that leaves must get no more requests.
	serverEvery = 500 * time.Millisecond
	// headerTimeout bounds the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout closes callers' idle connections; the platform's limit is
	// lower in the configurations seen, and callers stay under that.
	idleTimeout = 65 * time.Second
	// headerLimit bounds the head of a request, in bytes.
	headerLimit = 64 << 10
	// leaveTime is how long new connections may still come after the balancer
	// was told that the instance stops: it asks once a second and believes
	// the second answer.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is kept of the time to stop for the last writes.
	stopMargin = 600 * time.Millisecond
	// groupPrefix begins the names of the platform's groups whose holders give
	// orders, one for each failure domain.
	groupPrefix = "pomelospring-orders-"
	// collectAt is the garbage collector's target, in percent of the live heap.
	collectAt = 200
)

// Front is one instance.
type Front struct {
	settings *settings.Front
	// path is that of the settings file.
	path   string
	logger *log.Logger
	clock  pomelospring.Clock
	lines  *events.BoundedWriter

	board    *fleet.Board
	ledger   *quota.Ledger
	store    *platform.Store
	backends *platform.BackendClient
	engines  *platform.EngineClient
	peers    *peer.Client
	// leaders, members and elections have one entry for each failure domain.
	leaders   []*coordination.Leader
	members   []*coordination.Member
	elections []*coordination.Election
	roster    *coordination.PlacementCoordinator
	// home is the member of this instance's domain.
	home     *coordination.Member
	instance string
	ingress  *platform.Ingress
	metrics  *metrics.Metrics
	service  *entry.Service
	server   *coordination.Server

	operators *fleet.OperatorRecords
	servers   *fleet.ServerList
	stopping  context.Context
	stop      context.CancelFunc
	// retrySlack is the fleet's; the settings file may change it.
	retrySlack atomic.Pointer[float64]
}

// New wires an instance with the settings of a file; lines carries its log lines.
func New(config *settings.Front, path string, logger *log.Logger, lines *events.BoundedWriter) *Front {
	clock := time.Now
	f := &Front{
		settings: config,
		path:     path,
		logger:   logger,
		clock:    clock,
		lines:    lines,
		board:    fleet.NewBoard(config.Domain),
		ledger:   quota.NewLedger(len(config.Domains), rand.Float64),
		store:    platform.NewStore(config.StoreAddress),
		backends: platform.NewBackendClient(),
		engines:  platform.NewEngineClient(),
		peers:    peer.NewClient(nil),
		metrics:  metrics.New(),
	}
	logger.Handler = f.metrics.CountEvents(logger.Handler)
	f.store.Counters = f.metrics
	f.stopping, f.stop = context.WithCancel(context.Background())
	f.operators = &fleet.OperatorRecords{
		Board:         f.board,
		Ledger:        f.ledger,
		Logger:        logger,
		Clock:         clock,
		PolicyKey:     platform.PolicyKey,
		DecodePolicy:  platform.DecodePolicy,
		DecodeVersion: platform.DecodeVersion,
	}
	f.servers = &fleet.ServerList{
		Board:  f.board,
		Logger: logger,
		Clock:  clock,
		Decode: platform.DecodeServer,
	}
	f.wireCoordination()
	f.service = &entry.Service{
		Board:       f.board,
		Backend:     f.backends,
		Coordinator: f.roster,
		Ledger:      f.ledger,
		Logger:      logger,
		Clock:       clock,
		Counters:    f.metrics,
		RetrySlack:  config.Bounds.RetrySlack / assumedInstances,
	}
	f.retrySlack.Store(&config.Bounds.RetrySlack)
	f.ingress = &platform.Ingress{
		Serve:  f.service.Serve,
		Limits: f.limits,
		Logger: logger,
		Clock:  clock,
	}
	return f
}

// assumedInstances divides the fleet's retries until the leader has counted.
const assumedInstances = 12

// wireCoordination makes a leader, a member and an election for each failure
// domain: any instance may lead any domain.
func (f *Front) wireCoordination() {
	config := f.settings
	f.instance = config.Name + "/" + uuid.NewString()
	f.server = &coordination.Server{
		Leaders:    map[string]*coordination.Leader{},
		AddRecords: f.operators.AddRecords,
	}
	domains := slices.Clone(config.Domains)
	slices.Sort(domains)
	for i, domain := range domains {
		f.wireDomain(domain, len(domains), i)
	}
	f.roster = &coordination.PlacementCoordinator{
		Board:   f.board,
		Members: f.members,
	}
	f.server.Known = f.roster.Leaders
}

// told reports whether a leader answers, which tells of the others.
func (f *Front) told() bool {
	return slices.ContainsFunc(f.members, (*coordination.Member).LeaderAnswers)
}

func (f *Front) wireDomain(domain string, domains, index int) {
	config := f.settings
	leader := coordination.NewLeader(config.Bounds.OrderTurn, config.GroupParts)
	leader.Holder = config.Listen.Peers
	leader.Instance = f.instance
	leader.Domain = domain
	leader.Domains = domains
	leader.AnsweringDomains = func() int { return f.roster.AnsweringDomains() }
	leader.Board = f.board
	leader.Engine = f.engines
	leader.Logger = f.logger
	leader.Clock = f.clock
	leader.Uptime = uptime
	member := &coordination.Member{
		Domain:      domain,
		Relay:       domain == config.Domain,
		LeaderIndex: index,
		Address:     config.Listen.Peers,
		Instance:    f.instance,
		Board:       f.board,
		Ledger:      f.ledger,
		Servers:     f.servers,
		Leader:      leader,
		Local:       f.server,
		Peers:       f.peers,
		Logger:      f.logger,
		Clock:       f.clock,
		OnReply:     f.heard,
		LeadsAny:    f.leadsAny,
	}
	f.server.Leaders[domain] = leader
	f.leaders = append(f.leaders, leader)
	f.members = append(f.members, member)
	f.elections = append(f.elections, &coordination.Election{
		Groups:          f.store,
		Group:           groupPrefix + domain,
		OtherDomain:     domain != config.Domain,
		LeadersKnown:    f.told,
		FirstFleetStart: config.FirstStart,
		Leader:          leader,
		Member:          member,
		Address:         config.Listen.Peers,
		Logger:          f.logger,
		Uptime:          uptime,

		ProcessorShare: config.Processor,
	})
	if domain == config.Domain {
		f.home = member
	}
}

// heard takes in what a leader said of the fleet.
func (f *Front) heard(instances int, leaders map[string]string) {
	f.service.SetRetrySlack(*f.retrySlack.Load() / float64(max(instances, 1)))
	f.roster.AddLeaders(leaders)
}

func (f *Front) leadsAny() bool {
	for _, leader := range f.leaders {
		if leader.Leading() {
			return true
		}
	}
	return false
}

func (f *Front) limits() pomelospring.CallerLimits {
	policy := f.board.Policy()
	if policy == nil {
		return pomelospring.CallerLimits{}
	}
	return policy.Limits
}

// Run serves until the context ends, then stops without cutting requests.
func (f *Front) Run(ctx context.Context) (err error) {
	defer pomelospring.Annotate(&err, "front %s", f.settings.Name)
	debug.SetGCPercent(collectAt)
	callers, err := net.Listen("tcp", f.settings.Listen.Callers)
	if err != nil {
		return err
	}
	readiness, err := net.Listen("tcp", f.settings.Listen.Readiness)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", f.settings.Listen.Peers)
	if err != nil {
		return err
	}
	counters, err := net.Listen("tcp", f.settings.Listen.Metrics)
	if err != nil {
		return err
	}
	events.Log(f.logger, events.Started, log.Fields{
		"instance": f.instance,
		"domain":   f.settings.Domain,
		"callers":  f.settings.Listen.Callers,
		"peers":    f.settings.Listen.Peers,
	})
	var group run.Group
	addLoop(&group, f.lines.Run)
	addLoop(&group, f.operatorFollower().Run)
	addLoop(&group, f.serverFollower().Run)
	addLoop(&group, f.watchSettings)
	for i := range f.members {
		addLoop(&group, f.leaders[i].Run)
		addLoop(&group, f.members[i].Run)
		addLoop(&group, f.elections[i].Run)
	}
	addLoop(&group, func(ctx context.Context) error { return f.server.Run(ctx, peers) })
	f.addServer(&group, f.readinessServer(), readiness)
	f.addServer(&group, f.metricsServer(), counters)
	f.addCallers(ctx, &group, callers)
	err = group.Run()
	f.store.Close()
	f.backends.Close()
	f.engines.Close()
	return errors.Join(err, f.peers.Close(), f.metrics.Close())
}

func (f *Front) operatorFollower() *platform.Follower {
	return &platform.Follower{
		Store:       f.store,
		Topic:       platform.OperatorTopic,
		ReadWait:    operatorWait,
		Apply:       f.operators.ApplyRead,
		Suspended:   f.relayed((*coordination.Member).OperatorsRelayed),
		KnownOffset: f.board.OperatorOffset,
		Logger:      f.logger,
		Clock:       f.clock,
	}
}

func (f *Front) serverFollower() *platform.Follower {
	return &platform.Follower{
		Store:        f.store,
		Topic:        platform.ServerTopic,
		ReadInterval: serverEvery,
		Apply:        f.servers.ApplyRead,
		Suspended:    f.relayed((*coordination.Member).ServersRelayed),
		Logger:       f.logger,
		Clock:        f.clock,
	}
}

const (
	// firstRead is how long an instance waits for a leader's relay when the
	// whole fleet starts for the first time. One that starts again reads the
	// store at once: callers wait for it.
	firstRead = 1200 * time.Millisecond
	// relayGrace is how long an instance whose relay ended waits for that of
	// another domain's leader. With relayAge it stays below the two seconds in
	// which a change must be in force.
	relayGrace = 500 * time.Millisecond
)

// relayed makes a question whether leaders tell a topic, so that it need not be
// read here. Those who lead read for the others.
func (f *Front) relayed(tells func(member *coordination.Member) bool) func() bool {
	started := f.clock()
	var lastAt time.Time
	return func() bool {
		now := f.clock()
		if f.leadsAny() {
			return false
		}
		if slices.ContainsFunc(f.members, tells) {
			lastAt = now
			return true
		}
		if lastAt.IsZero() {
			return f.settings.FirstStart && now.Sub(started) < firstRead
		}
		return now.Sub(lastAt) < relayGrace
	}
}

// addLoop adds a part that ends with its context.
func addLoop(group *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// addServer adds a listener's server. One that is shut down goes on until the
// group ends, as its requests may still be running.
func (f *Front) addServer(group *run.Group, server *http.Server, listener net.Listener) {
	interrupted, interrupt := context.WithCancel(context.Background())
	group.Add(func() error {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-interrupted.Done()
		return nil
	}, func(error) {
		interrupt()
		_ = server.Close()
	})
}

// addCallers adds the callers' side, which takes the group down when it has drained.
func (f *Front) addCallers(ctx context.Context, group *run.Group, listener net.Listener) {
	server := &http.Server{
		Handler:           f.ingress,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
	}
	f.addServer(group, server, listener)
	drained, end := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-drained.Done():
			return nil
		}
		return f.drain(server)
	}, func(error) { end() })
}

// drain tells the balancer, serves what still comes, and waits for the rest.
func (f *Front) drain(server *http.Server) error {
	deadline := f.clock().Add(f.settings.Bounds.StopWithin - stopMargin)
	events.Log(f.logger, events.Stopping, log.Fields{})
	f.stop()
	f.ingress.Stop()
	time.Sleep(leaveTime)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	events.Log(f.logger, events.Stopped, log.Fields{
		"cut": err != nil,
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (f *Front) readinessServer() *http.Server {
	router := mux.NewRouter()
	router.HandleFunc(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if f.stopping.Err() != nil || !f.board.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
	}
}

func (f *Front) metricsServer() *http.Server {
	router := mux.NewRouter()
	router.Handle("/metrics", f.metrics.Handler())
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
	}
}
