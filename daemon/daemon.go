// Package daemon creates the components of the entry daemon, connects them and
// runs them. No other package wires them together.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/admission"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/caller"
	"github.com/pomelospring/pomelospring/certificate"
	"github.com/pomelospring/pomelospring/commit"
	"github.com/pomelospring/pomelospring/controllers"
	"github.com/pomelospring/pomelospring/controlplane"
	"github.com/pomelospring/pomelospring/engine"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/failuredomain"
	"github.com/pomelospring/pomelospring/framing"
	"github.com/pomelospring/pomelospring/intent"
	"github.com/pomelospring/pomelospring/lending"
	"github.com/pomelospring/pomelospring/metrics"
	"github.com/pomelospring/pomelospring/operator"
	"github.com/pomelospring/pomelospring/ownership"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/placement"
	"github.com/pomelospring/pomelospring/queue"
	"github.com/pomelospring/pomelospring/retry"
	"github.com/pomelospring/pomelospring/routing"
	"github.com/pomelospring/pomelospring/serving"
	"github.com/pomelospring/pomelospring/settings"

	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/connection"
	"github.com/pomelospring/pomelospring/stream"
)

const (
	// maxIdlePerHost bounds the idle connections to one backend server or service
	// of the platform.
	maxIdlePerHost = 256
	// connectTimeout bounds connecting to a backend server or the platform.
	connectTimeout = 2 * time.Second
	// releaseTimeout bounds each round of calls to the platform during a planned stop.
	releaseTimeout = 3 * time.Second
)

// Daemon is one entry instance.
type Daemon struct {
	settings *settings.Settings
	logger   log.Interface
	clock    pomelospring.Clock
	board    *blackboard.Blackboard
	common   *controllers.Common
	metrics  *metrics.Metrics

	membership     *controllers.MembershipController
	instanceList   *controllers.InstanceListController
	components     []controllers.Controller
	peerServer     *peer.Server
	callerServer   *http.Server
	operatorServer *http.Server
	listeners      []net.Listener
}

// New creates a daemon whose listeners are open but not served yet.
func New(config *settings.Settings, logger log.Interface) (d *Daemon, err error) {
	defer pomelospring.Annotate(&err, "create the daemon")
	self := pomelospring.Instance{
		ID:            config.Instance.Domain + "-" + uuid.NewString()[:13],
		Domain:        config.Instance.Domain,
		CallerAddress: config.Instance.CallerAddress,
		PeerAddress:   config.Instance.PeerAddress,
	}
	d = &Daemon{
		settings: config,
		logger:   logger.WithField("instance", self.ID),
		clock:    time.Now,
		board:    blackboard.New(self),
		metrics:  metrics.New(),
	}
	if err = d.wire(); err != nil {
		return nil, err
	}
	return d, d.listen()
}

// Board returns the daemon's blackboard, for tests.
func (d *Daemon) Board() *blackboard.Blackboard { return d.board }

// wire creates all components and connects them.
func (d *Daemon) wire() (err error) {
	outbound, err := d.newOutboundClients()
	if err != nil {
		return err
	}
	client := peer.NewClient(outbound.peerTLS)
	borrower := lending.NewBorrower(d.board, client, d.clock)
	loads := &lending.Loads{
		Bank:     d.board.Bank,
		Borrower: borrower,
		Clock:    d.clock,
	}
	engineClient := &engine.Client{
		HTTP:   outbound.backend,
		Scheme: outbound.scheme,
	}
	scheduler := ownership.NewScheduler(queue.NewFair(), placement.StallSaving{})
	scheduler.LoadWait = d.settings.Callers.LoadWait
	owner := ownership.NewOwner(scheduler, engineClient, loads, d.logger, d.clock, d.settings.Membership.ClockBound)
	owner.FlightTime = d.settings.Membership.FlightTime
	d.common = &controllers.Common{
		Settings: d.settings,
		Board:    d.board,
		List: &controlplane.InstanceList{
			BaseURL: d.settings.Platform.InstanceListURL,
			Client:  outbound.platform,
		},
		Peers:  client,
		Owner:  owner,
		Logger: d.logger,
		Clock:  d.clock,
	}
	d.createFollowers(&controlplane.Log{
		BaseURL: d.settings.Platform.LogURL,
		Client:  outbound.platform,
	})
	committer := commit.NewCommitter(d.board, d.common.Intents, d.clock, d.settings.Intents.KeptTime)
	d.createControllers(committer)
	d.createCallerServer(outbound, client, owner, borrower, committer)
	d.createOperatorServer(client)
	return d.createPeerServer(owner, committer)
}

