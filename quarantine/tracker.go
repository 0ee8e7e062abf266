package quarantine

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/resultcode"
)

// Options are the dependencies and settings of a Tracker.
type Options struct {
	Policy Policy
	Store  objectstore.Store
	// ReadsStore reports whether this daemon loads the quarantined requests from the store: a few
	// daemons do, and broadcast them to the others. It must not block.
	ReadsStore func() bool
	// Broadcast sends records that this daemon has changed to its peers. It must not block.
	Broadcast    func(Record)
	StoreTimeout time.Duration // of one call to the store
	Log          *slog.Logger
	Metrics      tally.Scope
}

// Tracker keeps one daemon's table of records and saves the quarantined requests to the store. It
// is safe for concurrent use. Only Run blocks.
type Tracker struct {
	options     Options
	log         *slog.Logger
	crashes     tally.Counter
	quarantined tally.Gauge

	mutex sync.RWMutex
	table *Table
	// unsaved are requests whose current record may not be in the store yet.
	unsaved map[Fingerprint]bool
	// observedLocally are requests that crashed a back end while this daemon had sent them there,
	// or that its operator quarantined. This daemon is one of those that save them once they are
	// quarantined.
	observedLocally map[Fingerprint]bool
	saveRequested   chan struct{} // capacity 1: unsaved is not empty, or a save must be retried
}

// NewTracker returns a tracker without records.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options: options, log: logging.Component(options.Log, "quarantine"), table: NewTable(options.Policy),
		crashes: options.Metrics.Counter("backends_ended"), quarantined: options.Metrics.Gauge("requests_quarantined"),
		unsaved: make(map[Fingerprint]bool), observedLocally: make(map[Fingerprint]bool), saveRequested: make(chan struct{}, 1),
	}
}

// QuarantinedUntil returns when the quarantine of a request ends, and false if it is not
// quarantined. It is called for every request.
func (t *Tracker) QuarantinedUntil(fingerprint Fingerprint) (time.Time, bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	if t.table.Len() == 0 {
		return time.Time{}, false
	}
	return t.table.QuarantinedUntil(time.Now(), fingerprint)
}

// Check returns a failure if the request must not be sent to a back end, else nil. The failure
// tells the caller to retry when the quarantine ends.
func (t *Tracker) Check(fingerprints Fingerprints) *resultcode.Failure {
	fingerprint := fingerprints.Exact
	until, quarantined := t.QuarantinedUntil(fingerprint)
	if !quarantined {
		fingerprint = fingerprints.Broad
		until, quarantined = t.QuarantinedUntil(fingerprint)
	}
	if !quarantined {
		return nil
	}
	return &resultcode.Failure{
		Code: resultcode.CrashingRequest, Detail: "fingerprint " + fingerprint.String() + ", until " + until.UTC().Format(time.RFC3339),
		RetryAfter: time.Until(until),
	}
}

// CrashCount returns how many back end crashes count against a request. It is called for every request.
func (t *Tracker) CrashCount(fingerprints Fingerprints) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	if t.table.Len() == 0 {
		return 0
	}
	now := time.Now()
	return max(t.table.CrashCount(now, fingerprints.Exact), t.table.CrashCount(now, fingerprints.Broad))
}

// RecordCrash records that a back end crashed while it ran a request of a service. The identity describes the request; its
// fingerprints are computed by the daemon that received it.
func (t *Tracker) RecordCrash(fingerprints Fingerprints, identity Identity, service string, backend BackendRun) {
	t.crashes.Inc(1)
	at := NewTimestamp(time.Now())
	broad := identity
	broad.Caller = "any"
	t.recordLocal(Record{Fingerprint: fingerprints.Exact, Service: service, Description: identity.Describe(), Crashes: []Crash{{Backend: backend, At: at}}})
	t.recordLocal(Record{Fingerprint: fingerprints.Broad, Broad: true, Service: service, Description: broad.Describe(), Crashes: []Crash{{Backend: backend, At: at}}})
}

// recordLocal merges and broadcasts a record of a crash that this daemon observed.
func (t *Tracker) recordLocal(record Record) {
	t.mutex.Lock()
	t.observedLocally[record.Fingerprint] = true
	t.mutex.Unlock()
	t.updateAndBroadcast(record.Fingerprint, func(now time.Time) (Record, bool) { return t.table.Merge(now, record) })
}

