package quarantine

import (
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/tuliphall/tuliphall/internal/testseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(offset time.Duration) time.Time {
	return start.Add(offset)
}

// crashRecord returns a record of one crash.
func crashRecord(fingerprint Fingerprint, backend BackendRun, offset time.Duration) Record {
	return Record{Fingerprint: fingerprint, Crashes: []Crash{{Backend: backend, At: NewTimestamp(at(offset))}}}
}

// addCrashes merges crashes of different back ends, a second apart, and returns the time of the last.
func addCrashes(table *Table, fingerprint Fingerprint, count int) time.Time {
	var now time.Time
	for number := range count {
		offset := time.Duration(number+1) * time.Second
		now = at(offset)
		table.Merge(now, crashRecord(fingerprint, BackendRun(number+1), offset))
	}
	return now
}

// TestQuarantinedAfterThreeCrashes checks that the third crash quarantines a request, for the policy's duration.
func TestQuarantinedAfterThreeCrashes(t *testing.T) {
	table := NewTable(Policy{})
	now := addCrashes(table, 7, 2)
	_, quarantined := table.QuarantinedUntil(now, 7)
	require.False(t, quarantined)
	require.Equal(t, 2, table.CrashCount(now, 7))
	now = addCrashes(table, 7, 3)
	until, quarantined := table.QuarantinedUntil(now, 7)
	require.True(t, quarantined)
	require.True(t, until.Equal(now.Add(DefaultDuration)))
	_, quarantined = table.QuarantinedUntil(until, 7)
	require.False(t, quarantined)
	_, quarantined = table.QuarantinedUntil(now, 8)
	require.False(t, quarantined)
}

// TestSameBackendCountsOnce checks that a crash that many daemons observe counts once.
func TestSameBackendCountsOnce(t *testing.T) {
	table := NewTable(Policy{})
	for number := range 5 {
		table.Merge(at(0), crashRecord(7, 1, time.Duration(number)*time.Second))
	}
	require.Equal(t, 1, table.CrashCount(at(0), 7))
}

// TestCoincidentCrashesCountOnce checks that crashes at the same time count as one, because a rack failure ends many
// back ends without any request being the cause.
func TestCoincidentCrashesCountOnce(t *testing.T) {
	table := NewTable(Policy{})
	for number := range 5 {
		table.Merge(at(0), crashRecord(7, BackendRun(number), time.Duration(number)*time.Millisecond))
	}
	require.Equal(t, 1, table.CrashCount(at(0), 7))
	table.Merge(at(0), crashRecord(7, 99, coincidenceInterval))
	require.Equal(t, 2, table.CrashCount(at(0), 7))
}

// TestResponseClearsCrashes checks that a response clears a request's crashes, also while it is quarantined, but not a
// quarantine by an operator. Crashes from before the response have no effect afterwards.
func TestResponseClearsCrashes(t *testing.T) {
	table := NewTable(Policy{})
	now := addCrashes(table, 7, 3)
	_, changed := table.RecordSuccess(now.Add(time.Second), 7)
	require.True(t, changed)
	_, quarantined := table.QuarantinedUntil(now, 7)
	require.False(t, quarantined)
	_, changed = table.Merge(now, crashRecord(7, 3, 3*time.Second))
	require.False(t, changed)
	_, changed = table.RecordSuccess(now, 7)
	require.False(t, changed, "nothing is left to clear")

	table.Merge(now, Record{Fingerprint: 8, ManualAt: NewTimestamp(now)})
	_, changed = table.RecordSuccess(now.Add(time.Second), 8)
	require.False(t, changed)
	_, quarantined = table.QuarantinedUntil(now.Add(time.Second), 8)
	require.True(t, quarantined)
}

// TestReleaseDespiteClockSkew checks that a release takes effect if the clock of the daemon that observed the crashes
// is an hour ahead.
func TestReleaseDespiteClockSkew(t *testing.T) {
	table := NewTable(Policy{Duration: 3 * time.Hour})
	for number := range 3 {
		table.Merge(at(0), crashRecord(7, BackendRun(number), time.Hour+time.Duration(number)*time.Second))
	}
	_, quarantined := table.QuarantinedUntil(at(0), 7)
	require.True(t, quarantined)
	_, changed := table.Release(at(0), 7)
	require.True(t, changed)
	_, quarantined = table.QuarantinedUntil(at(0), 7)
	require.False(t, quarantined)
	_, changed = table.Release(at(0), 8)
	require.False(t, changed)
}

// TestCrashesExpire checks that crashes expire if no others follow within the crash window.
func TestCrashesExpire(t *testing.T) {
	table := NewTable(Policy{})
	table.Merge(at(0), crashRecord(7, 1, 0))
	require.Equal(t, 1, table.CrashCount(at(DefaultCrashWindow-time.Second), 7))
	require.Zero(t, table.CrashCount(at(DefaultCrashWindow), 7))
	table.Prune(at(DefaultCrashWindow))
	require.Zero(t, table.Len())
	_, changed := table.Merge(at(DefaultCrashWindow), crashRecord(7, 1, 0))
	require.False(t, changed, "a peer does not restore an expired record")
}

// records draws a record of one request.
var records = rapid.Custom(func(t *rapid.T) Record {
	record := Record{
		Fingerprint: 7, ClearedAt: Timestamp(rapid.IntRange(0, 5).Draw(t, "cleared")), ManualAt: Timestamp(rapid.IntRange(0, 5).Draw(t, "manual")),
	}
	for range rapid.IntRange(0, 12).Draw(t, "crashes") {
		record.Crashes = append(record.Crashes, Crash{
			Backend: BackendRun(rapid.IntRange(1, 12).Draw(t, "backend")), At: Timestamp(rapid.IntRange(1, 9).Draw(t, "at")),
		})
	}
	return merge(Record{Fingerprint: 7}, record)
})

// TestMergeOrderDoesNotMatter checks that daemons that have received the same records, in any order and any number of
// times, end with the same record.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkOrder(t, records.Draw(t, "a"), records.Draw(t, "b"), records.Draw(t, "c"))
	})
}

