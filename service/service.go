// Package service implements the runtime state that a daemon holds for each declared service: the
// dispatcher, the clients of its back ends and the retry budget. A new configuration snapshot
// reconfigures a service in place, so that requests in flight are not affected.
package service

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/ratelimit"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// Service is the runtime state of one service. It is safe for concurrent use.
type Service struct {
	Dispatcher *dispatch.Dispatcher

	network        network.Network
	echoHeader     string // header that responses carry back; empty: none
	quarantine     Quarantine
	rates          Rates
	limits         Limits
	drains         Drains
	pauses         Pauses
	inOtherRegion  func(zone string) bool
	shareOf        func(tenant string) float64
	tenantLog      *slog.Logger
	restraintLog   *rate.Limiter
	declared       atomic.Pointer[declaration]
	requestClients clientPool
	probeClients   clientPool

	mutex      sync.Mutex
	budget     retry.Budget
	lastEarned time.Time // when a first attempt last added to the budget
	// evacuated holds the zones that are evacuated; restored holds when evacuated zones were last restored.
	evacuated map[string]bool
	restored  map[string]time.Time
}

func newService(options Options, name string, seed uint64) *Service {
	service := &Service{
		network:       options.Network,
		echoHeader:    options.EchoHeader,
		quarantine:    options.Quarantine,
		rates:         options.Rates,
		limits:        options.Limits,
		drains:        options.Drains,
		pauses:        options.Pauses,
		inOtherRegion: options.InOtherRegion,
		shareOf:       options.shareOf,
		tenantLog:     logging.Component(options.Log, "fairshare"),
		restraintLog:  rate.NewLimiter(rate.Every(restraintLogInterval), restraintLogBurst),
		Dispatcher:    dispatch.New(rand.New(rand.NewPCG(seed, seed)), config.DefaultQueueLimit),
		restored:      make(map[string]time.Time),
	}
	outlierLog, routingLog := logging.Component(options.Log, "outlier"), logging.Component(options.Log, "routing")
	service.Dispatcher.OnEjection(func(change dispatch.HealthChange) {
		message := "back end reinstated"
		if change.Ejected {
			message = "back end ejected"
		}
		outlierLog.Info(message, "service", name, "backend", change.Backend, "cause", change.Cause, "reporter", change.Reporter)
	})
	service.Dispatcher.OnSilence(newSilenceReporter(name, routingLog, options.Metrics).report)
	service.Dispatcher.OnConcurrencyHint(func(slots, before, after int) {
		routingLog.Info("concurrency hint changed", "service", name, "slots", slots, "before", before, "in_flight", after)
	})
	service.Dispatcher.OnReturn(reportReturns(routingLog, options.Metrics, name))
	return service
}

// Target returns the current declaration of the service.
func (s *Service) Target() *config.Target {
	return s.declared.Load().target
}

// Recorded implements rollout.Service.
func (s *Service) Recorded() (config.Rollout, bool) {
	if rollout := s.Target().Rollout; rollout != nil {
		return *rollout, true
	}
	return config.Rollout{}, false
}

// Step implements rollout.Service.
func (s *Service) Step() config.Rollout {
	return s.Dispatcher.StepRollout()
}

// Name returns the service's name.
func (s *Service) Name() string {
	return s.Target().Service.Name
}

// declaration is the declared configuration of a service, with its back ends indexed by id. It is
// immutable.
type declaration struct {
	target *config.Target
	byID   map[string]*config.Backend
}

func newDeclaration(target *config.Target) *declaration {
	indexed := &declaration{target: target, byID: make(map[string]*config.Backend, len(target.Backends))}
	for index := range target.Backends {
		indexed.byID[target.Backends[index].ID] = &target.Backends[index]
	}
	return indexed
}

// drainedOrEvacuated reports whether the declaration keeps new requests from a back end.
func (d *declaration) drainedOrEvacuated(b *config.Backend) bool {
	return b.Drained || d.target.EvacuatedZones[b.Zone]
}

// Client returns the client of a back end and the start time of its current run as the back end
// declares it (0: not declared). The client is nil if the back end is no longer declared. Client does
// not block on the network.
func (s *Service) Client(id string) (client *backend.Client, started int64) {
	declared := s.declared.Load()
	b, known := declared.byID[id]
	if !known {
		return nil, 0
	}
	return s.requestClients.get(time.Now(), id, s.clientOptions(declared.target, b)), b.Started
}

// ProbeClient is Client for probes. It opens a connection for each probe, because probes written to
// a kept connection while the network stalls would arrive later and all at once. Where the service
// sets a probe freshness, connections are kept: each back end then has at most one probe in flight.
func (s *Service) ProbeClient(id string) (client *backend.Client, started int64) {
	declared := s.declared.Load()
	b, known := declared.byID[id]
	if !known {
		return nil, 0
	}
	options := s.clientOptions(declared.target, b)
	options.NoReuse, options.EchoHeader = declared.target.Service.ProbeFreshness == 0, ""
	options.MaxConnections = probeConnections
	return s.probeClients.get(time.Now(), id, options), b.Started
}

