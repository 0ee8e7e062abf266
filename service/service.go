// Package service holds what a daemon runs for each declared service: the
// dispatcher, the clients of its back ends and the retry budget. It follows the
// configuration: a new snapshot changes a service in place, so that requests in
// flight are not touched.
package service

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

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

// Service is one running service. It is safe for concurrent use.
type Service struct {
	Dispatcher *dispatch.Dispatcher

	network    network.Network
	echo       string // header that answers carry back; empty: none
	quarantine Quarantine
	rates      Rates
	limits     Limits
	drains     Drains
	pauses     Pauses
	elsewhere  func(zone string) bool
	declared   atomic.Pointer[declaration]
	requests   clientPool
	probes     clientPool

	mutex  sync.Mutex
	budget retry.Budget
	earned time.Time // of the last request that earned for it
	// evacuated are the zones that are, and restored when others were last.
	evacuated map[string]bool
	restored  map[string]time.Time
}

func newService(options Options, name string, seed uint64) *Service {
	service := &Service{
		network:    options.Network,
		echo:       options.EchoHeader,
		quarantine: options.Quarantine,
		rates:      options.Rates,
		limits:     options.Limits,
		drains:     options.Drains,
		pauses:     options.Pauses,
		elsewhere:  options.InOtherRegion,
		Dispatcher: dispatch.New(rand.New(rand.NewPCG(seed, seed)), config.DefaultQueueLimit),
		restored:   make(map[string]time.Time),
	}
	outliers, routed := logging.Part(options.Log, "outlier"), logging.Part(options.Log, "routing")
	service.Dispatcher.OnEjection(func(backend string, ejected bool) {
		message := "back end let back in"
		if ejected {
			message = "back end ejected"
		}
		outliers.Info(message, "service", name, "backend", backend)
	})
	service.Dispatcher.OnConcurrencyHint(func(slots, before, after int) {
		routed.Info("concurrency learned", "service", name, "slots", slots, "before", before, "in_flight", after)
	})
	return service
}

// Target returns the service's present declaration.
func (s *Service) Target() *config.Target {
	return s.declared.Load().target
}

