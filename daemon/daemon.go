package daemon

import (
	"context"
	stderrors "errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"golang.org/x/time/rate"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/clock"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/dissemination"
	"github.com/tuliphall/tuliphall/drain"
	"github.com/tuliphall/tuliphall/frontend"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/measure"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/operation"
	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/peer"
	"github.com/tuliphall/tuliphall/pipelining"
	"github.com/tuliphall/tuliphall/pushback"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/ratelimit"
	"github.com/tuliphall/tuliphall/reach"
	"github.com/tuliphall/tuliphall/relay"
	"github.com/tuliphall/tuliphall/rollout"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/settings"
	"github.com/tuliphall/tuliphall/signals"
	"github.com/tuliphall/tuliphall/slots"
	"github.com/tuliphall/tuliphall/wait"
)

// Version is the version of this build.
const Version = "0.1.0"

// Options configures a Daemon.
type Options struct {
	Settings settings.Settings
	Network  network.Network // nil: TCP
	// Store and Machines are the platform; nil: the one in the settings.
	Store    objectstore.Store
	Machines objectstore.Machines
	// Sources creates the sources of the configuration, which log to log; nil: the
	// head object of the store.
	Sources func(log *slog.Logger) []dissemination.Source
	// Dialect defines the headers of callers and back ends; nil: the project's own.
	Dialect *backend.Dialect
	// Rollouts records the state of rollouts; nil: in the head object of the store.
	Rollouts  rollout.Recorder
	LogOutput io.Writer
	// Now is the clock for periods agreed with other processes, such as leases; nil:
	// clock.Monotonic. It must include the time that the machine is suspended.
	Now clock.Clock
}

// Daemon is one running load balancer process.
type Daemon struct {
	settings  settings.Settings                 // at startup
	reloaded  atomic.Pointer[settings.Settings] // with the changes of Reload
	network   network.Network
	now       clock.Clock
	meter     *network.Meter
	store     objectstore.Store
	sources   []dissemination.Source
	dialect   backend.Dialect
	machines  objectstore.Machines
	client    *objectstore.Client // nil when the platform was given
	logWriter *logging.Writer
	logLimit  *logging.Limiter
	logLevel  slog.LevelVar
	// logDecisions enables a log line for each decision and answered request.
	logDecisions atomic.Bool
	logger       *slog.Logger
	log          *slog.Logger

	services   *service.Registry
	node       *peer.Node
	follower   *dissemination.Follower
	operations *operation.Claimer
	slots      *slots.Client
	reach      *reach.Monitor
	relay      *relay.Client
	relayed    *relay.Server // relays requests of other daemons
	handler    *frontend.Handler
	guard      *overload.Guard
	callers    *pipelining.Server
	callerPool *overload.Pool // of the connections of callers
	prober     *measure.Prober
	quarantine *quarantine.Tracker
	rateLimits *ratelimit.FleetLimiter
	limits     *backendlimit.Tracker
	drains     *drain.Tracker
	pauses     *pushback.Tracker
	signals    *signals.Reader
	rollouts   *rollout.Runner
	recorder   rollout.Recorder
	editor     *config.Editor

	// headRestore, of capacity 1, signals that the head object lacks changes that are in force; nil: the configuration has
	// another source.
	headRestore chan struct{}

	listeners Addresses
	servers   []*http.Server
	// requestServers are those of servers whose requests a planned stop finishes.
	requestServers []*http.Server
	callerServer   *http.Server // that of callers over HTTP/1.1
	metricsClose   io.Closer
	cancel         context.CancelFunc
	running        sync.WaitGroup
	started        time.Time
	stopping       atomic.Bool
}

// Addresses holds the addresses on which a daemon listens.
type Addresses struct {
	Caller  string
	Peer    string
	Forward string
	Admin   string
	Ready   string // empty: readiness is served on Admin only
	Metrics string // empty: metrics are served on Admin only
}

