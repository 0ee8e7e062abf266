package daemon

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/fairshare"
	"github.com/tuliphall/tuliphall/peer"
	"github.com/tuliphall/tuliphall/ratelimit"
)

// lostDaemonTimeout is how long a daemon that was lost without leaving is assumed to be partitioned
// and still to admit requests of tenants: longer than most partitions last. Meanwhile 1/n of every
// tenant's rate is reserved for each lost daemon, where n is the number of all daemons.
const lostDaemonTimeout = 10 * time.Minute

// limitOf returns the rate limit of a tenant. It returns false if the tenant has none.
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

// declaresTenant returns whether the configuration in force declares a tenant.
func (d *Daemon) declaresTenant(name string) bool {
	snapshot := d.services.Snapshot()
	if snapshot == nil {
		return false
	}
	_, known := snapshot.TenantByName(name)
	return known
}

// Tenants implements admin.TenantReporter.
func (d *Daemon) Tenants(ctx context.Context) []ratelimit.Usage {
	return d.rateLimits.Usage(ctx)
}

// TenantShares implements admin.TenantReporter.
func (d *Daemon) TenantShares() []admin.ServiceShares {
	rows := []admin.ServiceShares{}
	for name, running := range d.services.All() {
		accounts, divided := running.Dispatcher.TenantShares()
		if !divided {
			continue
		}
		dispatcher, remote := d.node.DispatcherOf(name)
		if !remote {
			dispatcher.Name = d.settings.Name
		}
		rows = append(rows, admin.ServiceShares{Service: name, Dispatcher: dispatcher.Name, Tenants: accounts})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Service < rows[j].Service })
	return rows
}

// tenantSharesInterval is how often the metrics of the division between tenants are updated.
const tenantSharesInterval = time.Second

// reportTenantShares updates the metrics of the division between tenants until ctx ends. They have
// no label for the tenant, of which there may be config.MaxTenants.
func (d *Daemon) reportTenantShares(ctx context.Context, scope tally.Scope) {
	ticker := time.NewTicker(tenantSharesInterval)
	defer ticker.Stop()
	tenants, held, refused := scope.Gauge("share_tenants"), scope.Gauge("share_tenants_held"), scope.Gauge("share_requests_refused")
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var totals fairshare.Totals
		for _, running := range d.services.All() {
			ofService := running.Dispatcher.TenantTotals()
			totals.Tenants += ofService.Tenants
			totals.Held += ofService.Held
			totals.Refused += ofService.Refused
		}
		tenants.Update(float64(totals.Tenants))
		held.Update(float64(totals.Held))
		refused.Update(float64(totals.Refused))
	}
}

// rateFleet provides the other daemons to the rate limiter. It implements
// ratelimit.Fleet.
type rateFleet struct {
	daemon *Daemon

	mutex sync.Mutex
	// grantors is cached for a view and a snapshot: choosing them computes a hash for each
	// member and service, and they are requested up to 20 times a second.
	view      *peer.View
	snapshot  *config.Snapshot
	grantors  []ratelimit.Grantor
	isGrantor bool
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
		return f.grantors, f.isGrantor
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
	f.view, f.snapshot, f.isGrantor = view, snapshot, self
	return f.grantors, self
}

// Alive implements ratelimit.Fleet.
func (f *rateFleet) Alive() (alive, all int) {
	return f.daemon.node.FleetSize(lostDaemonTimeout)
}

// Exchange implements ratelimit.Fleet.
func (f *rateFleet) Exchange(ctx context.Context, address string, report ratelimit.Report) (ratelimit.Report, error) {
	return f.daemon.slots.Exchange(ctx, address, report)
}
