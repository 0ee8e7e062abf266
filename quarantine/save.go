package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/wait"
)

// Key is the object of the platform's store that has the requests that are held back.
var Key = objectstore.Key{Kind: "quarantine", Name: "held"}

const (
	// maxSaved is how many requests are kept in the store: 1,000 take up to 0.4 MB of the
	// megabyte that an object holds.
	maxSaved = 1000
	// readInterval is how often a daemon looks whether it has to read the store.
	readInterval = time.Second
	// saveBackoff is the pause after a call to the store that failed.
	saveBackoff = time.Second
	// sweepInterval is how often what has lapsed is forgotten.
	sweepInterval = time.Minute
)

// saved is what the store holds.
type saved struct {
	Records []Record `json:"records"`
}

// Run reads from the store what is held back, and saves it there, until ctx ends. A daemon reads
// it once each time that it becomes one of those that do. If the store comes back older, these save again what is held back.
func (k *Tracker) Run(ctx context.Context) {
	reading := time.NewTicker(readInterval)
	defer reading.Stop()
	sweeping := time.NewTicker(sweepInterval)
	defer sweeping.Stop()
	read, era := false, k.options.Store.Era()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reading.C:
			reads := k.options.ReadsStore()
			read = reads && (read || k.read(ctx))
			if newest := k.options.Store.Era(); newest != era && read {
				era = newest
				k.saveHeld()
			}
		case <-sweeping.C:
			k.sweep()
		case <-k.save:
			if !k.saveAll(ctx) {
				wait.Sleep(ctx, saveBackoff)
				k.saveSoon()
			}
		}
	}
}

// saveHeld lets all be saved that is held back.
func (k *Tracker) saveHeld() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, record := range k.table.Quarantined(time.Now()) {
		k.saveSoon(record.Fingerprint)
	}
}

// sweep forgets what has lapsed.
func (k *Tracker) sweep() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	k.table.Prune(now)
	for fingerprint := range k.witnessed {
		if _, known := k.table.Record(fingerprint); !known {
			delete(k.witnessed, fingerprint)
		}
	}
	k.held.Update(float64(len(k.table.Quarantined(now))))
}

// read takes in what the store holds, tells others what of it is news, and says whether the
// store answered.
func (k *Tracker) read(ctx context.Context) bool {
	found, _, err := k.load(ctx)
	if err != nil {
		k.log.Warn("store not read", "error", err)
		return false
	}
	for _, record := range k.Merge(found.Records) {
		k.options.Broadcast(record)
	}
	return true
}

// load reads the object; version is 0 where there is none.
func (k *Tracker) load(ctx context.Context) (found saved, version objectstore.Version, err error) {
	ctx, cancel := context.WithTimeout(ctx, k.options.StoreTimeout)
	defer cancel()
	object, err := k.options.Store.Get(ctx, Key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return saved{}, 0, nil
	}
	if err != nil {
		return saved{}, 0, err
	}
	if err := json.Unmarshal(object.Value, &found); err != nil {
		// What cannot be read is replaced: it holds back nothing.
		k.log.Error("what is held back in the store cannot be read", "error", err)
		return saved{}, object.Version, nil
	}
	return found, object.Version, nil
}

// saveSoon lets requests be saved.
func (k *Tracker) saveSoon(fingerprints ...Fingerprint) {
	for _, fingerprint := range fingerprints {
		k.unsaved[fingerprint] = true
	}
	select {
	case k.save <- struct{}{}:
	default: // it is asked for already
	}
}

// saveAll writes what is unsaved, and says whether nothing is left to do. A write that was
// overtaken, or whose outcome is not known, is settled by reading anew.
func (k *Tracker) saveAll(ctx context.Context) bool {
	found, version, err := k.load(ctx)
	if err != nil {
		k.log.Warn("requests held back not saved", "error", err)
		return false
	}
	next, changed, taken := k.next(found)
	if !changed {
		return true
	}
	if err := k.put(ctx, next, version); err != nil {
		k.log.Warn("requests held back not saved", "error", err)
		k.mutex.Lock()
		defer k.mutex.Unlock()
		k.saveSoon(taken...)
		return false
	}
	return true
}

// next takes what is unsaved, and returns what the store is to hold, whether that is another
// thing than it does, and what was taken.
func (k *Tracker) next(found saved) (next saved, changed bool, taken []Fingerprint) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	joined := NewTable(k.options.Policy)
	for _, record := range found.Records {
		joined.Merge(now, record)
	}
	before := joined.Digest(now)
	for fingerprint := range k.unsaved {
		taken = append(taken, fingerprint)
		if record, known := k.table.Record(fingerprint); known {
			joined.Merge(now, record)
		}
	}
	clear(k.unsaved)
	held := joined.Quarantined(now)
	return saved{Records: held[:min(len(held), maxSaved)]}, joined.Digest(now) != before, taken
}

// put writes the object if its version is still the given one.
func (k *Tracker) put(ctx context.Context, next saved, version objectstore.Version) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Annotate(err, "encoding for the store")
	}
	ctx, cancel := context.WithTimeout(ctx, k.options.StoreTimeout)
	defer cancel()
	_, err = k.options.Store.Put(ctx, Key, value, version)
	return err
}
