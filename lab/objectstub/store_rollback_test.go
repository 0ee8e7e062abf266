package objectstub_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

const (
	// storeDowntime is how long the store is unavailable before a rollback.
	storeDowntime = 600 * time.Millisecond
	// snapshotAge is the age of the restored snapshot.
	snapshotAge = 5 * time.Second
	// inForceBound is the maximum time until an accepted configuration is in force everywhere.
	inForceBound = 2 * time.Second
)

// versionRoute returns the path prefix of the routes that only this version of the configuration has.
func versionRoute(version uint64) string {
	return fmt.Sprintf("/version-%d/", version)
}

// configureNext writes the next version of the configuration, with its own routes, and returns the version.
func (f *fleet) configureNext() uint64 {
	return f.configure(versionRoute(f.version + versionStep))
}

// rollBackStore writes this number of versions of the configuration, then makes the store unavailable and restores a
// snapshot taken before them. It calls afterRestore right afterwards, and returns the last version, which was in force.
func (f *fleet) rollBackStore(versions int, afterRestore func()) uint64 {
	snapshot := f.store.Snapshot()
	for range versions {
		f.configureNext()
		time.Sleep(snapshotAge / time.Duration(versions))
	}
	lastVersion := f.version
	require.Less(f.t, f.awaitRoute(versionRoute(lastVersion)+"safe/"), inForceBound)
	f.restoreStore(snapshot)
	afterRestore()
	return lastVersion
}

// restoreStore makes the store unavailable for storeDowntime and restores a snapshot.
func (f *fleet) restoreStore(snapshot objectstub.Snapshot) {
	f.store.SetFaults(objectstub.Faults{Down: true})
	time.Sleep(storeDowntime)
	f.store.RollBack(snapshot)
	f.store.SetFaults(objectstub.Faults{})
}

// requireServed checks for a duration that every daemon serves the routes of a version.
func (f *fleet) requireServed(version uint64, duration time.Duration) {
	for start := time.Now(); time.Since(start) < duration; time.Sleep(50 * time.Millisecond) {
		for number := range f.daemons {
			require.Equal(f.t, http.StatusOK, f.send(number, versionRoute(version)+"safe/").status, "daemon %d, after %v", number, time.Since(start))
		}
	}
}

// TestConfigurationAfterStoreRollback writes versions of the configuration after a rollback of the store has lost
// some: each is in force at all daemons in time, and no daemon returns to an earlier version.
func TestConfigurationAfterStoreRollback(t *testing.T) {
	for _, test := range []struct {
		name string
		// afterRollback runs after the rollback; version is the lost version, which is in force.
		afterRollback func(f *fleet, version uint64)
	}{
		{"the lost version is written again immediately", func(f *fleet, version uint64) {
			f.configureVersion(version, versionRoute(version))
		}},
		{"the lost version is written again later", func(f *fleet, version uint64) {
			f.requireServed(version, 3*time.Second)
			f.configureVersion(version, versionRoute(version))
		}},
		{"the lost version is never written again", func(*fleet, uint64) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, 3, func(f *fleet) {
				f.configureNext()
				time.Sleep(time.Second)
				lost := f.rollBackStore(3, func() {})
				test.afterRollback(f, lost)
				f.requireServed(lost, time.Second)
				for range 3 {
					version := f.configureNext()
					require.Less(t, f.awaitRoute(versionRoute(version)+"safe/"), inForceBound)
					f.requireServed(version, 2*time.Second)
				}
			})
		})
	}
}

// rewriteDelay is the time after a rollback within which the operator and the back ends have rewritten what was lost.
const rewriteDelay = 2 * time.Second

// lostChange is a change of objects in the store that a rollback loses.
type lostChange struct {
	name string
	// before runs before the snapshot, and change after it; rewrite writes the lost change again.
	before, change, rewrite func(f *fleet)
	// expectTraffic: the first back end gets requests once the change is in force.
	expectTraffic bool
}

// noChange is a lostChange function without effect.
func noChange(*fleet) {}

