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

// ended is a record of one ending.
func ended(fingerprint Fingerprint, backend BackendRun, offset time.Duration) Record {
	return Record{Fingerprint: fingerprint, Crashes: []Crash{{Backend: backend, At: NewTimestamp(at(offset))}}}
}

// end notes endings of different back ends, a second apart.
func end(table *Table, fingerprint Fingerprint, count int) time.Time {
	var now time.Time
	for number := range count {
		offset := time.Duration(number+1) * time.Second
		now = at(offset)
		table.Merge(now, ended(fingerprint, BackendRun(number+1), offset))
	}
	return now
}

// TestHeldAfterThree holds a request back with the third ending, for as long as the policy says.
func TestHeldAfterThree(t *testing.T) {
	table := NewTable(Policy{})
	now := end(table, 7, 2)
	_, held := table.QuarantinedUntil(now, 7)
	require.False(t, held)
	require.Equal(t, 2, table.CrashCount(now, 7))
	now = end(table, 7, 3)
	until, held := table.QuarantinedUntil(now, 7)
	require.True(t, held)
	require.True(t, until.Equal(now.Add(DefaultDuration)))
	_, held = table.QuarantinedUntil(until, 7)
	require.False(t, held)
	_, held = table.QuarantinedUntil(now, 8)
	require.False(t, held)
}

// TestSameBackendCountsOnce: many daemons may see the same back end end.
func TestSameBackendCountsOnce(t *testing.T) {
	table := NewTable(Policy{})
	for number := range 5 {
		table.Merge(at(0), ended(7, 1, time.Duration(number)*time.Second))
	}
	require.Equal(t, 1, table.CrashCount(at(0), 7))
}

// TestSameMomentCountsOnce: a rack that fails ends many back ends for no request's sake.
func TestSameMomentCountsOnce(t *testing.T) {
	table := NewTable(Policy{})
	for number := range 5 {
		table.Merge(at(0), ended(7, BackendRun(number), time.Duration(number)*time.Millisecond))
	}
	require.Equal(t, 1, table.CrashCount(at(0), 7))
	table.Merge(at(0), ended(7, 99, sameMoment))
	require.Equal(t, 2, table.CrashCount(at(0), 7))
}

// TestAnswerRefutes clears a request that a back end has answered, also one that is held back,
// but not one that an operator holds back; and news of before changes nothing any more.
func TestAnswerRefutes(t *testing.T) {
	table := NewTable(Policy{})
	now := end(table, 7, 3)
	_, news := table.RecordSuccess(now.Add(time.Second), 7)
	require.True(t, news)
	_, held := table.QuarantinedUntil(now, 7)
	require.False(t, held)
	_, news = table.Merge(now, ended(7, 3, 3*time.Second))
	require.False(t, news)
	_, news = table.RecordSuccess(now, 7)
	require.False(t, news, "nothing is left to refute")

	table.Merge(now, Record{Fingerprint: 8, ManualAt: NewTimestamp(now)})
	_, news = table.RecordSuccess(now.Add(time.Second), 8)
	require.False(t, news)
	_, held = table.QuarantinedUntil(now.Add(time.Second), 8)
	require.True(t, held)
}

// TestReleaseTakesWhateverTheClocks: the daemon that saw the endings may be ahead by an hour.
func TestReleaseTakesWhateverTheClocks(t *testing.T) {
	table := NewTable(Policy{Duration: 3 * time.Hour})
	for number := range 3 {
		table.Merge(at(0), ended(7, BackendRun(number), time.Hour+time.Duration(number)*time.Second))
	}
	_, held := table.QuarantinedUntil(at(0), 7)
	require.True(t, held)
	_, news := table.Release(at(0), 7)
	require.True(t, news)
	_, held = table.QuarantinedUntil(at(0), 7)
	require.False(t, held)
	_, news = table.Release(at(0), 8)
	require.False(t, news)
}

// TestEndingsLapse forgets endings that are not followed by others in time.
func TestEndingsLapse(t *testing.T) {
	table := NewTable(Policy{})
	table.Merge(at(0), ended(7, 1, 0))
	require.Equal(t, 1, table.CrashCount(at(DefaultCrashWindow-time.Second), 7))
	require.Zero(t, table.CrashCount(at(DefaultCrashWindow), 7))
	table.Prune(at(DefaultCrashWindow))
	require.Zero(t, table.Len())
	_, news := table.Merge(at(DefaultCrashWindow), ended(7, 1, 0))
	require.False(t, news, "what has lapsed is not brought back by others")
}

// records draws news of one request.
var records = rapid.Custom(func(t *rapid.T) Record {
	record := Record{
		Fingerprint: 7, ClearedAt: Timestamp(rapid.IntRange(0, 5).Draw(t, "cleared")), ManualAt: Timestamp(rapid.IntRange(0, 5).Draw(t, "ordered")),
	}
	for range rapid.IntRange(0, 12).Draw(t, "endings") {
		record.Crashes = append(record.Crashes, Crash{
			Backend: BackendRun(rapid.IntRange(1, 12).Draw(t, "backend")), At: Timestamp(rapid.IntRange(1, 9).Draw(t, "at")),
		})
	}
	return merge(Record{Fingerprint: 7}, record)
})

