package objectstub_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is promised to a back end that names a limit.
const (
	// limitWindow is over which time it is counted what a back end gets.
	limitWindow = 4 * time.Second
	// limitInForce is after how long all daemons have heard of a limit. News reaches all members
	// within a second; what was under way before may still come.
	limitInForce = time.Second
)

// most is how many requests and probes a back end with a limit may get in a window: what it takes,
// and one more, as the window may begin with one.
func most(limit float64) int {
	return int(limit*limitWindow.Seconds()) + 1
}

// takes returns all requests and probes that a worker got, in order.
func (w *worker) takes() []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	all := slices.Concat(w.arrivals, w.probes)
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// fullest returns how many requests and probes a worker got in the fullest window between two times.
func (w *worker) fullest(from, until time.Time) int {
	all := slices.DeleteFunc(w.takes(), func(at time.Time) bool { return at.Before(from) || at.After(until) })
	fullest := 0
	for first, last := 0, 0; last < len(all); last++ {
		for all[last].Sub(all[first]) >= limitWindow {
			first++
		}
		fullest = max(fullest, last-first+1)
	}
	return fullest
}

// names makes workers name a limit from now on.
func names(limit string, workers ...*worker) {
	for _, one := range workers {
		one.change(func() { one.limit = limit })
	}
}

// limitedLoad is how often a request comes in these tests: 10 a second for each of eight back ends.
const limitedLoad = 12500 * time.Microsecond

// workLonger makes all workers take as long as the users' do, so that all of them are used.
func (f *fleet) workLonger() {
	for _, one := range f.workers {
		one.change(func() { one.work = 90 * time.Millisecond })
	}
}

// randomLoad sends requests to random daemons at random times, every so often on average.
func (f *fleet) randomLoad(every time.Duration) *background {
	random := rand.New(rand.NewPCG(7, 7))
	b := &background{stop: make(chan struct{})}
	b.running.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-b.stop:
				return
			case <-time.After(time.Duration(random.ExpFloat64() * float64(every))):
			}
			through := random.IntN(len(f.daemons))
			b.running.Go(func() { b.count(f.send(through, fmt.Sprintf("/one/safe/%d", number))) })
		}
	})
	return b
}

// A back end that was in need said with each answer that it takes 2.5 requests a second from all
// daemons together. It went on getting ten a second, as all others did: no part of the product read
// what it said. Requests were not all that it got. Fourteen probes a second came from the daemon that
// gives out its places, who asks most often those that it would choose next.
//
// That nothing changed when the limit was named settled it, and that the counts fit requests and
// probes together only. With what back ends say logged, each of four daemons hears of it within 1.5 s
// by itself, and goes on:
//
//	limits: back end takes fewer requests daemon=edge-1 backend=i-0 per_second=3.2 source="back end"
//	limits: back end takes fewer requests daemon=edge-3 backend=i-0 per_second=3.2 source="back end"
//
// A word that nobody reads, which binds the sum of what all daemons send, was the cause. Now the daemon that
// gives out the places spaces all that goes there, whatever it is for, and whoever hears the word tells it.
// Before: 94 and 88 requests and probes in the fullest 4 s, where 3.2 and 0.8 a second are taken; now 11
// and 3.
func TestLimitedBackendsGetNoMore(t *testing.T) {
	run(t, 8, func(f *fleet) {
		f.workLonger()
		others := f.randomLoad(limitedLoad)
		time.Sleep(5 * time.Second)
		named := time.Now()
		names("3.2", f.workers[0])
		names("0.8", f.workers[1])
		time.Sleep(20 * time.Second)
		until := time.Now()
		answered := others.share()
		for number, limit := range []float64{3.2, 0.8} {
			one := f.workers[number]
			t.Logf("%.1f a second named, %d requests and probes in the fullest 4 s, %d of them probes in all",
				limit, one.fullest(named.Add(limitInForce), until), len(one.probes))
		}
		f.requireLimit(f.workers[0], 3.2, named, until)
		f.requireLimit(f.workers[1], 0.8, named, until)
		require.Greater(t, answered, 0.99)
	})
}

// requireLimit checks that a worker got no more than it takes, and not much less.
func (f *fleet) requireLimit(one *worker, limit float64, named, until time.Time) {
	got := one.fullest(named.Add(limitInForce), until)
	require.LessOrEqual(f.t, got, most(limit), "%s takes %.1f a second", one.id, limit)
	require.GreaterOrEqual(f.t, got, int(0.7*limit*limitWindow.Seconds()), "what %s takes is used", one.id)
}