// Start creates a daemon and starts to serve. The caller must end it with Stop or Kill.
func Start(options Options) (*Daemon, error) {
	d := &Daemon{settings: options.Settings, network: options.Network, started: time.Now(), now: options.Now}
	d.reloaded.Store(&options.Settings)
	if d.network == nil {
		d.network = network.TCP{}
	}
	d.meter = network.NewMeter(d.network)
	d.setUpLogging(options.LogOutput)
	d.connectPlatform(options)
	listeners, err := d.listen()
	if err != nil {
		d.logWriter.Close()
		return nil, err
	}
	scope, reporter := d.startMetrics()
	d.guard = overload.NewGuard(d.resourceLimits(), scope)
	d.build(scope)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.run(ctx, listeners, scope, reporter)
	d.log.Info("started", "version", Version, "settings", d.settings)
	d.log.Info("serving", "caller", d.listeners.Caller, "peer", d.listeners.Peer, "forward", d.listeners.Forward, "admin", d.listeners.Admin, "ready", d.listeners.Ready)
	return d, nil
}

func (d *Daemon) setUpLogging(output io.Writer) {
	options := d.settings.Log
	d.logWriter = logging.NewWriter(output)
	d.logLimit = logging.NewLimiter(time.Now(), options.LinesPerSecond, options.BytesPerSecond)
	d.logger = logging.New(d.logWriter, logging.Options{Level: &d.logLevel, JSON: options.Format == "json", Daemon: d.settings.Name, Limiter: d.logLimit})
	d.log = logging.Component(d.logger, "daemon")
	d.applyLogSettings(options)
}

func (d *Daemon) connectPlatform(options Options) {
	d.store, d.machines = options.Store, options.Machines
	if d.store == nil {
		d.client = objectstore.NewClient(d.meter.For("store"), d.settings.Platform.Address, d.settings.Name)
		d.client.SetLogger(logging.Component(d.logger, "store"))
		d.store, d.machines = d.client, d.client
	}
	d.recorder = options.Rollouts
	if d.recorder == nil {
		d.recorder = &rolloutRecorder{daemon: d}
	}
	if options.Sources != nil {
		d.sources = options.Sources(d.logger)
	} else {
		d.sources = []dissemination.Source{dissemination.NewHeadSource(d.store, time.Duration(d.settings.Platform.Timeout))}
		d.headRestore = make(chan struct{}, 1)
	}
	d.dialect = backend.DefaultDialect()
	if options.Dialect != nil {
		d.dialect = *options.Dialect
	}
}

// listenerSet holds a daemon's listeners.
type listenerSet struct {
	caller, peer, forward, admin net.Listener
	ready                        net.Listener // nil: readiness is served on admin only
	metrics                      net.Listener // nil: metrics are served on admin only
}

func (d *Daemon) listen() (listenerSet, error) {
	var listeners listenerSet
	var opened []net.Listener
	for _, entry := range []struct {
		setting string
		address string
		into    *net.Listener
		bound   *string
	}{
		{"listen.caller", d.settings.Listen.Caller, &listeners.caller, &d.listeners.Caller},
		{"listen.peer", d.settings.Listen.Peer, &listeners.peer, &d.listeners.Peer},
		{"listen.forward", d.settings.Listen.Forward, &listeners.forward, &d.listeners.Forward},
		{"listen.admin", d.settings.Listen.Admin, &listeners.admin, &d.listeners.Admin},
		{"listen.ready", d.settings.Listen.Ready, &listeners.ready, &d.listeners.Ready},
		{"listen.metrics", d.settings.Listen.Metrics, &listeners.metrics, &d.listeners.Metrics},
	} {
		if entry.address == "" {
			continue // an optional address
		}
		listener, err := d.network.Listen(entry.address)
		if err != nil {
			for _, earlier := range opened {
				earlier.Close()
			}
			return listenerSet{}, errors.Annotatef(err, "setting %s: value %q", entry.setting, entry.address)
		}
		opened = append(opened, listener)
		*entry.into, *entry.bound = listener, listener.Addr().String()
	}
	return listeners, nil
}

func (d *Daemon) logMetricError(err error) {
	d.log.Error("metric not registered", "error", err)
}

// metricsInterval is how often counters are passed to the reporter.
const metricsInterval = time.Second

func (d *Daemon) startMetrics() (tally.Scope, http.Handler) {
	// A separate registry allows several daemons in one test process.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: d.logMetricError})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "tuliphall", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, metricsInterval)
	d.metricsClose = closer
	return scope, reporter.HTTPHandler()
}

