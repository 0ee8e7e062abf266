package daemon

import (
	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/drain"
)

// applyDrain puts in force what is known of whether a back end is leaving.
func (d *Daemon) applyDrain(key backend.Key) {
	if running, ok := d.services.Find(key.Service); ok {
		running.RefreshDrain(key.Backend)
	}
}

// tellDrain tells the other daemons that a back end is leaving, or is back.
func (d *Daemon) tellDrain(record drain.Record) {
	d.node.BroadcastDrain(record)
}
