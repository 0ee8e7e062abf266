package config

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/policy"
)

// Target is a service as a daemon serves it: checked, compiled, with defaults
// applied.
type Target struct {
	Service  Service
	Backends []Backend
	Policy   *policy.Program
}

// Deadline returns the service's deadline.
func (t *Target) Deadline() time.Duration {
	return time.Duration(t.Service.Deadline)
}

// Snapshot is one revision in a form fit for use. It is immutable.
type Snapshot struct {
	Revision Revision
	Document Document
	Targets  []*Target
}

// NewSnapshot checks and compiles a document.
func NewSnapshot(document Document) (*Snapshot, error) {
	programs, err := document.Content.compile()
	if err != nil {
		return nil, err
	}
	noPolicy, err := policy.Compile(policy.Source{})
	if err != nil {
		return nil, err
	}
	placements := make(map[string][]Backend)
	for _, placement := range document.Content.Placements {
		placements[placement.Service] = placement.Backends
	}
	snapshot := &Snapshot{Revision: document.Revision, Document: document}
	for _, service := range document.Content.Services {
		target := &Target{Service: service.withDefaults(), Policy: noPolicy}
		if service.Policy != "" {
			target.Policy = programs[service.Policy]
		}
		for _, backend := range placements[service.Name] {
			target.Backends = append(target.Backends, backend.withDefaults(target.Service))
		}
		snapshot.Targets = append(snapshot.Targets, target)
	}
	// The longest prefix comes first, so that the first match is the best.
	sort.SliceStable(snapshot.Targets, func(i, j int) bool {
		return len(snapshot.Targets[i].Service.PathPrefix) > len(snapshot.Targets[j].Service.PathPrefix)
	})
	return snapshot, nil
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

// Match returns the target for a request's host (with or without port) and
// path, and false when there is none.
func (s *Snapshot) Match(host, path string) (*Target, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, target := range s.Targets {
		if strings.HasPrefix(path, target.Service.PathPrefix) && target.Service.takesHost(host) {
			return target, true
		}
	}
	return nil, false
}

func (s Service) takesHost(host string) bool {
	if len(s.Hosts) == 0 {
		return true
	}
	for _, name := range s.Hosts {
		if strings.EqualFold(name, host) {
			return true
		}
	}
	return false
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
