package drain

import (
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/clock"
)

const (
	// withdrawnRetention is how long the withdrawal of a signal is kept: until gossip no longer spreads older
	// records of the signal.
	withdrawnRetention = time.Minute
	// undeclaredRetention is how long the signals of undeclared back ends are kept: directory entries may expire
	// and reappear while a directory is unavailable.
	undeclaredRetention = 10 * time.Minute
	// maxRecords is the maximum number of signals up to which those of peers are accepted; one takes about 250
	// bytes. Signals that this daemon observes itself are always kept.
	maxRecords = 1 << 14
)

// Source is the origin of a signal that a back end is draining.
type Source int

// The sources, besides an operator's declaration. A back end is draining while any of them says so.
const (
	// FromBackend is the back end itself, in its responses.
	FromBackend Source = iota
	// FromMachineList is the platform's machine list.
	FromMachineList
	sourceCount
)

// String returns the name of the source for logs and command output.
func (s Source) String() string {
	if s == FromMachineList {
		return "machine list"
	}
	return "back end"
}

// SignalKey identifies the signal of one source about one back end.
type SignalKey struct {
	backend.Key
	Source Source
}

// Record is the state of a signal as daemons exchange it.
type Record struct {
	SignalKey
	Draining bool
	// Started is the start time of the back end's run, in Unix milliseconds. 0: not stated; such a run differs from
	// all runs with a start time.
	Started int64
	// At orders records of the same key: the wall clock time of the daemon that observed the signal, but later
	// than that of the record that the daemon had before.
	At time.Time
}

// Signal is a signal that this daemon observes itself.
type Signal struct {
	SignalKey
	Draining bool
	Started  int64     // start of the back end's run; 0: not known
	Sent     time.Time // when the request was sent whose response has the signal
	// RequestID is the id of that request; empty: it has none.
	RequestID string
}

// Notice is a record together with when and how this daemon got it.
type Notice struct {
	Record
	Since time.Time
	// ReportedByPeer tells that the record came from a peer; otherwise this daemon observed the signal.
	ReportedByPeer bool

	declared time.Time // when the back end was last seen declared; zero: not since the record was set
}

// Table holds the newest record of each key. It is not safe for concurrent use.
type Table struct {
	entries  map[SignalKey]*Notice
	draining int // number of entries that say that a back end is draining
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[SignalKey]*Notice)}
}

// Observe takes in a signal that this daemon observes, and reports whether it changes the state.
func (t *Table) Observe(now time.Time, signal Signal) bool {
	current := t.current(signal.SignalKey, signal.Started)
	switch {
	case current != nil && isEarlier(signal.Started, current.Started):
		return false
	case current == nil && !signal.Draining, current != nil && current.Draining == signal.Draining:
		return false
	case current != nil && !signal.Draining && !signal.Sent.After(current.Since):
		return false // the response may be older than the known signal
	}
	record := Record{SignalKey: signal.SignalKey, Draining: signal.Draining, Started: signal.Started, At: laterThan(now, current)}
	if current != nil {
		record.Started = current.Started
	}
	t.set(now, record, false)
	return true
}

// Merge takes in a record from a peer, and reports whether it changes the state.
func (t *Table) Merge(now time.Time, record Record) bool {
	current := t.current(record.SignalKey, record.Started)
	switch {
	case current == nil:
		if len(t.entries) >= maxRecords {
			return false
		}
		t.set(now, record, true)
		return record.Draining
	case isEarlier(record.Started, current.Started), !record.At.After(current.At):
		return false
	case current.Draining == record.Draining:
		current.At = record.At
		return false
	}
	record.Started = current.Started
	t.set(now, record, true)
	return true
}

// isEarlier reports whether a run with a known start time started before another one.
func isEarlier(started, other int64) bool {
	return started != 0 && started < other
}

// laterThan returns the wall clock time for a record that replaces the current one, advanced past the
// current record's time if the clock has not passed it.
func laterThan(now time.Time, current *Notice) time.Time {
	at := now.Round(0) // the wall clock alone
	if current != nil && !at.After(current.At) {
		at = current.At.Add(time.Millisecond)
	}
	return at
}

// current returns the entry of a key. An entry of an earlier run than the given one is removed.
func (t *Table) current(key SignalKey, started int64) *Notice {
	current := t.entries[key]
	if current != nil && current.Started < started {
		t.remove(current)
		return nil
	}
	return current
}

func (t *Table) set(now time.Time, record Record, reportedByPeer bool) {
	if current := t.entries[record.SignalKey]; current != nil {
		t.remove(current)
	}
	t.entries[record.SignalKey] = &Notice{Record: record, Since: now, ReportedByPeer: reportedByPeer}
	if record.Draining {
		t.draining++
	}
}

func (t *Table) remove(notice *Notice) {
	if notice.Draining {
		t.draining--
	}
	delete(t.entries, notice.SignalKey)
}

// Draining returns the notice by which the run of a back end that started at the given time is draining, and false if
// there is none. A start time of 0 means any run.
func (t *Table) Draining(key backend.Key, started int64) (Notice, bool) {
	for source := range sourceCount {
		notice := t.entries[SignalKey{Key: key, Source: source}]
		if notice != nil && notice.Draining && (started == 0 || notice.Started == started) {
			return *notice, true
		}
	}
	return Notice{}, false
}

// DrainingCount returns the number of signals that say that a back end is draining.
func (t *Table) DrainingCount() int {
	return t.draining
}

// Record returns the record of a key.
func (t *Table) Record(key SignalKey) (Record, bool) {
	if notice := t.entries[key]; notice != nil {
		return notice.Record, true
	}
	return Record{}, false
}

// Records returns at most the given number of records that say that a back end is draining.
func (t *Table) Records(most int) []Record {
	var records []Record
	for _, notice := range t.entries {
		if len(records) == most {
			break
		}
		if notice.Draining {
			records = append(records, notice.Record)
		}
	}
	return records
}

// Prune removes signals that were withdrawn more than withdrawnRetention ago, and signals of back ends that have
// not been declared for undeclaredRetention. declared must not call the table.
func (t *Table) Prune(now time.Time, declared func(backend.Key) bool) {
	for key, notice := range t.entries {
		switch {
		case !notice.Draining:
			if now.Sub(notice.Since) > withdrawnRetention {
				t.remove(notice)
			}
		case declared(key.Key):
			notice.declared = now
		case now.Sub(clock.Later(notice.Since, notice.declared)) > undeclaredRetention:
			t.remove(notice)
		}
	}
}