// build creates and connects the components.
func (d *Daemon) build(scope tally.Scope) {
	seed := rand.Uint64()
	d.quarantine = quarantine.NewTracker(quarantine.Options{
		Policy: d.settings.Quarantine.Policy(), Store: d.store, StoreTimeout: time.Duration(d.settings.Platform.Timeout),
		ReadsStore: d.readsQuarantine, Broadcast: d.broadcastCrashingRequest, Log: d.logger, Metrics: scope,
	})
	d.limits = backendlimit.NewTracker(backendlimit.Options{Header: d.dialect.RequestLimit, Declared: d.isDeclared, Apply: d.applyLimit, Broadcast: d.broadcastLimit, Log: d.logger, Metrics: scope})
	d.drains = drain.NewTracker(drain.Options{Declared: d.isDeclared, Apply: d.applyDrain, Broadcast: d.broadcastDrain, Log: d.logger, Metrics: scope})
	d.pauses = pushback.NewTracker(pushback.Options{Apply: d.applyPause, Log: d.logger, Metrics: scope})
	d.signals = signals.NewReader(signals.Options{Dialect: d.dialect, Limits: d.limits, Drains: d.drains, Pauses: d.pauses, Log: d.logger, Metrics: scope})
	d.rateLimits = ratelimit.NewFleetLimiter(ratelimit.Options{Name: d.settings.Name, Limits: d.limitOf, Declared: d.declaresTenant, Now: d.now, Random: rand.New(rand.NewPCG(seed, 3)), Log: d.logger, Metrics: scope})
	d.reach = reach.NewMonitor(reach.Options{Network: d.meter.For("backends"), Targets: d.randomBackends, Log: d.logger, Metrics: scope})
	d.services = service.NewRegistry(service.Options{Network: d.reach, Seed: seed, EchoHeader: d.echoHeader(), Quarantine: d.quarantine, Rates: d.rateLimits, Limits: &serviceLimits{Tracker: d.limits, daemon: d}, Drains: d.drains, Pauses: d.pauses, InOtherRegion: d.inOtherRegion, OnSnapshot: d.applyRequestLimits, Log: d.logger, Metrics: scope})
	d.editor = config.NewEditor(d.store, time.Now, func() config.Document { return d.follower.Document() })
	d.follower = dissemination.NewFollower(dissemination.Options{
		Sources: d.sources, Services: d.services, Timeout: time.Duration(d.settings.Platform.Timeout),
		Watchers: max(d.settings.Platform.Watchers, 0), MaxBackoff: time.Duration(d.settings.Platform.MaxBackoff),
		WatchInterval: time.Duration(d.settings.Platform.WatchInterval), WatchGap: time.Duration(d.settings.Platform.WatchGap), Log: d.logger, Random: rand.New(rand.NewPCG(seed, 1)), Seeds: d.peerSeedAddresses,
		FirstStart: d.settings.Platform.FirstStart, ObserveEra: d.store.ObserveEra, OnLostChanges: d.requestHeadRestore,
	})
	d.node = peer.NewNode(peer.Options{
		Self: membership.Member{
			Name: d.settings.Name, Region: d.settings.Region, Zone: d.settings.Zone,
			PeerAddress: d.listeners.Peer, ForwardAddress: d.listeners.Forward,
			Cores: d.settings.Cores, Incarnation: uint64(d.started.UnixMilli()),
		},
		Meter: d.meter, Random: rand.New(rand.NewPCG(seed, 2)), Log: d.logger,
		Configuration: d.follower, Slots: slots.NewServer(d.services, d.rateLimits), Seeds: d.seedAddresses,
		Quarantine: d.quarantine, Limits: d.limits, Drains: d.drains, OnNoAnswer: d.follower.RecordNoAnswer,
		Connections: d.guard.NewPool("peer", d.guard.Limits().PeerConnections),
	})
	d.follower.SetPeers(d.node)
	d.operations = operation.NewClaimer(operation.Options{
		Store: d.store, WriteLimiter: rate.NewLimiter(rate.Limit(d.settings.Platform.WritesPerSecond), 1), Now: d.now, Log: d.logger,
	})
	d.slots = slots.NewClient(d.meter.For("places"), d.settings.Name, d.logger)
	d.relay = relay.NewClient(relay.Options{Network: d.meter.For("relay"), Peers: d.otherDaemons, Random: rand.New(rand.NewPCG(seed, 4)), Log: d.logger, Metrics: scope})
	d.relayed = relay.NewServer(relay.ServerOptions{Services: d.services, Paths: d.reach, Signals: d.signals, Dialect: d.dialect, Log: d.logger, Metrics: scope})
	d.rollouts = rollout.NewRunner(rollout.Options{Services: d.rolloutServices, Recorder: d.recorder, Log: d.logger})
	d.rateLimits.SetFleet(&rateFleet{daemon: d})
	d.handler = frontend.NewHandler(frontend.Options{
		Name: d.settings.Name, Zone: d.settings.Zone, Network: d.meter.For("forward"), Services: d.services, Peers: d, Slots: d.slots, Operations: d.operations, Paths: d.reach, Relay: d.relay,
		Log: d.logger, Metrics: scope, LogDecisions: d.logDecisions.Load, Dialect: d.dialect,
		Configured: d.follower.Serving, Quarantine: d.quarantine, Signals: d.signals,
	})
	d.prober = measure.NewProber(measure.Options{
		Holder: d.settings.Name + "@" + d.listeners.Peer, Store: d.store, Services: d.services, Dispatches: d.shouldProbe, Now: d.now, Dialect: d.dialect, Signals: d.signals, Log: d.logger, Metrics: scope,
	})
}

