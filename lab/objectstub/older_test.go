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
	// storeAway is how long the store is away before it comes back older.
	storeAway = 600 * time.Millisecond
	// copyAge is how old the copy is from which it comes back.
	copyAge = 5 * time.Second
	// inForceBound is how long an accepted configuration may take to be in force everywhere.
	inForceBound = 2 * time.Second
)

// routeOf is the path of the routes that only one version of the configuration has.
func routeOf(version uint64) string {
	return fmt.Sprintf("/version-%d/", version)
}

// configureNext writes the next version of the configuration, with routes of its own, and returns it.
func (f *fleet) configureNext() uint64 {
	return f.configure(routeOf(f.version + versionStep))
}

// comesBackOlder lets the store be away and come back from a copy, to which the operator has
// since added so many versions of the configuration. It returns the last of these, which is in force.
func (f *fleet) comesBackOlder(versions int, meanwhile func()) uint64 {
	copied := f.store.Snapshot()
	for range versions {
		f.configureNext()
		time.Sleep(copyAge / time.Duration(versions))
	}
	lost := f.version
	require.Less(f.t, f.awaitRoute(routeOf(lost)+"safe/"), inForceBound)
	f.storeComesBack(copied)
	meanwhile()
	return lost
}

// storeComesBack lets the store be away for a moment and come back from a copy.
func (f *fleet) storeComesBack(from objectstub.Snapshot) {
	f.store.SetFaults(objectstub.Faults{Down: true})
	time.Sleep(storeAway)
	f.store.RollBack(from)
	f.store.SetFaults(objectstub.Faults{})
}

// holds checks for a while that every daemon serves the routes of a version.
func (f *fleet) holds(version uint64, lasts time.Duration) {
	for begun := time.Now(); time.Since(begun) < lasts; time.Sleep(50 * time.Millisecond) {
		for number := range f.daemons {
			require.Equal(f.t, http.StatusOK, f.send(number, routeOf(version)+"safe/").status, "daemon %d, %v after", number, time.Since(begun))
		}
	}
}

// TestConfigurationAfterStoreCameBackOlder writes versions of the configuration after the store has lost some: each is in
// force everywhere in time, and no daemon goes back to an earlier one meanwhile.
func TestConfigurationAfterStoreCameBackOlder(t *testing.T) {
	for _, one := range []struct {
		name string
		// lost happens to the version that was lost, which is in force.
		lost func(f *fleet, version uint64)
	}{
		{"the lost version is written again at once", func(f *fleet, version uint64) {
			f.configureVersion(version, routeOf(version))
		}},
		{"the lost version is written again later", func(f *fleet, version uint64) {
			f.holds(version, 3*time.Second)
			f.configureVersion(version, routeOf(version))
		}},
		{"the lost version is never written again", func(*fleet, uint64) {}},
	} {
		t.Run(one.name, func(t *testing.T) {
			run(t, 3, func(f *fleet) {
				f.configureNext()
				time.Sleep(time.Second)
				lost := f.comesBackOlder(3, func() {})
				one.lost(f, lost)
				f.holds(lost, time.Second)
				for range 3 {
					version := f.configureNext()
					require.Less(t, f.awaitRoute(routeOf(version)+"safe/"), inForceBound)
					f.holds(version, 2*time.Second)
				}
			})
		})
	}
}

// writtenAgain is how long after the return of the store the operator and the back ends have written again what it lost.
const writtenAgain = 2 * time.Second

// lostChange is a change of the store's objects that it loses.
type lostChange struct {
	name string
	// before happens before the copy is taken, and change after it; again writes what was lost anew.
	before, change, again func(f *fleet)
	// used says whether the first back end is to get requests once the change is in force.
	used bool
}

// Nothing, for the parts of a lostChange.
func nothing(*fleet) {}

// lostChanges are changes that say of the first back end, or of its zone, whether it is to be used.
func lostChanges() []lostChange {
	first := func(f *fleet, state string) { f.announce(f.workers[0], state) }
	remove := func(f *fleet) { f.store.Remove("servers", f.workers[0].id) }
	join := func(f *fleet) { first(f, "ready") }
	leave := func(f *fleet) { first(f, "draining") }
	empty := func(f *fleet) { f.store.Set("evacuations", "west", struct{}{}) }
	fill := func(f *fleet) { f.store.Remove("evacuations", "west") }
	restart := func(f *fleet) {
		f.workers[0].born = time.Now().UnixMilli()
		first(f, "ready")
	}
	again := func(f *fleet) { first(f, "ready") }
	return []lostChange{
		{name: "a back end joined", before: remove, change: join, again: join, used: true},
		{name: "a back end said that it leaves", before: nothing, change: leave, again: leave},
		{name: "a back end left", before: nothing, change: remove, again: remove},
		{name: "a back end that was leaving started again", before: leave, change: restart, again: again, used: true},
		{name: "a zone was evacuated", before: nothing, change: empty, again: empty},
		{name: "a zone was taken back", before: empty, change: fill, again: fill, used: true},
	}
}

// TestLostChangesHoldWhenStoreComesBackOlder lets the store lose a change of back ends or zones: it holds at every daemon until it is
// written again, and after that.
func TestLostChangesHoldWhenStoreComesBackOlder(t *testing.T) {
	for _, one := range lostChanges() {
		t.Run(one.name, func(t *testing.T) {
			run(t, 4, func(f *fleet) { one.play(f) })
		})
	}
}

