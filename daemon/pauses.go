package daemon

import "github.com/tuliphall/tuliphall/backend"

// applyPause applies the pause that a back end has asked for to this daemon's probes. Requests look the pause up.
func (d *Daemon) applyPause(key backend.Key) {
	if running, ok := d.services.Find(key.Service); ok {
		running.RefreshPause(key.Backend)
	}
}
