package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/wait"
)

// Key is the object in the platform's store that holds the quarantined requests.
var Key = objectstore.Key{Kind: "quarantine", Name: "held"}

const (
	// maxSaved is how many requests are kept in the store: 1,000 take up to 0.4 MB of the 1 MB
	// that an object may hold.
	maxSaved = 1000
	// readInterval is how often a daemon checks whether it has to read the store.
	readInterval = time.Second
	// saveBackoff is the delay after a failed save.
	saveBackoff = time.Second
	// pruneInterval is how often expired records are removed.
	pruneInterval = time.Minute
)

// saved is the value of the store object.
type saved struct {
	Records []Record `json:"records"`
}

// Run loads the quarantined requests from the store and saves changes to it, until ctx ends. A
// daemon loads them once each time that Options.ReadsStore becomes true. After a store rollback, the
// daemons that have loaded them save their quarantined requests again.
func (t *Tracker) Run(ctx context.Context) {
	readTicker := time.NewTicker(readInterval)
	defer readTicker.Stop()
	pruneTicker := time.NewTicker(pruneInterval)
	defer pruneTicker.Stop()
	loaded, era := false, t.options.Store.Era()
	for {
		select {
		case <-ctx.Done():
			return
		case <-readTicker.C:
			readsStore := t.options.ReadsStore()
			loaded = readsStore && (loaded || t.read(ctx))
			if current := t.options.Store.Era(); current != era && loaded {
				era = current
				t.saveQuarantined()
			}
		case <-pruneTicker.C:
			t.prune()
		case <-t.saveRequested:
			if !t.savePending(ctx) {
				wait.Sleep(ctx, saveBackoff)
				t.scheduleSave()
			}
		}
	}
}

// saveQuarantined schedules a save of all quarantined requests.
func (t *Tracker) saveQuarantined() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, record := range t.table.Quarantined(time.Now()) {
		t.scheduleSave(record.Fingerprint)
	}
}

// prune removes expired records.
func (t *Tracker) prune() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.table.Prune(now)
	for fingerprint := range t.observedLocally {
		if _, found := t.table.Record(fingerprint); !found {
			delete(t.observedLocally, fingerprint)
		}
	}
	t.quarantined.Update(float64(len(t.table.Quarantined(now))))
}

// read merges the records from the store, broadcasts the changed ones, and reports whether the
// store could be read.
func (t *Tracker) read(ctx context.Context) bool {
	stored, _, err := t.load(ctx)
	if err != nil {
		t.log.Warn("cannot read quarantined requests from the store", "error", err)
		return false
	}
	for _, record := range t.Merge(stored.Records) {
		t.options.Broadcast(record)
	}
	return true
}

// load reads the object; version is 0 if it does not exist.
func (t *Tracker) load(ctx context.Context) (stored saved, version objectstore.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.StoreTimeout)
	defer cancel()
	object, err := t.options.Store.Get(ctx, Key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return saved{}, 0, nil
	}
	if err != nil {
		return saved{}, 0, err
	}
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		// An unreadable object quarantines nothing and is overwritten by the next save.
		t.log.Error("cannot decode quarantined requests from the store", "error", err)
		return saved{}, object.Version, nil
	}
	return stored, object.Version, nil
}

// scheduleSave marks requests as unsaved and wakes Run. The caller holds the mutex if it passes
// fingerprints.
func (t *Tracker) scheduleSave(fingerprints ...Fingerprint) {
	for _, fingerprint := range fingerprints {
		t.unsaved[fingerprint] = true
	}
	select {
	case t.saveRequested <- struct{}{}:
	default: // a save is already scheduled
	}
}

// savePending writes the unsaved requests, and returns false if the save must be retried. A write
// that conflicted, or whose outcome is unknown, is resolved by reading the object again.
func (t *Tracker) savePending(ctx context.Context) bool {
	stored, version, err := t.load(ctx)
	if err != nil {
		t.log.Warn("cannot save quarantined requests to the store", "error", err)
		return false
	}
	next, changed, included := t.mergeUnsaved(stored)
	if !changed {
		return true
	}
	if err := t.put(ctx, next, version); err != nil {
		t.log.Warn("cannot save quarantined requests to the store", "error", err)
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.scheduleSave(included...)
		return false
	}
	return true
}

// mergeUnsaved merges the unsaved records into the stored ones and empties the unsaved set. It
// returns the next value of the object, whether its quarantined requests differ from the stored
// ones, and the fingerprints that were taken from the unsaved set.
func (t *Tracker) mergeUnsaved(stored saved) (next saved, changed bool, included []Fingerprint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	merged := NewTable(t.options.Policy)
	for _, record := range stored.Records {
		merged.Merge(now, record)
	}
	before := merged.Digest(now)
	for fingerprint := range t.unsaved {
		included = append(included, fingerprint)
		if record, found := t.table.Record(fingerprint); found {
			merged.Merge(now, record)
		}
	}
	clear(t.unsaved)
	quarantined := merged.Quarantined(now)
	return saved{Records: quarantined[:min(len(quarantined), maxSaved)]}, merged.Digest(now) != before, included
}

// put writes the object if its version is still the given one.
func (t *Tracker) put(ctx context.Context, next saved, version objectstore.Version) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Annotate(err, "encoding quarantined requests")
	}
	ctx, cancel := context.WithTimeout(ctx, t.options.StoreTimeout)
	defer cancel()
	_, err = t.options.Store.Put(ctx, Key, value, version)
	return err
}
