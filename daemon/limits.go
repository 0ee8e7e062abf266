package daemon

import (
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
)

// isDeclared reports whether the configuration contains a back end.
func (d *Daemon) isDeclared(key backend.Key) bool {
	running, ok := d.services.Find(key.Service)
	return ok && running.HasBackend(key.Backend)
}

// applyLimit applies the request limit of a back end.
func (d *Daemon) applyLimit(key backend.Key) {
	if running, ok := d.services.Find(key.Service); ok {
		running.RefreshLimit(key.Backend)
	}
}

// broadcastLimit sends the request limit of a back end to the other daemons.
func (d *Daemon) broadcastLimit(record backendlimit.Record) {
	d.node.BroadcastLimit(record)
}

// sharesInterval is how often the shares of limits are recomputed, which iterates over all members.
// Members are lost and found no faster than the heartbeat interval of one second.
const sharesInterval = 250 * time.Millisecond

// serviceLimits provides the limits of back ends to the services. It implements service.Limits.
type serviceLimits struct {
	*backendlimit.Tracker
	daemon *Daemon

	mutex      sync.Mutex
	shares     backendlimit.Shares
	computedAt time.Time
}

// Shares implements service.Limits.
func (l *serviceLimits) Shares() backendlimit.Shares {
	if l.LimitedCount() == 0 {
		return backendlimit.FullShares
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := time.Now(); now.Sub(l.computedAt) >= sharesInterval {
		l.computedAt = now
		alive, all := l.daemon.node.FleetSize(lostDaemonTimeout)
		l.shares = l.shares.Next(now, alive, all, l.daemon.node.RegionSize(), l.daemon.node.LastContact())
	}
	return l.shares
}