// inOtherRegion reports whether a zone belongs to another region. It returns false for an unknown zone.
func (d *Daemon) inOtherRegion(zone string) bool {
	region, known := d.settings.Zones[zone]
	return known && region != d.settings.Region
}

// echoHeader returns the request header that responses of back ends must repeat; empty: none.
func (d *Daemon) echoHeader() string {
	if d.dialect.EchoesRequestID {
		return d.dialect.RequestID
	}
	return ""
}

// shouldProbe reports whether this daemon is the dispatcher of a service and probes its back ends.
// It returns false while the membership is forming: a daemon that is the dispatcher only briefly
// would hold the lease for probing, which its successor needs. It also returns false while this daemon
// is cut off from all back ends, when its probes would say nothing about them.
func (d *Daemon) shouldProbe(name string) bool {
	_, other := d.node.DispatcherOf(name)
	return !other && !d.node.Forming() && !d.reach.CutOff()
}

// run starts a goroutine for each task.
func (d *Daemon) run(ctx context.Context, listeners listenerSet, scope tally.Scope, metrics http.Handler) {
	d.serveCallers(listeners.caller, scope)
	d.requestServers = append(d.requestServers, d.serveHTTP("forward", listeners.forward, d.forwardHandler(), maxForwardConnections))
	d.serveHTTP("admin", listeners.admin, admin.NewHandler(d, metrics), maxAdminConnections)
	if listeners.ready != nil {
		d.serveHTTP("ready", listeners.ready, admin.ReadyHandler(d), maxAdminConnections)
	}
	if listeners.metrics != nil {
		d.serveHTTP("metrics", listeners.metrics, admin.MetricsHandler(metrics), maxMetricsConnections)
	}
	d.running.Go(func() {
		if err := d.node.Serve(ctx, listeners.peer); err != nil {
			d.log.Error("peer server ended", "error", err)
		}
	})
	// The daemon joins the others before it has a configuration, which they may
	// send. Until then it grants no permits, and they decide without it.
	d.running.Go(func() { d.node.Run(ctx) })
	d.running.Go(func() { d.follower.Run(ctx) })
	d.running.Go(func() { d.restoreHead(ctx) })
	d.running.Go(func() { d.watchMachines(ctx) })
	d.running.Go(func() { d.quarantine.Run(ctx) })
	d.running.Go(func() { d.rateLimits.Run(ctx) })
	d.running.Go(func() { d.limits.Run(ctx) })
	d.running.Go(func() { d.drains.Run(ctx) })
	d.running.Go(func() { d.pauses.Run(ctx) })
	d.running.Go(func() { d.rollouts.Run(ctx) })
	d.running.Go(func() { d.prober.Run(ctx) })
	d.running.Go(func() { d.reach.Run(ctx) })
	d.running.Go(func() { d.reportTraffic(ctx, scope) })
	d.running.Go(func() { d.reportRefusals(ctx, scope) })
	d.running.Go(func() { d.reportDroppedLines(ctx, scope) })
	d.running.Go(func() { d.reportTenantShares(ctx, scope) })
	d.running.Go(func() { d.reportOverload(ctx) })
}

