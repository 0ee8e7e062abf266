package dissemination

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/wait"
)

// watchLoop watches a source while this daemon is chosen to.
func (f *Follower) watchLoop(ctx context.Context, source Source) {
	backoff := firstBackoff
	fresh := true
	var health sourceHealth
	for ctx.Err() == nil {
		chosen := f.chosen()
		f.watching.Store(chosen)
		if !chosen {
			f.awaitChosen(ctx)
			continue
		}
		place, watchers := f.turn()
		begun := time.Now()
		before := f.Position()
		if err := f.watch(ctx, source, watchLength(f.gapOf(source), place, watchers, fresh)); err != nil {
			health.failed(f.log, source, begun, err)
			backoff = f.pause(ctx, backoff)
			continue
		}
		health.answered(f.log, source)
		fresh = f.Position() != before
		backoff = firstBackoff
		if fresh {
			// All who watch were answered at the same moment. They pause for the
			// same time, so that they hear of the next changes together and as one.
			wait.Sleep(ctx, f.options.WatchInterval)
		} else {
			wait.Sleep(ctx, f.options.WatchInterval-time.Since(begun))
		}
	}
}

// cancelWhenNotChosen ends a watch once others are chosen to watch.
func (f *Follower) cancelWhenNotChosen(ctx context.Context, cancel context.CancelFunc) {
	for wait.Sleep(ctx, pollInterval) {
		if !f.chosen() {
			cancel()
			return
		}
	}
}

// watch waits for one change and puts it in force.
func (f *Follower) watch(ctx context.Context, source Source, length time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if f.options.Watchers > 0 {
		go f.cancelWhenNotChosen(ctx, cancel)
	}
	present := f.Document()
	document, err := source.Watch(ctx, present, length)
	if err != nil && !f.chosen() {
		return nil
	}
	if err != nil {
		return err
	}
	if document.Position() == present.Position() {
		return nil // no news; others may have told of some meanwhile
	}
	return f.Offer(document, fromPlatform)
}

// pause sleeps for a random part of the backoff and returns the next one. The
// spread keeps daemons that failed together from coming back together.
func (f *Follower) pause(ctx context.Context, backoff time.Duration) time.Duration {
	f.randomMu.Lock()
	length := backoff/2 + time.Duration(f.options.Random.Int64N(int64(backoff)))
	f.randomMu.Unlock()
	wait.Sleep(ctx, length)
	return min(backoff*2, f.options.MaxBackoff)
}