// lostChanges returns changes that start or stop traffic to the first back end or its zone.
func lostChanges() []lostChange {
	writeFirst := func(f *fleet, state string) { f.writeEntry(f.workers[0], state) }
	remove := func(f *fleet) { f.store.Remove("servers", f.workers[0].id) }
	join := func(f *fleet) { writeFirst(f, "ready") }
	drain := func(f *fleet) { writeFirst(f, "draining") }
	evacuate := func(f *fleet) { f.store.Set("evacuations", "west", struct{}{}) }
	restore := func(f *fleet) { f.store.Remove("evacuations", "west") }
	restart := func(f *fleet) {
		f.workers[0].startedAt = time.Now().UnixMilli()
		writeFirst(f, "ready")
	}
	rewriteReady := func(f *fleet) { writeFirst(f, "ready") }
	return []lostChange{
		{name: "a back end joined", before: remove, change: join, rewrite: join, expectTraffic: true},
		{name: "a back end reported draining", before: noChange, change: drain, rewrite: drain},
		{name: "a back end was removed", before: noChange, change: remove, rewrite: remove},
		{name: "a draining back end restarted", before: drain, change: restart, rewrite: rewriteReady, expectTraffic: true},
		{name: "a zone was evacuated", before: noChange, change: evacuate, rewrite: evacuate},
		{name: "a zone was restored", before: evacuate, change: restore, rewrite: restore, expectTraffic: true},
	}
}

// TestLostChangesHoldAfterStoreRollback loses a change of back ends or zones in a rollback: every daemon keeps it
// until it is written again, and afterwards.
func TestLostChangesHoldAfterStoreRollback(t *testing.T) {
	for _, test := range lostChanges() {
		t.Run(test.name, func(t *testing.T) {
			run(t, 4, func(f *fleet) { test.run(f) })
		})
	}
}

func (c lostChange) run(f *fleet) {
	for _, worker := range f.workers {
		worker.startedAt = time.Now().UnixMilli()
	}
	workers := f.assignZones(1, "west")
	defer f.sendPeriodically(requestInterval)()
	c.before(f)
	time.Sleep(2 * time.Second)
	snapshot := f.store.Snapshot()
	time.Sleep(time.Second)
	c.change(f)
	time.Sleep(evacuationBound)
	f.restoreStore(snapshot)
	for _, period := range []string{"before it is written again", "afterwards"} {
		before := workers[0].total()
		time.Sleep(rewriteDelay)
		if c.expectTraffic {
			require.Greater(f.t, workers[0].total(), before, period)
		} else {
			require.Equal(f.t, before, workers[0].total(), period)
		}
		if period == "before it is written again" {
			c.rewrite(f)
		}
	}
	time.Sleep(20 * time.Second) // the maximum time for which daemons keep lost changes
	before := workers[0].total()
	time.Sleep(rewriteDelay)
	require.Equal(f.t, c.expectTraffic, workers[0].total() > before, "after daemons stopped keeping lost changes")
}

// TestBackendNotRewrittenAfterStoreRollbackIsRemoved loses the entry of a back end that has stopped since: once the
// running back ends have rewritten their entries, it gets no more requests.
func TestBackendNotRewrittenAfterStoreRollbackIsRemoved(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.store.Remove("servers", f.workers[0].id)
		time.Sleep(2 * time.Second)
		snapshot := f.store.Snapshot()
		f.writeEntry(f.workers[0], "ready")
		time.Sleep(2 * time.Second)
		f.restoreStore(snapshot)
		defer f.sendPeriodically(requestInterval)()
		time.Sleep(evacuationBound)
		before := f.workers[0].total()
		time.Sleep(5 * time.Second)
		require.Equal(t, before, f.workers[0].total())
	})
}

