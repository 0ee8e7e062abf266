package dissemination

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/wait"
)

// watchLoop watches a source while this daemon is a watcher.
func (f *Follower) watchLoop(ctx context.Context, source Source) {
	backoff := initialBackoff
	changed := true
	var health sourceHealth
	for ctx.Err() == nil {
		watching := f.shouldWatch()
		f.watching.Store(watching)
		if !watching {
			f.awaitWatcherCheck(ctx)
			continue
		}
		rank, watchers := f.renewalTurn()
		started := time.Now()
		before := f.Position()
		if err := f.watchOnce(ctx, source, watchDuration(f.renewalGap(source), rank, watchers, changed)); err != nil {
			health.recordFailure(f.log, source, started, err)
			backoff = f.backOff(ctx, backoff)
			continue
		}
		health.recordSuccess(f.log, source)
		changed = f.Position() != before
		backoff = initialBackoff
		if changed {
			// All watchers received the change at the same time. They pause for the same time, so
			// that they receive the next changes together.
			wait.Sleep(ctx, f.options.WatchInterval)
		} else {
			wait.Sleep(ctx, f.options.WatchInterval-time.Since(started))
		}
	}
}

// cancelWhenNotWatching cancels a watch once this daemon is no longer a watcher.
func (f *Follower) cancelWhenNotWatching(ctx context.Context, cancel context.CancelFunc) {
	for wait.Sleep(ctx, watcherCheckInterval) {
		if !f.shouldWatch() {
			cancel()
			return
		}
	}
}

// watchOnce waits for one change and applies it.
func (f *Follower) watchOnce(ctx context.Context, source Source, duration time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.options.Watchers > 0 {
		go f.cancelWhenNotWatching(ctx, cancel)
	}
	current := f.Document()
	document, err := source.Watch(ctx, current, duration)
	if err != nil && !f.shouldWatch() {
		return nil
	}
	if err != nil {
		return err
	}
	if document.Position() == current.Position() {
		return nil // unchanged; other daemons may have delivered changes meanwhile
	}
	return f.Offer(document, sourcePlatform)
}

// backOff sleeps for a random part of the backoff and returns the next one. The jitter keeps
// daemons that failed together from retrying together.
func (f *Follower) backOff(ctx context.Context, backoff time.Duration) time.Duration {
	f.randomMu.Lock()
	delay := backoff/2 + time.Duration(f.options.Random.Int64N(int64(backoff)))
	f.randomMu.Unlock()
	wait.Sleep(ctx, delay)
	return min(backoff*2, f.options.MaxBackoff)
}
