package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BackendRun is one run of one back end, from its start to its end.
type BackendRun uint64

// RunOf returns the run of the back end that goes by an id and started at a time (Unix
// milliseconds; 0: it does not say).
func RunOf(id string, started int64) BackendRun {
	return BackendRun(xxhash.Sum64String(id + "@" + strconv.FormatInt(started, 10)))
}

// Crash is a back end that ended while it ran a request.
type Crash struct {
	Backend BackendRun `json:"backend"`
	At      Timestamp  `json:"at"`
}

// Timestamp is a time of day in Unix milliseconds; 0: never.
type Timestamp int64

// NewTimestamp returns the moment of a time.
func NewTimestamp(at time.Time) Timestamp {
	return Timestamp(at.UnixMilli())
}

// Time returns the moment as a time.
func (m Timestamp) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// after returns the moment so much later.
func (m Timestamp) after(length time.Duration) Timestamp {
	return m + Timestamp(length.Milliseconds())
}

// maxEndings is how many endings of a request are remembered, the newest ones: more than it
// takes to hold it back, since of some that were in the same moment one counts.
const maxEndings = 8

// sameMoment is how close endings count as one: a rack that fails ends many back ends at once, and
// a request with two attempts under way is on two of them for no fault of its own. Daemons hear of
// it within the difference of their ways, 3 ms between zones. Of endings of a request that comes 8
// times a second, 4 in 100 are so close by chance.
const sameMoment = 5 * time.Millisecond

// Record is what is noted of a request.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Service     string      `json:"service"`
	// Description says to operators what it is: method, host, target and caller.
	Description string `json:"request"`
	// Broad: the fingerprint is one without caller and query.
	Broad   bool    `json:"broad,omitempty"`
	Crashes []Crash `json:"endings,omitempty"` // after Cleared, oldest first
	// ClearedAt is when it was refuted last, by an answer or by an operator.
	ClearedAt Timestamp `json:"cleared,omitempty"`
	// ManualAt is when an operator last ordered to hold it back.
	ManualAt Timestamp `json:"ordered,omitempty"`
}

// merge joins what two daemons know. The outcome does not depend on the order in which news
// is merged, nor on how often: of each run of a back end the latest word counts, the newest
// endings are kept, and what is cleared is older than what is kept.
func merge(a, b Record) Record {
	joined := a
	joined.Broad = a.Broad || b.Broad
	if joined.Description == "" {
		joined.Service, joined.Description = b.Service, b.Description
	}
	joined.ClearedAt, joined.ManualAt = max(a.ClearedAt, b.ClearedAt), max(a.ManualAt, b.ManualAt)
	if joined.ManualAt <= joined.ClearedAt {
		joined.ManualAt = 0
	}
	joined.Crashes = slices.Concat(a.Crashes, b.Crashes)
	joined.Crashes = slices.DeleteFunc(joined.Crashes, func(one Crash) bool { return one.At <= joined.ClearedAt })
	slices.SortFunc(joined.Crashes, func(x, y Crash) int { return cmp.Or(cmp.Compare(x.Backend, y.Backend), cmp.Compare(y.At, x.At)) })
	joined.Crashes = slices.CompactFunc(joined.Crashes, func(x, y Crash) bool { return x.Backend == y.Backend })
	slices.SortFunc(joined.Crashes, func(x, y Crash) int { return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Backend, y.Backend)) })
	joined.Crashes = joined.Crashes[max(len(joined.Crashes)-maxEndings, 0):]
	return joined
}

// same says whether two records of a request say the same.
func same(a, b Record) bool {
	return a.ClearedAt == b.ClearedAt && a.ManualAt == b.ManualAt && slices.Equal(a.Crashes, b.Crashes)
}

// moments counts when back ends ended, those in the same moment once, up to the given number,
// and returns the last one that it counted. It allocates nothing: the request path calls it.
func (r Record) moments(most int) (count int, last Timestamp) {
	for _, one := range r.Crashes {
		if count == most {
			break
		}
		if count == 0 || one.At >= last.after(sameMoment) {
			count, last = count+1, one.At
		}
	}
	return count, last
}

// heldSince returns since when the request is held back, given how many endings that takes; 0:
// it is not.
func (r Record) heldSince(endings int) Timestamp {
	if r.ManualAt > 0 {
		return r.ManualAt
	}
	if count, last := r.moments(endings); count == endings {
		return last
	}
	return 0
}

// last returns when there was the last news of the request.
func (r Record) last() Timestamp {
	last := max(r.ClearedAt, r.ManualAt)
	if count := len(r.Crashes); count > 0 {
		last = max(last, r.Crashes[count-1].At)
	}
	return last
}
