package objectstub_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/daemon"
	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// How soon an evacuated zone gets nothing new.
const (
	// evacuationBound is what the users' platform allows.
	evacuationBound = 5 * time.Second
	// calmEvacuation is how long it may take while nothing is wrong. Daemons that watch hear
	// at once unless they have just had news, and tell the others.
	calmEvacuation = time.Second
	// contact is how long after the end of a fault daemons count as in touch again.
	contact = 3 * time.Second
	// requestGap is the time between two requests.
	requestGap = 4 * time.Millisecond
)

// zoned puts the first workers into a zone and the others into another one, which is as far
// from the daemons, and returns the first.
func (f *fleet) zoned(count int, zone string) []*worker {
	for _, one := range f.workers[:count] {
		one.zone = zone
		f.announce(one, "ready")
	}
	for _, one := range f.workers[count:] {
		one.zone = "north"
		f.announce(one, "ready")
	}
	time.Sleep(2 * time.Second)
	return f.workers[:count]
}

// lastArrival returns when a request last reached any of the workers.
func lastArrival(workers []*worker) time.Time {
	var last time.Time
	for _, one := range workers {
		one.change(func() {
			if len(one.arrivals) > 0 && one.arrivals[len(one.arrivals)-1].After(last) {
				last = one.arrivals[len(one.arrivals)-1]
			}
		})
	}
	return last
}

// evacuationTrouble is what goes wrong while a zone is evacuated.
type evacuationTrouble struct {
	name string
	// before happens right before the evacuation is acknowledged, after right after it.
	before, after func(f *fleet)
	// paused: no requests come while after runs, as daemons are killed.
	paused bool
	// excused is how long after the acknowledgement requests may reach the zone.
	excused time.Duration
}

var evacuationTroubles = []evacuationTrouble{
	{name: "calm", excused: calmEvacuation},
	{name: "watches are deaf and history is dropped", excused: evacuationBound,
		before: func(f *fleet) { f.store.SetFaults(objectstub.Faults{StallWatches: true}) },
		after: func(f *fleet) {
			time.Sleep(time.Second)
			f.store.Compact()
			f.store.SetFaults(objectstub.Faults{})
		}},
	{name: "the store is down from then on", excused: 4*time.Second + contact,
		before: func(f *fleet) { f.store.SetFaults(objectstub.Faults{StallWatches: true}) },
		after: func(f *fleet) {
			f.store.SetFaults(objectstub.Faults{Down: true})
			time.Sleep(4 * time.Second)
			f.store.SetFaults(objectstub.Faults{})
		}},
	{name: "all daemons start anew", excused: contact, paused: true, after: (*fleet).startAnew},
	{name: "daemons that watch lose their power", excused: evacuationBound,
		after: func(f *fleet) {
			watching := 0
			f.powerOff(func(one *daemon.Daemon, _ int) bool {
				watching++
				return one.Status(f.t.Context()).Watching && watching <= 2
			})
		}},
	{name: "a daemon joins", excused: calmEvacuation,
		after: func(f *fleet) { f.start(100, f.storeAddress) }},
	{name: "configurations come in quick succession", excused: evacuationBound,
		before: func(f *fleet) {
			for range 5 {
				f.configure("/one/")
				time.Sleep(100 * time.Millisecond)
			}
		}},
	{name: "another zone is evacuated and taken back", excused: calmEvacuation,
		before: func(f *fleet) { f.store.Set("evacuations", "east", struct{}{}) },
		after:  func(f *fleet) { f.store.Remove("evacuations", "east") }},
}

// TestEvacuatedZoneGetsNothing evacuates a zone while requests come through every daemon
// and things go wrong: none reaches its workers after the bound, every request is served
// by the others, and the zone is used again once it is taken back.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	for _, trouble := range evacuationTroubles {
		t.Run(trouble.name, func(t *testing.T) {
			runFleet(t, 12, 6, func(f *fleet) { trouble.play(f) })
		})
	}
}

