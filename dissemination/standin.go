package dissemination

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tuliphall/tuliphall/wait"
)

// When a daemon that does not watch the store checks whether it would hear of news.
const (
	// leastCheck and checkPerDaemon give the time between two checks: it grows with the
	// region, so that those who watch are not asked more often by more daemons.
	leastCheck     = 700 * time.Millisecond
	checkPerDaemon = 8 * time.Millisecond
	// standInInterval is the time between two checks once a member has not answered, or
	// nobody would tell this daemon.
	standInInterval = 400 * time.Millisecond
	// standInChecks is how often in a row it must then be told that it would hear: where
	// many daemons die at once, others take over from them by turns.
	standInChecks = 4
)

// standIn is whether this daemon watches the store although others are chosen to, as
// none of those that would tell it of news answers: they may all have died at once, or
// be cut off from it.
type standIn struct {
	doubts  chan struct{} // room for one: a member has not answered
	active  atomic.Bool
	changed chan struct{} // room for one for each source: this daemon may watch now
}

func newStandIn(sources int) standIn {
	return standIn{doubts: make(chan struct{}, 1), changed: make(chan struct{}, sources)}
}

// RecordNoAnswer notes that a member has not answered, which may be one that watches the store.
// It does not block.
func (f *Follower) RecordNoAnswer() {
	select {
	case f.standIn.doubts <- struct{}{}:
	default: // it is looked into
	}
}

// standInLoop makes up for daemons that do not answer, until ctx ends.
func (f *Follower) standInLoop(ctx context.Context) {
	if f.options.Watchers == 0 {
		return // all watch
	}
	for {
		timer := time.NewTimer(f.untilCheck())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-f.standIn.doubts:
			f.check(ctx, standInChecks)
		case <-timer.C:
			f.check(ctx, 1)
		}
		timer.Stop()
	}
}

// untilCheck is a random time: daemons that start together do not all ask at once.
func (f *Follower) untilCheck() time.Duration {
	period := max(leastCheck, checkPerDaemon*time.Duration(f.peers.RegionSize()))
	f.randomMu.Lock()
	defer f.randomMu.Unlock()
	return period*4/5 + time.Duration(f.options.Random.Int64N(int64(period*2/5)))
}

// check asks whether this daemon would hear of news, until it has been told so a number
// of times in a row. It watches the store from the first no to the next yes.
func (f *Follower) check(ctx context.Context, times int) {
	for heard := 0; ctx.Err() == nil && !f.placed(); wait.Sleep(ctx, standInInterval) {
		if !f.peers.HasAnnouncer(ctx, WatcherKey, f.options.Watchers) {
			heard = 0
			f.startStandingIn()
			continue
		}
		f.stopStandingIn()
		if heard++; heard == times {
			return
		}
	}
	if f.placed() {
		f.wakeWatches() // it may have been chosen just now, in the place of a dead one
	}
	f.stopStandingIn()
}

func (f *Follower) startStandingIn() {
	if !f.standIn.active.Swap(true) {
		f.log.Info("nobody would tell of news, watching the store")
		f.wakeWatches()
	}
}

func (f *Follower) stopStandingIn() {
	if f.standIn.active.Swap(false) {
		f.log.Info("watching the store is left to others again")
	}
}

// wakeWatches lets the loop of each source look at once whether to watch.
func (f *Follower) wakeWatches() {
	for range f.options.Sources {
		select {
		case f.standIn.changed <- struct{}{}:
		default: // it has not looked since the last time
		}
	}
}

// awaitChosen blocks for a while, or until this daemon stands in.
func (f *Follower) awaitChosen(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.standIn.changed:
	case <-ctx.Done():
	}
}

// placed says whether this daemon is one of those that are chosen to watch the store.
func (f *Follower) placed() bool {
	_, _, placed := f.peers.Rank(WatcherKey, f.options.Watchers)
	return placed
}

// chosen says whether this daemon watches the store: as one of those that are chosen
// to, or in their place.
func (f *Follower) chosen() bool {
	return f.placed() || f.standIn.active.Load()
}

// standInTurns is how many turns the watch of a daemon that stands in lasts: it has no
// others that hear what a deaf watch misses.
const standInTurns = 2

// turn returns the daemon's place among those that watch, and their number, which say how
// long its watch lasts.
func (f *Follower) turn() (place, of int) {
	place, of, placed := f.peers.Rank(WatcherKey, f.options.Watchers)
	if !placed {
		return standInTurns - 1, standInTurns
	}
	return place, of
}
