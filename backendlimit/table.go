package backendlimit

import (
	"math"
	"time"

	"github.com/tuliphall/tuliphall/backend"
)

const (
	// notable is by which part a limit must change for the other daemons to be told again: the daemon
	// that gives out the places would else be told with every answer of a back end whose limit wavers.
	notable = 0.1
	// endedMemory is for how long it is remembered that a limit has ended: until older news of the
	// limit is not passed on any more.
	endedMemory = time.Minute
	// undeclaredMemory is for how long words of back ends are kept that are not declared here: a
	// daemon that has just started hears them before it knows the back ends.
	undeclaredMemory = 10 * time.Second
	// maxRecords bounds the words that are kept; one takes about 200 bytes.
	maxRecords = 1 << 14
)

// Record is what is known of a back end's limit.
type Record struct {
	backend.Key
	Limit
	// Started tells which run of the back end said it, in Unix milliseconds; 0: it does not say.
	Started int64
	// At orders words on a back end: the wall clock of the daemon that heard it, or later than what
	// that one knew before.
	At time.Time
}

// entry is a word with what only this daemon knows of it.
type entry struct {
	Record
	// heard is when this daemon last heard that the back end is limited.
	heard time.Time
	// changed is when it heard this word first.
	changed time.Time
	// told is the limit that the other daemons were told of last, or told of.
	told float64
	// byProbe: answers to probes have named the limit.
	byProbe bool
}

// Table holds the newest word of each back end that has said one. It is not safe for concurrent use.
type Table struct {
	entries map[backend.Key]*entry
	limited int // entries that are limited
}

// NewTable returns a table without words.
func NewTable() *Table {
	return &Table{entries: make(map[backend.Key]*entry)}
}

// Response is an answer of a back end, and what it said.
type Response struct {
	backend.Key
	Limit
	Started int64     // of the run that answered; 0: not known
	Sent    time.Time // when the request was sent, or earlier
	// Probe: it answered a probe. Some back ends name their limit to requests only.
	Probe bool
	// Failed: it is a failure or a refusal. That it names no limit says nothing then.
	Failed bool
}

// Change is what a word has changed.
type Change int

// The changes.
const (
	NoChange Change = iota
	// MinorChange: the limit is hardly another one, and not worth telling others of.
	MinorChange
	// MajorChange: the others are to be told.
	MajorChange
)

// Observe takes in what an answer said.
func (t *Table) Observe(now time.Time, answer Response) Change {
	known := t.current(answer.Key, answer.Started)
	if known != nil && known.Started > answer.Started && answer.Started != 0 {
		return NoChange // an earlier run said it
	}
	if answer.Limited {
		return t.hearLimit(now, known, answer)
	}
	if known == nil || !known.Limited || !answer.Sent.After(known.heard) || answer.Failed || answer.Probe && !known.byProbe {
		return NoChange
	}
	t.set(now, Record{Key: answer.Key, Started: known.Started, At: after(now, known)})
	return MajorChange
}

// hearLimit takes in a limit that an answer named.
func (t *Table) hearLimit(now time.Time, known *entry, answer Response) Change {
	if known == nil && len(t.entries) >= maxRecords {
		return NoChange
	}
	change := MajorChange
	if known != nil && known.Limited && math.Abs(known.told-answer.PerSecond) <= notable*known.told {
		change = MinorChange
		if known.PerSecond == answer.PerSecond {
			change = NoChange
		}
	}
	at, told := after(now, known), answer.PerSecond
	if change != MajorChange {
		at, told = known.At, known.told
	}
	byProbe := answer.Probe || known != nil && known.byProbe
	set := t.set(now, Record{Key: answer.Key, Limit: answer.Limit, Started: answer.Started, At: at})
	set.byProbe, set.told = byProbe, told
	return change
}

// after returns a time for a word that replaces a known one.
func after(now time.Time, known *entry) time.Time {
	at := now.Round(0) // the wall clock alone
	if known != nil && !at.After(known.At) {
		at = known.At.Add(time.Millisecond)
	}
	return at
}

// Merge takes in a word that another daemon told, and says whether it is news.
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
		known.At, known.told = record.At, record.PerSecond
		return false
	}
	t.set(now, record).told = record.PerSecond
	return true
}

// current returns what is known of a back end, unless an earlier run than the named one said it.
func (t *Table) current(key backend.Key, started int64) *entry {
	known := t.entries[key]
	if known == nil || started == 0 || known.Started == 0 || known.Started >= started {
		return known
	}
	t.drop(known)
	return nil
}

// set replaces the word on a back end.
func (t *Table) set(now time.Time, record Record) *entry {
	known := t.entries[record.Key]
	if known == nil {
		known = &entry{}
		t.entries[record.Key] = known
	} else if known.Limited {
		t.limited--
	}
	if known.Limit != record.Limit || known.Started != record.Started {
		known.changed = now
	}
	known.Record = record
	if record.Limited {
		t.limited++
		known.heard = now
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

// Lookup returns what is known on the run of a back end that started at a time, and false where there is
// none. 0: whichever run.
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

// Records returns the limits that are in force, at most so many.
func (t *Table) Records(most int) []Record {
	var records []Record
	for _, known := range t.entries {
		if len(records) == most {
			break
		}
		if known.Limited {
			records = append(records, known.Record)
		}
	}
	return records
}

// Forget drops what ended long ago, and words on back ends that are not declared.
func (t *Table) Forget(now time.Time, declared func(backend.Key) bool) {
	for key, known := range t.entries {
		age := now.Sub(known.changed)
		if !known.Limited && age > endedMemory || age > undeclaredMemory && !declared(key) {
			t.drop(known)
		}
	}
}
