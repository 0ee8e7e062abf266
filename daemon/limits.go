package daemon

import (
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
)

// isDeclared says whether a back end is declared.
func (d *Daemon) isDeclared(key backend.Key) bool {
	running, ok := d.services.Find(key.Service)
	return ok && running.HasBackend(key.Backend)
}

// applyLimit puts a back end's limit in force.
func (d *Daemon) applyLimit(key backend.Key) {
	if running, ok := d.services.Find(key.Service); ok {
		running.RefreshLimit(key.Backend)
	}
}

// tellLimit tells the other daemons of a back end's limit.
func (d *Daemon) tellLimit(record backendlimit.Record) {
	d.node.BroadcastLimit(record)
}

// partsInterval is how often the parts of limits are reckoned anew, which takes a walk over all
// members; members are lost and found no faster than heartbeats tell, once a second.
const partsInterval = 250 * time.Millisecond

// serviceLimits is what the daemon's services ask of limits. It implements service.Limits.
type serviceLimits struct {
	*backendlimit.Tracker
	daemon *Daemon

	mutex    sync.Mutex
	parts    backendlimit.Shares
	reckoned time.Time
}

// Shares implements service.Limits.
func (l *serviceLimits) Shares() backendlimit.Shares {
	if l.LimitedCount() == 0 {
		return backendlimit.FullShares
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := time.Now(); now.Sub(l.reckoned) >= partsInterval {
		l.reckoned = now
		alive, all := l.daemon.node.FleetSize(lostFor)
		l.parts = l.parts.Next(now, alive, all, l.daemon.node.RegionSize(), l.daemon.node.LastContact())
	}
	return l.parts
}
