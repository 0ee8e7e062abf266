package dissemination

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/config"
)

// observeEra records the store era of a document and starts to retain the current state if the
// store was restored from an older backup. The caller holds the mutex.
func (f *Follower) observeEra(document config.Document) {
	if f.options.ObserveEra != nil {
		f.options.ObserveEra(document.Position().Era())
	}
	current := f.options.Services.Snapshot()
	if current == nil || !f.retention.Observe(time.Now(), current.Document, document) {
		return
	}
	backends, zones, rollouts := f.retention.Counts()
	f.log.Warn("the store came back older, what was known last is kept for a while", "era", document.Position().Era(), "era_before", current.Document.Position().Era(),
		"backends", backends, "zones", zones, "rollouts", rollouts)
	select {
	case f.retentionChanged <- struct{}{}:
	default: // a notification is already pending
	}
}

// retentionLoop reapplies the document whenever retained state expires, until ctx ends.
func (f *Follower) retentionLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.retentionChanged:
		case <-f.nextExpiry():
			f.reapply()
		}
	}
}

// nextExpiry returns a channel that receives when retained state next expires, or nil if nothing
// is retained.
func (f *Follower) nextExpiry() <-chan time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	expiry := f.retention.NextExpiry(now)
	if expiry.IsZero() {
		f.retention = config.Retention{}
		return nil
	}
	return time.After(expiry.Sub(now))
}

// reapply applies the current document again, with the state that is still retained.
func (f *Follower) reapply() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	snapshot, err := f.compile(f.retention.Apply(time.Now(), f.Document()))
	if err != nil {
		f.log.Error("configuration not usable after retained state expired", "error", err)
		return
	}
	f.options.Services.Refresh(snapshot)
	f.log.Info("lost changes are kept no longer, what the store says is in force", "backends", len(snapshot.Document.Directory.Entries))
}
