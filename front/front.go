// Package front wires the components of an instance that serves behind the
// platform's load balancer.
package front

import (
	"context"
	"errors"
	"maps"
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
	"github.com/pomelospring/pomelospring/connection"
	"github.com/pomelospring/pomelospring/coordination"
	"github.com/pomelospring/pomelospring/entry"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/intake"
	"github.com/pomelospring/pomelospring/metrics"
	"github.com/pomelospring/pomelospring/origin"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/quarantine"
	"github.com/pomelospring/pomelospring/quota"
	"github.com/pomelospring/pomelospring/relay"
	"github.com/pomelospring/pomelospring/settings"
)

const (
	// operatorReadWait is how long the store holds a read of the operators' records
	// open. A connection that stopped responding is noticed only after this wait, so
	// it stays well below a second, the maximum age of relayed records.
	operatorReadWait = 600 * time.Millisecond
	// serverReadInterval is the pause between reads of the server list. With the
	// time that the relay through the leader adds, it keeps within the two seconds
	// after which a leaving server must receive no more requests.
	serverReadInterval = 500 * time.Millisecond
	// headerTimeout limits the time to read a request's header, on the listeners that
	// aren't for callers.
	headerTimeout = 10 * time.Second
	// maxCallerTime bounds the times that a configuration gives callers.
	maxCallerTime = time.Hour
	// deregistrationTime is how long new connections may still arrive after the
	// readiness check starts to fail: the load balancer polls it once a second and
	// acts on the second failure.
	deregistrationTime = 2500 * time.Millisecond
	// stopMargin is the part of the stop time that is reserved for final writes.
	stopMargin = 600 * time.Millisecond
	// lastAnswersTime is the part of the stop time before that in which calls that are
	// still running are answered.
	lastAnswersTime = 200 * time.Millisecond
	// leaderGroupPrefix is the prefix of the names of the groups, one for each
	// failure domain, in the platform's group service. The holder of a group's
	// partitions leads that domain.
	leaderGroupPrefix = "pomelospring-orders-"
	// gcPercent is how much the heap may grow between garbage collections, in
	// percent of the live heap.
	gcPercent = 200
)

// Front is one instance: its listeners, its state and its background loops.
type Front struct {
	// Dial connects to backend servers; over TCP unless set before Run.
	Dial platform.Dial

	settings *settings.Front
	// path is the path of the settings file.
	path      string
	logger    *log.Logger
	clock     pomelospring.Clock
	logWriter *events.BoundedWriter

	board    *fleet.Board
	ledger   *quota.Ledger
	store    *platform.Store
	backends *platform.BackendClient
	paths    *relay.Paths
	relays   *relay.Client
	relaying *relay.Server
	engines  *platform.EngineClient
	eras     *coordination.StoreEras
	peers    *peer.Client
	// leaders, members and elections each have one entry per failure domain, in
	// the same order.
	leaders     []*coordination.Leader
	members     []*coordination.Member
	elections   []*coordination.Election
	coordinator *coordination.PlacementCoordinator
	quarantine  *quarantine.Register
	origins     *origin.Keeper
	directory   *coordination.StreamDirectory
	// home is the member of this instance's own domain.
	home *coordination.Member
	// relayChoice picks the leader that relays while the home leader doesn't.
	relayChoice *coordination.RelayChoice
	instance    string
	ingress     *platform.Ingress
	machine     intake.Machine
	callers     *intake.Account
	metrics     *metrics.Metrics
	service     *entry.Service
	server      *coordination.Server

	operators *fleet.OperatorRecords
	servers   *fleet.ServerList
	stopping  context.Context
	stop      context.CancelFunc
	// retrySlack is the retry burst of the whole fleet. It follows the settings
	// file.
	retrySlack atomic.Pointer[float64]
}