// TestOrderOfNewsDoesNotMatter: daemons that have heard the same news, in any order and any
// number of times, believe the same.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkOrder(t, records.Draw(t, "a"), records.Draw(t, "b"), records.Draw(t, "c"))
	})
}

// TestOrderOfNewsOfTheSameEndings guards against records that differ by which of two times of an ending they keep.
func TestOrderOfNewsOfTheSameEndings(t *testing.T) {
	early := Record{Fingerprint: 7, Crashes: []Crash{{Backend: 1, At: 1}, {Backend: 2, At: 1}}}
	late := Record{Fingerprint: 7, Crashes: []Crash{{Backend: 1, At: 1}, {Backend: 2, At: 9}}}
	checkOrder(t, early, late, Record{Fingerprint: 7, ClearedAt: 1})
}

// checkOrder merges three records in several orders.
func checkOrder(t require.TestingT, a, b, c Record) {
	require.True(t, same(merge(a, b), merge(b, a)), "either order")
	require.True(t, same(merge(merge(a, b), b), merge(a, b)), "twice")
	require.True(t, same(merge(merge(a, b), c), merge(a, merge(b, c))), "any grouping")
}

// TestFloodOfDistinctRequests notes 100,000 distinct requests, each of which ended a back end:
// the memory stays bounded, what is held back is not forgotten for those that are not, and a
// look-up takes no longer.
func TestFloodOfDistinctRequests(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := NewTable(Policy{})
	now := end(table, 7, 3)
	for number := range 100_000 {
		record := ended(Fingerprint(1000+number), BackendRun(1000+number), 3*time.Second)
		record.Description = strings.Repeat("x", maxDescription)
		table.Merge(now, record)
		require.LessOrEqual(t, table.Len(), DefaultCapacity)
	}
	_, held := table.QuarantinedUntil(now, 7)
	require.True(t, held)
	require.GreaterOrEqual(t, table.Len(), DefaultCapacity*3/4)
	took := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.QuarantinedUntil(now, 7)
		}
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytes := (after.HeapAlloc - before.HeapAlloc) / uint64(table.Len())
	t.Logf("%d noted in %d bytes each; a look-up takes %d ns and allocates %d times", table.Len(), bytes, took.NsPerOp(), took.AllocsPerOp())
	require.Less(t, bytes, uint64(1000))
	require.Less(t, took.NsPerOp(), int64(10_000)) // a tenth of a microsecond here; CI may be busy
	require.Zero(t, took.AllocsPerOp())
}

// bystanders plays a service whose back ends a request ends, one after the other, for an hour,
// and returns how many other requests are held back.
func bystanders(random *rand.Rand, kinds int, answeredBetween float64) (held, endings int) {
	table := NewTable(Policy{})
	const culprit = Fingerprint(1)
	for run := BackendRun(1); ; run++ {
		offset := time.Duration(run) * 125 * time.Millisecond
		if _, stopped := table.QuarantinedUntil(at(offset), culprit); stopped {
			break
		}
		endings++
		table.Merge(at(offset), ended(culprit, run, offset))
		for range 2 { // the other slots
			table.Merge(at(offset), ended(Fingerprint(2+random.IntN(kinds)), run, offset))
		}
		for kind := range kinds {
			if random.Float64() < answeredBetween {
				table.RecordSuccess(at(offset+time.Millisecond), Fingerprint(2+kind))
			}
		}
	}
	return len(table.Quarantined(at(time.Minute))) - 1, endings
}

// TestBystandersAreSeldomHeld counts how often a request is held back that was at back ends by
// chance as another one ended them: with five kinds of requests in all the world, none of which
// is answered in between, in one case of four; with fifty in three of a thousand; where they are
// answered meanwhile, in one of a thousand or none.
func TestBystandersAreSeldomHeld(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, one := range []struct {
		kinds    int
		answered float64
		most     float64
	}{{5, 0, 0.8}, {50, 0, 0.02}, {5, 0.9, 0.02}, {50, 0.5, 0.002}, {1000, 0, 0.002}} {
		const runs = 1000
		heldBack := 0
		for range runs {
			held, endings := bystanders(random, one.kinds, one.answered)
			require.Equal(t, DefaultCrashThreshold, endings)
			heldBack += held
		}
		t.Logf("%d kinds of requests, answered between two endings with a chance of %.1f: %.4f bystanders held back for one culprit", one.kinds, one.answered, float64(heldBack)/runs)
		require.LessOrEqual(t, float64(heldBack)/runs, one.most)
	}
}

func BenchmarkLookUpNothingNoted(b *testing.B) {
	table := NewTable(Policy{})
	b.ReportAllocs()
	for b.Loop() {
		table.QuarantinedUntil(start, 7)
	}
}
