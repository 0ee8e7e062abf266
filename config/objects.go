// Package config defines the objects that operators declare: services, routes to
// them, the placements of their back ends, and policies.
//
// All objects together form one Document with a revision number. Revisions are
// totally ordered because each is written with a conditional update of one head
// object in the platform's store (see Editor). A daemon turns a document into a
// Snapshot, which is validated and compiled, and puts it in force only if it is
// newer than its current one.
package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/policy"
)

// Duration is a time.Duration that is encoded as text, such as "250ms".
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

// Defaults of settings that are zero.
const (
	DefaultSlots       = 3
	DefaultQueueLimit  = 1000
	DefaultDeadline    = Duration(10 * time.Second)
	DefaultConnections = 32
)

// Service declares which requests belong to a service and how they are served.
type Service struct {
	Name string `toml:"name" json:"name"`
	// Hosts are the host names that select the service; none: any host.
	Hosts []string `toml:"hosts" json:"hosts,omitempty"`
	// PathPrefix selects the service; the longest match wins. Empty: "/".
	PathPrefix string `toml:"path_prefix" json:"path_prefix,omitempty"`
	// RoutesOnly: only Route objects select the service, not its own hosts
	// and prefix.
	RoutesOnly bool `toml:"routes_only" json:"routes_only,omitempty"`
	// Policy names the policy object; empty: default policy.
	Policy string `toml:"policy" json:"policy,omitempty"`
	// Slots is the number of requests that one back end processes at once; 0: 3.
	Slots int `toml:"slots" json:"slots,omitempty"`
	// MaxLoad bounds the requests of one daemon in flight at a back end, as a multiple
	// of its slots; 0: learned, at least twice the slots plus one.
	MaxLoad float64 `toml:"max_load" json:"max_load,omitempty"`
	// QueueLimit bounds the requests waiting at one daemon; 0: 1000.
	QueueLimit int `toml:"queue_limit" json:"queue_limit,omitempty"`
	// Deadline applies to requests for which neither policy nor caller sets one; 0: 10 s.
	Deadline Duration `toml:"deadline" json:"deadline,omitempty"`
	// RetryRatio is the ratio of additional attempts (retries and hedges) to
	// requests; 0: 0.1.
	RetryRatio float64 `toml:"retry_ratio" json:"retry_ratio,omitempty"`
	// RetryBurst is the maximum number of additional attempts that the retry budget of
	// all daemons together accumulates; 0: 10 for each daemon.
	RetryBurst float64 `toml:"retry_burst" json:"retry_burst,omitempty"`
	// RefusalStatus is the HTTP status by which a back end reports that it did not
	// run a request; 0: none.
	RefusalStatus int `toml:"refusal_status" json:"refusal_status,omitempty"`
	// Direct: each daemon chooses back ends independently; false: it asks the
	// dispatcher of the service.
	Direct bool `toml:"direct" json:"direct,omitempty"`
	// Forward: requests are sent through the dispatcher, which otherwise only hands out
	// permits. It is meant for requests that take less time than a network round trip.
	Forward bool `toml:"forward" json:"forward,omitempty"`
	// ProbePath is the path of the load endpoint; empty: back ends are never probed.
	ProbePath string `toml:"probe_path" json:"probe_path,omitempty"`
	// ProbesPerSecond is the probe budget of all daemons together; 0: no probes.
	ProbesPerSecond float64 `toml:"probes_per_second" json:"probes_per_second,omitempty"`
	// ProbeFreshness is the maximum age of the load report of the back end that would get
	// the next request; while requests arrive, a probe refreshes an older report. 0: only
	// back ends that send no reports or are ejected are probed.
	ProbeFreshness Duration `toml:"probe_freshness" json:"probe_freshness,omitempty"`
	// ProbesPerBackend is the probe budget of all daemons together for one back end; 0:
	// only the service's budget applies. It has effect only with ProbeFreshness.
	ProbesPerBackend float64 `toml:"probes_per_backend" json:"probes_per_backend,omitempty"`
	// ProbeCost is the slot time that one probe takes. The probes of a service may take at
	// most MaxProbeShare of its slot time.
	ProbeCost Duration `toml:"probe_cost" json:"probe_cost,omitempty"`
	// IdleTimeout is the time after which unused connections to back ends are closed;
	// 0: 30 s. It must be shorter than the idle timeout of the back ends: a request sent on
	// a connection that the back end is just closing may or may not have run.
	IdleTimeout Duration `toml:"idle_timeout" json:"idle_timeout,omitempty"`
	// ConnectTimeout limits the time to open a connection to a back end; 0: 1 s. Nothing has
	// been sent by then, so the request is sent to another back end.
	ConnectTimeout Duration `toml:"connect_timeout" json:"connect_timeout,omitempty"`
	// WarmUp is how long a back end counts as cold after it has started, or after the
	// evacuation of its zone has ended; 0: no back end is cold.
	WarmUp Duration `toml:"warm_up" json:"warm_up,omitempty"`
	// WarmUpRate limits the requests per second of all daemons together to a cold back end;
	// 0: only slow start limits them.
	WarmUpRate float64 `toml:"warm_up_rate" json:"warm_up_rate,omitempty"`
	// AllowUnframed passes on responses that are delimited only by the end of the
	// connection, whose completeness cannot be verified.
	AllowUnframed bool `toml:"allow_unframed" json:"allow_unframed,omitempty"`
	// ShareBy divides the capacity of the back ends while it is short: ShareByTenant divides it
	// between tenants; empty: requests of one weight compete without regard to who sent them.
	ShareBy string `toml:"share_by" json:"share_by,omitempty"`
	// LateRequests says what happens to a request whose latency objective has passed while no
	// back end is free: LateRequestsWait queues it behind requests that can still be in time;
	// empty: it is refused.
	LateRequests string `toml:"late_requests" json:"late_requests,omitempty"`
	// HonorReturns serves callers that retry after the Retry-After they were given before new
	// requests of the same tenant and weight.
	HonorReturns bool `toml:"honor_returns" json:"honor_returns,omitempty"`
	// DetectSilentFull bounds the requests in flight at back ends that leave requests unanswered
	// when they are full.
	DetectSilentFull bool `toml:"detect_silent_full" json:"detect_silent_full,omitempty"`
	// GradualReturn raises the requests sent to back ends that return after many had failed at
	// once as they answer, instead of filling the first ones.
	GradualReturn bool `toml:"gradual_return" json:"gradual_return,omitempty"`
}