// Addresses returns the addresses on which the daemon listens.
func (d *Daemon) Addresses() Addresses {
	return d.listeners
}

// Stop ends the daemon without aborting requests: it reports that it is not ready,
// tells its peers that it leaves, continues to accept requests until the platform's
// balancer has noticed, waits for all requests, and closes. When ctx ends, the
// remaining requests are aborted and an error is returned.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	stop := d.reloaded.Load().Stop
	notice, limit := time.Duration(stop.Notice), time.Duration(stop.Sessions)
	d.log.Info("stopping", "notice", notice, "in_flight", d.handler.InFlight())
	var end time.Time
	if limit > 0 {
		end = time.Now().Add(notice + limit - answerTime(limit))
	}
	d.handler.BeginStop(end)
	var leaving sync.WaitGroup
	leaving.Go(func() { d.node.Leave(ctx) }) // peers that do not respond must not delay the rest
	wait.Sleep(ctx, notice)
	d.handler.RefuseLate()
	err := d.finishRequests(ctx, limit)
	leaving.Wait()
	d.operations.Close(ctx)
	d.close()
	return err
}

// maxAnswerTime is the time in which the callers of requests that are given up at the end of a stop get their answers.
const maxAnswerTime = 100 * time.Millisecond

// answerTime returns how long before the end of a limit requests in progress are given up.
func answerTime(limit time.Duration) time.Duration {
	return min(maxAnswerTime, limit/2)
}

// finishRequests waits for all requests and sessions to end, for as long as the limit; 0: for any time.
func (d *Daemon) finishRequests(ctx context.Context, limit time.Duration) error {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
		ending := time.AfterFunc(limit-answerTime(limit), d.handler.EndRequests)
		defer ending.Stop()
	}
	err := d.shutDownServers(ctx)
	upgraded := make(chan struct{})
	go func() {
		d.handler.WaitUpgraded()
		d.relayed.WaitUpgraded()
		close(upgraded)
	}()
	select {
	case <-upgraded:
	case <-ctx.Done():
	}
	return err
}

// shutDownServers makes all servers of requests take no more, at the same time, and waits for the requests in progress.
func (d *Daemon) shutDownServers(ctx context.Context) error {
	ended := make(chan struct{})
	defer close(ended)
	go d.closeSilentConnections(ended)
	var running sync.WaitGroup
	failures := make([]error, len(d.requestServers))
	for index, server := range d.requestServers {
		running.Go(func() {
			if server == d.callerServer {
				d.callers.Drain(ctx)
			}
			failures[index] = server.Shutdown(ctx)
		})
	}
	running.Wait()
	return errors.Annotatef(stderrors.Join(failures...), "%d requests were aborted", d.handler.InFlight())
}

// silentInterval is how often connections without a request are closed while the daemon stops.
const silentInterval = 250 * time.Millisecond

// closeSilentConnections closes connections of callers that have sent nothing, until ended is closed. net/http's server waits
// five seconds for a first request on each of them.
func (d *Daemon) closeSilentConnections(ended <-chan struct{}) {
	ticker := time.NewTicker(silentInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			d.callerPool.CloseSilent()
		}
	}
}

func (d *Daemon) close() {
	d.cancel()
	d.slots.Close()
	d.relay.Close()
	for _, server := range d.servers {
		server.Close()
	}
	d.running.Wait()
	d.operations.Close(canceledContext())
	d.services.Close()
	if d.client != nil {
		d.client.Close()
	}
	d.metricsClose.Close()
	d.log.Info("stopped")
	d.logWriter.Close()
}

// Kill ends the daemon immediately, as a crash would: requests in flight are aborted
// and peers are not notified.
func (d *Daemon) Kill() {
	d.close()
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
