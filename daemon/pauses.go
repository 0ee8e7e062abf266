package daemon

import "github.com/tuliphall/tuliphall/backend"

// applyPause puts in force for this daemon's probes that a back end asked it for a pause. Requests look it up.
func (d *Daemon) applyPause(key backend.Key) {
	if running, ok := d.services.Find(key.Service); ok {
		running.RefreshPause(key.Backend)
	}
}
