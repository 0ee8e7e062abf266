package soak

import (
	"time"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

const (
	// snapshotAge is the age of the backup that the store is restored from.
	snapshotAge = 4 * time.Second
	// rewriteDelay is the time from the rollback until the operator and the back ends have written the
	// lost entries again.
	rewriteDelay = 1500 * time.Millisecond
)

// rollBackStore makes the store unavailable for the given time and restores it from a backup of
// snapshotAge. The lost entries are written again after rewriteDelay.
func (f *fleet) rollBackStore(outage time.Duration) {
	snapshot := f.store.Snapshot()
	time.Sleep(snapshotAge)
	defer f.report.beginFault()()
	f.store.SetFaults(objectstub.Faults{Down: true})
	time.Sleep(outage)
	lost := f.store.RollBack(snapshot)
	f.store.SetFaults(objectstub.Faults{})
	time.Sleep(rewriteDelay)
	for _, kind := range []string{"config", "evacuations", "servers"} {
		f.store.RewriteLost(lost, kind)
	}
}