// rollbackDisruptions are disruptions of a fleet during a rollback of the store.
var rollbackDisruptions = []struct {
	name string
	// apply runs right after the rollback, and returns the time until all daemons are connected again.
	apply func(f *fleet, snapshot objectstub.Snapshot) (reconnectDelay time.Duration)
}{
	{"no disruption", func(*fleet, objectstub.Snapshot) time.Duration { return 0 }},
	{"daemons are replaced", func(f *fleet, _ objectstub.Snapshot) time.Duration {
		f.replaceDaemon(0)
		f.replaceDaemon(0)
		return reconnectTime
	}},
	{"the store is rolled back twice", func(f *fleet, snapshot objectstub.Snapshot) time.Duration {
		time.Sleep(time.Second)
		f.restoreStore(snapshot)
		return 0
	}},
	{"a daemon is partitioned from the others and the store", func(f *fleet, _ objectstub.Snapshot) time.Duration {
		f.net.SetPartitionRule(func(a, b string) bool {
			isCaller := strings.HasPrefix(a, "callers") || strings.HasPrefix(b, "callers")
			return !isCaller && (a == hostOf(1)) != (b == hostOf(1)) && !strings.HasPrefix(a, "i-") && !strings.HasPrefix(b, "i-")
		})
		time.Sleep(4 * time.Second)
		f.net.SetPartitionRule(nil)
		return reconnectTime
	}},
	{"a daemon is frozen and recovers", func(f *fleet, _ objectstub.Snapshot) time.Duration {
		f.net.SetFrozen(hostOf(1), true)
		time.Sleep(4 * time.Second)
		f.net.SetFrozen(hostOf(1), false)
		return reconnectTime
	}},
	{"watches stall and history is compacted", func(f *fleet, _ objectstub.Snapshot) time.Duration {
		f.store.SetFaults(objectstub.Faults{StallWatches: true})
		time.Sleep(time.Second)
		f.store.Compact()
		f.store.SetFaults(objectstub.Faults{})
		return reconnectTime
	}},
}

// TestConfigurationAfterStoreRollbackDuringDisruptions injects other disruptions during a rollback of the store: once
// daemons are connected again, the last accepted version is in force, and all later versions are in force in time.
func TestConfigurationAfterStoreRollbackDuringDisruptions(t *testing.T) {
	for _, test := range rollbackDisruptions {
		t.Run(test.name, func(t *testing.T) {
			run(t, 3, func(f *fleet) {
				f.configureNext()
				time.Sleep(time.Second)
				snapshot := f.store.Snapshot()
				lost := f.rollBackStore(3, func() {})
				time.Sleep(test.apply(f, snapshot))
				f.requireServed(lost, time.Second)
				for range 3 {
					version := f.configureNext()
					require.Less(t, f.awaitRoute(versionRoute(version)+"safe/"), inForceBound)
					f.requireServed(version, time.Second)
				}
			})
		})
	}
}

// TestStartingDaemonTakesNewestConfigurationOfPeers starts daemons after the store has lost the newest configuration:
// each is ready within a second, and from then on serves by the newest one, which it got from its peers.
func TestStartingDaemonTakesNewestConfigurationOfPeers(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.configureNext()
		time.Sleep(time.Second)
		lost := f.rollBackStore(3, func() {})
		for range 4 {
			f.replaceDaemon(0)
			started := len(f.daemons) - 1
			start := time.Now()
			for f.daemons[started].Ready() != nil {
				time.Sleep(time.Millisecond)
			}
			t.Log("ready after", time.Since(start))
			require.Less(t, time.Since(start), time.Second)
			for time.Since(start) < 3*time.Second {
				require.Equal(t, http.StatusOK, f.send(started, versionRoute(lost)+"safe/").status, time.Since(start))
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}

// TestStoreCallsAfterStoreRollback rolls the store of a larger fleet back: only its watchers list objects, once for
// each kind.
func TestStoreCallsAfterStoreRollback(t *testing.T) {
	const size = 60
	runFleet(t, size, 3, func(f *fleet) {
		f.configureNext()
		snapshot := f.store.Snapshot()
		lost := f.rollBackStore(1, func() {})
		kinds := []string{"config", "servers", "evacuations"}
		before := make(map[string]int)
		for _, kind := range kinds {
			before[kind] = f.store.ListCalls(kind)
		}
		f.restoreStore(snapshot)
		f.requireServed(lost, 5*time.Second)
		for _, kind := range kinds {
			require.LessOrEqual(t, f.store.ListCalls(kind)-before[kind], watchers, kind)
		}
	})
}
