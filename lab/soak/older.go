package soak

import (
	"time"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

const (
	// copyAge is how old the copy is from which the store comes back.
	copyAge = 4 * time.Second
	// writtenAgain is how long after that the operator and the back ends have written again what it lost.
	writtenAgain = 1500 * time.Millisecond
)

// storeComesBackOlder lets the store be away and come back from a copy that is some seconds old.
func (f *fleet) storeComesBackOlder(away time.Duration) {
	copied := f.store.Snapshot()
	time.Sleep(copyAge)
	defer f.report.fault()()
	f.store.SetFaults(objectstub.Faults{Down: true})
	time.Sleep(away)
	lost := f.store.RollBack(copied)
	f.store.SetFaults(objectstub.Faults{})
	time.Sleep(writtenAgain)
	for _, kind := range []string{"config", "evacuations", "servers"} {
		f.store.RewriteLost(lost, kind)
	}
}