// outboundClients holds the clients and TLS settings for outgoing connections.
type outboundClients struct {
	peerTLS  *tls.Config
	platform *http.Client
	backend  *http.Client
	// singleUse opens a new connection for each call.
	singleUse *http.Client
	scheme    string
}

func (d *Daemon) newOutboundClients() (o outboundClients, err error) {
	if o.peerTLS, err = certificate.Client(d.settings.TLS.Peers, d.logger); err != nil {
		return o, err
	}
	platformTLS, err := certificate.Client(authorityOnly(d.settings.TLS.PlatformAuthority), d.logger)
	if err != nil {
		return o, err
	}
	backendTLS, err := certificate.Client(authorityOnly(d.settings.TLS.BackendAuthority), d.logger)
	if err != nil {
		return o, err
	}
	o.scheme = "http"
	if backendTLS != nil {
		o.scheme = "https"
	}
	o.platform = newHTTPClient(platformTLS, false)
	o.backend = newHTTPClient(backendTLS, false)
	o.singleUse = newHTTPClient(backendTLS, true)
	return o, nil
}

// authorityOnly returns TLS settings with an authority and no client certificate.
func authorityOnly(path string) settings.Certificate {
	return settings.Certificate{
		Authority: path,
	}
}

// newHTTPClient returns a client that follows no redirects. If singleUse is set,
// it opens a new connection for each call.
func newHTTPClient(config *tls.Config, singleUse bool) *http.Client {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
	}
	return &http.Client{
		Transport: framing.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     config,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     time.Minute,
			DisableKeepAlives:   singleUse,
			DisableCompression:  true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// createFollowers creates the stream followers that keep the blackboard's folds
// current.
func (d *Daemon) createFollowers(source pomelospring.Log) {
	clockBound := d.settings.Membership.ClockBound
	peers := &controllers.PeerStreamReader{
		Board:  d.board,
		Client: d.common.Peers,
		Clock:  d.clock,
	}
	follower := func(name string, empty stream.Fold, publish func(stream.Fold, time.Time)) *stream.Follower {
		return stream.NewFollower(source, peers, name, d.clock, empty, publish, func(err error) {
			events.Log(d.logger, events.LogUnreachable, log.Fields{
				"stream": name,
				"error":  err.Error(),
			})
		})
	}
	d.common.Configuration = follower(configuration.Stream, stream.ConfigurationFold{}.Empty(), func(fold stream.Fold, fresh time.Time) {
		d.board.Configuration.Set(fold.(stream.ConfigurationFold).State, fresh)
	})
	d.common.Budget = follower(budget.Stream, stream.NewBudgetFold(clockBound), func(fold stream.Fold, fresh time.Time) {
		d.board.Budget.Set(fold.(stream.BudgetFold).State, fresh)
	})
	d.common.Domain = follower(failuredomain.Stream(d.board.Self.Domain), stream.NewDomainFold(clockBound), func(fold stream.Fold, fresh time.Time) {
		d.board.Domain.Set(fold.(stream.DomainFold).State, fresh)
	})
	d.common.Intents = follower(intent.Stream(d.board.Self.Domain), stream.IntentFold{}.Empty(), func(fold stream.Fold, fresh time.Time) {
		d.board.Intents.Set(fold.(stream.IntentFold).State, fresh)
	})
}

// createControllers creates the controllers and lists all components that run in
// the background.
func (d *Daemon) createControllers(committer *commit.Committer) {
	d.membership = controllers.NewMembershipController(d.common)
	d.instanceList = controllers.NewInstanceListController(d.common)
	d.components = []controllers.Controller{
		d.common.Configuration,
		d.common.Budget,
		d.common.Domain,
		d.common.Intents,
		d.membership,
		d.instanceList,
		controllers.NewBudgetController(d.common),
		controllers.NewDirectoryController(d.common),
		controllers.NewOwnershipController(d.common),
		controllers.NewSnapshotController(d.common),
		controllers.NewKeysController(d.common, caller.ErrKeyWithdrawn()),
		committer,
	}
}

// createCallerServer creates the HTTP server for callers.
func (d *Daemon) createCallerServer(outbound outboundClients, client *peer.Client, owner *ownership.Owner, borrower *lending.Borrower, committer *commit.Committer) {
	retries := retry.NewBudget()
	limits := d.settings.Callers
	handler := &caller.Handler{
		Board: d.board,
		Charger: &admission.Charger{
			Bank:       d.board.Bank,
			LoanClient: borrower,
			Clock:      d.clock,
		},
		Serving: &serving.Server{
			Board: d.board,
			Router: routing.Affinity{
				Directory: d.board.Directory,
			},
			Owner:   owner,
			Peers:   client,
			Retries: retries,
			Logger:  d.logger,
			Clock:   d.clock,
		},
		Services: &caller.Services{
			Board:           d.board,
			PooledClient:    outbound.backend,
			SingleUseClient: outbound.singleUse,
			Scheme:          outbound.scheme,
			Intents: &controllers.IntentRouter{
				Board:     d.board,
				Client:    client,
				Committer: committer,
				Clock:     d.clock,
			},
			IntentRetention: d.settings.Intents.KeptTime,
			Retries:         retries,
			Logger:          d.logger,
			Clock:           d.clock,
		},
		Metrics:  d.metrics.Handler(),
		Counters: d.metrics,
		Limits: caller.Limits{
			BodyBytes:     limits.BodyBytes,
			BodyTime:      limits.BodyTime,
			WriteTime:     limits.WriteTime,
			StartTime:     limits.StartTime,
			TotalTime:     limits.TotalTime,
			MaxTokens:     limits.MaxTokens,
			BytesPerToken: limits.BytesPerToken,
			KeysTrusted:   limits.KeysTrusted,
		},
		Logger: d.logger,
		Clock:  d.clock,
	}
	d.callerServer = d.httpServer(handler.Router())
}

// createOperatorServer creates the HTTP server for operators.
func (d *Daemon) createOperatorServer(client *peer.Client) {
	handler := &operator.Handler{
		Board:    d.board,
		Follower: d.common.Configuration,
		Queries: &operator.Queries{
			Board: d.board,
			Peers: client,
			Clock: d.clock,
		},
		Operators: d.settings.Operators,
		Logger:    d.logger,
	}
	d.operatorServer = d.httpServer(handler.Router())
}

func (d *Daemon) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: d.settings.Callers.HeaderTime,
		MaxHeaderBytes:    d.settings.Callers.HeaderBytes,
		IdleTimeout:       d.settings.Callers.IdleTime,
		ErrorLog:          events.NewErrorLog(d.logger),
		ConnContext:       connection.Remember,
	}
}