// RecordSuccess records that a back end answered a request.
func (t *Tracker) RecordSuccess(fingerprints Fingerprints) {
	if t.CrashCount(fingerprints) == 0 {
		return
	}
	for _, fingerprint := range []Fingerprint{fingerprints.Exact, fingerprints.Broad} {
		t.updateAndBroadcast(fingerprint, func(now time.Time) (Record, bool) { return t.table.RecordSuccess(now, fingerprint) })
	}
}

// Quarantine quarantines a request by an operator's order, whatever its record.
func (t *Tracker) Quarantine(record Record) {
	record.ManualAt = NewTimestamp(time.Now())
	t.mutex.Lock()
	t.observedLocally[record.Fingerprint] = true
	t.mutex.Unlock()
	t.updateAndBroadcast(record.Fingerprint, func(now time.Time) (Record, bool) { return t.table.Merge(now, record) })
}

// Release ends the quarantine of a request by an operator's order. It returns false if the
// request has no record.
func (t *Tracker) Release(fingerprint Fingerprint) bool {
	return t.updateAndBroadcast(fingerprint, func(now time.Time) (Record, bool) { return t.table.Release(now, fingerprint) })
}

// updateAndBroadcast applies a change made by this daemon and sends the record to its peers.
func (t *Tracker) updateAndBroadcast(fingerprint Fingerprint, modify func(now time.Time) (Record, bool)) bool {
	record, changed := t.update(fingerprint, modify)
	if changed {
		t.options.Broadcast(record)
	}
	return changed
}

// update applies a change, logs it if the request's quarantine begins or ends, and schedules the
// save if this daemon is responsible for it.
func (t *Tracker) update(fingerprint Fingerprint, modify func(now time.Time) (Record, bool)) (Record, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	_, wasQuarantined := t.table.QuarantinedUntil(now, fingerprint)
	record, changed := modify(now)
	until, quarantined := t.table.QuarantinedUntil(now, fingerprint)
	if quarantined == wasQuarantined {
		return record, changed
	}
	if quarantined {
		t.log.Info("request held back", append(record.attributes(), "until", until)...)
	} else {
		t.log.Info("request released from quarantine", record.attributes()...)
	}
	t.quarantined.Update(float64(len(t.table.Quarantined(now))))
	if t.observedLocally[fingerprint] || !quarantined {
		t.scheduleSave(fingerprint)
	}
	return record, changed
}

// attributes returns the attributes of log lines about the request.
func (r Record) attributes() []any {
	return []any{"fingerprint", r.Fingerprint.String(), "service", r.Service, "what", r.Description, "endings", len(r.Crashes), "by_order", r.ManualAt > 0}
}

// Merge merges records from peers and returns the ones that changed.
func (t *Tracker) Merge(records []Record) []Record {
	var updated []Record
	for _, received := range records {
		if record, changed := t.update(received.Fingerprint, func(now time.Time) (Record, bool) { return t.table.Merge(now, received) }); changed {
			updated = append(updated, record)
		}
	}
	return updated
}

// Record returns the record of a request.
func (t *Tracker) Record(fingerprint Fingerprint) (Record, bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.table.Record(fingerprint)
}

// Records returns at most limit records, most important first.
func (t *Tracker) Records(limit int) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	records := t.table.Records(time.Now())
	return records[:min(limit, len(records))]
}

// Entry is a request that crashed back ends or that an operator quarantined.
type Entry struct {
	Record
	Quarantined bool
	Until       time.Time // end of the quarantine, if Quarantined
}

// Entries returns all requests with crashes or an operator's order, most important first. Records
// that were only cleared are omitted.
func (t *Tracker) Entries() []Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	var entries []Entry
	for _, record := range t.table.Records(now) {
		if len(record.Crashes) == 0 && record.ManualAt == 0 {
			continue
		}
		until, quarantined := t.table.quarantineEnd(now, record)
		entries = append(entries, Entry{Record: record, Quarantined: quarantined, Until: until})
	}
	return entries
}

// QuarantinedCount returns the number of quarantined requests.
func (t *Tracker) QuarantinedCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.table.Quarantined(time.Now()))
}

// Digest is a hash of the set of quarantined requests; daemons compare it to detect differences.
func (t *Tracker) Digest() uint64 {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	if t.table.Len() == 0 {
		return 0
	}
	return t.table.Digest(time.Now())
}

// maxDescription limits the description of a request, in bytes.
const maxDescription = 160

// Describe returns a description of the request for operators.
func (i Identity) Describe() string {
	text := strings.Join([]string{i.Method, i.Host + i.Target, "from", i.Caller}, " ")
	return text[:min(len(text), maxDescription)]
}
