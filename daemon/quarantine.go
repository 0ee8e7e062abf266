package daemon

import (
	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/admin"
	"github.com/tuliphall/tuliphall/quarantine"
)

// readsQuarantine says whether this daemon reads from the store which requests are held back:
// as those that watch it do. A daemon that has run since the whole system started has been told.
func (d *Daemon) readsQuarantine() bool {
	return d.follower.Watching() && !d.settings.Platform.FirstStart
}

// tellCrashingRequest tells others what was noted of a request under which back ends ended.
func (d *Daemon) tellCrashingRequest(record quarantine.Record) {
	d.node.BroadcastCrashingRequest(record)
}

// CrashingRequests implements admin.QuarantineBackend.
func (d *Daemon) CrashingRequests() []admin.CrashingRequest {
	rows := []admin.CrashingRequest{}
	for _, noted := range d.quarantine.Entries() {
		rows = append(rows, admin.CrashingRequest{
			Fingerprint: noted.Fingerprint.String(), Service: noted.Service, Description: noted.Description, Crashes: len(noted.Crashes),
			Quarantined: noted.Quarantined, Manual: noted.ManualAt > 0, Until: noted.Until,
		})
	}
	return rows
}

// Quarantine implements admin.QuarantineBackend.
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