// createPeerServer creates the server for calls from other instances.
func (d *Daemon) createPeerServer(owner *ownership.Owner, committer *commit.Committer) (err error) {
	config, err := certificate.Server(d.settings.TLS.Peers, d.logger)
	if err != nil {
		return err
	}
	d.peerServer = &peer.Server{
		Board:     d.board,
		Owner:     owner,
		Committer: committer,
		Followers: map[string]*stream.Follower{
			d.common.Configuration.Stream: d.common.Configuration,
			d.common.Budget.Stream:        d.common.Budget,
			d.common.Domain.Stream:        d.common.Domain,
			d.common.Intents.Stream:       d.common.Intents,
		},
		Logger:     d.logger,
		Clock:      d.clock,
		ClockBound: d.settings.Membership.ClockBound,
		TLS:        config,
	}
	return nil
}

// listen opens the listeners for callers, peers and operators, in this order.
func (d *Daemon) listen() (err error) {
	instance := d.settings.Instance
	for _, address := range []string{instance.CallerAddress, instance.PeerAddress, instance.OperatorAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen at %s: %w", address, err)
		}
		d.listeners = append(d.listeners, listener)
	}
	return nil
}

// Run serves until the context ends. Then it stops as planned: running requests
// are finished within the drain time.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer pomelospring.Annotate(&err, "run the daemon")
	var group run.Group
	for _, component := range d.components {
		componentCtx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return component.Run(componentCtx) }, func(error) { cancel() })
	}
	d.addListeners(&group)
	metricsCtx, cancelMetrics := context.WithCancel(context.Background())
	group.Add(func() error { return d.metrics.Run(metricsCtx, d.board, d.clock) }, func(error) { cancelMetrics() })
	stopCtx, cancelStop := context.WithCancel(ctx)
	group.Add(func() error {
		<-stopCtx.Done()
		d.stop()
		return nil
	}, func(error) { cancelStop() })
	events.Log(d.logger, events.Started, log.Fields{
		"domain":    d.board.Self.Domain,
		"callers":   d.board.Self.CallerAddress,
		"peers":     d.board.Self.PeerAddress,
		"operators": d.settings.Instance.OperatorAddress,
	})
	if err = group.Run(); err != nil {
		events.Log(d.logger, events.PartFailed, log.Fields{
			"error": err.Error(),
		})
	}
	events.Log(d.logger, events.Stopped, log.Fields{})
	return err
}

