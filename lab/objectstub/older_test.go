package objectstub_test

import (
	"fmt"
	"net/http"
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
	copied := f.store.Copy()
	for range versions {
		f.configureNext()
		time.Sleep(copyAge / time.Duration(versions))
	}
	lost := f.version
	require.Less(f.t, f.awaitRoute(routeOf(lost)+"safe/"), inForceBound)
	f.store.SetFaults(objectstub.Faults{Down: true})
	time.Sleep(storeAway)
	f.store.ComeBackOlder(copied)
	f.store.SetFaults(objectstub.Faults{})
	meanwhile()
	return lost
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
