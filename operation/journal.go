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

// Bounds of a journal.
const (
	// maxSegmentBytes is the size at which a segment is sealed. Every write
	// carries the whole tail, so that it is kept far below the value limit.
	maxSegmentBytes = 48 << 10
	// maxTries bounds the writes for one batch.
	maxTries = 6
	// tryPause is the wait after a try that got no answer.
	tryPause = 50 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
)

// segment is one object of the chain.
type segment struct {
	Number  int     `json:"number"`
	Sealed  bool    `json:"sealed"`
	Entries []Entry `json:"entries"`
}

func (s segment) newest() int64 {
	newest := int64(0)
	for _, entry := range s.Entries {
		newest = max(newest, entry.At)
	}
	return newest
}

// journal reads and appends to one service's chain. One goroutine owns it.
type journal struct {
	store   objectstore.Store
	limiter *rate.Limiter
	kind    string
	ledger  *Ledger
	loaded  bool
	tail    segment
	version objectstore.Version // of the tail; 0: it does not exist yet
	inTail  int                 // entries of the tail that are in the ledger
	synced  time.Time           // when the store last answered
	era     uint64              // of the store, when the ledger was last read whole
}

func newJournal(store objectstore.Store, limiter *rate.Limiter, service string, retention time.Duration) *journal {
	return &journal{store: store, limiter: limiter, kind: "operations-" + service, ledger: NewLedger(retention)}
}

func segmentName(number int) string {
	return fmt.Sprintf("%010d", number)
}

// reset forgets everything, so that the next load reads the whole chain.
func (j *journal) reset() {
	j.ledger = NewLedger(j.ledger.retention)
	j.tail, j.version, j.inTail, j.loaded = segment{}, 0, 0, false
}

// stale says whether the journal was idle for so long that segments after its
// tail may have come and gone unseen.
func (j *journal) stale() bool {
	return j.loaded && time.Since(j.synced) > j.ledger.retention/4
}

// load brings the ledger up to the chain's present end.
func (j *journal) load(ctx context.Context) error {
	if j.loaded {
		return j.refresh(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// An era that begins meanwhile is noticed after this.
	j.era = j.store.Era()
	objects, err := j.store.List(ctx, j.kind)
	if err != nil {
		return errors.Annotate(err, "reading the journal")
	}
	for _, object := range objects {
		if err := j.fold(object); err != nil {
			return err
		}
	}
	j.loaded = true
	j.synced = time.Now()
	return nil
}

// cameBackOlder says whether the store may have lost entries that the ledger holds.
func (j *journal) cameBackOlder() bool {
	return j.loaded && j.store.Era() > j.era
}

// recover reads the chain anew from a store that came back older, and returns the entries that it has lost. The ledger
// holds them. On an error nothing has changed.
func (j *journal) recover(ctx context.Context, now time.Time) ([]Entry, error) {
	known := *j
	j.reset()
	if err := j.load(ctx); err != nil {
		*j = known
		return nil, err
	}
	lost := known.ledger.MissingFrom(j.ledger, now)
	for _, entry := range lost {
		j.ledger.Apply(entry)
	}
	return lost, nil
}

// refresh reads the tail, and the segments after it while it is sealed.
func (j *journal) refresh(ctx context.Context) error {
	for {
		object, err := j.get(ctx, j.tail.Number)
		if errors.Is(err, objectstore.ErrNotFound) {
			if j.version == 0 {
				return nil
			}
			// The tail was removed as expired; the chain goes on behind it.
			j.reset()
			return j.load(ctx)
		}
		if err != nil {
			return errors.Annotate(err, "reading the journal")
		}
		if err := j.fold(object); err != nil {
			return err
		}
		j.synced = time.Now()
		if !j.tail.Sealed {
			return nil
		}
		j.tail = segment{Number: j.tail.Number + 1}
		j.version, j.inTail = 0, 0
	}
}

func (j *journal) get(ctx context.Context, number int) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return j.store.Get(ctx, objectstore.Key{Kind: j.kind, Name: segmentName(number)})
}

// fold takes a segment into the ledger and makes it the tail.
func (j *journal) fold(object objectstore.Object) error {
	var read segment
	if err := json.Unmarshal(object.Value, &read); err != nil {
		return errors.Annotatef(err, "journal segment %s/%s", object.Key.Kind, object.Key.Name)
	}
	start := 0
	if read.Number == j.tail.Number {
		start = min(j.inTail, len(read.Entries))
	}
	for _, entry := range read.Entries[start:] {
		j.ledger.Apply(entry)
	}
	j.tail, j.version, j.inTail = read, object.Version, len(read.Entries)
	return nil
}

// append writes entries to the tail. ErrConflict means that another daemon
// wrote first: the ledger must be loaded and the entries decided again.
func (j *journal) append(ctx context.Context, entries []Entry) error {
	if j.tail.Sealed {
		j.tail = segment{Number: j.tail.Number + 1}
		j.version, j.inTail = 0, 0
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
	j.tail, j.version, j.inTail = next, version, len(next.Entries)
	j.synced = time.Now()
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
	// The last segment stays, so that the chain never begins anew at a number
	// that a slower daemon could still write to.
	for index, object := range objects {
		if index == len(objects)-1 {
			return nil
		}
		var read segment
		if err := json.Unmarshal(object.Value, &read); err != nil {
			return errors.Annotate(err, "journal segment")
		}
		if !read.Sealed || read.Number >= j.tail.Number || !j.ledger.expired(now, read.newest()) {
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
