package config

import (
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/policy"
)

// Target is a service in the form in which a daemon serves it: validated, compiled
// and with defaults applied.
type Target struct {
	Service  Service
	Backends []Backend
	Policy   *policy.Program
	// EvacuatedZones are the zones whose back ends get no new requests. It must not be changed.
	EvacuatedZones map[string]bool
	// Rollout is the rollout of the service; nil: none was ordered.
	Rollout *Rollout
	// HoldNewVersions: back ends of a version that was not seen before get no requests at first,
	// because the order of its rollout may arrive later than they do.
	HoldNewVersions bool
}

// Deadline returns the service's deadline.
func (t *Target) Deadline() time.Duration {
	return time.Duration(t.Service.Deadline)
}

// Snapshot is a document in the form in which a daemon uses it: validated, compiled and indexed. It is immutable.
type Snapshot struct {
	Revision Revision
	Document Document
	Targets  []*Target
	// Deviations are the objects of the document that are not in force, or not as they were declared.
	Deviations []Deviation
	routes     routeTable
	tenants    tenantTable
}

// NewSnapshot compiles a document. Its objects have been accepted, so that one that is not valid is left out, and does
// not keep the others out of force.
func NewSnapshot(document Document) (*Snapshot, error) {
	content, programs, err := document.Content.usable()
	if err != nil {
		return nil, err
	}
	tenantsDeclared := len(document.Content.Tenants) > 0
	document.Content = content
	noPolicy, err := policy.Compile(policy.Source{})
	if err != nil {
		return nil, err
	}
	backends := document.BackendsByService()
	evacuated := make(map[string]bool)
	for _, zone := range document.EvacuatedZones() {
		evacuated[zone] = true
	}
	snapshot := &Snapshot{Revision: document.Revision, Document: document, Deviations: content.Deviations}
	rollouts := document.RolloutsByService()
	// Routes refer to targets without back ends, so that they do not keep earlier lists of back ends in memory.
	routeTargets := make(map[string]*Target, len(document.Content.Services))
	var routes []*CompiledRoute
	for _, service := range document.Content.Services {
		target := &Target{Service: service.withDefaults(), Policy: noPolicy, EvacuatedZones: evacuated, HoldNewVersions: document.Rollouts.Revision > 0}
		if rollout, ordered := rollouts[service.Name]; ordered {
			target.Rollout = &rollout
		}
		if service.Policy != "" {
			target.Policy = programs[service.Policy]
		}
		routeTargets[service.Name] = target
		snapshot.Targets = append(snapshot.Targets, target.withBackends(backends[service.Name]))
		if !service.RoutesOnly {
			routes = append(routes, service.ownRoute().compile(routeTargets, programs))
		}
	}
	for _, route := range document.Content.Routes {
		routes = append(routes, route.compile(routeTargets, programs))
	}
	snapshot.routes = newRouteTable(routes)
	snapshot.tenants = newTenantTable(document.Content.Tenants)
	snapshot.tenants.declared = tenantsDeclared
	return snapshot, nil
}

// withBackends returns a copy of the target with the back ends.
func (t *Target) withBackends(backends []Backend) *Target {
	target := *t
	target.Backends = make([]Backend, 0, len(backends))
	for _, backend := range backends {
		target.Backends = append(target.Backends, backend.withDefaults(target.Service))
	}
	return &target
}

// Next returns the snapshot of a document that replaces the one of this snapshot. If only the directory
// differs, the targets of unchanged services are reused: without this, with 10,000 back ends in three
// services, a change of one back end cost each daemon 1.4 kB per back end.
func (s *Snapshot) Next(document Document) (*Snapshot, error) {
	if !s.Document.differsInDirectoryOnly(document) {
		next, err := NewSnapshot(document)
		if err == nil {
			next.routes.continueTurns(s.routes)
		}
		return next, err
	}
	changed := document.Directory.changedServices(s.Document.Directory)
	next := *s
	next.Document = document
	next.Document.Content = s.Document.Content // without the objects that were left out
	next.Targets = slices.Clone(s.Targets)
	backends := document.backendsOf(changed)
	for index, target := range next.Targets {
		if changed[target.Service.Name] {
			next.Targets[index] = target.withBackends(backends[target.Service.Name])
		}
	}
	return &next, nil
}

// differsInDirectoryOnly reports whether all parts but the directory are the same as in another document.
func (d Document) differsInDirectoryOnly(other Document) bool {
	position, otherPosition := d.Position(), other.Position()
	position.Directory, otherPosition.Directory = 0, 0
	return position == otherPosition && slices.Equal(d.Evacuations.Zones, other.Evacuations.Zones) && slices.Equal(d.Rollouts.Orders, other.Rollouts.Orders)
}

// Newer reports whether the snapshot is newer than another in at least one part and
// older in none.
func (s *Snapshot) Newer(than *Snapshot) bool {
	position, other := s.Document.Position(), than.Document.Position()
	return other.Behind(position) && !position.Behind(other)
}

// BackendsByService returns the back ends of each service: first the declared ones, then those of the
// directory.
func (d Document) BackendsByService() map[string][]Backend {
	services := make(map[string]bool, len(d.Content.Services))
	for _, service := range d.Content.Services {
		services[service.Name] = true
	}
	return d.backendsOf(services)
}

// backendsOf returns the back ends of the given services, as BackendsByService does.
func (d Document) backendsOf(services map[string]bool) map[string][]Backend {
	backends := make(map[string][]Backend, len(services))
	for _, placement := range d.Content.Placements {
		if services[placement.Service] {
			backends[placement.Service] = slices.Clip(placement.Backends)
		}
	}
	for _, entry := range d.Directory.Entries {
		if services[entry.Service] {
			backends[entry.Service] = append(backends[entry.Service], entry.Backend)
		}
	}
	return backends
}

func (s Service) withDefaults() Service {
	if s.PathPrefix == "" {
		s.PathPrefix = "/"
	}
	if s.QueueLimit == 0 {
		s.QueueLimit = DefaultQueueLimit
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	return s
}

func (b Backend) withDefaults(service Service) Backend {
	b.Slots = b.EffectiveSlots(service)
	if b.Connections == 0 {
		b.Connections = DefaultConnections
	}
	return b
}

// Match returns the route for a request's host (with or without port) and path,
// and false if there is none.
func (s *Snapshot) Match(host, path string) (*CompiledRoute, bool) {
	return s.routes.match(host, path)
}

// Target returns the target of a service by name.
func (s *Snapshot) Target(service string) (*Target, bool) {
	for _, target := range s.Targets {
		if target.Service.Name == service {
			return target, true
		}
	}
	return nil, false
}
