// Package config is the model of what operators declare: services, routes to
// them, the placements of their back ends, and policies.
//
// All objects together form one Document with a revision number. Revisions are
// totally ordered because a new one is written with a conditional update of one
// head object in the platform's store (see Editor). A daemon turns a document
// into a Snapshot, which is checked and compiled, and puts it in force only if
// its revision is higher than the one it has.
package config

import (
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/policy"
)

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Defaults of a service's settings, used where the setting is zero.
const (
	DefaultSlots       = 3
	DefaultQueueLimit  = 1000
	DefaultDeadline    = Duration(10 * time.Second)
	DefaultConnections = 32
)

// Service declares how requests are recognised and how they are served.
type Service struct {
	Name string `toml:"name" json:"name"`
	// Hosts are the host names that select the service; none: any host.
	Hosts []string `toml:"hosts" json:"hosts,omitempty"`
	// PathPrefix selects the service; the longest match wins. Empty: "/".
	PathPrefix string `toml:"path_prefix" json:"path_prefix,omitempty"`
	// RoutesOnly: only declared routes select the service, not its own hosts
	// and prefix.
	RoutesOnly bool `toml:"routes_only" json:"routes_only,omitempty"`
	// Policy names the policy object; empty: every default.
	Policy string `toml:"policy" json:"policy,omitempty"`
	// Slots is how many requests one back end works on at once; 0: 3.
	Slots int `toml:"slots" json:"slots,omitempty"`
	// MaxLoad bounds the requests at a back end, from one daemon, as a multiple
	// of its slots; 0: learned, from twice the slots and one up.
	MaxLoad float64 `toml:"max_load" json:"max_load,omitempty"`
	// QueueLimit bounds the requests waiting at one daemon; 0: 1000.
	QueueLimit int `toml:"queue_limit" json:"queue_limit,omitempty"`
	// Deadline ends a request whose policy and caller set none; 0: 10 s.
	Deadline Duration `toml:"deadline" json:"deadline,omitempty"`
	// RetryRatio is the share of requests that may be sent once more, as
	// retries or hedges; 0: 0.1.
	RetryRatio float64 `toml:"retry_ratio" json:"retry_ratio,omitempty"`
	// RetryBurst is how many of them may be saved up, by all daemons together;
	// 0: 10 for each daemon.
	RetryBurst float64 `toml:"retry_burst" json:"retry_burst,omitempty"`
	// RefusalStatus is the status with which a back end says that it did not
	// run a request; 0: no status says so.
	RefusalStatus int `toml:"refusal_status" json:"refusal_status,omitempty"`
	// Direct lets each daemon choose back ends by itself; false: it asks the
	// daemon that dispatches the service.
	Direct bool `toml:"direct" json:"direct,omitempty"`
	// Forward sends requests through the dispatcher instead of asking it for a
	// place only. It is for work that is short against the wire.
	Forward bool `toml:"forward" json:"forward,omitempty"`
	// ProbePath is the load endpoint; empty: back ends are never probed.
	ProbePath string `toml:"probe_path" json:"probe_path,omitempty"`
	// ProbesPerSecond is the budget for all daemons together; 0: no probes.
	ProbesPerSecond float64 `toml:"probes_per_second" json:"probes_per_second,omitempty"`
	// ProbeFreshness is how old the report may be of the back end that would get the
	// next request, while requests come: an older one is asked for by a probe. 0:
	// only back ends that are silent or out for failing are probed.
	ProbeFreshness Duration `toml:"probe_freshness" json:"probe_freshness,omitempty"`
	// ProbesPerBackend is the budget for one back end and all daemons together; 0:
	// none besides the service's. Only with ProbeFreshness.
	ProbesPerBackend float64 `toml:"probes_per_backend" json:"probes_per_backend,omitempty"`
	// ProbeCost is the slot time one probe takes; it is checked against the
	// budget MaxProbeShare.
	ProbeCost Duration `toml:"probe_cost" json:"probe_cost,omitempty"`
	// IdleTimeout closes connections to back ends that were unused for so long;
	// 0: 30 s. It stays below what the back ends use: a request on a connection
	// that its back end closes at the same moment may or may not have run.
	IdleTimeout Duration `toml:"idle_timeout" json:"idle_timeout,omitempty"`
	// ConnectTimeout is how long the opening of a connection to a back end may take;
	// 0: 1 s. Nothing has left until then, so that the request is sent elsewhere.
	ConnectTimeout Duration `toml:"connect_timeout" json:"connect_timeout,omitempty"`
	// WarmUp is how long a back end counts as cold that has just started, or whose zone
	// was evacuated until now; 0: nothing is cold.
	WarmUp Duration `toml:"warm_up" json:"warm_up,omitempty"`
	// WarmUpRate is how many requests a cold back end bears in a second, from all daemons
	// together; 0: only slow start holds it.
	WarmUpRate float64 `toml:"warm_up_rate" json:"warm_up_rate,omitempty"`
	// AllowUnframed passes on answers that only the end of the connection
	// delimits, which cannot be shown to be whole.
	AllowUnframed bool `toml:"allow_unframed" json:"allow_unframed,omitempty"`
}

