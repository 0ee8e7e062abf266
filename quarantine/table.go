package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of a Policy.
const (
	// DefaultCrashThreshold is how many back ends a request may crash. When a back end crashes,
	// the other requests in flight there record a crash too, but seldom three without a response
	// in between (TestHarmlessRequestsAreSeldomQuarantined).
	DefaultCrashThreshold = 3
	// MaxCrashThreshold is the highest threshold that a Policy may have: half of the crashes that
	// are kept, as some of those may be coincident and count as one.
	MaxCrashThreshold = maxCrashes / 2
	// DefaultDuration is how long a request stays quarantined. After each quarantine the request
	// may crash as many back ends again, so an hour limits it to three crashes an hour.
	DefaultDuration = time.Hour
	// maxBroadDuration limits the quarantine of fingerprints without caller and query. It is shorter
	// than the others because one of the requests that share the fingerprint may be the only cause.
	maxBroadDuration = 10 * time.Minute
	// DefaultCrashWindow is the period within which crashes are counted together. A request that
	// crashes a back end every quarter of an hour affects less than 1 in 100 back ends of a service.
	DefaultCrashWindow = 15 * time.Minute
	// DefaultCapacity is the maximum number of records, of about 300 bytes each
	// (TestFloodOfDistinctRequests).
	DefaultCapacity = 4096
)

// Policy determines when requests are quarantined, and for how long. Zero fields take the defaults.
type Policy struct {
	CrashThreshold int           // back end crashes after which a request is quarantined
	Duration       time.Duration // of a quarantine
	CrashWindow    time.Duration // for how long a crash counts
	Capacity       int           // maximum number of records
}

func (p *Policy) setDefaults() {
	p.CrashThreshold = cmp.Or(p.CrashThreshold, DefaultCrashThreshold)
	p.Duration = cmp.Or(p.Duration, DefaultDuration)
	p.CrashWindow = cmp.Or(p.CrashWindow, DefaultCrashWindow)
	p.Capacity = cmp.Or(p.Capacity, DefaultCapacity)
}

// Table holds the records of one daemon. It does no I/O and is not safe for concurrent use.
type Table struct {
	policy  Policy
	records map[Fingerprint]Record
}

// NewTable returns an empty table.
func NewTable(policy Policy) *Table {
	policy.setDefaults()
	return &Table{policy: policy, records: make(map[Fingerprint]Record)}
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// Merge merges a record from a peer, or one observed by this daemon. It returns the merged record
// and whether the table changed.
func (t *Table) Merge(now time.Time, update Record) (Record, bool) {
	before, found := t.records[update.Fingerprint]
	merged := merge(before, update)
	merged.Fingerprint = update.Fingerprint
	if t.expired(now, merged) {
		delete(t.records, update.Fingerprint)
		return merged, false
	}
	if found && equal(before, merged) {
		return before, false
	}
	if !found && len(t.records) >= t.policy.Capacity {
		t.evict(now)
	}
	t.records[update.Fingerprint] = merged
	return merged, true
}

// RecordSuccess records that a back end answered the request, which clears its crashes. It returns
// false if there was nothing to clear.
func (t *Table) RecordSuccess(now time.Time, fingerprint Fingerprint) (Record, bool) {
	record, found := t.records[fingerprint]
	if !found || len(record.Crashes) == 0 || record.ManualAt > 0 {
		return Record{}, false
	}
	return t.Release(now, fingerprint)
}

// Release clears the record of a request. It returns false if there is none.
func (t *Table) Release(now time.Time, fingerprint Fingerprint) (Record, bool) {
	record, found := t.records[fingerprint]
	if !found {
		return Record{}, false
	}
	// The clock of the daemon that made the record may be ahead.
	return t.Merge(now, Record{Fingerprint: fingerprint, ClearedAt: max(NewTimestamp(now), record.lastChange())})
}

// QuarantinedUntil returns when the quarantine of a request ends, and false if it is not quarantined.
func (t *Table) QuarantinedUntil(now time.Time, fingerprint Fingerprint) (time.Time, bool) {
	record, found := t.records[fingerprint]
	if !found {
		return time.Time{}, false
	}
	return t.quarantineEnd(now, record)
}

func (t *Table) quarantineEnd(now time.Time, record Record) (time.Time, bool) {
	since := record.quarantinedSince(t.policy.CrashThreshold)
	if since == 0 {
		return time.Time{}, false
	}
	until := since.Time().Add(t.duration(record))
	return until, now.Before(until)
}

// duration returns how long a request with this record stays quarantined.
func (t *Table) duration(record Record) time.Duration {
	if record.Broad {
		return min(t.policy.Duration, maxBroadDuration)
	}
	return t.policy.Duration
}

// CrashCount returns how many back end crashes currently count against the request.
func (t *Table) CrashCount(now time.Time, fingerprint Fingerprint) int {
	record, found := t.records[fingerprint]
	if !found || t.expired(now, record) {
		return 0
	}
	count, _ := record.distinctCrashes(maxCrashes)
	return count
}

// expired reports whether a record no longer has any effect.
func (t *Table) expired(now time.Time, record Record) bool {
	if since := record.quarantinedSince(t.policy.CrashThreshold); since > 0 {
		return !now.Before(since.Time().Add(t.duration(record)))
	}
	return !now.Before(record.lastChange().Time().Add(t.policy.CrashWindow))
}

// Prune removes expired records.
func (t *Table) Prune(now time.Time) {
	for fingerprint, record := range t.records {
		if t.expired(now, record) {
			delete(t.records, fingerprint)
		}
	}
}

// Record returns the record of a request.
func (t *Table) Record(fingerprint Fingerprint) (Record, bool) {
	record, found := t.records[fingerprint]
	return record, found
}

// Records returns all records, most important first: quarantined requests, then those with more
// crashes, then those that changed later.
func (t *Table) Records(now time.Time) []Record {
	t.Prune(now)
	records := make([]Record, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record)
	}
	slices.SortFunc(records, t.compare)
	return records
}

// Quarantined returns the records of quarantined requests, in the order of Records.
func (t *Table) Quarantined(now time.Time) []Record {
	return slices.DeleteFunc(t.Records(now), func(record Record) bool { return record.quarantinedSince(t.policy.CrashThreshold) == 0 })
}

// Digest is a hash of the set of quarantined requests.
func (t *Table) Digest(now time.Time) uint64 {
	var digest uint64
	for fingerprint, record := range t.records {
		if _, quarantined := t.quarantineEnd(now, record); quarantined {
			digest ^= uint64(fingerprint)
		}
	}
	return digest
}

// compare orders records by importance: negative if a is more important.
func (t *Table) compare(a, b Record) int {
	quarantinedA, quarantinedB := a.quarantinedSince(t.policy.CrashThreshold) > 0, b.quarantinedSince(t.policy.CrashThreshold) > 0
	switch {
	case quarantinedA && !quarantinedB:
		return -1
	case quarantinedB && !quarantinedA:
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(b.lastChange(), a.lastChange()), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// evictionDivisor is the fraction (1/16) of a full table that is evicted at once, so that a flood of
// distinct requests does not sort the whole table for each one.
const evictionDivisor = 16

// evict removes the least important records.
func (t *Table) evict(now time.Time) {
	records := t.Records(now)
	keep := t.policy.Capacity - max(t.policy.Capacity/evictionDivisor, 1)
	for _, record := range records[min(keep, len(records)):] {
		delete(t.records, record.Fingerprint)
	}
}