// clientOptions returns the options of the client for requests to a back end.
func (s *Service) clientOptions(target *config.Target, b *config.Backend) backend.Options {
	return backend.Options{
		Network: s.network, Address: b.Address, MaxConnections: b.Connections, AllowUnframed: target.Service.AllowUnframed, EchoHeader: s.echoHeader,
		IdleTimeout: time.Duration(target.Service.IdleTimeout), ConnectTimeout: time.Duration(target.Service.ConnectTimeout),
	}
}

// configure puts a new declaration in force.
func (s *Service) configure(target *config.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	declared := newDeclaration(target)
	s.declared.Store(declared)
	s.recordRestoredZones(target)
	backends := s.backendsOf(declared)
	known := func(id string) bool { return declared.byID[id] != nil }
	s.requestClients.retain(known)
	s.probeClients.retain(known)
	s.Dispatcher.SetRollout(target.Rollout, target.HoldNewVersions)
	s.Dispatcher.SetGradualReturn(target.Service.GradualReturn)
	s.Dispatcher.SetRefusals(dispatch.Refusals{
		LateWait: target.Service.LateRequests == config.LateRequestsWait, HonorReturns: target.Service.HonorReturns,
	})
	s.Dispatcher.Configure(backends, target.Service.QueueLimit)
	s.Dispatcher.DivideByTenant(target.Service.ShareBy == config.ShareByTenant, func(tenant string, restrained bool) { s.logRestraint(target.Service.Name, tenant, restrained) })
}

// Bounds on the log lines of tenants that are held to their shares: a flood of many tenants
// would otherwise log a line for each.
const (
	restraintLogInterval = time.Second
	restraintLogBurst    = 10
)

// logRestraint logs that a tenant begins or ceases to be held to its share of a service.
func (s *Service) logRestraint(service, tenant string, restrained bool) {
	if !s.restraintLog.Allow() {
		return
	}
	message := "tenant no longer held to its share"
	if restrained {
		message = "tenant held to its share"
	}
	s.tenantLog.Info(message, "service", service, "tenant", tenant)
}

// recordRestoredZones records the zones that are no longer evacuated. The caller holds the mutex.
func (s *Service) recordRestoredZones(target *config.Target) {
	now := time.Now()
	for zone := range s.evacuated {
		if !target.EvacuatedZones[zone] {
			s.restored[zone] = now
		}
	}
	s.evacuated = target.EvacuatedZones
}

// backendsOf returns a function that builds the routing view of the declared back ends. The function
// reads the drains, limits and pauses that are known when it is called. The caller holds the mutex.
func (s *Service) backendsOf(declared *declaration) func(now time.Time) []routing.Backend {
	target := declared.target
	restored := maps.Clone(s.restored)
	warmUp := routing.WarmUp{Duration: time.Duration(target.Service.WarmUp), PerSecond: target.Service.WarmUpRate}
	return func(now time.Time) []routing.Backend {
		backends := make([]routing.Backend, 0, len(target.Backends))
		for index := range target.Backends {
			b := &target.Backends[index]
			backends = append(backends, routing.Backend{
				ID: b.ID, Zone: b.Zone, Version: b.Version, Slots: b.Slots, Window: maxInFlight(target.Service, *b),
				// A back end may have gone cold while its zone was evacuated.
				Warm:    b.Warm && now.Sub(restored[b.Zone]) >= warmUp.Duration,
				Drained: declared.drainedOrEvacuated(b) || s.isDraining(b), Evacuated: target.EvacuatedZones[b.Zone], WarmUp: warmUp, Started: b.Started, OtherRegion: s.inOtherRegion(b.Zone), Limit: s.limitOf(b), PausedUntil: s.pausedUntil(b),
				DetectSilentFull: target.Service.DetectSilentFull,
			})
		}
		return backends
	}
}

// probeConnections is the maximum number of connections to one back end for probes.
const probeConnections = 2

// maxInFlight returns the maximum number of requests in flight at a back end; 0: no maximum.
func maxInFlight(declared config.Service, b config.Backend) int {
	if declared.MaxLoad == 0 {
		return 0
	}
	return max(int(declared.MaxLoad*float64(b.Slots)+0.5), 1)
}

// HasBackend reports whether a back end is declared.
func (s *Service) HasBackend(id string) bool {
	return s.declared.Load().byID[id] != nil
}

// Registry holds the services in force. It is safe for concurrent use; Match and Find do not block.
type Registry struct {
	options Options
	mutex   sync.Mutex
	seed    uint64
	view    atomic.Pointer[view]
}

// view is an immutable state of the registry.
type view struct {
	snapshot *config.Snapshot
	services map[string]*Service
}

