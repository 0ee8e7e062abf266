package dissemination

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/objectstore"
)

// Source is where a part of the document comes from. A Follower uses each source
// from one goroutine at a time.
type Source interface {
	// Name says in logs what it is.
	Name() string
	// Required says whether requests can be served only once it has been read. Others are
	// not read at the start.
	Required() bool
	// Relaxed says whether its watches are renewed half as often as others.
	Relaxed() bool
	// Read returns the newest there is; its other parts are empty. The error is
	// errors.NotFound where nothing was declared yet.
	Read(ctx context.Context) (config.Document, error)
	// Watch blocks until there is something newer than present, or until wait
	// has passed; then it returns present.
	Watch(ctx context.Context, present config.Document, wait time.Duration) (config.Document, error)
}

// longestWatch is how long one watch waits at most; it counts as one call.
const longestWatch = 30 * time.Second

// watchLength is how long a watch waits. A watch that waits may be deaf: a store
// that drops its history may cut it without a word. The watchers therefore renew
// their watches in turn, one each gap, so that one of them soon hears what the
// others miss; peers tell the rest. place is the watcher's own, from 0, among so
// many. fresh: there was news just now, which all got at once and which begins
// the turns anew.
func watchLength(gap time.Duration, place, watchers int, fresh bool) time.Duration {
	if gap <= 0 {
		return longestWatch
	}
	turns := watchers
	if fresh {
		turns = place + 1
	}
	return min(gap*time.Duration(max(turns, 1)), longestWatch)
}

// laterGap is how many times the gap between renewals is longer for a relaxed source. Operators give an evacuation five seconds to be in force; at twice 700 ms what
// a deaf watch misses is heard within two, at half of the calls.
const laterGap = 2

// gapOf returns the time between the renewals of two daemons' watches of a source.
func (f *Follower) gapOf(source Source) time.Duration {
	if source.Relaxed() {
		return laterGap * f.options.WatchGap
	}
	return f.options.WatchGap
}

// HeadSource is the source for documents that operators write with the project's own
// command.
type HeadSource struct {
	store   objectstore.Store
	timeout time.Duration
	version objectstore.Version // last seen
}

// NewHeadSource returns a source on the head object of a store. timeout bounds one call
// besides its wait.
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
func (h *HeadSource) Watch(ctx context.Context, present config.Document, wait time.Duration) (config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+h.timeout)
	defer cancel()
	object, err := h.store.Watch(ctx, config.HeadKey, h.version, wait)
	if errors.Is(err, objectstore.ErrNotFound) && h.version == 0 {
		return config.Document{}, nil // there is no object
	}
	if errors.Is(err, objectstore.ErrNotFound) {
		return present, nil
	}
	if err != nil {
		h.version = 0 // the store may come back older: the next watch returns what it has then
		return config.Document{}, err
	}
	document, err := config.DecodeDocument(object.Value)
	if err != nil {
		return config.Document{}, err
	}
	h.version, document.StoreVersion = object.Version, object.Version
	return document, nil
}