// TestMergeOrderOfSameCrashes checks that records with different times for the same crash merge to the same time in
// any order.
func TestMergeOrderOfSameCrashes(t *testing.T) {
	early := Record{Fingerprint: 7, Crashes: []Crash{{Backend: 1, At: 1}, {Backend: 2, At: 1}}}
	late := Record{Fingerprint: 7, Crashes: []Crash{{Backend: 1, At: 1}, {Backend: 2, At: 9}}}
	checkOrder(t, early, late, Record{Fingerprint: 7, ClearedAt: 1})
}

// checkOrder checks that merge is commutative, idempotent and associative for three records.
func checkOrder(t require.TestingT, a, b, c Record) {
	require.True(t, equal(merge(a, b), merge(b, a)), "commutative")
	require.True(t, equal(merge(merge(a, b), b), merge(a, b)), "idempotent")
	require.True(t, equal(merge(merge(a, b), c), merge(a, merge(b, c))), "associative")
}

// TestFloodOfDistinctRequests records 100,000 distinct requests, each with one crash: memory must stay bounded, a
// quarantined request must not be evicted in favor of others, and a lookup must take no longer.
func TestFloodOfDistinctRequests(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := NewTable(Policy{})
	now := addCrashes(table, 7, 3)
	for number := range 100_000 {
		record := crashRecord(Fingerprint(1000+number), BackendRun(1000+number), 3*time.Second)
		record.Description = strings.Repeat("x", maxDescription)
		table.Merge(now, record)
		require.LessOrEqual(t, table.Len(), DefaultCapacity)
	}
	_, quarantined := table.QuarantinedUntil(now, 7)
	require.True(t, quarantined)
	require.GreaterOrEqual(t, table.Len(), DefaultCapacity*3/4)
	benchmark := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.QuarantinedUntil(now, 7)
		}
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := (after.HeapAlloc - before.HeapAlloc) / uint64(table.Len())
	t.Logf("%d records of %d bytes each; a lookup takes %d ns and allocates %d times", table.Len(), bytes, benchmark.NsPerOp(), benchmark.AllocsPerOp())
	require.Less(t, bytes, uint64(1000))
	require.Less(t, benchmark.NsPerOp(), int64(10_000)) // about 100 ns on an idle machine; CI may be busy
	require.Zero(t, benchmark.AllocsPerOp())
}

// countQuarantinedHarmlessRequests simulates a service whose back ends are crashed by one request, one after the other,
// until it is quarantined. It returns how many harmless requests are quarantined then, and the number of crashes.
func countQuarantinedHarmlessRequests(random *rand.Rand, requests int, successRate float64) (quarantined, crashes int) {
	table := NewTable(Policy{})
	const crashingRequest = Fingerprint(1)
	for run := BackendRun(1); ; run++ {
		offset := time.Duration(run) * 125 * time.Millisecond
		if _, stopped := table.QuarantinedUntil(at(offset), crashingRequest); stopped {
			break
		}
		crashes++
		table.Merge(at(offset), crashRecord(crashingRequest, run, offset))
		for range 2 { // requests in the other slots
			table.Merge(at(offset), crashRecord(Fingerprint(2+random.IntN(requests)), run, offset))
		}
		for number := range requests {
			if random.Float64() < successRate {
				table.RecordSuccess(at(offset+time.Millisecond), Fingerprint(2+number))
			}
		}
	}
	return len(table.Quarantined(at(time.Minute))) - 1, crashes
}

// TestHarmlessRequestsAreSeldomQuarantined counts how often requests are quarantined that were only in
// flight when another request crashed the back ends. With 5 distinct requests and no responses in between,
// this happens in one case of four; with 50, in three of a thousand; with responses in between, in
// one of a thousand or none.
func TestHarmlessRequestsAreSeldomQuarantined(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, test := range []struct {
		requests    int
		successRate float64
		limit       float64
	}{{5, 0, 0.8}, {50, 0, 0.02}, {5, 0.9, 0.02}, {50, 0.5, 0.002}, {1000, 0, 0.002}} {
		const runs = 1000
		total := 0
		for range runs {
			quarantined, crashes := countQuarantinedHarmlessRequests(random, test.requests, test.successRate)
			require.Equal(t, DefaultCrashThreshold, crashes)
			total += quarantined
		}
		t.Logf("%d distinct requests, response between two crashes with probability %.1f: %.4f harmless requests quarantined per crashing request", test.requests, test.successRate, float64(total)/runs)
		require.LessOrEqual(t, float64(total)/runs, test.limit)
	}
}

func BenchmarkLookupEmptyTable(b *testing.B) {
	table := NewTable(Policy{})
	b.ReportAllocs()
	for b.Loop() {
		table.QuarantinedUntil(start, 7)
	}
}
