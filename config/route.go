package config

import (
	"math"
	"net"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tuliphall/tuliphall/policy"
)

// Share is a service's share of the requests of a route.
type Share struct {
	Service string `toml:"service" json:"service"`
	// Weight is relative to those of the other shares: only the proportions count. 0: no requests.
	Weight float64 `toml:"weight" json:"weight"`
}

// Route matches requests by host and path, and names the service or services
// that serve them. A service can have many routes.
type Route struct {
	Name string `toml:"name" json:"name"`
	// Hosts are the host names that select the route; none: any host.
	Hosts []string `toml:"hosts" json:"hosts,omitempty"`
	// PathPrefix selects the route; the longest match wins. Empty: "/".
	PathPrefix string `toml:"path_prefix" json:"path_prefix,omitempty"`
	// Shares divides the requests among services by weight.
	Shares []Share `toml:"share" json:"shares"`
	// Policy names the policy object; empty: the policy of the service.
	Policy string `toml:"policy" json:"policy,omitempty"`
	// Timeout limits requests whose caller set no earlier deadline; 0: the
	// service's deadline.
	Timeout Duration `toml:"timeout" json:"timeout,omitempty"`
	// Public: requests need no tenant key.
	Public bool `toml:"public" json:"public,omitempty"`
	// Attempts is the maximum number of back ends to which one request is sent; 0: 3.
	Attempts int `toml:"attempts" json:"attempts,omitempty"`
}

// DefaultAttempts is the maximum number of attempts of a request, including the
// first, if its route sets none.
const DefaultAttempts = 3

// Bounds on routes.
const (
	MaxRoutes   = 20000
	MaxAttempts = 10
)

// WeightedTarget is one service of a compiled route with its part of the requests.
type WeightedTarget struct {
	Target *Target
	// Fraction is in (0, 1]; those of a route add up to 1.
	Fraction float64
}

// CompiledRoute is a route in the form in which a daemon serves it. It is immutable except for the counter, which it shares with
// its later forms.
type CompiledRoute struct {
	Route
	Policy  *policy.Program
	Targets []WeightedTarget // at least one
	turns   *atomic.Uint64   // number of requests distributed so far
}

// Deadline returns how long a request of the route may take if its caller sets no
// deadline.
func (r *CompiledRoute) Deadline(target *Target) time.Duration {
	if r.Timeout > 0 {
		return time.Duration(r.Timeout)
	}
	return target.Deadline()
}

// goldenRatio distributes any number of turns evenly: its multiples modulo 1 never
// cluster.
const goldenRatio = 0.6180339887498949

// NextTarget returns the service of the next request. It uses a low-discrepancy sequence rather
// than random numbers, so that each service's share is accurate after few requests. phase, in
// [0, 1), differs between daemons, so that they do not choose the same service at the same time.
func (r *CompiledRoute) NextTarget(phase float64) *Target {
	last := len(r.Targets) - 1
	if last == 0 {
		return r.Targets[0].Target
	}
	_, point := math.Modf(phase + goldenRatio*float64(r.turns.Add(1)%turnCycle))
	for _, weighted := range r.Targets[:last] {
		if point -= weighted.Fraction; point < 0 {
			return weighted.Target
		}
	}
	return r.Targets[last].Target
}

// turnCycle limits the factor of goldenRatio so that the float64 product keeps enough fractional precision.
const turnCycle = 1 << 30

// compile compiles the route, whose names must be valid.
func (r Route) compile(targets map[string]*Target, programs map[string]*policy.Program) *CompiledRoute {
	compiled := &CompiledRoute{Route: r, turns: new(atomic.Uint64)}
	if compiled.PathPrefix == "" {
		compiled.PathPrefix = "/"
	}
	if compiled.Attempts == 0 {
		compiled.Attempts = DefaultAttempts
	}
	for index, fraction := range fractions(r.Shares) {
		if fraction > 0 {
			compiled.Targets = append(compiled.Targets, WeightedTarget{Target: targets[r.Shares[index].Service], Fraction: fraction})
		}
	}
	compiled.Policy = compiled.Targets[0].Target.Policy
	if r.Policy != "" {
		compiled.Policy = programs[r.Policy]
	}
	return compiled
}

// fractions returns the part of the requests that each share gets. The weights are divided by the largest one first, as
// their sum may not be representable.
func fractions(shares []Share) []float64 {
	largest, total := 0.0, 0.0
	for _, share := range shares {
		largest = max(largest, share.Weight)
	}
	parts := make([]float64, len(shares))
	for index, share := range shares {
		parts[index] = share.Weight / largest
		total += parts[index]
	}
	for index := range parts {
		parts[index] /= total
	}
	return parts
}

// ownRoute returns the route that the service's own hosts and prefix define.
func (s Service) ownRoute() Route {
	return Route{Name: s.Name, Hosts: s.Hosts, PathPrefix: s.PathPrefix, Shares: []Share{{Service: s.Name, Weight: 1}}}
}

// keys returns the host and prefix pairs that the route matches.
func (r Route) keys() []string {
	if len(r.Hosts) == 0 {
		return []string{"*" + r.PathPrefix}
	}
	keys := make([]string, 0, len(r.Hosts))
	for _, host := range r.Hosts {
		keys = append(keys, strings.ToLower(host)+r.PathPrefix)
	}
	return keys
}

// routeTable finds routes by host and path. It is immutable.
type routeTable struct {
	byName  map[string]*CompiledRoute
	byHost  map[string][]*CompiledRoute // longest prefix first
	anyHost []*CompiledRoute
}

func newRouteTable(routes []*CompiledRoute) routeTable {
	// Longest prefix first, so that the first match is the most specific one.
	sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	table := routeTable{byName: make(map[string]*CompiledRoute, len(routes)), byHost: make(map[string][]*CompiledRoute)}
	for _, route := range routes {
		table.byName[route.Name] = route
		if len(route.Hosts) == 0 {
			table.anyHost = append(table.anyHost, route)
		}
		for _, host := range route.Hosts {
			host = strings.ToLower(host)
			table.byHost[host] = append(table.byHost[host], route)
		}
	}
	return table
}

// continueTurns makes the routes go on with the turns of those of the same name in an earlier table. Turns that began anew with
// each change would give all requests to the same service if there were few between two changes.
func (t routeTable) continueTurns(earlier routeTable) {
	for name, route := range t.byName {
		if before, found := earlier.byName[name]; found {
			route.turns = before.turns
		}
	}
}

// match returns the matching route with the longest prefix. If two prefixes are equally
// long, the route that names the host is preferred.
func (t routeTable) match(host, path string) (*CompiledRoute, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route, found := firstMatch(t.byHost[strings.ToLower(host)], path)
	wildcard, foundWildcard := firstMatch(t.anyHost, path)
	if foundWildcard && (!found || len(wildcard.PathPrefix) > len(route.PathPrefix)) {
		return wildcard, true
	}
	return route, found
}

func firstMatch(routes []*CompiledRoute, path string) (*CompiledRoute, bool) {
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}
