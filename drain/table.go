package drain

import (
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/clock"
)

const (
	// endedMemory is for how long it is remembered that a signal was taken back: until older news of the signal
	// is not passed on any more.
	endedMemory = time.Minute
	// undeclaredMemory is for how long signals on back ends are kept that are not declared: their entries may
	// lapse and come back while a directory is away.
	undeclaredMemory = 10 * time.Minute
	// maxRecords bounds the signals of other daemons that are kept; one takes about 250 bytes. What this daemon
	// hears itself is always kept.
	maxRecords = 1 << 14
)

// Source says who says that a back end is leaving.
type Source int

// The sources, besides an operator's declaration. A back end is drained while any of them says so.
const (
	// FromBackend: the back end says so with its answers.
	FromBackend Source = iota
	// FromMachineList: the platform says so of its machine.
	FromMachineList
	sources
)

// String names the source for logs and operators.
func (s Source) String() string {
	if s == FromMachineList {
		return "machine list"
	}
	return "back end"
}

// SignalKey names the signal of one source on one back end.
type SignalKey struct {
	backend.Key
	Source Source
}

// Record is what is known of a signal.
type Record struct {
	SignalKey
	Draining bool
	// Started tells which run of the back end, in Unix milliseconds; 0: it does not say, which is another run than
	// any that does.
	Started int64
	// At orders signals under the same key: the wall clock of the daemon that heard it, or later than what that
	// one knew before.
	At time.Time
}

// Signal is what this daemon itself hears.
type Signal struct {
	SignalKey
	Draining bool
	Started  int64     // of the run that says it; 0: not known
	Sent     time.Time // when the request was sent whose answer says it
	// RequestID is the id of that request; empty: there is none.
	RequestID string
}

// Notice says since when and from whom this daemon knows that a back end is leaving.
type Notice struct {
	Record
	Since time.Time
	// ReportedByPeer: another daemon told it; otherwise this one heard it.
	ReportedByPeer bool

	declared time.Time // when the back end was last seen declared; zero: not since it is known
}

// Table holds the newest signal under each key. It is not safe for concurrent use.
type Table struct {
	entries  map[SignalKey]*Notice
	draining int // entries that say that a back end is leaving
}

// NewTable returns a table without signals.
func NewTable() *Table {
	return &Table{entries: make(map[SignalKey]*Notice)}
}

// Observe takes in what this daemon hears, and says whether it is news.
func (t *Table) Observe(now time.Time, signal Signal) bool {
	known := t.current(signal.SignalKey, signal.Started)
	switch {
	case known != nil && isEarlier(signal.Started, known.Started):
		return false
	case known == nil && !signal.Draining, known != nil && known.Draining == signal.Draining:
		return false
	case known != nil && !signal.Draining && !signal.Sent.After(known.Since):
		return false // it may have been said before
	}
	record := Record{SignalKey: signal.SignalKey, Draining: signal.Draining, Started: signal.Started, At: after(now, known)}
	if known != nil {
		record.Started = known.Started
	}
	t.set(now, record, false)
	return true
}

// Merge takes in what another daemon tells, and says whether it is news.
func (t *Table) Merge(now time.Time, record Record) bool {
	known := t.current(record.SignalKey, record.Started)
	switch {
	case known == nil:
		if len(t.entries) >= maxRecords {
			return false
		}
		t.set(now, record, true)
		return record.Draining
	case isEarlier(record.Started, known.Started), !record.At.After(known.At):
		return false
	case known.Draining == record.Draining:
		known.At = record.At
		return false
	}
	record.Started = known.Started
	t.set(now, record, true)
	return true
}

// isEarlier says whether a run that says when it started did so before another one.
func isEarlier(started, than int64) bool {
	return started != 0 && started < than
}

// after returns a time for a signal that replaces a known one.
func after(now time.Time, known *Notice) time.Time {
	at := now.Round(0) // the wall clock alone
	if known != nil && !at.After(known.At) {
		at = known.At.Add(time.Millisecond)
	}
	return at
}

// current returns what is known under a key, unless it is of an earlier run than the named one.
func (t *Table) current(key SignalKey, started int64) *Notice {
	known := t.entries[key]
	if known != nil && known.Started < started {
		t.drop(known)
		return nil
	}
	return known
}

func (t *Table) set(now time.Time, record Record, told bool) {
	if known := t.entries[record.SignalKey]; known != nil {
		t.drop(known)
	}
	t.entries[record.SignalKey] = &Notice{Record: record, Since: now, ReportedByPeer: told}
	if record.Draining {
		t.draining++
	}
}

func (t *Table) drop(known *Notice) {
	if known.Draining {
		t.draining--
	}
	delete(t.entries, known.SignalKey)
}

// Leaving returns from which source the run of a back end that started at a time is leaving, and false where nobody
// says so. 0: whichever run.
func (t *Table) Leaving(key backend.Key, started int64) (Notice, bool) {
	for source := range sources {
		known := t.entries[SignalKey{Key: key, Source: source}]
		if known != nil && known.Draining && (started == 0 || known.Started == started) {
			return *known, true
		}
	}
	return Notice{}, false
}

// DrainingCount returns how many signals say that a back end is leaving.
func (t *Table) DrainingCount() int {
	return t.draining
}

// Record returns what is known under a key.
func (t *Table) Record(key SignalKey) (Record, bool) {
	if known := t.entries[key]; known != nil {
		return known.Record, true
	}
	return Record{}, false
}

// Records returns the signals that back ends are leaving, at most so many.
func (t *Table) Records(most int) []Record {
	var records []Record
	for _, known := range t.entries {
		if len(records) == most {
			break
		}
		if known.Draining {
			records = append(records, known.Record)
		}
	}
	return records
}

// Prune drops what was taken back long ago, and signals on back ends that have not been declared for long.
// declared must not call the table.
func (t *Table) Prune(now time.Time, declared func(backend.Key) bool) {
	for key, known := range t.entries {
		switch {
		case !known.Draining:
			if now.Sub(known.Since) > endedMemory {
				t.drop(known)
			}
		case declared(key.Key):
			known.declared = now
		case now.Sub(clock.Later(known.Since, known.declared)) > undeclaredMemory:
			t.drop(known)
		}
	}
}
