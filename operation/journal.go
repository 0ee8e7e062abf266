package operation

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/tuliphall/tuliphall/objectstore"
)

// Limits and timing of a journal.
const (
	// maxSegmentBytes is the size at which a segment is sealed. It is far below the store's limit
	// for a value because every write carries the whole tail.
	maxSegmentBytes = 48 << 10
	// maxAttempts limits the write attempts for one batch.
	maxAttempts = 6
	// retryDelay is the delay after a failed attempt.
	retryDelay = 50 * time.Millisecond
	// callTimeout limits one call to the store.
	callTimeout = 2 * time.Second
)

// segment is one object of the journal.
type segment struct {
	Number  int     `json:"number"`
	Sealed  bool    `json:"sealed"`
	Entries []Entry `json:"entries"`
}

func (s segment) newestTimestamp() int64 {
	newest := int64(0)
	for _, entry := range s.Entries {
		newest = max(newest, entry.At)
	}
	return newest
}

// journal reads and appends to the chain of segments of one service. It is owned by one goroutine.
type journal struct {
	store        objectstore.Store
	limiter      *rate.Limiter
	kind         string
	ledger       *Ledger
	loaded       bool
	tail         segment
	version      objectstore.Version // of the tail; 0: the object does not exist yet
	appliedCount int                 // entries of the tail that are applied to the ledger
	lastSync     time.Time           // when the store last answered
	era          uint64              // of the store, when the ledger was last loaded completely
}

func newJournal(store objectstore.Store, limiter *rate.Limiter, service string, retention time.Duration) *journal {
	return &journal{store: store, limiter: limiter, kind: "operations-" + service, ledger: NewLedger(retention)}
}

func segmentName(number int) string {
	return fmt.Sprintf("%010d", number)
}

// reset discards the ledger and the tail, so that the next load reads the whole chain.
func (j *journal) reset() {
	j.ledger = NewLedger(j.ledger.retention)
	j.tail, j.version, j.appliedCount, j.loaded = segment{}, 0, 0, false
}

// stale reports whether the journal has not been read for so long that segments after its tail may
// have been written and removed since.
func (j *journal) stale() bool {
	return j.loaded && time.Since(j.lastSync) > j.ledger.retention/4
}

// load reads the entries that are not in the ledger yet.
func (j *journal) load(ctx context.Context) error {
	if j.loaded {
		return j.refresh(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The era is read first, so that a store rollback during the load is detected afterwards.
	j.era = j.store.Era()
	objects, err := j.store.List(ctx, j.kind)
	if err != nil {
		return errors.Annotate(err, "reading the journal")
	}
	for _, object := range objects {
		if err := j.applySegment(object); err != nil {
			return err
		}
	}
	j.loaded = true
	j.lastSync = time.Now()
	return nil
}

// storeRolledBack reports whether the store may have lost entries that the ledger holds.
func (j *journal) storeRolledBack() bool {
	return j.loaded && j.store.Era() > j.era
}

// reloadAfterRollback reads the whole chain again after a store rollback, and returns the entries
// that the store has lost. The ledger keeps these. On an error the journal is unchanged.
func (j *journal) reloadAfterRollback(ctx context.Context, now time.Time) ([]Entry, error) {
	previous := *j
	j.reset()
	if err := j.load(ctx); err != nil {
		*j = previous
		return nil, err
	}
	lost := previous.ledger.MissingFrom(j.ledger, now)
	for _, entry := range lost {
		j.ledger.Apply(entry)
	}
	return lost, nil
}

// refresh reads the tail and, while the tail is sealed, the segments after it.
func (j *journal) refresh(ctx context.Context) error {
	for {
		object, err := j.get(ctx, j.tail.Number)
		if errors.Is(err, objectstore.ErrNotFound) {
			if j.version == 0 {
				return nil
			}
			// The tail has expired and was removed, but later segments may exist.
			j.reset()
			return j.load(ctx)
		}
		if err != nil {
			return errors.Annotate(err, "reading the journal")
		}
		if err := j.applySegment(object); err != nil {
			return err
		}
		j.lastSync = time.Now()
		if !j.tail.Sealed {
			return nil
		}
		j.tail = segment{Number: j.tail.Number + 1}
		j.version, j.appliedCount = 0, 0
	}
}

func (j *journal) get(ctx context.Context, number int) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return j.store.Get(ctx, objectstore.Key{Kind: j.kind, Name: segmentName(number)})
}

// applySegment applies a segment's entries to the ledger and makes it the tail.
func (j *journal) applySegment(object objectstore.Object) error {
	var stored segment
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return errors.Annotatef(err, "journal segment %s/%s", object.Key.Kind, object.Key.Name)
	}
	start := 0
	if stored.Number == j.tail.Number {
		start = min(j.appliedCount, len(stored.Entries))
	}
	for _, entry := range stored.Entries[start:] {
		j.ledger.Apply(entry)
	}
	j.tail, j.version, j.appliedCount = stored, object.Version, len(stored.Entries)
	return nil
}

// append writes entries to the tail. ErrConflict means that another daemon wrote first: the ledger
// must be loaded and the claims checked again.
func (j *journal) append(ctx context.Context, entries []Entry) error {
	if j.tail.Sealed {
		j.tail = segment{Number: j.tail.Number + 1}
		j.version, j.appliedCount = 0, 0
	}
	next := segment{Number: j.tail.Number, Entries: append(append([]Entry(nil), j.tail.Entries...), entries...)}
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Annotate(err, "journal segment")
	}
	next.Sealed = len(data) >= maxSegmentBytes
	if next.Sealed {
		if data, err = json.Marshal(next); err != nil {
			return errors.Annotate(err, "journal segment")
		}
	}
	version, err := j.put(ctx, next.Number, data)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		j.ledger.Apply(entry)
	}
	j.tail, j.version, j.appliedCount = next, version, len(next.Entries)
	j.lastSync = time.Now()
	return nil
}

func (j *journal) put(ctx context.Context, number int, data []byte) (objectstore.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := j.limiter.Wait(ctx); err != nil {
		return 0, errors.WithType(err, objectstore.ErrUnavailable)
	}
	return j.store.Put(ctx, objectstore.Key{Kind: j.kind, Name: segmentName(number)}, data, j.version)
}

// expire removes the oldest sealed segments whose entries have all expired.
func (j *journal) expire(ctx context.Context, now time.Time) error {
	j.ledger.Expire(now)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, err := j.store.List(ctx, j.kind)
	if err != nil {
		return errors.Annotate(err, "reading the journal")
	}
	// The last segment is kept, so that the chain never restarts at a number that a delayed daemon
	// could still write to.
	for index, object := range objects {
		if index == len(objects)-1 {
			return nil
		}
		var stored segment
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			return errors.Annotate(err, "journal segment")
		}
		if !stored.Sealed || stored.Number >= j.tail.Number || !j.ledger.expired(now, stored.newestTimestamp()) {
			return nil
		}
		if err := j.limiter.Wait(ctx); err != nil {
			return err
		}
		if err := j.store.Delete(ctx, object.Key, object.Version); err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			return errors.Annotate(err, "removing an expired segment")
		}
	}
	return nil
}
