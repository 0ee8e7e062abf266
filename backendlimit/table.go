package backendlimit

import (
	"math"
	"time"

	"github.com/tuliphall/tuliphall/backend"
)

const (
	// minChange is the relative change of a limit above which the peers are notified again: otherwise the daemon
	// that grants the permits would be notified of every response of a back end whose limit fluctuates.
	minChange = 0.1
	// endedRetention is how long it is remembered that a limit has ended: until older records of the
	// limit are not passed on any more.
	endedRetention = time.Minute
	// undeclaredRetention is how long records of back ends are kept that are not declared here: a
	// daemon that has just started receives them before it knows the back ends.
	undeclaredRetention = 10 * time.Second
	// maxRecords bounds the number of records; one takes about 200 bytes.
	maxRecords = 1 << 14
)

// Record is what is known of a back end's limit.
type Record struct {
	backend.Key
	Limit
	// Started identifies the run of the back end that named the limit by its start, in Unix milliseconds;
	// 0: not reported.
	Started int64
	// At orders the records of a back end: the wall clock of the daemon that received the response, or
	// later than the record that this daemon had before.
	At time.Time
}

// entry is a record with what only this daemon knows of it.
type entry struct {
	Record
	// limitedAt is when this daemon last received that the back end is limited.
	limitedAt time.Time
	// changedAt is when it received the current limit first.
	changedAt time.Time
	// shared is the limit that was last sent to or received from the peers.
	shared float64
	// byProbe: responses to probes have named the limit.
	byProbe bool
}

// Table holds the newest record of each back end that has named a limit. It is not safe for concurrent use.
type Table struct {
	entries map[backend.Key]*entry
	limited int // entries that are limited
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[backend.Key]*entry)}
}

// Response is a response of a back end with the limit that it names.
type Response struct {
	backend.Key
	Limit
	Started int64     // of the run that responded; 0: not known
	Sent    time.Time // when the request was sent, or earlier
	// Probe: it answers a probe. Some back ends name their limit with responses to requests only.
	Probe bool
	// Failed: it is an error or a refusal, in which a missing limit has no meaning.
	Failed bool
}

// Change is the effect of a response on the table.
type Change int

// The changes.
const (
	NoChange Change = iota
	// MinorChange: the limit has changed by too little to notify the peers.
	MinorChange
	// MajorChange: the peers must be notified.
	MajorChange
)

// Observe applies the limit of a response, or its lack of one.
func (t *Table) Observe(now time.Time, response Response) Change {
	known := t.current(response.Key, response.Started)
	if known != nil && known.Started > response.Started && response.Started != 0 {
		return NoChange // the response is from an earlier run
	}
	if response.Limited {
		return t.observeLimit(now, known, response)
	}
	if known == nil || !known.Limited || !response.Sent.After(known.limitedAt) || response.Failed || response.Probe && !known.byProbe {
		return NoChange
	}
	t.set(now, Record{Key: response.Key, Started: known.Started, At: nextTime(now, known)})
	return MajorChange
}

// observeLimit applies a response that names a limit.
func (t *Table) observeLimit(now time.Time, known *entry, response Response) Change {
	if known == nil && len(t.entries) >= maxRecords {
		return NoChange
	}
	change := MajorChange
	if known != nil && known.Limited && math.Abs(known.shared-response.PerSecond) <= minChange*known.shared {
		change = MinorChange
		if known.PerSecond == response.PerSecond {
			change = NoChange
		}
	}
	at, shared := nextTime(now, known), response.PerSecond
	if change != MajorChange {
		at, shared = known.At, known.shared
	}
	byProbe := response.Probe || known != nil && known.byProbe
	updated := t.set(now, Record{Key: response.Key, Limit: response.Limit, Started: response.Started, At: at})
	updated.byProbe, updated.shared = byProbe, shared
	return change
}

// nextTime returns the time of a record that replaces a known one.
func nextTime(now time.Time, known *entry) time.Time {
	at := now.Round(0) // the wall clock alone
	if known != nil && !at.After(known.At) {
		at = known.At.Add(time.Millisecond)
	}
	return at
}

// Merge applies a record from a peer, and returns whether it changed the limit.
func (t *Table) Merge(now time.Time, record Record) bool {
	known := t.current(record.Key, record.Started)
	switch {
	case known == nil:
		if !record.Limited || len(t.entries) >= maxRecords {
			return false
		}
	case known.Started > record.Started && record.Started != 0, !record.At.After(known.At):
		return false
	case known.Limit == record.Limit:
		known.At, known.shared = record.At, record.PerSecond
		return false
	}
	t.set(now, record).shared = record.PerSecond
	return true
}

// current returns the entry of a back end. It drops an entry of an earlier run than the given one, and returns nil then.
func (t *Table) current(key backend.Key, started int64) *entry {
	known := t.entries[key]
	if known == nil || started == 0 || known.Started == 0 || known.Started >= started {
		return known
	}
	t.drop(known)
	return nil
}

// set replaces the record of a back end.
func (t *Table) set(now time.Time, record Record) *entry {
	known := t.entries[record.Key]
	if known == nil {
		known = &entry{}
		t.entries[record.Key] = known
	} else if known.Limited {
		t.limited--
	}
	if known.Limit != record.Limit || known.Started != record.Started {
		known.changedAt = now
	}
	known.Record = record
	if record.Limited {
		t.limited++
		known.limitedAt = now
	} else {
		known.byProbe = false
	}
	return known
}

func (t *Table) drop(known *entry) {
	if known.Limited {
		t.limited--
	}
	delete(t.entries, known.Key)
}

// Lookup returns the record of the run of a back end that started at a given time, or false if there is
// none. 0 stands for any run.
func (t *Table) Lookup(key backend.Key, started int64) (Record, bool) {
	known := t.entries[key]
	if known == nil || started != 0 && known.Started != 0 && known.Started != started {
		return Record{}, false
	}
	return known.Record, true
}

// LimitedCount returns how many back ends are limited.
func (t *Table) LimitedCount() int {
	return t.limited
}

// Records returns the limits that are in force, up to a maximum number.
func (t *Table) Records(maximum int) []Record {
	var records []Record
	for _, known := range t.entries {
		if len(records) == maximum {
			break
		}
		if known.Limited {
			records = append(records, known.Record)
		}
	}
	return records
}

// Forget drops limits that ended long ago, and records of back ends that are not declared.
func (t *Table) Forget(now time.Time, declared func(backend.Key) bool) {
	for key, known := range t.entries {
		age := now.Sub(known.changedAt)
		if !known.Limited && age > endedRetention || age > undeclaredRetention && !declared(key) {
			t.drop(known)
		}
	}
}
