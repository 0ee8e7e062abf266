package daemon

import (
	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/drain"
)

// applyDrain applies the known drain state of a back end.
func (d *Daemon) applyDrain(key backend.Key) {
	if running, ok := d.services.Find(key.Service); ok {
		running.RefreshDrain(key.Backend)
	}
}

// broadcastDrain tells the other daemons that a back end started or stopped draining.
func (d *Daemon) broadcastDrain(record drain.Record) {
	d.node.BroadcastDrain(record)
}