func (e evacuationTrouble) play(f *fleet) {
	emptied := f.zoned(3, "west")
	for _, one := range f.workers {
		one.change(func() { one.work = 30 * time.Millisecond })
	}
	dark := f.light(requestGap)
	defer func() { dark() }()
	time.Sleep(time.Second)
	if e.before != nil {
		e.before(f)
	}
	require.Less(f.t, time.Since(lastArrival(emptied)), time.Second, "the zone is in use")
	f.store.Set("evacuations", "west", struct{}{})
	acknowledged := time.Now()
	if e.paused {
		dark()
		time.Sleep(time.Second) // until the daemons have logged how the requests ended
		acknowledged = time.Now()
	}
	if e.after != nil {
		e.after(f)
	}
	if e.paused {
		dark = f.light(requestGap)
	}
	time.Sleep(2 * evacuationBound)
	took := lastArrival(emptied).Sub(acknowledged)
	f.t.Log("last request after", took)
	require.Less(f.t, took, e.excused)
	f.store.Remove("evacuations", "west")
	time.Sleep(evacuationBound)
	require.Less(f.t, time.Since(lastArrival(emptied)), time.Second, "the zone is in use again")
}

// TestAllZonesEvacuated refuses at once, with a time to come back, what no back end may
// have, and serves again as soon as a zone is taken back.
func TestAllZonesEvacuated(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.store.Set("evacuations", "zone", struct{}{})
		time.Sleep(calmEvacuation)
		ran := f.workers[0].total() + f.workers[1].total() + f.workers[2].total()
		begun := time.Now()
		got := f.send(1, "/one/unsafe/")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, time.Since(begun), 50*time.Millisecond)
		require.Equal(t, ran, f.workers[0].total()+f.workers[1].total()+f.workers[2].total())
		f.store.Remove("evacuations", "zone")
		time.Sleep(calmEvacuation)
		require.Equal(t, http.StatusOK, f.send(1, "/one/unsafe/").status)
	})
}

// TestEvacuationLetsRequestsEnd does not disturb what a worker of the zone works on.
func TestEvacuationLetsRequestsEnd(t *testing.T) {
	run(t, 1, func(f *fleet) {
		f.workers[0].change(func() { f.workers[0].work = 800 * time.Millisecond })
		got := make(chan answer)
		go func() { got <- f.send(2, "/one/unsafe/") }()
		time.Sleep(100 * time.Millisecond)
		f.store.Set("evacuations", "zone", struct{}{})
		require.Equal(t, http.StatusOK, (<-got).status)
	})
}

// TestEvacuationCosts counts the calls to the store that knowing of evacuations costs:
// those who watch renew their watch of them half as often as that of the configuration.
func TestEvacuationCosts(t *testing.T) {
	runFleet(t, 12, 1, func(f *fleet) {
		const span = 30 * time.Second
		time.Sleep(10 * time.Second)
		require.Equal(t, watchers, f.store.ListCalls("evacuations"), "only those who watch list them, once")
		before, calls := f.store.WatchCalls("evacuations"), f.store.WatchCalls("config")
		time.Sleep(span)
		watches, configuration := f.store.WatchCalls("evacuations")-before, f.store.WatchCalls("config")-calls
		t.Log("watches in", span, "evacuations", watches, "configuration", configuration)
		require.LessOrEqual(t, 3*watches, 2*configuration)
	})
}