// Placement declares where a service runs.
type Placement struct {
	// Service is the service's name, and the placement's.
	Service  string    `toml:"service" json:"service"`
	Backends []Backend `toml:"backend" json:"backends"`
}

// Backend is one server of a service.
type Backend struct {
	ID      string `toml:"id" json:"id"`
	Address string `toml:"address" json:"address"` // IP:port
	Zone    string `toml:"zone" json:"zone,omitempty"`
	// Version is that of its software; see Rollout.
	Version string `toml:"version" json:"version,omitempty"`
	// Slots overrides the service's; 0: the service's.
	Slots int `toml:"slots" json:"slots,omitempty"`
	// Connections bounds one daemon's connections to the back end; 0: 32.
	Connections int `toml:"connections" json:"connections,omitempty"`
	// Drained: the back end gets no new requests.
	Drained bool `toml:"drained" json:"drained,omitempty"`
	// Warm: the back end needs no slow start; false: a daemon that meets it for
	// the first time begins with one request, and holds it to the service's WarmUpRate.
	Warm bool `toml:"warm" json:"warm,omitempty"`
	// Started tells one run of the back end from the next, by the time at which it says that it
	// started (Unix milliseconds); 0: it does not say, and is one run for good.
	Started int64 `toml:"-" json:"started,omitempty"`
}

// Zone is a zone in which back ends run, and what operators want of it.
type Zone struct {
	Name string `toml:"name" json:"name"` // as the back ends of the zone have it
	// Evacuated: no back end of the zone gets a new request, of any service.
	Evacuated bool `toml:"evacuated" json:"evacuated,omitempty"`
}

// Policy is a named policy.
type Policy struct {
	Name string `toml:"name" json:"name"`
	policy.Source
}

// Content is a set of objects.
type Content struct {
	Services   []Service   `toml:"service" json:"services,omitempty"`
	Routes     []Route     `toml:"route" json:"routes,omitempty"`
	Placements []Placement `toml:"placement" json:"placements,omitempty"`
	Policies   []Policy    `toml:"policy" json:"policies,omitempty"`
	Zones      []Zone      `toml:"zone" json:"zones,omitempty"`
	Tenants    []Tenant    `toml:"tenant" json:"tenants,omitempty"`
	Rollouts   []Rollout   `toml:"rollout" json:"rollouts,omitempty"`
}

// Concat returns the objects of both contents, those that both have twice.
func (c Content) Concat(other Content) Content {
	return Content{
		Services: slices.Concat(c.Services, other.Services), Routes: slices.Concat(c.Routes, other.Routes),
		Placements: slices.Concat(c.Placements, other.Placements), Policies: slices.Concat(c.Policies, other.Policies),
		Zones: slices.Concat(c.Zones, other.Zones), Tenants: slices.Concat(c.Tenants, other.Tenants), Rollouts: slices.Concat(c.Rollouts, other.Rollouts),
	}
}

// Kind names a kind of object.
type Kind string

// The kinds of object.
const (
	KindService   Kind = "service"
	KindRoute     Kind = "route"
	KindPlacement Kind = "placement"
	KindPolicy    Kind = "policy"
	KindZone      Kind = "zone"
	KindTenant    Kind = "tenant"
	KindRollout   Kind = "rollout"
)

// ObjectKey names one object.
type ObjectKey struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String gives kind/name.
func (k ObjectKey) String() string {
	return string(k.Kind) + "/" + k.Name
}
