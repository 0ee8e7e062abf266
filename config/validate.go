package config

import (
	stderrors "errors"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/policy"
)

// Bounds on the values of settings.
const (
	MaxServices          = 400
	MaxBackends          = 2000
	MaxSlots             = 10000
	MaxQueueLimit        = 1_000_000
	MaxMaxLoad           = 100.0
	MaxRetryRatio        = 1.0
	MaxRetryBurst        = 100000.0
	MaxConnectTimeout    = Duration(time.Minute)
	MaxDeadline          = Duration(24 * time.Hour)
	MaxProbeCost         = Duration(10 * time.Second)
	MinDuration          = Duration(10 * time.Microsecond)
	MaxConnections       = 10000
	MaxProbesPerSecond   = 1000
	MaxProbeShare        = 0.01 // of a service's slot time
	MaxZones             = 1000
	MaxWarmUp            = Duration(time.Hour)
	MaxWarmUpRate        = 100000.0
	minStatus, maxStatus = 400, 599
)

// ObjectError reports an invalid setting of an object.
type ObjectError struct {
	Object  ObjectKey
	Setting string
	Value   any
	Allowed string
	Cause   error // the underlying error; nil if there is none
}

// Error returns the object, the setting, its value and the allowed values.
func (e *ObjectError) Error() string {
	return fmt.Sprintf("%s: %s", e.Object, e.reason())
}

// reason returns the error without the object.
func (e *ObjectError) reason() string {
	if e.Cause != nil {
		return e.Cause.Error()
	}
	return fmt.Sprintf("setting %s: value %v: allowed: %s", e.Setting, e.Value, e.Allowed)
}