// Recorded implements rollout.Service.
func (s *Service) Recorded() (config.Rollout, bool) {
	if order := s.Target().Rollout; order != nil {
		return *order, true
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

// declaration is what is declared of a service, with its back ends by id. It is immutable.
type declaration struct {
	target *config.Target
	byID   map[string]*config.Backend
}

// newDeclaration indexes the back ends of a target.
func newDeclaration(target *config.Target) *declaration {
	made := &declaration{target: target, byID: make(map[string]*config.Backend, len(target.Backends))}
	for index := range target.Backends {
		made.byID[target.Backends[index].ID] = &target.Backends[index]
	}
	return made
}

// closed says whether a back end by declaration gets no new requests.
func (d *declaration) closed(one *config.Backend) bool {
	return one.Drained || d.target.Evacuated[one.Zone]
}

// Client returns the client of a back end, and when its present run started, as it says (0: it does not); the
// client is nil when the back end is no longer declared. It does not block on the network.
func (s *Service) Client(id string) (client *backend.Client, started int64) {
	declared := s.declared.Load()
	one, known := declared.byID[id]
	if !known {
		return nil, 0
	}
	return s.requests.get(time.Now(), id, s.optionsFor(declared.target, one)), one.Started
}

// ProbeClient is Client for probes.
// They open a connection for each probe: one that is written to a kept connection while the network
// stalls would arrive later, together with others. Where probes bring fresher reports, connections
// are kept: each back end has at most one such probe under way.
func (s *Service) ProbeClient(id string) (client *backend.Client, started int64) {
	declared := s.declared.Load()
	one, known := declared.byID[id]
	if !known {
		return nil, 0
	}
	options := s.optionsFor(declared.target, one)
	options.NoReuse, options.Echo = declared.target.Service.ProbeFreshness == 0, ""
	options.Connections = probeConnections
	return s.probes.get(time.Now(), id, options), one.Started
}

// optionsFor are the options of the client for requests to a back end.
func (s *Service) optionsFor(target *config.Target, one *config.Backend) backend.Options {
	return backend.Options{
		Network: s.network, Address: one.Address, Connections: one.Connections, AllowUnframed: target.Service.AllowUnframed, Echo: s.echo,
		IdleTimeout: time.Duration(target.Service.IdleTimeout), ConnectTimeout: time.Duration(target.Service.ConnectTimeout),
	}
}

// configure puts a new declaration in force.
func (s *Service) configure(target *config.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	declared := newDeclaration(target)
	s.declared.Store(declared)
	s.noteRestored(target)
	places := s.placesOf(declared)
	known := func(id string) bool { return declared.byID[id] != nil }
	s.requests.retain(known)
	s.probes.retain(known)
	s.Dispatcher.SetRollout(target.Rollout, target.HoldsVersions)
	s.Dispatcher.Configure(places, target.Service.QueueLimit)
}

// noteRestored notes which zones are not evacuated any more. The caller holds the mutex.
func (s *Service) noteRestored(target *config.Target) {
	now := time.Now()
	for zone := range s.evacuated {
		if !target.Evacuated[zone] {
			s.restored[zone] = now
		}
	}
	s.evacuated = target.Evacuated
}

// placesOf returns what makes the places of a declaration, with what is known of its back ends when it is called.
// The caller holds the mutex.
func (s *Service) placesOf(declared *declaration) func(now time.Time) []routing.Backend {
	target := declared.target
	restored := maps.Clone(s.restored)
	warmUp := routing.WarmUp{Duration: time.Duration(target.Service.WarmUp), PerSecond: target.Service.WarmUpRate}
	return func(now time.Time) []routing.Backend {
		places := make([]routing.Backend, 0, len(target.Backends))
		for index := range target.Backends {
			one := &target.Backends[index]
			places = append(places, routing.Backend{
				ID: one.ID, Zone: one.Zone, Version: one.Version, Slots: one.Slots, Window: window(target.Service, *one),
				// Its zone may have turned cold while it was evacuated.
				Warm:    one.Warm && now.Sub(restored[one.Zone]) >= warmUp.Duration,
				Drained: declared.closed(one) || s.isLeaving(one), Evacuated: target.Evacuated[one.Zone], WarmUp: warmUp, Started: one.Started, OtherRegion: s.elsewhere(one.Zone), Limit: s.limitOf(one), PausedUntil: s.pausedUntil(one),
			})
		}
		return places
	}
}

// probeConnections bounds the connections to one back end for probes.
const probeConnections = 2

// window is the bound that the service sets on requests at a back end; 0: none.
func window(declared config.Service, one config.Backend) int {
	if declared.MaxLoad == 0 {
		return 0
	}
	return max(int(declared.MaxLoad*float64(one.Slots)+0.5), 1)
}

// HasBackend says whether a back end is declared.
func (s *Service) HasBackend(id string) bool {
	return s.declared.Load().byID[id] != nil
}

// Registry holds the running services. It is safe for concurrent use; Match and
// Find do not block.
type Registry struct {
	options Options
	mutex   sync.Mutex
	seed    uint64
	table   atomic.Pointer[table]
}

// table is one immutable view of the registry.
type table struct {
	snapshot *config.Snapshot
	services map[string]*Service
}

// Options are what services are run with.
type Options struct {
	Network network.Network
	Seed    uint64 // starts the random choices
	// EchoHeader is a header of which each answer carries the request's value;
	// empty: none.
	EchoHeader string
	// Quarantine says which requests get no place; nil: all may.
	Quarantine Quarantine
	// Rates keeps tenants to their rates; nil: none has one.
	Rates Rates
	// Limits knows how many requests back ends take; nil: any number.
	Limits Limits
	// Drains knows which back ends are leaving; nil: none is.
	Drains Drains
	// Pauses knows which back ends have asked this daemon for a pause; nil: none has.
	Pauses Pauses
	// InOtherRegion says whether a zone lies in another region; nil: none does. It must not block.
	InOtherRegion func(zone string) bool
	Log           *slog.Logger // nil: nothing is logged
}

// Quarantine says which requests get no place at any back end.
type Quarantine interface {
	// Check returns why a request gets none; nil: it may. It must not block.
	Check(fingerprints quarantine.Fingerprints) *resultcode.Failure
}

// Rates keeps tenants to their rates over all daemons together. No method blocks.
type Rates interface {
	// Take counts a request of a tenant, and returns why it must not run; nil: it may.
	Take(tenant string, role ratelimit.Role) *resultcode.Failure
	// Return gives back what was taken for a request that has not run.
	Return(tenant string)
}

// noRates counts nothing.
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
	return &Registry{options: options, seed: options.Seed}
}

// Put puts a snapshot in force unless the present one is as new or newer, and
// says whether it did.
func (r *Registry) Put(snapshot *config.Snapshot) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if present := r.table.Load(); present != nil && !snapshot.Newer(present.snapshot) {
		return false
	}
	r.put(snapshot)
	return true
}

// Refresh puts a snapshot in force that is as new as the present one.
func (r *Registry) Refresh(snapshot *config.Snapshot) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.put(snapshot)
}

// put puts a snapshot in force. The caller holds the mutex.
func (r *Registry) put(snapshot *config.Snapshot) {
	present := r.table.Load()
	services := make(map[string]*Service, len(snapshot.Targets))
	for _, target := range snapshot.Targets {
		running := r.running(present, target.Service.Name)
		if declared := running.declared.Load(); declared == nil || declared.target != target {
			running.configure(target)
		}
		services[target.Service.Name] = running
	}
	r.table.Store(&table{snapshot: snapshot, services: services})
}

func (r *Registry) running(present *table, name string) *Service {
	if present != nil {
		if running, ok := present.services[name]; ok {
			return running
		}
	}
	r.seed++
	return newService(r.options, name, r.seed)
}

// Snapshot returns the snapshot in force, or nil when there is none yet.
func (r *Registry) Snapshot() *config.Snapshot {
	present := r.table.Load()
	if present == nil {
		return nil
	}
	return present.snapshot
}

// Match returns the route for a host and path.
func (r *Registry) Match(host, path string) (*config.RunningRoute, bool) {
	present := r.table.Load()
	if present == nil {
		return nil, false
	}
	return present.snapshot.Match(host, path)
}

// Find returns a service by name.
func (r *Registry) Find(name string) (*Service, bool) {
	present := r.table.Load()
	if present == nil {
		return nil, false
	}
	found, ok := present.services[name]
	return found, ok
}

// All returns every running service by name.
func (r *Registry) All() map[string]*Service {
	present := r.table.Load()
	if present == nil {
		return nil
	}
	return present.services
}

// Close closes unused connections to back ends.
func (r *Registry) Close() {
	for _, running := range r.All() {
		none := func(string) bool { return false }
		running.requests.retain(none)
		running.probes.retain(none)
	}
}
