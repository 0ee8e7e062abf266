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

// Share is a service's part of the requests of a route.
type Share struct {
	Service string `toml:"service" json:"service"`
	// Weight is the part relative to the other shares'; 0: none.
	Weight int `toml:"weight" json:"weight"`
}

// Route declares requests that are recognised by host and path, and the service
// or services that serve them. A service can have many routes.
type Route struct {
	Name string `toml:"name" json:"name"`
	// Hosts are the host names that select the route; none: any host.
	Hosts []string `toml:"hosts" json:"hosts,omitempty"`
	// PathPrefix selects the route; the longest match wins. Empty: "/".
	PathPrefix string `toml:"path_prefix" json:"path_prefix,omitempty"`
	// Shares are the services, among which requests are divided by weight.
	Shares []Share `toml:"share" json:"shares"`
	// Policy names the policy object; empty: that of the service.
	Policy string `toml:"policy" json:"policy,omitempty"`
	// Timeout ends a request whose caller set no earlier deadline; 0: the
	// service's deadline.
	Timeout Duration `toml:"timeout" json:"timeout,omitempty"`
	// Public: requests need no key of a tenant.
	Public bool `toml:"public" json:"public,omitempty"`
	// Attempts is the most back ends that one request is sent to; 0: 3.
	Attempts int `toml:"attempts" json:"attempts,omitempty"`
}

// DefaultAttempts is how often one request is sent, the first time included,
// where its route says nothing else.
const DefaultAttempts = 3

// Bounds on routes.
const (
	MaxRoutes      = 20000
	MaxAttempts    = 10
	MaxShareWeight = 1_000_000
)

// WeightedTarget is one service's part of a running route.
type WeightedTarget struct {
	Target *Target
	Weight int
}

// CompiledRoute is a route as a daemon serves it. It is immutable, but for the turns.
type CompiledRoute struct {
	Route
	Policy  *policy.Program
	Targets []WeightedTarget // of weight above 0; at least one
	total   int
	turns   atomic.Uint64 // requests that were divided
}

// Deadline returns how long a request of the route may take when its caller says
// nothing.
func (r *CompiledRoute) Deadline(target *Target) time.Duration {
	if r.Timeout > 0 {
		return time.Duration(r.Timeout)
	}
	return target.Deadline()
}

// goldenRatio divides any number of turns evenly: multiples of it, taken modulo 1, never
// bunch.
const goldenRatio = 0.6180339887498949

// NextTarget returns the service of the next request. Requests are divided evenly, not at
// random, so that each service's part is right within few of them. phase, from 0 to below
// 1, is the daemon's own, so that daemons do not take the same turn together.
func (r *CompiledRoute) NextTarget(phase float64) *Target {
	if len(r.Targets) == 1 {
		return r.Targets[0].Target
	}
	_, turn := math.Modf(phase + goldenRatio*float64(r.turns.Add(1)%turnCycle))
	point := int(turn * float64(r.total))
	for _, division := range r.Targets {
		if point -= division.Weight; point < 0 {
			return division.Target
		}
	}
	return r.Targets[len(r.Targets)-1].Target
}

// turnCycle keeps the product within what a float64 holds exactly enough.
const turnCycle = 1 << 30

// running compiles the route. The names were checked before.
func (r Route) running(targets map[string]*Target, programs map[string]*policy.Program) *CompiledRoute {
	made := &CompiledRoute{Route: r}
	if made.PathPrefix == "" {
		made.PathPrefix = "/"
	}
	if made.Attempts == 0 {
		made.Attempts = DefaultAttempts
	}
	for _, share := range r.Shares {
		if share.Weight > 0 {
			made.Targets = append(made.Targets, WeightedTarget{Target: targets[share.Service], Weight: share.Weight})
			made.total += share.Weight
		}
	}
	made.Policy = made.Targets[0].Target.Policy
	if r.Policy != "" {
		made.Policy = programs[r.Policy]
	}
	return made
}

// ownRoute is the route that a service's own host and prefix make.
func (s Service) ownRoute() Route {
	return Route{Name: s.Name, Hosts: s.Hosts, PathPrefix: s.PathPrefix, Shares: []Share{{Service: s.Name, Weight: 1}}}
}

// keys gives the host and prefix pairs that select the route.
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

// routeTable finds routes by host. It is immutable.
type routeTable struct {
	byHost  map[string][]*CompiledRoute // longest prefix first
	anyHost []*CompiledRoute
}

func newRouteTable(routes []*CompiledRoute) routeTable {
	// The longest prefix comes first, so that the first match is the best.
	sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	table := routeTable{byHost: make(map[string][]*CompiledRoute)}
	for _, route := range routes {
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

// match returns the route with the longest prefix; among equals, the one that
// names the host.
func (t routeTable) match(host, path string) (*CompiledRoute, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	named, found := firstMatch(t.byHost[strings.ToLower(host)], path)
	unnamed, other := firstMatch(t.anyHost, path)
	if other && (!found || len(unnamed.PathPrefix) > len(named.PathPrefix)) {
		return unnamed, true
	}
	return named, found
}

func firstMatch(routes []*CompiledRoute, path string) (*CompiledRoute, bool) {
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}
