package dissemination

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/wait"
)

// watchLoop watches a source while this daemon is a watcher.
func (f *Follower) watchLoop(ctx context.Context, source Source) {
	backoff := initialBackoff
	var schedule renewalSchedule
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
		err := f.watchOnce(ctx, source, rank, schedule.nextDuration(started, f.renewalGap(source), rank, watchers))
		switch {
		case errors.Is(err, errOverdue):
			f.log.Info("no watcher has renewed its watch in time", "source", source.Name(), "rank", rank)
			schedule.poll = true
			continue
		case err != nil:
			health.recordFailure(f.log, source, started, err)
			backoff = f.backOff(ctx, backoff)
			schedule.poll = f.renewsInTurn(source)
			continue
		}
		health.recordSuccess(f.log, source)
		f.recordOwnRenewal(ctx, source)
		backoff = initialBackoff
		switch schedule.answered(time.Now()) {
		case answeredEarly:
			// All watchers received the change at the same time. They pause for the same time, so
			// that they receive the next changes together.
			wait.Sleep(ctx, f.options.WatchInterval)
		case answeredInTurn:
			wait.Sleep(ctx, f.options.WatchInterval-time.Since(started))
		case answeredPoll:
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

// watchOnce waits for one change and applies it. The error is errOverdue if the watch is to be
// renewed early.
func (f *Follower) watchOnce(ctx context.Context, source Source, rank int, duration time.Duration) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if f.options.Watchers > 0 {
		go f.cancelWhenNotWatching(ctx, func() { cancel(nil) })
	}
	if duration > 0 && f.renewsInTurn(source) {
		go f.cancelWhenOverdue(ctx, source, rank, cancel)
	}
	current := f.Document()
	document, err := source.Watch(ctx, current, duration)
	if err != nil && !f.shouldWatch() {
		return nil
	}
	if err != nil && errors.Is(context.Cause(ctx), errOverdue) {
		return errOverdue
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
