package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BackendRun identifies one run of a back end process, from its start to its exit.
type BackendRun uint64

// RunOf returns the run of the back end with the given id and start time (Unix milliseconds;
// 0 if the back end does not report it).
func RunOf(id string, started int64) BackendRun {
	return BackendRun(xxhash.Sum64String(id + "@" + strconv.FormatInt(started, 10)))
}

// Crash is a back end process that ended while it ran a request.
type Crash struct {
	Backend BackendRun `json:"backend"`
	At      Timestamp  `json:"at"`
}

// Timestamp is a wall-clock time in Unix milliseconds; 0 means never.
type Timestamp int64

// NewTimestamp converts a time to a Timestamp.
func NewTimestamp(at time.Time) Timestamp {
	return Timestamp(at.UnixMilli())
}

// Time converts the timestamp to a time.Time.
func (t Timestamp) Time() time.Time {
	return time.UnixMilli(int64(t))
}

// add returns the timestamp plus the delay.
func (t Timestamp) add(delay time.Duration) Timestamp {
	return t + Timestamp(delay.Milliseconds())
}

// maxCrashes is how many crashes of a request are kept, the newest ones. It exceeds the crash
// threshold because crashes within coincidenceInterval count as one.
const maxCrashes = 8

// coincidenceInterval is the interval within which crashes count as one: a rack failure ends many
// back ends at once, and a request with two concurrent attempts is on two of them without being the
// cause. Daemons observe such crashes up to 3 ms apart, the difference in latency between zones. Of
// the crashes of a request that arrives 8 times a second, 4 in 100 are this close by chance.
const coincidenceInterval = 5 * time.Millisecond

// Record is what daemons know and exchange about a request that crashed back ends.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
	// Description shows operators the method, host, target and caller.
	Description string `json:"request"`
	// Broad is true if the fingerprint excludes caller and query.
	Broad   bool    `json:"broad,omitempty"`
	Crashes []Crash `json:"endings,omitempty"` // after ClearedAt, oldest first
	// ClearedAt is when a response or an operator last cleared the record.
	ClearedAt Timestamp `json:"cleared,omitempty"`
	// ManualAt is when an operator last quarantined the request.
	ManualAt Timestamp `json:"ordered,omitempty"`
}

// merge combines the records of two daemons. It is commutative, associative and idempotent, so
// the order and number of merges do not matter: it keeps the latest crash of each back end run
// and the newest maxCrashes of these, and drops crashes that are not newer than ClearedAt.
func merge(a, b Record) Record {
	merged := a
	merged.Broad = a.Broad || b.Broad
	if merged.Description == "" {
		merged.Service, merged.Description = b.Service, b.Description
	}
	merged.ClearedAt, merged.ManualAt = max(a.ClearedAt, b.ClearedAt), max(a.ManualAt, b.ManualAt)
	if merged.ManualAt <= merged.ClearedAt {
		merged.ManualAt = 0
	}
	merged.Crashes = slices.Concat(a.Crashes, b.Crashes)
	merged.Crashes = slices.DeleteFunc(merged.Crashes, func(crash Crash) bool { return crash.At <= merged.ClearedAt })
	slices.SortFunc(merged.Crashes, func(x, y Crash) int { return cmp.Or(cmp.Compare(x.Backend, y.Backend), cmp.Compare(y.At, x.At)) })
	merged.Crashes = slices.CompactFunc(merged.Crashes, func(x, y Crash) bool { return x.Backend == y.Backend })
	slices.SortFunc(merged.Crashes, func(x, y Crash) int { return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Backend, y.Backend)) })
	merged.Crashes = merged.Crashes[max(len(merged.Crashes)-maxCrashes, 0):]
	return merged
}

// equal reports whether two records of the same request have the same crashes and timestamps.
func equal(a, b Record) bool {
	return a.ClearedAt == b.ClearedAt && a.ManualAt == b.ManualAt && slices.Equal(a.Crashes, b.Crashes)
}

// distinctCrashes counts up to limit crashes, those within coincidenceInterval once, and returns the
// time of the last one counted. It does not allocate, as it is called for every request.
func (r Record) distinctCrashes(limit int) (count int, last Timestamp) {
	for _, crash := range r.Crashes {
		if count == limit {
			break
		}
		if count == 0 || crash.At >= last.add(coincidenceInterval) {
			count, last = count+1, crash.At
		}
	}
	return count, last
}

// quarantinedSince returns when the request was quarantined, given the crash threshold; 0 if it
// is not quarantined.
func (r Record) quarantinedSince(threshold int) Timestamp {
	if r.ManualAt > 0 {
		return r.ManualAt
	}
	if count, last := r.distinctCrashes(threshold); count == threshold {
		return last
	}
	return 0
}

// lastChange returns the time of the record's latest change.
func (r Record) lastChange() Timestamp {
	last := max(r.ClearedAt, r.ManualAt)
	if count := len(r.Crashes); count > 0 {
		last = max(last, r.Crashes[count-1].At)
	}
	return last
}