func (c lostChange) play(f *fleet) {
	for _, worker := range f.workers {
		worker.born = time.Now().UnixMilli()
	}
	zone := f.zoned(1, "west")
	defer f.light(requestGap)()
	c.before(f)
	time.Sleep(2 * time.Second)
	copied := f.store.Snapshot()
	time.Sleep(time.Second)
	c.change(f)
	time.Sleep(evacuationBound)
	f.storeComesBack(copied)
	for _, span := range []string{"before it is written again", "afterwards"} {
		begun := zone[0].total()
		time.Sleep(writtenAgain)
		if c.used {
			require.Greater(f.t, zone[0].total(), begun, span)
		} else {
			require.Equal(f.t, begun, zone[0].total(), span)
		}
		if span == "before it is written again" {
			c.again(f)
		}
	}
	time.Sleep(20 * time.Second) // nothing is kept for longer
	begun := zone[0].total()
	time.Sleep(writtenAgain)
	require.Equal(f.t, c.used, zone[0].total() > begun, "at last")
}

// TestBackendThatIsNotWrittenAgainIsGone lets the store lose the entry of a back end that joined and has ended since: once those that
// live have written theirs again, it is taken for gone.
func TestBackendThatIsNotWrittenAgainIsGone(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.store.Remove("servers", f.workers[0].id)
		time.Sleep(2 * time.Second)
		copied := f.store.Snapshot()
		f.announce(f.workers[0], "ready")
		time.Sleep(2 * time.Second)
		f.storeComesBack(copied)
		defer f.light(requestGap)()
		time.Sleep(evacuationBound)
		begun := f.workers[0].total()
		time.Sleep(5 * time.Second)
		require.Equal(t, begun, f.workers[0].total())
	})
}

// olderTroubles come to a fleet while the store is coming back older.
var olderTroubles = []struct {
	name string
	// plays happens right after the return, and says after how long all daemons are in touch.
	plays func(f *fleet, copied objectstub.Snapshot) (inTouch time.Duration)
}{
	{"calm", func(*fleet, objectstub.Snapshot) time.Duration { return 0 }},
	{"daemons start meanwhile", func(f *fleet, _ objectstub.Snapshot) time.Duration {
		f.restart(0)
		f.restart(0)
		return contact
	}},
	{"it comes back older twice", func(f *fleet, copied objectstub.Snapshot) time.Duration {
		time.Sleep(time.Second)
		f.storeComesBack(copied)
		return 0
	}},
	{"one daemon is kept away from the others and the store", func(f *fleet, _ objectstub.Snapshot) time.Duration {
		f.net.SetPartitionRule(func(a, b string) bool {
			isCaller := strings.HasPrefix(a, "callers") || strings.HasPrefix(b, "callers")
			return !isCaller && (a == hostOf(1)) != (b == hostOf(1)) && !strings.HasPrefix(a, "i-") && !strings.HasPrefix(b, "i-")
		})
		time.Sleep(4 * time.Second)
		f.net.SetPartitionRule(nil)
		return contact
	}},
	{"a daemon is frozen and wakes", func(f *fleet, _ objectstub.Snapshot) time.Duration {
		f.net.SetFrozen(hostOf(1), true)
		time.Sleep(4 * time.Second)
		f.net.SetFrozen(hostOf(1), false)
		return contact
	}},
	{"watches are deaf and history is dropped", func(f *fleet, _ objectstub.Snapshot) time.Duration {
		f.store.SetFaults(objectstub.Faults{StallWatches: true})
		time.Sleep(time.Second)
		f.store.Compact()
		f.store.SetFaults(objectstub.Faults{})
		return contact
	}},
}

// TestConfigurationInTroublesAfterStoreCameBackOlder plays other troubles while the store comes back older: once daemons are in touch,
// they have what was accepted last, and all versions that come after are in force in time.
func TestConfigurationInTroublesAfterStoreCameBackOlder(t *testing.T) {
	for _, one := range olderTroubles {
		t.Run(one.name, func(t *testing.T) {
			run(t, 3, func(f *fleet) {
				f.configureNext()
				time.Sleep(time.Second)
				copied := f.store.Snapshot()
				lost := f.comesBackOlder(3, func() {})
				time.Sleep(one.plays(f, copied))
				f.holds(lost, time.Second)
				for range 3 {
					version := f.configureNext()
					require.Less(t, f.awaitRoute(routeOf(version)+"safe/"), inForceBound)
					f.holds(version, time.Second)
				}
			})
		})
	}
}

// TestDaemonThatStartsTakesNewestOfPeers starts daemons after the store has lost the newest configuration: none that says it is ready
// serves by the older one.
func TestDaemonThatStartsTakesNewestOfPeers(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.configureNext()
		time.Sleep(time.Second)
		lost := f.comesBackOlder(3, func() {})
		for range 4 {
			f.restart(0)
			started := len(f.daemons) - 1
			begun := time.Now()
			for f.daemons[started].Ready() != nil {
				time.Sleep(time.Millisecond)
			}
			t.Log("ready after", time.Since(begun))
			require.Less(t, time.Since(begun), time.Second)
			for time.Since(begun) < 3*time.Second {
				require.Equal(t, http.StatusOK, f.send(started, routeOf(lost)+"safe/").status, time.Since(begun))
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}

// TestReturnOfTheStoreCostsFewCalls lets the store of a larger fleet come back older: only the daemons that watch it list
// what it has, each kind once.
func TestReturnOfTheStoreCostsFewCalls(t *testing.T) {
	const size = 60
	runFleet(t, size, 3, func(f *fleet) {
		f.configureNext()
		copied := f.store.Snapshot()
		lost := f.comesBackOlder(1, func() {})
		kinds := []string{"config", "servers", "evacuations"}
		before := make(map[string]int)
		for _, kind := range kinds {
			before[kind] = f.store.ListCalls(kind)
		}
		f.storeComesBack(copied)
		f.holds(lost, 5*time.Second)
		for _, kind := range kinds {
			require.LessOrEqual(t, f.store.ListCalls(kind)-before[kind], watchers, kind)
		}
	})
}
