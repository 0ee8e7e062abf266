package dissemination

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/config"
)

// noteEra takes in the era of the store that a document is of. The caller holds the mutex.
func (f *Follower) noteEra(document config.Document) {
	if f.options.ObserveEra != nil {
		f.options.ObserveEra(document.Position().Era())
	}
	present := f.options.Services.Snapshot()
	if present == nil || !f.retention.Observe(time.Now(), present.Document, document) {
		return
	}
	backends, zones, rollouts := f.retention.Counts()
	f.log.Warn("the store came back older, what was known last is kept for a while", "era", document.Position().Era(), "era_before", present.Document.Position().Era(),
		"backends", backends, "zones", zones, "rollouts", rollouts)
	select {
	case f.retained <- struct{}{}:
	default: // the loop has not looked since the last time
	}
}

// retentionLoop puts in force what the store says once what it lost is kept no longer, until ctx ends.
func (f *Follower) retentionLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.retained:
		case <-f.lapse():
			f.refresh()
		}
	}
}

// lapse returns a channel on which it is told that something is kept no longer; nil: nothing is kept.
func (f *Follower) lapse() <-chan time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	lapses := f.retention.NextExpiry(now)
	if lapses.IsZero() {
		f.retention = config.Retention{}
		return nil
	}
	return time.After(lapses.Sub(now))
}

// refresh puts the document in force anew, with what is still kept.
func (f *Follower) refresh() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	snapshot, err := f.snapshotOf(f.retention.Apply(time.Now(), f.Document()))
	if err != nil {
		f.log.Error("configuration not usable without what was kept", "error", err)
		return
	}
	f.options.Services.Refresh(snapshot)
	f.log.Info("lost changes are kept no longer, what the store says is in force", "backends", len(snapshot.Document.Directory.Entries))
}