// New wires an instance. path is the settings file that config was read from, and
// logWriter writes the log lines of logger.
func New(config *settings.Front, path string, logger *log.Logger, logWriter *events.BoundedWriter) *Front {
	clock := time.Now
	f := &Front{
		settings:   config,
		path:       path,
		logger:     logger,
		clock:      clock,
		logWriter:  logWriter,
		board:      fleet.NewBoard(config.Domain),
		ledger:     quota.NewLedger(len(config.Domains), rand.Float64),
		store:      platform.NewStore(config.StoreAddress),
		backends:   platform.NewBackendClient(),
		engines:    platform.NewEngineClient(),
		peers:      peer.NewClient(nil),
		metrics:    metrics.New(),
		quarantine: quarantine.NewRegister(),
	}
	f.board.Regions = config.Regions
	f.board.ConfigurationTime = config.Bounds.ConfigurationWithin
	f.quarantine.OnChange = f.logBlocks
	logger.Handler = f.metrics.CountEvents(logger.Handler)
	f.store.Counters = f.metrics
	f.eras = &coordination.StoreEras{
		Logger:          logger,
		Uptime:          uptime,
		FirstFleetStart: config.FirstStart,
	}
	f.store.OnEra = f.eras.Answered
	f.stopping, f.stop = context.WithCancel(context.Background())
	f.operators = &fleet.OperatorRecords{
		Board:         f.board,
		Ledger:        f.ledger,
		Logger:        logger,
		Clock:         clock,
		PolicyKey:     platform.PolicyKey,
		DecodePolicy:  platform.DecodePolicy,
		DecodeVersion: platform.DecodeVersion,
		Domains:       config.Domains,
		Gauges:        f.metrics,

		DecodeEvacuation: platform.DecodeEvacuation,
		OnReturned:       f.board.ExpectCold,
	}
	f.servers = &fleet.ServerList{
		Board:  f.board,
		Logger: logger,
		Clock:  clock,
		Decode: platform.DecodeServer,
	}
	f.engines.OnNotice = fleet.Notices{
		Board:  f.board,
		Logger: logger,
		Clock:  clock,
	}.Record
	f.wirePaths()
	f.wireCoordination()
	f.directory = coordination.NewStreamDirectory(f.members, logger)
	f.origins = &origin.Keeper{
		Store:           f.store,
		Register:        origin.NewRegister(),
		Directory:       f.directory,
		Board:           f.board,
		LeadsAny:        f.leadsAny,
		Instances:       f.home.InstanceCount,
		FirstFleetStart: config.FirstStart,
		Logger:          logger,
		Clock:           clock,
		Uptime:          uptime,
	}
	f.server.Starts = f.origins
	f.service = &entry.Service{
		Board: f.board,
		Backend: &relay.Backend{
			Direct: f.backends,
			Paths:  f.paths,
			Relays: f.relays,
		},
		Coordinator: f.coordinator,
		Ledger:      f.ledger,
		Logger:      logger,
		Clock:       clock,
		Tokens:      f.coordinator,
		Counters:    f.metrics,
		TokenCounts: f.metrics,
		Engine: &relay.Engine{
			Engine: f.engines,
			Relays: f.relays,
		},
		Quarantine: f.quarantine,
		Origins:    f.origins,
		Permits:    f.coordinator,
		Stop:       entry.NewStop(),
		RetrySlack: config.Bounds.RetrySlack / assumedInstances,
	}
	f.retrySlack.Store(&config.Bounds.RetrySlack)
	f.machine = intake.NewMachine(config.MemoryMB, config.MaxDescriptors)
	f.callers = intake.NewAccount(f.machine, f.limits, logger, clock)
	f.relaying.Memory = f.callers
	f.addCallerGauges()
	f.addPolicyGauges()
	f.ingress = &platform.Ingress{
		Serve:  f.service.Serve,
		Limits: f.limits,
		Logger: logger,
		Clock:  clock,
	}
	return f
}

