package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of a Policy.
const (
	// DefaultCrashThreshold is how many back ends a request may end. A bystander is at a back end that
	// ends as often as the culprit the first time, and seldom three times without an answer in
	// between (TestBystandersAreSeldomHeld).
	DefaultCrashThreshold = 3
	// MaxCrashThreshold is the most that a Policy may have: half of what is remembered, as some that are
	// remembered were in the same moment.
	MaxCrashThreshold = maxEndings / 2
	// DefaultDuration is how long a request is then held back: each time it ends, the request may
	// cost as many back ends again, so that an hour bounds that to three in an hour.
	DefaultDuration = time.Hour
	// broadHold is how long requests are held back by what they share without caller and query:
	// it may be the doing of one of them, so that it is for less than the others.
	broadHold = 10 * time.Minute
	// DefaultCrashWindow is for how long endings count together. A request that ends a back end
	// each quarter of an hour costs less than one in a hundred of a service's back ends.
	DefaultCrashWindow = 15 * time.Minute
	// DefaultCapacity is how many requests are noted, in about 300 bytes each
	// (TestFloodOfDistinctRequests).
	DefaultCapacity = 4096
)

// Policy says when requests are held back, and for how long. Fields of 0 stand for the defaults.
type Policy struct {
	CrashThreshold int           // of back ends, after which a request is held back
	Duration       time.Duration // how long it is
	CrashWindow    time.Duration // for how long an ending counts
	Capacity       int           // requests that are noted
}

func (p *Policy) provision() {
	p.CrashThreshold = cmp.Or(p.CrashThreshold, DefaultCrashThreshold)
	p.Duration = cmp.Or(p.Duration, DefaultDuration)
	p.CrashWindow = cmp.Or(p.CrashWindow, DefaultCrashWindow)
	p.Capacity = cmp.Or(p.Capacity, DefaultCapacity)
}

// Table is what a daemon has noted of requests. It is pure, and not safe for concurrent use.
type Table struct {
	policy  Policy
	records map[Fingerprint]Record
}

// NewTable returns an empty table.
func NewTable(policy Policy) *Table {
	policy.provision()
	return &Table{policy: policy, records: make(map[Fingerprint]Record)}
}

// Len returns how many requests are noted.
func (t *Table) Len() int {
	return len(t.records)
}

// Merge takes in what another daemon has noted, or this one has seen. It returns what is noted
// now, and whether that is news.
func (t *Table) Merge(now time.Time, told Record) (Record, bool) {
	before, known := t.records[told.Fingerprint]
	joined := merge(before, told)
	joined.Fingerprint = told.Fingerprint
	if t.lapsed(now, joined) {
		delete(t.records, told.Fingerprint)
		return joined, false
	}
	if known && same(before, joined) {
		return before, false
	}
	if !known && len(t.records) >= t.policy.Capacity {
		t.forget(now)
	}
	t.records[told.Fingerprint] = joined
	return joined, true
}

// RecordSuccess notes that a back end answered the request, which refutes what was noted of it. It
// returns false where there was nothing to refute.
func (t *Table) RecordSuccess(now time.Time, fingerprint Fingerprint) (Record, bool) {
	record, known := t.records[fingerprint]
	if !known || len(record.Crashes) == 0 || record.ManualAt > 0 {
		return Record{}, false
	}
	return t.Release(now, fingerprint)
}

// Release lifts what was noted of the request. It returns false where that is nothing.
func (t *Table) Release(now time.Time, fingerprint Fingerprint) (Record, bool) {
	record, known := t.records[fingerprint]
	if !known {
		return Record{}, false
	}
	// The clock of another daemon may be ahead.
	return t.Merge(now, Record{Fingerprint: fingerprint, ClearedAt: max(NewTimestamp(now), record.last())})
}

// QuarantinedUntil returns until when the request is held back, and false when it is not.
func (t *Table) QuarantinedUntil(now time.Time, fingerprint Fingerprint) (time.Time, bool) {
	record, known := t.records[fingerprint]
	if !known {
		return time.Time{}, false
	}
	return t.heldUntil(now, record)
}

func (t *Table) heldUntil(now time.Time, record Record) (time.Time, bool) {
	since := record.heldSince(t.policy.CrashThreshold)
	if since == 0 {
		return time.Time{}, false
	}
	until := since.Time().Add(t.hold(record))
	return until, now.Before(until)
}

// hold is for how long a request is held back.
func (t *Table) hold(record Record) time.Duration {
	if record.Broad {
		return min(t.policy.Duration, broadHold)
	}
	return t.policy.Duration
}

// CrashCount returns how many back ends have ended under the request, as far as that counts.
func (t *Table) CrashCount(now time.Time, fingerprint Fingerprint) int {
	record, known := t.records[fingerprint]
	if !known || t.lapsed(now, record) {
		return 0
	}
	count, _ := record.moments(maxEndings)
	return count
}

// lapsed says whether a record says nothing any more.
func (t *Table) lapsed(now time.Time, record Record) bool {
	if since := record.heldSince(t.policy.CrashThreshold); since > 0 {
		return !now.Before(since.Time().Add(t.hold(record)))
	}
	return !now.Before(record.last().Time().Add(t.policy.CrashWindow))
}

// Prune forgets what says nothing any more.
func (t *Table) Prune(now time.Time) {
	for fingerprint, record := range t.records {
		if t.lapsed(now, record) {
			delete(t.records, fingerprint)
		}
	}
}

// Record returns what is noted of a request.
func (t *Table) Record(fingerprint Fingerprint) (Record, bool) {
	record, known := t.records[fingerprint]
	return record, known
}

// Records returns what is noted, what matters most first: requests that are held back, then
// those with more endings, then those with later news.
func (t *Table) Records(now time.Time) []Record {
	t.Prune(now)
	records := make([]Record, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record)
	}
	slices.SortFunc(records, t.compare)
	return records
}

// Quarantined returns the requests that are held back, the one with the latest news first.
func (t *Table) Quarantined(now time.Time) []Record {
	return slices.DeleteFunc(t.Records(now), func(record Record) bool { return record.heldSince(t.policy.CrashThreshold) == 0 })
}

// Digest tells tables apart that hold back other requests.
func (t *Table) Digest(now time.Time) uint64 {
	var digest uint64
	for fingerprint, record := range t.records {
		if _, held := t.heldUntil(now, record); held {
			digest ^= uint64(fingerprint)
		}
	}
	return digest
}

// compare orders records by what they matter: negative where a matters more.
func (t *Table) compare(a, b Record) int {
	heldA, heldB := a.heldSince(t.policy.CrashThreshold) > 0, b.heldSince(t.policy.CrashThreshold) > 0
	switch {
	case heldA && !heldB:
		return -1
	case heldB && !heldA:
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(b.last(), a.last()), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// forgottenAtOnce is which part of a full table is forgotten at once, so that a flood of distinct
// requests does not have all of it sorted for each.
const forgottenAtOnce = 16

// forget makes room: what matters least is forgotten.
func (t *Table) forget(now time.Time) {
	records := t.Records(now)
	keep := t.policy.Capacity - max(t.policy.Capacity/forgottenAtOnce, 1)
	for _, record := range records[min(keep, len(records)):] {
		delete(t.records, record.Fingerprint)
	}
}