// Options configure a Registry and its services.
type Options struct {
	Network network.Network
	Seed    uint64 // of the random choices
	// EchoHeader names a request header whose value each response must repeat; empty: none.
	EchoHeader string
	// Quarantine refuses quarantined requests; nil: none is refused.
	Quarantine Quarantine
	// Rates enforces the rates of tenants; nil: no tenant has a rate.
	Rates Rates
	// Limits provides the request limits of back ends; nil: none has one.
	Limits Limits
	// Drains provides the back ends that are draining; nil: none is.
	Drains Drains
	// Pauses provides the back ends that have asked this daemon for a pause; nil: none has.
	Pauses Pauses
	// InOtherRegion reports whether a zone is in another region; nil: none is. It must not block.
	InOtherRegion func(zone string) bool
	// OnSnapshot is called with each snapshot that has been put in force, one at a time. It must not block. nil: it is not.
	OnSnapshot func(*config.Snapshot)
	Log        *slog.Logger // nil: logging is disabled
	Metrics    tally.Scope  // nil: there are no metrics

	shareOf func(tenant string) float64 // set by NewRegistry
}

// Quarantine decides which requests are not sent to back ends.
type Quarantine interface {
	// Check returns the failure of a quarantined request, nil for any other. It must not block.
	Check(fingerprints quarantine.Fingerprints) *resultcode.Failure
}

// Rates enforces the rates of tenants across all daemons. No method blocks.
type Rates interface {
	// Take counts a request of a tenant. It returns the failure of a request over the rate, else nil.
	Take(tenant string, role ratelimit.Role) *resultcode.Failure
	// Return reverses Take for a request that has not run.
	Return(tenant string)
}

// noRates enforces no rates.
type noRates struct{}

// Take implements Rates.
func (noRates) Take(string, ratelimit.Role) *resultcode.Failure {
	return nil
}

// Return implements Rates.
func (noRates) Return(string) {}

// noQuarantine refuses nothing.
type noQuarantine struct{}

// Check implements Quarantine.
func (noQuarantine) Check(quarantine.Fingerprints) *resultcode.Failure {
	return nil
}

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Quarantine == nil {
		options.Quarantine = noQuarantine{}
	}
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	if options.Limits == nil {
		options.Limits = noLimits{}
	}
	if options.Pauses == nil {
		options.Pauses = noPauses{}
	}
	if options.Drains == nil {
		options.Drains = noDrains{}
	}
	if options.InOtherRegion == nil {
		options.InOtherRegion = func(string) bool { return false }
	}
	if options.Rates == nil {
		options.Rates = noRates{}
	}
	registry := &Registry{options: options, seed: options.Seed}
	registry.options.shareOf = registry.shareOf
	return registry
}

// shareOf returns the share of a tenant; 0: it declares none.
func (r *Registry) shareOf(tenant string) float64 {
	if current := r.view.Load(); current != nil {
		if declared, known := current.snapshot.TenantByName(tenant); known {
			return declared.Share
		}
	}
	return 0
}

// Put puts a snapshot in force if it is newer than the current one, and reports whether it did.
func (r *Registry) Put(snapshot *config.Snapshot) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if current := r.view.Load(); current != nil && !snapshot.Newer(current.snapshot) {
		return false
	}
	r.put(snapshot)
	return true
}

// Refresh puts a snapshot in force that is as new as the current one.
func (r *Registry) Refresh(snapshot *config.Snapshot) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.put(snapshot)
}

// put puts a snapshot in force. The caller holds the mutex.
func (r *Registry) put(snapshot *config.Snapshot) {
	current := r.view.Load()
	services := make(map[string]*Service, len(snapshot.Targets))
	for _, target := range snapshot.Targets {
		service := r.findOrCreate(current, target.Service.Name)
		if declared := service.declared.Load(); declared == nil || declared.target != target {
			service.configure(target)
		}
		services[target.Service.Name] = service
	}
	r.view.Store(&view{snapshot: snapshot, services: services})
	if r.options.OnSnapshot != nil {
		r.options.OnSnapshot(snapshot)
	}
}

func (r *Registry) findOrCreate(current *view, name string) *Service {
	if current != nil {
		if service, ok := current.services[name]; ok {
			return service
		}
	}
	r.seed++
	return newService(r.options, name, r.seed)
}

// Snapshot returns the snapshot in force, or nil when there is none yet.
func (r *Registry) Snapshot() *config.Snapshot {
	current := r.view.Load()
	if current == nil {
		return nil
	}
	return current.snapshot
}

// Match returns the route for a host and path.
func (r *Registry) Match(host, path string) (*config.CompiledRoute, bool) {
	current := r.view.Load()
	if current == nil {
		return nil, false
	}
	return current.snapshot.Match(host, path)
}

// Find returns a service by name.
func (r *Registry) Find(name string) (*Service, bool) {
	current := r.view.Load()
	if current == nil {
		return nil, false
	}
	found, ok := current.services[name]
	return found, ok
}

// All returns every running service by name.
func (r *Registry) All() map[string]*Service {
	current := r.view.Load()
	if current == nil {
		return nil
	}
	return current.services
}

// Close closes idle connections to back ends.
func (r *Registry) Close() {
	for _, service := range r.All() {
		none := func(string) bool { return false }
		service.requestClients.retain(none)
		service.probeClients.retain(none)
	}
}
