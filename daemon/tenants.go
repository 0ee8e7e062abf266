package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/peer"
	"github.com/tuliphall/tuliphall/ratelimit"
)

// lostFor is for how long a daemon that was lost without a word counts as one that may go on
// letting requests of tenants through, out of sight of the others: longer than most cuts
// last. Each of n lost ones takes 1/n of every tenant's rate meanwhile.
const lostFor = 10 * time.Minute

// limitOf returns the limit of a tenant that is in force.
func (d *Daemon) limitOf(name string) (ratelimit.Limit, bool) {
	snapshot := d.services.Snapshot()
	if snapshot == nil {
		return ratelimit.Limit{}, false
	}
	tenant, known := snapshot.TenantByName(name)
	if !known || tenant.Rate == 0 {
		return ratelimit.Limit{}, false
	}
	return ratelimit.Limit{Rate: tenant.Rate, Burst: tenant.Burst}, true
}

// Tenants implements admin.TenantBackend.
func (d *Daemon) Tenants(ctx context.Context) []ratelimit.Usage {
	return d.rates.Usage(ctx)
}

// rateFleet is what the daemon's rates ask of the other daemons. It implements
// ratelimit.Fleet.
type rateFleet struct {
	daemon *Daemon

	mutex sync.Mutex
	// grantors are those of a view and a snapshot: choosing them takes a hash for each
	// member and service, and they are asked for up to 20 times a second.
	view     *peer.View
	snapshot *config.Snapshot
	grantors []ratelimit.Grantor
	self     bool
}

// Grantors implements ratelimit.Fleet.
func (f *rateFleet) Grantors() ([]ratelimit.Grantor, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	view, snapshot := f.daemon.node.View(), f.daemon.services.Snapshot()
	if snapshot == nil || !snapshot.HasRateLimits() {
		return nil, false
	}
	if view == f.view && snapshot == f.snapshot {
		return f.grantors, f.self
	}
	var names []string
	for _, target := range snapshot.Targets {
		if !target.Service.Direct {
			names = append(names, target.Service.Name)
		}
	}
	members, self := f.daemon.node.DispatchersOf(names)
	f.grantors = nil
	for _, member := range members {
		f.grantors = append(f.grantors, ratelimit.Grantor{Name: member.Name, Address: member.PeerAddress})
	}
	f.view, f.snapshot, f.self = view, snapshot, self
	return f.grantors, self
}

// Alive implements ratelimit.Fleet.
func (f *rateFleet) Alive() (alive, all int) {
	return f.daemon.node.FleetSize(lostFor)
}

// Exchange implements ratelimit.Fleet.
func (f *rateFleet) Exchange(ctx context.Context, address string, report ratelimit.Report) (ratelimit.Report, error) {
	return f.daemon.slots.Exchange(ctx, address, report)
}
