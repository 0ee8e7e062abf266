package daemon

import (
	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/quarantine"
)

// readsQuarantine reports whether this daemon reads the quarantined requests from the store, as
// the daemons that watch the store do. A daemon that has run since the first start of the whole
// system has received them from its peers.
func (d *Daemon) readsQuarantine() bool {
	return d.follower.Watching() && !d.settings.Platform.FirstStart
}

// broadcastCrashingRequest sends the record of a request under which back ends crashed to the other daemons.
func (d *Daemon) broadcastCrashingRequest(record quarantine.Record) {
	d.node.BroadcastCrashingRequest(record)
}

// CrashingRequests implements admin.QuarantineManager.
func (d *Daemon) CrashingRequests() []admin.CrashingRequest {
	rows := []admin.CrashingRequest{}
	for _, entry := range d.quarantine.Entries() {
		rows = append(rows, admin.CrashingRequest{
			Fingerprint: entry.Fingerprint.String(), Service: entry.Service, Description: entry.Description, Crashes: len(entry.Crashes),
			Quarantined: entry.Quarantined, Manual: entry.ManualAt > 0, Until: entry.Until,
		})
	}
	return rows
}

// Quarantine implements admin.QuarantineManager.
func (d *Daemon) Quarantine(fingerprint quarantine.Fingerprint, release bool) error {
	if !release {
		d.quarantine.Quarantine(quarantine.Record{Fingerprint: fingerprint})
		return nil
	}
	if !d.quarantine.Release(fingerprint) {
		return errors.NotFoundf("request with fingerprint %s", fingerprint)
	}
	return nil
}