// Values of Service.ShareBy and Service.LateRequests.
const (
	ShareByTenant    = "tenant"
	LateRequestsWait = "wait"
)

// Placement declares where a service runs.
type Placement struct {
	// Service is the name of the service, and of the placement.
	Service  string    `toml:"service" json:"service"`
	Backends []Backend `toml:"backend" json:"backends"`
}

// Backend is one server of a service.
type Backend struct {
	ID      string `toml:"id" json:"id"`
	Address string `toml:"address" json:"address"` // IP:port
	Zone    string `toml:"zone" json:"zone,omitempty"`
	// Version is the version of its software; see Rollout.
	Version string `toml:"version" json:"version,omitempty"`
	// Slots overrides the service's; 0: the service's.
	Slots int `toml:"slots" json:"slots,omitempty"`
	// Connections bounds the connections of one daemon to the back end; 0: 32.
	Connections int `toml:"connections" json:"connections,omitempty"`
	// Drained: the back end gets no new requests.
	Drained bool `toml:"drained" json:"drained,omitempty"`
	// Warm: the back end needs no slow start; false: a daemon that learns of it begins with
	// one request at a time and applies the service's WarmUpRate.
	Warm bool `toml:"warm" json:"warm,omitempty"`
	// Started is the start time that the back end reports (Unix milliseconds). It distinguishes one
	// run of the back end from the next; 0: not reported, all its time counts as one run.
	Started int64 `toml:"-" json:"started,omitempty"`
}

// Zone is a zone in which back ends run, with the state that operators request.
type Zone struct {
	Name string `toml:"name" json:"name"` // as in Backend.Zone
	// Evacuated: back ends in the zone get no new requests, whatever their service.
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
	// Limits are the limits on the requests of callers; nil: none are declared.
	Limits *RequestLimits `toml:"limits" json:"limits,omitempty"`
	// Deviations are those that the source of the configuration has found while it translated the objects.
	Deviations []Deviation `toml:"-" json:"deviations,omitempty"`
}

// Concat returns the objects of both contents. Objects that both have appear twice, apart from the limits: those of other
// replace those of c.
func (c Content) Concat(other Content) Content {
	return Content{
		Services: slices.Concat(c.Services, other.Services), Routes: slices.Concat(c.Routes, other.Routes),
		Placements: slices.Concat(c.Placements, other.Placements), Policies: slices.Concat(c.Policies, other.Policies),
		Zones: slices.Concat(c.Zones, other.Zones), Tenants: slices.Concat(c.Tenants, other.Tenants), Rollouts: slices.Concat(c.Rollouts, other.Rollouts),
		Limits: cmp.Or(other.Limits, c.Limits), Deviations: slices.Concat(c.Deviations, other.Deviations),
	}
}

// Kind names a kind of object.
type Kind string

// Kinds of objects.
const (
	KindService   Kind = "service"
	KindRoute     Kind = "route"
	KindPlacement Kind = "placement"
	KindPolicy    Kind = "policy"
	KindZone      Kind = "zone"
	KindTenant    Kind = "tenant"
	KindRollout   Kind = "rollout"
	KindLimits    Kind = "limits"
)

// ObjectKey identifies one object.
type ObjectKey struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (k ObjectKey) String() string {
	return string(k.Kind) + "/" + k.Name
}
