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
	// Read returns the newest there is; its other parts are empty.
	Read(ctx context.Context) (config.Document, error)
	// Watch blocks until there is something newer than present, or until its
	// own wait is over; then it returns present.
	Watch(ctx context.Context, present config.Document) (config.Document, error)
}

// watchWait is how long one watch waits; it counts as one call.
const watchWait = 30 * time.Second

// Head is the source for documents that operators write with the project's own
// command.
type Head struct {
	store   objectstore.Store
	timeout time.Duration
	version objectstore.Version // last seen
}

// NewHead returns a source on the head object of a store. timeout bounds one call
// besides its wait.
func NewHead(store objectstore.Store, timeout time.Duration) *Head {
	return &Head{store: store, timeout: timeout}
}

// Read implements Source.
func (h *Head) Read(ctx context.Context) (config.Document, error) {
	document, _, err := config.Load(ctx, h.store)
	return document, err
}

// Watch implements Source.
func (h *Head) Watch(ctx context.Context, present config.Document) (config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+h.timeout)
	defer cancel()
	object, err := h.store.Watch(ctx, config.HeadKey, h.version, watchWait)
	if errors.Is(err, objectstore.ErrNotFound) {
		return present, nil
	}
	if err != nil {
		return config.Document{}, err
	}
	document, err := config.DecodeDocument(object.Value)
	if err != nil {
		return config.Document{}, err
	}
	h.version = object.Version
	return document, nil
}