// busiestSecond returns the most requests that reached a worker within a second, from a
// moment on.
func (w *worker) busiestSecond(from time.Time) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	first, most := 0, 0
	for last, at := range w.arrivals {
		for w.arrivals[first].Before(from) && first < last || at.Sub(w.arrivals[first]) >= time.Second {
			first++
		}
		if !at.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// What a cold worker of these tests bears, and how long it is cold.
const (
	coldFor   = 3 * time.Second
	coldBears = 2.5 // requests a second
	// coldBound is what may reach it within a second, as the users' platform counts.
	coldBound = 1.5*coldBears + 8
)

// flood sends requests through all daemons, so many a second, for a while.
func (f *fleet) flood(perSecond int, lasts time.Duration) {
	var sending sync.WaitGroup
	for number := range int(lasts.Seconds() * float64(perSecond)) {
		sending.Go(func() { f.send(number%len(f.daemons), "/one/safe/") })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	sending.Wait()
}

// TestColdZoneIsSpared takes a zone back, whose workers may have turned cold, at the peak:
// each gets no more than it bears, and all it can take once it is warm.
func TestColdZoneIsSpared(t *testing.T) {
	run(t, 6, func(f *fleet) {
		f.declareCold()
		cold := f.zoned(3, "west")
		f.flood(200, 2*time.Second)
		f.store.Set("evacuations", "west", struct{}{})
		f.flood(200, 2*time.Second)
		f.store.Remove("evacuations", "west")
		back := time.Now()
		f.flood(200, coldFor-500*time.Millisecond)
		f.requireSpared(cold, back)
		f.flood(400, 3*time.Second) // more at once than the others are
		for _, one := range cold {
			require.Greater(t, float64(one.busiestSecond(time.Now().Add(-time.Second))), coldBears+1, "warm again")
		}
	})
}

// declareCold declares what cold workers bear.
func (f *fleet) declareCold() {
	f.service["warmupS"], f.service["warmupPerS"] = coldFor.Seconds(), coldBears
	f.configure("/one/")
	time.Sleep(time.Second)
}

// requireSpared checks that no worker got more than it bears, with one dispatcher.
func (f *fleet) requireSpared(cold []*worker, from time.Time) {
	most := 0
	for _, one := range cold {
		most = max(most, one.busiestSecond(from))
	}
	f.t.Logf("busiest second of a cold worker: %d of %.1f borne", most, coldBears)
	require.LessOrEqual(f.t, float64(most), coldBears+1, "no more than what comes evenly spaced")
}

// TestNewWorkersAreSpared lets as many cold workers join as there were during a burst.
func TestNewWorkersAreSpared(t *testing.T) {
	run(t, 6, func(f *fleet) {
		f.declareCold()
		for _, one := range f.workers[:3] {
			f.store.Remove("servers", one.id)
		}
		time.Sleep(time.Second)
		for _, one := range f.workers[:3] {
			one.warmUpLeft = coldFor
			f.announce(one, "ready")
		}
		joined := time.Now()
		f.flood(300, coldFor-500*time.Millisecond)
		f.requireSpared(f.workers[:3], joined)
	})
}

// TestColdWorkersWithoutDispatcher loses the daemon that dispatches while every worker is
// cold: all daemons that choose by themselves meanwhile stay within the bound together.
func TestColdWorkersWithoutDispatcher(t *testing.T) {
	runFleet(t, 20, 4, func(f *fleet) {
		f.declareCold()
		for _, one := range f.workers {
			one.warmUpLeft = coldFor
			f.announce(one, "ready")
		}
		time.Sleep(300 * time.Millisecond)
		turned := time.Now()
		member, other := f.daemons[0].DispatcherOf("board")
		f.powerOff(func(one *daemon.Daemon, number int) bool {
			return other && hostOf(number) == member.Name || !other && number == 0
		})
		f.flood(400, coldFor-500*time.Millisecond)
		for _, one := range f.workers {
			require.LessOrEqual(t, float64(one.busiestSecond(turned)), coldBound)
		}
	})
}

// TestSharesWhileOneIsShort keeps the shares of a split route while the workers of one
// part refuse all: what does not fit is refused, and not moved to the other part.
func TestSharesWhileOneIsShort(t *testing.T) {
	run(t, 4, func(f *fleet) {
		for _, one := range f.workers[2:] {
			one.service = "second"
			f.announce(one, "ready")
			one.change(func() { one.refuse = true })
		}
		f.split = map[string]int{"board": 50, "second": 50}
		f.configure("/split/")
		time.Sleep(time.Second)
		const requests = 400
		statuses := map[int]int{}
		for number := range requests {
			statuses[f.send(number%daemons, "/split/safe/").status]++
		}
		first := f.workers[0].total() + f.workers[1].total()
		require.InDelta(t, 0.5, float64(first)/requests, 0.05)
		require.Equal(t, requests-first, statuses[http.StatusServiceUnavailable])
	})
}

// TestBusiestSecond checks the counting that the tests of cold workers rely on.
func TestBusiestSecond(t *testing.T) {
	one := &worker{}
	begun := time.Now()
	for _, after := range []time.Duration{0, 100, 200, 1300, 1400, 1500, 1600, 3000} {
		one.arrivals = append(one.arrivals, begun.Add(after*time.Millisecond))
	}
	require.True(t, slices.IsSortedFunc(one.arrivals, time.Time.Compare))
	require.Equal(t, 4, one.busiestSecond(begun))
	require.Equal(t, 1, one.busiestSecond(begun.Add(2*time.Second)))
}