// Unwrap returns the underlying error.
func (e *ObjectError) Unwrap() error {
	return e.Cause
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameAllowed = "1 to 63 lower-case letters, digits and inner hyphens"

// validator collects the errors of a content.
type validator struct {
	errs []*ObjectError
	// accepted: the content has been accepted already, so that bounds on what may be declared do not apply.
	accepted bool
}

// bound checks a bound on what may be declared, beyond which the content could be put in force all the same.
func (v *validator) bound(ok bool, object ObjectKey, setting string, value any, allowed string) {
	v.check(ok || v.accepted, object, setting, value, allowed)
}

// boundCount checks the number of something that may be declared.
func (v *validator) boundCount(object ObjectKey, setting string, count, most int) {
	v.bound(count <= most, object, setting, count, fmt.Sprintf("0 to %d", most))
}

// name checks the name of an object.
func (v *validator) name(object ObjectKey, setting, name string) {
	v.bound(namePattern.MatchString(name), object, setting, name, nameAllowed)
	v.check(name != "", object, setting, name, nameAllowed)
}

func (v *validator) check(ok bool, object ObjectKey, setting string, value any, allowed string) {
	if !ok {
		v.errs = append(v.errs, &ObjectError{Object: object, Setting: setting, Value: value, Allowed: allowed})
	}
}

func checkRange[T int | float64](v *validator, object ObjectKey, setting string, value, low, high T) {
	v.check(value >= low && value <= high, object, setting, value, fmt.Sprintf("%v to %v", low, high))
}

// checkDuration rejects durations that are so short that they were probably written as a bare
// number, which TOML decodes as nanoseconds.
func (v *validator) checkDuration(object ObjectKey, setting string, value, high Duration) {
	ok := value == 0 || (value >= MinDuration && value <= high)
	v.check(ok, object, setting, time.Duration(value), fmt.Sprintf("0 or %s to %s, with a unit", time.Duration(MinDuration), time.Duration(high)))
}

// Validate checks the content as a whole. The error joins an *ObjectError for
// each invalid setting; nil means that the content can be put in force.
func (c Content) Validate() error {
	v := &validator{}
	v.content(c)
	errs := make([]error, 0, len(v.errs))
	for _, err := range v.errs {
		errs = append(errs, err)
	}
	return stderrors.Join(errs...)
}

// contentKey is the key in errors that concern no single object.
var contentKey = ObjectKey{Kind: "document", Name: "all"}

// content checks the content and returns its compiled policies.
func (v *validator) content(c Content) map[string]*policy.Program {
	v.boundCount(contentKey, "services", len(c.Services), MaxServices)
	programs := v.policies(c.Policies)
	owners := make(routeKeyOwners)
	services := v.services(c.Services, programs, owners)
	v.routes(c.Routes, services, programs, owners)
	v.placements(c.Placements, services)
	v.zones(c.Zones)
	v.tenants(c.Tenants)
	v.rollouts(c.Rollouts, services)
	v.limits(c.Limits)
	return programs
}

func (v *validator) policies(declared []Policy) map[string]*policy.Program {
	programs := make(map[string]*policy.Program, len(declared))
	for _, p := range declared {
		object := ObjectKey{Kind: KindPolicy, Name: p.Name}
		v.name(object, "name", p.Name)
		_, duplicate := programs[p.Name]
		v.check(!duplicate, object, "name", p.Name, "a name used once")
		program, err := policy.Compile(p.Source)
		if err != nil {
			v.errs = append(v.errs, &ObjectError{Object: object, Cause: err})
		}
		programs[p.Name] = program
	}
	return programs
}

// routeKeyOwners maps each host and prefix to the service or route that has it.
type routeKeyOwners map[string]string

// claim adds the keys of a route and reports those that another route has.
func (o routeKeyOwners) claim(v *validator, object ObjectKey, route Route) {
	for _, key := range route.keys() {
		owner, claimed := o[key]
		v.check(!claimed, object, "path_prefix", route.PathPrefix, "a host and prefix that nothing else has; "+owner+" has it")
		o[key] = object.Name
	}
}

func (v *validator) services(declared []Service, programs map[string]*policy.Program, owners routeKeyOwners) map[string]Service {
	services := make(map[string]Service, len(declared))
	for _, service := range declared {
		object := ObjectKey{Kind: KindService, Name: service.Name}
		_, duplicate := services[service.Name]
		v.check(!duplicate, object, "name", service.Name, "a name used once")
		v.service(object, service, programs)
		if !service.RoutesOnly {
			owners.claim(v, object, service.ownRoute())
		}
		services[service.Name] = service
	}
	return services
}

func (v *validator) routes(declared []Route, services map[string]Service, programs map[string]*policy.Program, owners routeKeyOwners) {
	v.boundCount(contentKey, "routes", len(declared), MaxRoutes)
	seen := make(map[string]bool, len(declared))
	for _, route := range declared {
		object := ObjectKey{Kind: KindRoute, Name: route.Name}
		v.check(!seen[route.Name], object, "name", route.Name, "a name used once")
		seen[route.Name] = true
		invalid := len(v.errs)
		v.route(object, route, services, programs)
		if len(v.errs) == invalid {
			owners.claim(v, object, route)
		}
	}
}

func (v *validator) route(object ObjectKey, route Route, services map[string]Service, programs map[string]*policy.Program) {
	v.name(object, "name", route.Name)
	v.selector(object, route.Hosts, route.PathPrefix)
	v.policyName(object, route.Policy, programs)
	v.checkDuration(object, "timeout", route.Timeout, MaxDeadline)
	checkRange(v, object, "attempts", route.Attempts, 0, MaxAttempts)
	largest := 0.0
	for _, share := range route.Shares {
		_, known := services[share.Service]
		v.check(known, object, "share.service", share.Service, "the name of a declared service")
		checkRange(v, object, "share.weight", share.Weight, 0, math.MaxFloat64)
		largest = max(largest, share.Weight)
	}
	v.check(largest > 0, object, "share", largest, "shares with a weight above 0")
}

func (v *validator) zones(declared []Zone) {
	v.boundCount(contentKey, "zones", len(declared), MaxZones)
	seen := make(map[string]bool, len(declared))
	for _, zone := range declared {
		object := ObjectKey{Kind: KindZone, Name: zone.Name}
		v.name(object, "name", zone.Name)
		v.check(!seen[zone.Name], object, "name", zone.Name, "a name used once")
		seen[zone.Name] = true
	}
}

// selector checks the hosts and the path prefix that select requests.
func (v *validator) selector(object ObjectKey, hosts []string, prefix string) {
	v.check(prefix == "" || strings.HasPrefix(prefix, "/"), object, "path_prefix", prefix, "a path that begins with /")
	for _, host := range hosts {
		v.check(host != "" && !strings.ContainsAny(host, "/: "), object, "hosts", host, "a host name without port")
	}
}

func (v *validator) policyName(object ObjectKey, name string, programs map[string]*policy.Program) {
	if name == "" {
		return
	}
	_, known := programs[name]
	v.check(known, object, "policy", name, "the name of a declared policy")
}

func (v *validator) service(object ObjectKey, s Service, programs map[string]*policy.Program) {
	v.name(object, "name", s.Name)
	v.selector(object, s.Hosts, s.PathPrefix)
	v.policyName(object, s.Policy, programs)
	v.check(!s.Direct || !s.Forward, object, "forward", s.Forward, "false, as direct is true")
	checkRange(v, object, "slots", s.Slots, 0, MaxSlots)
	checkRange(v, object, "max_load", s.MaxLoad, 0, MaxMaxLoad)
	checkRange(v, object, "retry_ratio", s.RetryRatio, 0, MaxRetryRatio)
	checkRange(v, object, "retry_burst", s.RetryBurst, 0, MaxRetryBurst)
	checkRange(v, object, "queue_limit", s.QueueLimit, 0, MaxQueueLimit)
	v.checkDuration(object, "deadline", s.Deadline, MaxDeadline)
	v.checkDuration(object, "idle_timeout", s.IdleTimeout, MaxDeadline)
	v.checkDuration(object, "connect_timeout", s.ConnectTimeout, MaxConnectTimeout)
	v.checkDuration(object, "warm_up", s.WarmUp, MaxWarmUp)
	checkRange(v, object, "warm_up_rate", s.WarmUpRate, 0, MaxWarmUpRate)
	v.check(s.WarmUpRate == 0 || s.WarmUp > 0, object, "warm_up", time.Duration(s.WarmUp), "a time, as warm_up_rate is above 0")
	v.check(s.RefusalStatus == 0 || (s.RefusalStatus >= minStatus && s.RefusalStatus <= maxStatus), object, "refusal_status", s.RefusalStatus, "0 or 400 to 599")
	v.check(s.ProbePath == "" || strings.HasPrefix(s.ProbePath, "/"), object, "probe_path", s.ProbePath, "a path that begins with /")
	checkRange(v, object, "probes_per_second", s.ProbesPerSecond, 0, MaxProbesPerSecond)
	v.checkDuration(object, "probe_cost", s.ProbeCost, MaxProbeCost)
	v.checkDuration(object, "probe_freshness", s.ProbeFreshness, MaxProbeCost)
	checkRange(v, object, "probes_per_backend", s.ProbesPerBackend, 0, MaxProbesPerSecond)
	v.check(s.ShareBy == "" || s.ShareBy == ShareByTenant, object, "share_by", s.ShareBy, "empty or "+ShareByTenant)
	v.check(s.LateRequests == "" || s.LateRequests == LateRequestsWait, object, "late_requests", s.LateRequests, "empty or "+LateRequestsWait)
	v.check(s.ProbesPerSecond == 0 || s.ProbePath != "", object, "probe_path", s.ProbePath, "a path, as probes_per_second is above 0")
}

func (v *validator) placements(declared []Placement, services map[string]Service) {
	seen := make(map[string]bool)
	backends := 0
	for _, placement := range declared {
		object := ObjectKey{Kind: KindPlacement, Name: placement.Service}
		service, known := services[placement.Service]
		v.check(known, object, "service", placement.Service, "the name of a declared service")
		v.check(!seen[placement.Service], object, "service", placement.Service, "one placement for each service")
		seen[placement.Service] = true
		backends += len(placement.Backends)
		v.backends(object, placement.Backends)
		v.probeShare(object, service, placement.Backends)
	}
	v.boundCount(contentKey, "backends", backends, MaxBackends)
}

func (v *validator) backends(object ObjectKey, backends []Backend) {
	seen := make(map[string]bool)
	for _, backend := range backends {
		v.name(object, "backend.id", backend.ID)
		v.check(!seen[backend.ID], object, "backend.id", backend.ID, "an id used once in the placement")
		seen[backend.ID] = true
		address, err := netip.ParseAddrPort(backend.Address)
		v.check(err == nil && address.Port() > 0, object, "backend.address", backend.Address, "IP:port")
		checkRange(v, object, "backend.slots", backend.Slots, 0, MaxSlots)
		checkRange(v, object, "backend.connections", backend.Connections, 0, MaxConnections)
	}
}

// probeShare rejects a probe budget that takes more than MaxProbeShare of the slot time.
func (v *validator) probeShare(object ObjectKey, service Service, backends []Backend) {
	slots := 0
	for _, backend := range backends {
		slots += backend.EffectiveSlots(service)
	}
	used := service.ProbesPerSecond * time.Duration(service.ProbeCost).Seconds()
	limit := MaxProbeShare * float64(slots)
	v.check(slots == 0 || used <= limit, object, "probes_per_second", service.ProbesPerSecond,
		fmt.Sprintf("probes_per_second x probe_cost at most %g of the placement's %d slots", MaxProbeShare, slots))
}

// EffectiveSlots returns the back end's slots with defaults applied.
func (b Backend) EffectiveSlots(service Service) int {
	if b.Slots > 0 {
		return b.Slots
	}
	if service.Slots > 0 {
		return service.Slots
	}
	return DefaultSlots
}