// wirePaths creates what sends calls over broken paths, and has the clients of backend
// servers report these.
func (f *Front) wirePaths() {
	f.paths = &relay.Paths{
		Board:  f.board,
		Logger: f.logger,
		Clock:  f.clock,
		OnBroken: func() {
			if f.relays.Wanted() {
				f.home.ExchangeNow()
			}
		},
	}
	f.engines.OnUnreachable = f.paths.RecordFailure
	notices := fleet.Notices{
		Board:  f.board,
		Logger: f.logger,
		Clock:  f.clock,
	}
	f.relaying = &relay.Server{
		Board: f.board,
		Direct: &relay.Backend{
			Direct: f.backends,
			Paths:  f.paths,
		},
		Engine:   f.engines,
		Notices:  notices,
		Region:   f.settings.Regions[f.settings.Domain],
		Stopping: func() bool { return f.stopping.Err() != nil },
		Logger:   f.logger,
		Clock:    f.clock,
	}
	f.relays = &relay.Client{
		Instance: f.settings.Name,
		Address:  f.settings.Listen.Peers,
		Peers:    f.peers,
		Board:    f.board,
		Notices:  notices,
		Leaders:  func() []string { return slices.Collect(maps.Values(f.coordinator.Leaders())) },
		Server:   f.relaying,
		Logger:   f.logger,
		Clock:    f.clock,
	}
}

// addCallerGauges adds what callers hold to the metrics.
func (f *Front) addCallerGauges() {
	for _, gauge := range []struct {
		name string
		help string
		read func(u intake.Usage) float64
	}{
		{"caller_bytes", "Memory that callers hold.", func(u intake.Usage) float64 { return float64(u.Bytes) }},
		{"caller_bytes_limit", "Memory that callers may hold.", func(u intake.Usage) float64 { return float64(u.BytesLimit) }},
		{"caller_bytes_relayed", "Part of caller_bytes that is held for other instances.", func(u intake.Usage) float64 { return float64(u.RelayedBytes) }},
		{"caller_connections", "Connections of callers.", func(u intake.Usage) float64 { return float64(u.Connections) }},
		{"caller_connections_limit", "Connections that callers may have.", func(u intake.Usage) float64 { return float64(u.ConnectionLimit) }},
		{"caller_memory_refusals", "Requests that were refused or closed for want of memory.", func(u intake.Usage) float64 { return float64(u.MemoryRefusals) }},
		{"caller_connection_refusals", "Connections that were refused or closed for want of connections.", func(u intake.Usage) float64 { return float64(u.ConnectionRefusals) }},
		{"caller_head_refusals", "Requests with a head over the limit.", func(u intake.Usage) float64 { return float64(u.HeadRefusals) }},
	} {
		f.metrics.AddGauge(gauge.name, gauge.help, func() float64 { return gauge.read(f.callers.Usage()) })
	}
}

// assumedInstances is the number of instances that share the fleet's retry burst
// until a leader reports the actual number.
const assumedInstances = 12

// startIDLength is the number of random hexadecimal digits that tell the starts of
// one instance apart. Every exchange carries the result twice.
const startIDLength = 8

// wireCoordination creates a leader, a member and an election for each failure
// domain, since any instance may lead any domain.
func (f *Front) wireCoordination() {
	config := f.settings
	f.instance = config.Name + "/" + uuid.NewString()[:startIDLength]
	f.server = &coordination.Server{
		Leaders:    map[string]*coordination.Leader{},
		AddRecords: f.operators.AddRange,
		Fetcher:    f.recordFetcher(),
		Quarantine: f.quarantine,
		Eras:       f.eras,
		Relay:      f.relaying,
	}
	domains := slices.Clone(config.Domains)
	slices.Sort(domains)
	home := slices.Index(domains, config.Domain)
	f.relayChoice = &coordination.RelayChoice{
		Domains:   slices.Concat(domains[home+1:], domains[:max(home, 0)]),
		Stale:     func() bool { return f.home.StoreStateIsStale() },
		HomeFresh: func() bool { return f.home.KeptUpToDate() },
	}
	for i, domain := range domains {
		f.wireDomain(domain, len(domains), i)
	}
	f.coordinator = &coordination.PlacementCoordinator{
		Board:   f.board,
		Members: f.members,
	}
	f.server.Known = f.coordinator.Leaders
}

// anyLeaderAnswers reports whether the leader of some domain answers. Its
// replies name the leaders of the other domains.
func (f *Front) anyLeaderAnswers() bool {
	return slices.ContainsFunc(f.members, (*coordination.Member).LeaderAnswers)
}

