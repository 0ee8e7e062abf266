package dissemination

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/objectstore"
)

// Source provides a part of the document. A Follower calls each source from one goroutine at a
// time.
type Source interface {
	// Name identifies the source in logs.
	Name() string
	// Required reports whether requests can be served only once the source has been read. Other
	// sources are not read at the start.
	Required() bool
	// Relaxed reports whether its watches are renewed half as often as those of other sources.
	Relaxed() bool
	// Read returns the newest version; the other parts of the document are empty. The error is
	// errors.NotFound if nothing was declared yet.
	Read(ctx context.Context) (config.Document, error)
	// Watch blocks until there is something newer than current, or until wait has passed; it then
	// returns current.
	Watch(ctx context.Context, current config.Document, wait time.Duration) (config.Document, error)
}

// maxWatchDuration is the maximum duration of one watch, which counts as one call to the store.
const maxWatchDuration = 30 * time.Second

// watchDuration returns how long a watch waits. A store that discards its history may drop a watch
// without notice, so a waiting watch may miss changes. The watchers therefore renew their watches
// in turn, one per gap, so that one of them soon receives what the others miss; peers spread the
// change. rank is this watcher's rank, from 0, among the watchers. afterChange says that all
// watchers have just received a change at the same time, which restarts the turns.
func watchDuration(gap time.Duration, rank, watchers int, afterChange bool) time.Duration {
	if gap <= 0 {
		return maxWatchDuration
	}
	turns := watchers
	if afterChange {
		turns = rank + 1
	}
	return min(gap*time.Duration(max(turns, 1)), maxWatchDuration)
}

// relaxedGapFactor multiplies the renewal gap of a relaxed source. Operators expect an evacuation
// to be in force within five seconds; at twice 700 ms a change missed by a stale watch is received
// within two seconds, with half the calls.
const relaxedGapFactor = 2

// renewalGap returns the time between the renewals of two daemons' watches of a source.
func (f *Follower) renewalGap(source Source) time.Duration {
	if source.Relaxed() {
		return relaxedGapFactor * f.options.WatchGap
	}
	return f.options.WatchGap
}

// HeadSource is the source of documents that operators write with the project's own command.
type HeadSource struct {
	store   objectstore.Store
	timeout time.Duration
	version objectstore.Version // last seen
}

// NewHeadSource returns a source that reads the head object of a store. timeout bounds one call,
// in addition to the time that a watch waits.
func NewHeadSource(store objectstore.Store, timeout time.Duration) *HeadSource {
	return &HeadSource{store: store, timeout: timeout}
}

// Name implements Source.
func (h *HeadSource) Name() string {
	return "head object"
}

// Required implements Source.
func (h *HeadSource) Required() bool {
	return true
}

// Relaxed implements Source.
func (h *HeadSource) Relaxed() bool {
	return false
}

// Read implements Source.
func (h *HeadSource) Read(ctx context.Context) (config.Document, error) {
	document, _, err := config.Load(ctx, h.store)
	return document, err
}

// Watch implements Source.
func (h *HeadSource) Watch(ctx context.Context, current config.Document, wait time.Duration) (config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+h.timeout)
	defer cancel()
	object, err := h.store.Watch(ctx, config.HeadKey, h.version, wait)
	if errors.Is(err, objectstore.ErrNotFound) && h.version == 0 {
		return config.Document{}, nil // the object does not exist
	}
	if errors.Is(err, objectstore.ErrNotFound) {
		return current, nil
	}
	if err != nil {
		h.version = 0 // the store may be restored from an older backup: the next watch returns its version
		return config.Document{}, err
	}
	document, err := config.DecodeDocument(object.Value)
	if err != nil {
		return config.Document{}, err
	}
	h.version, document.StoreVersion = object.Version, object.Version
	return document, nil
}
