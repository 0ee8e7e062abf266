package dissemination

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/tuliphall/tuliphall/wait"
)

// Timing of the checks of a daemon that does not watch the store whether it would receive changes.
const (
	// minCheckInterval and checkIntervalPerDaemon give the time between two checks. It grows with
	// the size of the region, so that the load on the watchers stays constant.
	minCheckInterval       = 700 * time.Millisecond
	checkIntervalPerDaemon = 8 * time.Millisecond
	// recheckInterval is the time between two checks after a member has not answered, or while no
	// announcer is reachable.
	recheckInterval = 400 * time.Millisecond
	// requiredConfirmations is how many consecutive checks must then succeed. When many daemons
	// die at once, the watchers are replaced one after another.
	requiredConfirmations = 4
)

// failoverWatch is the state of a daemon that watches the store although it is not selected,
// because none of the members that should announce changes to it answers: they may all have died
// at once, or be cut off from it.
type failoverWatch struct {
	noAnswer chan struct{} // buffers one: a member has not answered
	active   atomic.Bool
	wake     chan struct{} // buffers one per source: check at once whether to watch
}

func newFailoverWatch(sources int) failoverWatch {
	return failoverWatch{noAnswer: make(chan struct{}, 1), wake: make(chan struct{}, sources)}
}

// RecordNoAnswer notes that a member, which may be a watcher, has not answered. It does not block.
func (f *Follower) RecordNoAnswer() {
	select {
	case f.failover.noAnswer <- struct{}{}:
	default: // a check is already pending
	}
}

// failoverWatchLoop checks periodically, and when a member does not answer, whether this daemon
// must watch in place of others, until ctx ends.
func (f *Follower) failoverWatchLoop(ctx context.Context) {
	if f.options.Watchers == 0 {
		return // all daemons watch
	}
	for {
		timer := time.NewTimer(f.nextCheckDelay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-f.failover.noAnswer:
			f.checkAnnouncers(ctx, requiredConfirmations)
		case <-timer.C:
			f.checkAnnouncers(ctx, 1)
		}
		timer.Stop()
	}
}

// nextCheckDelay returns a randomized delay, so that daemons that start together do not all check
// at once.
func (f *Follower) nextCheckDelay() time.Duration {
	period := max(minCheckInterval, checkIntervalPerDaemon*time.Duration(f.peers.RegionSize()))
	f.randomMu.Lock()
	defer f.randomMu.Unlock()
	return period*4/5 + time.Duration(f.options.Random.Int64N(int64(period*2/5)))
}

// checkAnnouncers checks whether an announcer is reachable until the required number of
// consecutive checks has succeeded. The daemon watches the store from the first failed check to
// the next successful one.
func (f *Follower) checkAnnouncers(ctx context.Context, required int) {
	for confirmed := 0; ctx.Err() == nil && !f.isWatcher(); wait.Sleep(ctx, recheckInterval) {
		if !f.peers.HasAnnouncer(ctx, WatcherKey, f.options.Watchers) {
			confirmed = 0
			f.startFailoverWatch()
			continue
		}
		f.stopFailoverWatch()
		if confirmed++; confirmed == required {
			return
		}
	}
	if f.isWatcher() {
		f.wakeWatchLoops() // it may just have been selected to replace a dead watcher
	}
	f.stopFailoverWatch()
}

func (f *Follower) startFailoverWatch() {
	if !f.failover.active.Swap(true) {
		f.log.Info("nobody would tell of news, watching the store")
		f.wakeWatchLoops()
	}
}

func (f *Follower) stopFailoverWatch() {
	if f.failover.active.Swap(false) {
		f.log.Info("an announcer is reachable again, no longer watching the store")
	}
}

// wakeWatchLoops lets the loop of each source check at once whether to watch.
func (f *Follower) wakeWatchLoops() {
	for range f.options.Sources {
		select {
		case f.failover.wake <- struct{}{}:
		default: // a check is already pending
		}
	}
}

// awaitWatcherCheck blocks until it is time to check again whether to watch, or the loops are
// woken.
func (f *Follower) awaitWatcherCheck(ctx context.Context) {
	timer := time.NewTimer(watcherCheckInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.failover.wake:
	case <-ctx.Done():
	}
}

// isWatcher reports whether this daemon is one of those selected to watch the store.
func (f *Follower) isWatcher() bool {
	_, _, chosen := f.peers.Rank(WatcherKey, f.options.Watchers)
	return chosen
}

// shouldWatch reports whether this daemon is to watch the store, either selected or as a failover.
func (f *Follower) shouldWatch() bool {
	return f.isWatcher() || f.failover.active.Load()
}

// failoverWatchTurns is how many turns the watch of a failover daemon lasts. No other watcher
// receives for it what a stale watch misses.
const failoverWatchTurns = 2

// renewalTurn returns the daemon's rank among the watchers and their number, which determine how
// long its watch lasts.
func (f *Follower) renewalTurn() (rank, watchers int) {
	rank, watchers, chosen := f.peers.Rank(WatcherKey, f.options.Watchers)
	if !chosen {
		return failoverWatchTurns - 1, failoverWatchTurns
	}
	return rank, watchers
}