// wireDomain creates the leader, the member and the election of one domain. index
// is the domain's position in the sorted list of domains.
func (f *Front) wireDomain(domain string, domains, index int) {
	config := f.settings
	leader := coordination.NewLeader(config.Bounds.OrderTurn, config.GroupParts)
	leader.Holder = config.Listen.Peers
	leader.Instance = f.instance
	leader.Domain = domain
	leader.Domains = domains
	leader.AnsweringDomains = func() int { return f.coordinator.AnsweringDomains() }
	leader.Board = f.board
	leader.Servers = f.servers
	leader.Engine = f.engines
	leader.LivesElsewhere = f.relays.Lives
	leader.Logger = f.logger
	leader.Clock = f.clock
	leader.Uptime = uptime
	leader.Eras = f.eras
	leader.Ledger = f.ledger
	leader.LedgerIndex = index
	member := &coordination.Member{
		Domain:      domain,
		Relay:       domain == config.Domain,
		LeaderIndex: index,
		Address:     config.Listen.Peers,
		Instance:    f.instance,
		Board:       f.board,
		Ledger:      f.ledger,
		Servers:     f.servers,
		Quarantine:  f.quarantine,
		Eras:        f.eras,
		Relays:      f.relays,
		Leader:      leader,
		Local:       f.server,
		Peers:       f.peers,
		Logger:      f.logger,
		Clock:       f.clock,
		Choice:      f.relayChoice,
		OnReply:     f.applyLeaderReply,
		LeadsAny:    f.leadsAny,
	}
	f.server.Leaders[domain] = leader
	f.leaders = append(f.leaders, leader)
	f.members = append(f.members, member)
	f.elections = append(f.elections, &coordination.Election{
		Groups:          f.store,
		Group:           leaderGroupPrefix + domain,
		OtherDomain:     domain != config.Domain,
		LeadersKnown:    f.anyLeaderAnswers,
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

// applyLeaderReply applies a leader's reply: the number of live instances, and
// the addresses of the leaders by domain.
func (f *Front) applyLeaderReply(instances int, leaders map[string]string) {
	f.service.SetRetrySlack(*f.retrySlack.Load() / float64(max(instances, 1)))
	f.coordinator.AddLeaders(leaders)
}

// logBlocks logs the prompt parts that are kept from model workers.
func (f *Front) logBlocks(blocks []quarantine.Block) {
	for i := range blocks {
		events.Log(f.logger, events.PartsBlocked, log.Fields{
			"parts":   blocks[i].Parts,
			"crashes": blocks[i].Crashes,
			"teams":   slices.Sorted(maps.Keys(blocks[i].Teams)),
			"trialMs": blocks[i].TrialAt.Sub(f.clock()).Milliseconds(),
		})
	}
	if len(blocks) == 0 {
		events.Log(f.logger, events.PartsBlocked, log.Fields{
			"parts": []string{},
		})
	}
}

// leadsAny reports whether this instance leads any domain.
func (f *Front) leadsAny() bool {
	for _, leader := range f.leaders {
		if leader.Leading() {
			return true
		}
	}
	return false
}

// limits returns the caller limits of the active policy, or the zero value before
// a policy was read.
func (f *Front) limits() pomelospring.CallerLimits {
	policy := f.board.Policy()
	if policy == nil {
		return pomelospring.CallerLimits{}
	}
	return policy.Limits
}

// Run serves until the context ends, then drains the running requests and stops.
// Requests that outlast the configured stop time are cut.
func (f *Front) Run(ctx context.Context) (err error) {
	defer pomelospring.Annotate(&err, "front %s", f.settings.Name)
	debug.SetGCPercent(gcPercent)
	f.machine.LimitRuntime()
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
	f.backends.Dial, f.engines.Dial = f.Dial, f.Dial
	addLoop(&group, f.logWriter.Run)
	addLoop(&group, f.prober().Run)
	addLoop(&group, f.blockKeeper().Run)
	addLoop(&group, f.origins.Run)
	addLoop(&group, f.directory.Run)
	addLoop(&group, f.speedReporter().Run)
	addLoop(&group, f.operatorFollower().Run)
	addLoop(&group, f.policyWatch().Run)
	addLoop(&group, f.server.Fetcher.Run)
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

func (f *Front) prober() *relay.Prober {
	return &relay.Prober{
		Paths: f.paths,
		Probe: f.backends.Probe,
	}
}

func (f *Front) speedReporter() *fleet.SpeedReporter {
	return &fleet.SpeedReporter{
		Board:   f.board,
		Metrics: f.metrics,
		Logger:  f.logger,
		Clock:   f.clock,
	}
}

func (f *Front) recordFetcher() *coordination.RecordFetcher {
	return &coordination.RecordFetcher{
		Blocks: &coordination.RecordBlocks{
			Board: f.board,
		},
		Board:   f.board,
		Peers:   f.peers,
		Address: f.settings.Listen.Peers,
		Apply:   f.operators.AddRecords,
		Logger:  f.logger,
		Clock:   f.clock,
	}
}

func (f *Front) policyWatch() *fleet.PolicyWatch {
	return &fleet.PolicyWatch{
		Board:  f.board,
		Logger: f.logger,
		Clock:  f.clock,
	}
}

// addPolicyGauges adds gauges of the configuration in force.
func (f *Front) addPolicyGauges() {
	f.metrics.AddGauge("policy_version", "Version of the configuration in force.", func() float64 {
		policy := f.board.Policy()
		if policy == nil {
			return 0
		}
		return float64(policy.Version)
	})
	f.metrics.AddGauge("policy_age_seconds", "Time since the configuration was confirmed to be the newest.", func() float64 {
		return f.board.PolicyAge(f.clock()).Seconds()
	})
	f.metrics.AddGauge("record_fetched_bytes", "Bytes of operators' records that were fetched from other instances.", func() float64 {
		return float64(f.server.Fetcher.FetchedBytes())
	})
	f.metrics.AddGauge("record_fetch_failures", "Fetches of operators' records that failed.", func() float64 {
		return float64(f.server.Fetcher.Failures())
	})
}

func (f *Front) blockKeeper() *coordination.BlockKeeper {
	return &coordination.BlockKeeper{
		Store:       f.store,
		Quarantine:  f.quarantine,
		Coordinator: f.coordinator,
		Eras:        f.eras,
		Logger:      f.logger,
		Clock:       f.clock,

		FirstFleetStart: f.settings.FirstStart,
	}
}

func (f *Front) operatorFollower() *platform.Follower {
	follower := &platform.Follower{
		Store:         f.store,
		Topic:         platform.OperatorTopic,
		ReadWait:      operatorReadWait,
		Suspended:     f.relayed((*coordination.Member).OperatorsRelayed),
		KnownPosition: f.board.OperatorPosition,
		Logger:        f.logger,
		Clock:         f.clock,
	}
	follower.Apply = func(records []pomelospring.KeyedRecord, full bool, next pomelospring.TopicPosition, _ time.Duration) {
		f.operators.ApplyRead(records, full, next, follower.ReadAge())
	}
	return follower
}

func (f *Front) serverFollower() *platform.Follower {
	follower := &platform.Follower{
		Store:        f.store,
		Topic:        platform.ServerTopic,
		ReadInterval: serverReadInterval,
		Apply:        f.servers.ApplyRead,
		Suspended:    f.relayed((*coordination.Member).ServersRelayed),
		Logger:       f.logger,
		Clock:        f.clock,
	}
	f.servers.ReadAge = follower.ReadAge
	return follower
}

const (
	// firstRelayWait is how long an instance waits for a leader's relay before it
	// reads the store itself, when the whole fleet starts for the first time. An
	// instance that restarts reads the store at once, because callers wait for it.
	firstRelayWait = 3500 * time.Millisecond
	// relayGrace is how long an instance whose relay ended waits for the relay of
	// another domain's leader before it reads the store itself. Together with the
	// maximum age of relayed records, a second, it stays below the two seconds
	// within which a change must be active.
	relayGrace = 500 * time.Millisecond
)

// relayed returns a function that reports whether a leader relays a topic, so that
// this instance need not read it from the store. relaysTopic reports whether the
// leader of one member's domain relays it. An instance that leads a domain always
// reads the store, for the others too.
func (f *Front) relayed(relaysTopic func(member *coordination.Member) bool) func() bool {
	started := f.clock()
	var lastRelayedAt time.Time
	return func() bool {
		now := f.clock()
		if f.leadsAny() {
			return false
		}
		if slices.ContainsFunc(f.members, relaysTopic) {
			lastRelayedAt = now
			return true
		}
		if lastRelayedAt.IsZero() {
			return f.settings.FirstStart && now.Sub(started) < firstRelayWait
		}
		return now.Sub(lastRelayedAt) < relayGrace
	}
}

// addLoop adds a loop to the group that runs until the group cancels its context.
func addLoop(group *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// addServer adds an HTTP server to the group. After a shutdown its actor keeps
// running until the group ends, since requests may still be in flight.
func (f *Front) addServer(group *run.Group, server *http.Server, listener net.Listener) {
	interrupted, interrupt := context.WithCancel(context.Background())
	group.Add(func() error {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		<-interrupted.Done()
		return nil
	}, func(error) {
		interrupt()
		_ = server.Close()
	})
}

// addCallers adds the server for callers. When ctx ends, the server is drained,
// and then the whole group stops.
func (f *Front) addCallers(ctx context.Context, group *run.Group, listener net.Listener) {
	server := &http.Server{
		Handler:           f.ingress,
		ReadHeaderTimeout: maxCallerTime,
		IdleTimeout:       maxCallerTime,
		MaxHeaderBytes:    intake.MaxHeaderBytes,
		ErrorLog:          events.NewErrorLog(f.logger),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return intake.Remember(connection.Remember(ctx, conn), conn)
		},
		ConnState: intake.Follow,
	}
	accepting := &intake.Listener{
		Listener: listener,
		Account:  f.callers,
	}
	f.addServer(group, server, accepting)
	interrupted, interrupt := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-interrupted.Done():
			return nil
		}
		return f.drain(server, accepting)
	}, func(error) { interrupt() })
}

// drain fails the readiness check, keeps serving until the load balancer has
// removed the instance, and then waits for the requests in flight. Those that still come on
// open connections are served if their deadline is before the end: how long a stream lasts
// isn't known, and other instances have the time.
func (f *Front) drain(server *http.Server, listener net.Listener) error {
	deadline := f.clock().Add(f.settings.Bounds.StopWithin - stopMargin)
	events.Log(f.logger, events.Stopping, log.Fields{})
	f.stop()
	f.ingress.Stop()
	time.Sleep(deregistrationTime)
	_ = listener.Close()
	callsEndAt := deadline.Add(-lastAnswersTime)
	f.service.Stop.RefuseBeyond(callsEndAt)
	// A shutdown closes connections on which it finds a request, without an answer.
	for server.SetKeepAlivesEnabled(false); f.callers.Usage().Connections > 0 && f.clock().Before(callsEndAt); server.SetKeepAlivesEnabled(false) {
		time.Sleep(drainPoll)
	}
	f.service.Stop.EndCalls()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil {
		err = f.awaitRelayed(ctx)
	}
	events.Log(f.logger, events.Stopped, log.Fields{
		"cut": err != nil,
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// drainPoll is the time between looks whether callers' connections are left.
const drainPoll = 20 * time.Millisecond

// relayedPoll is the time between looks whether the attempts of other instances have ended.
const relayedPoll = 20 * time.Millisecond

// awaitRelayed waits until the attempts that were sent for other instances have ended.
func (f *Front) awaitRelayed(ctx context.Context) error {
	for f.relaying.Running() > 0 {
		if err := pomelospring.Sleep(ctx, relayedPoll); err != nil {
			return err
		}
	}
	return nil
}

// readinessServer serves the readiness check. The check fails until the instance
// has the state that it needs to serve, and again once it stops.
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
		ErrorLog:          events.NewErrorLog(f.logger),
	}
}

func (f *Front) metricsServer() *http.Server {
	router := mux.NewRouter()
	router.Handle("/metrics", f.metrics.Handler())
	f.addInspection(router)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          events.NewErrorLog(f.logger),
	}
}
