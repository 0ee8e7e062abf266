package objectstub_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/daemon"
	"github.com/tuliphall/tuliphall/lab/objectstub"
	"github.com/tuliphall/tuliphall/settings"
)

// awaitRoute returns how long it takes until every daemon serves a route.
func (f *fleet) awaitRoute(path string) time.Duration {
	begun := time.Now()
	for number := range daemons {
		for f.send(number, path).status != http.StatusOK {
			if time.Since(begun) > time.Minute {
				f.t.Fatalf("daemon %d never served %s", number, path)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(begun)
}

// TestConfigurationInForce puts a new configuration in force everywhere, also when
// every watch is deaf and the store drops its history.
func TestConfigurationInForce(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.configure("/two/")
		require.Less(t, f.awaitRoute("/two/safe/"), 200*time.Millisecond)
		f.store.SetFaults(objectstub.Faults{StallWatches: true})
		f.configure("/three/")
		f.store.Compact()
		require.Less(t, f.awaitRoute("/three/safe/"), 2*time.Second)
		f.store.SetFaults(objectstub.Faults{})
		require.Equal(t, http.StatusNotFound, f.send(0, "/two/safe/").status)
	})
}

// inForce returns how long it takes until every daemon has a revision of the
// configuration or of the directory.
func (f *fleet) inForce(revision uint64) time.Duration {
	begun := time.Now()
	for f.heard(revision) < len(f.daemons) {
		if time.Since(begun) > time.Minute {
			f.t.Fatalf("revision %d never reached all", revision)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(begun)
}

// TestNewsReachesAll changes configuration and directory at a fleet in which only a
// few daemons watch the store: all others hear of each change soon, none is missed.
func TestNewsReachesAll(t *testing.T) {
	runFleet(t, 60, 3, func(f *fleet) {
		for number := range 30 {
			time.Sleep(2 * time.Second)
			f.configure(fmt.Sprintf("/change-%d/", number))
			require.Less(t, f.inForce(f.store.Revision()), 250*time.Millisecond)
			time.Sleep(2 * time.Second)
			f.announce(f.workers[0], []string{"draining", "ready"}[number%2])
			require.Less(t, f.inForce(f.store.Revision()), 250*time.Millisecond)
		}
	})
}

// TestNewsRightAfterNews makes two changes in the same instant, so that some of those who watch the store
// pause already when they could hear of the second one: once one has, all do as soon as usual.
func TestNewsRightAfterNews(t *testing.T) {
	runFleet(t, 20, 2, func(f *fleet) {
		slowest := time.Duration(0)
		for number := range 100 {
			time.Sleep(2 * time.Second)
			state := []string{"draining", "ready"}[number%2]
			f.announce(f.workers[0], state)
			f.announce(f.workers[1], state)
			revision := f.store.Revision()
			for f.heard(revision) == 0 {
				time.Sleep(time.Millisecond)
			}
			slowest = max(slowest, f.inForce(revision))
		}
		t.Logf("in force everywhere %v after the first heard of it, at the latest", slowest)
		require.Less(t, slowest, 250*time.Millisecond)
	})
}

// heard returns how many daemons have a revision of the configuration or of the directory.
func (f *fleet) heard(revision uint64) int {
	heard := 0
	for _, one := range f.daemons {
		position := one.Document().Position()
		if uint64(max(position.StoreVersion, position.Directory)) >= revision {
			heard++
		}
	}
	return heard
}

// TestNewsWithoutTellers changes the configuration while daemons that watch the
// store are dead and not yet known to be: the others make up for them.
func TestNewsWithoutTellers(t *testing.T) {
	runFleet(t, 40, 1, func(f *fleet) {
		killed := 0
		var alive []*daemon.Daemon
		for _, one := range f.daemons {
			if killed < watchers/2 && one.Status(f.t.Context()).Watching {
				one.Kill()
				killed++
				continue
			}
			alive = append(alive, one)
		}
		require.Equal(t, watchers/2, killed)
		f.daemons = alive
		f.configure("/change/")
		require.Less(t, f.inForce(f.store.Revision()), 2*time.Second)
	})
}

// TestNewsWithoutAnyTeller changes the configuration right after all daemons that watch
// the store have lost their power, and most others with them: those that are left watch
// it in their place.
func TestNewsWithoutAnyTeller(t *testing.T) {
	for _, size := range []int{13, 18, 60} {
		for _, pause := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			runFleet(t, size, 1, func(f *fleet) {
				f.powerOff(func(one *daemon.Daemon, number int) bool {
					return one.Status(f.t.Context()).Watching || number%5 != 0
				})
				defer f.light(20 * time.Millisecond)()
				time.Sleep(pause)
				f.configure("/change/")
				took := f.inForce(f.store.Revision())
				require.Less(t, took, 1500*time.Millisecond, "%d daemons, %v later", size, pause)
			})
		}
	}
}

// TestStandingInListsNothing lets daemons watch in the place of those without power: they
// go on from what they were told, and do not list all back ends anew.
func TestStandingInListsNothing(t *testing.T) {
	runFleet(t, 18, 3, func(f *fleet) {
		f.announce(f.workers[0], "draining")
		f.store.Compact() // what they read at their start is too old to go on from
		// Those who watch pause after news (watch_interval). Whether they heard of the first
		// change before the second, in the same instant, hung on the scheduler.
		time.Sleep(time.Second)
		f.announce(f.workers[1], "draining")
		require.Less(t, f.inForce(f.store.Revision()), 250*time.Millisecond)
		listed := f.store.ListCalls("servers")
		f.powerOff(func(one *daemon.Daemon, _ int) bool { return one.Status(f.t.Context()).Watching })
		f.announce(f.workers[0], "ready")
		require.Less(t, f.inForce(f.store.Revision()), 1500*time.Millisecond)
		time.Sleep(time.Second)
		require.Equal(t, listed, f.store.ListCalls("servers"))
	})
}

// powerOff silences the daemons that strike chooses, as machines without power are.
// They are not among the fleet's daemons any more.
func (f *fleet) powerOff(strike func(one *daemon.Daemon, number int) bool) {
	var alive []*daemon.Daemon
	for number, one := range f.daemons {
		if strike(one, number) {
			f.dark = append(f.dark, darkened{Daemon: one, host: hostOf(number)})
			continue
		}
		alive = append(alive, one)
	}
	f.daemons = alive
	for _, one := range f.dark {
		f.net.SetFrozen(one.host, true)
	}
}

// darkened is a daemon whose machine has no power.
type darkened struct {
	*daemon.Daemon
	host string
}

// light sends a request through each daemon in turn until the returned function is
// called, one each interval.
func (f *fleet) light(interval time.Duration) (stop func()) {
	over := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		var sending sync.WaitGroup
		defer sending.Wait()
		for number := 0; ; number++ {
			select {
			case <-over:
				return
			case <-time.After(interval):
				sending.Go(func() { f.send(number%len(f.daemons), "/one/safe/") })
			}
		}
	}()
	return func() {
		close(over)
		<-done
	}
}

// startAnew kills all daemons and starts as many others at once.
func (f *fleet) startAnew() {
	size := len(f.daemons)
	for _, one := range f.daemons {
		one.Kill()
	}
	f.daemons = nil
	var seeds []string
	for number := range seedsTold {
		host := strings.TrimSuffix(f.net.Address(hostOf(size+number)), ":0")
		seeds = append(seeds, fmt.Sprintf("%s:%d", host, seedPort))
	}
	for number := range size {
		address := f.net.Address(hostOf(size + number))
		if number < seedsTold {
			address = seeds[number]
		}
		f.startAt(size+number, f.storeAddress, address, seeds)
	}
}

// seedPort is where seeds that are known before they start hear other daemons.
const seedPort = 7000

// TestKnownSoonAfterAllStart loses all daemons at once: those that start in their
// place soon know each other, so that they agree on who gives out places.
func TestKnownSoonAfterAllStart(t *testing.T) {
	const size = 60
	runFleet(t, size, 1, func(f *fleet) {
		f.startAnew()
		begun := time.Now()
		for _, one := range f.daemons {
			for one.AliveCount() < size {
				require.Less(f.t, time.Since(begun), time.Minute)
				time.Sleep(time.Millisecond)
			}
		}
		require.Less(f.t, time.Since(begun), 1200*time.Millisecond)
	})
}

// dispatchersOf returns the daemons that some daemons take for the dispatcher of the
// workers' service.
func dispatchersOf(daemons []*daemon.Daemon) map[string]int {
	chosen := make(map[string]int)
	for _, one := range daemons {
		member, _ := one.DispatcherOf("board")
		chosen[member.Name]++
	}
	return chosen
}

// TestOneDispatcherAfterAllStart loses all daemons at once: those that start in their
// place agree on who gives out places long before they know each other, and while callers
// come back.
func TestOneDispatcherAfterAllStart(t *testing.T) {
	const size = 60
	runFleet(t, size, 1, func(f *fleet) {
		f.startAnew()
		for range 38 {
			time.Sleep(100 * time.Millisecond)
			require.Len(t, dispatchersOf(f.daemons), 1)
		}
		time.Sleep(time.Second)
		require.Len(t, dispatchersOf(f.daemons), 1)
	})
}

// TestChangeAfterAllStart loses all daemons at once and changes the configuration while
// those that start in their place have just read it: the change is in force everywhere
// as soon as they know each other.
func TestChangeAfterAllStart(t *testing.T) {
	for _, size := range []int{13, 60} {
		runFleet(t, size, 1, func(f *fleet) {
			f.startAnew()
			time.Sleep(300 * time.Millisecond)
			f.configure("/change/")
			require.Less(t, f.inForce(f.store.Revision()), 1200*time.Millisecond)
		})
	}
}

// TestStopAmongSilentMembers stops a daemon whose members do not answer: telling them
// that it leaves takes none of the time that the platform gives it.
func TestStopAmongSilentMembers(t *testing.T) {
	run(t, 1, func(f *fleet) {
		stopped := f.daemons[0]
		defer func() { f.daemons = nil }()
		f.powerOff(func(one *daemon.Daemon, _ int) bool { return one != stopped })
		begun := time.Now()
		require.NoError(t, stopped.Stop(f.t.Context()))
		require.Less(t, time.Since(begun), time.Duration(settings.DefaultNotice)+100*time.Millisecond)
	})
}

// TestSeedsThatStartLater starts daemons before their seeds, to which connections are
// neither opened nor refused meanwhile: they join as soon as the seeds are there.
func TestSeedsThatStartLater(t *testing.T) {
	const size, late = 30, 400 * time.Millisecond
	runFleet(t, 1, 1, func(f *fleet) {
		f.daemons[0].Kill()
		f.daemons = nil
		var seeds []string
		for number := range seedsTold {
			listener, err := f.net.Network(hostOf(100 + number)).Listen(f.net.Address(hostOf(100 + number)))
			require.NoError(t, err)
			seeds = append(seeds, listener.Addr().String())
			defer listener.Close() // until then what was dialed before stays unanswered
		}
		for number := range size {
			f.startAt(200+number, f.storeAddress, f.net.Address(hostOf(200+number)), seeds)
		}
		time.Sleep(late)
		for number, address := range seeds {
			f.startAt(100+number, f.storeAddress, address, seeds)
		}
		time.Sleep(250 * time.Millisecond)
		require.Len(t, dispatchersOf(f.daemons), 1)
	})
}

// TestStoreDownAtStart lets a daemon start while the store is down: it learns
// routes and back ends from the others.
func TestStoreDownAtStart(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.store.SetFaults(objectstub.Faults{Down: true})
		f.start(daemons, "127.0.0.1:1")
		time.Sleep(5 * time.Second)
		require.Equal(t, http.StatusOK, f.send(daemons, "/one/safe/").status)
	})
}