// addListeners adds the three servers with their listeners to the group.
func (d *Daemon) addListeners(group *run.Group) {
	add := func(server *http.Server, listener net.Listener, files settings.Certificate) {
		groupCtx, endGroup := context.WithCancel(context.Background())
		group.Add(func() error {
			return d.serveHTTP(groupCtx, server, listener, files)
		}, func(error) {
			endGroup()
			_ = server.Close()
		})
	}
	add(d.callerServer, d.listeners[0], d.settings.TLS.Callers)
	add(d.operatorServer, d.listeners[2], d.settings.TLS.Operators)
	peersCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return d.peerServer.Run(peersCtx, d.listeners[1]) }, func(error) { cancel() })
}

// serveHTTP serves until the group ends. A planned stop shuts the server down
// earlier; serveHTTP then waits, because returning would end the group before the
// stop has released the lease.
func (d *Daemon) serveHTTP(groupCtx context.Context, server *http.Server, listener net.Listener, files settings.Certificate) error {
	config, err := certificate.Server(files, d.logger)
	if err != nil {
		return err
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-groupCtx.Done()
	return nil
}

// stop carries out a planned stop: it takes the instance off the platform's list,
// waits for the notice time, refuses new requests, drains the running ones, and
// releases the lease and the budget holdings.
func (d *Daemon) stop() {
	events.Log(d.logger, events.Stopping, log.Fields{
		"running": d.board.Running.Len(),
	})
	d.board.Leave()
	noticeCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	d.instanceList.Leave(noticeCtx)
	d.membership.Renew(noticeCtx)
	cancel()
	time.Sleep(d.settings.Membership.NoticeTime)
	d.board.RefuseRequests()
	drainCtx, cancel := context.WithTimeout(context.Background(), d.settings.Membership.DrainTime)
	d.board.Running.Wait(drainCtx)
	_ = d.callerServer.Shutdown(drainCtx)
	cancel()
	releaseCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	d.membership.Release(releaseCtx)
}
