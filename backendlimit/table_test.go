package backendlimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/backendlimit"
)

var (
	key   = backend.Key{Service: "board", Backend: "i-1"}
	start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
)

// at is so many milliseconds after the start of a test.
func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// limited is an answer that names a limit.
func limited(perSecond float64, sent int) backendlimit.Response {
	return backendlimit.Response{Key: key, Limit: backendlimit.Limit{Limited: true, PerSecond: perSecond}, Started: 1, Sent: at(sent)}
}

// unlimited is an answer that names none.
func unlimited(sent int) backendlimit.Response {
	return backendlimit.Response{Key: key, Started: 1, Sent: at(sent)}
}

func requireLimit(t require.TestingT, table *backendlimit.Table, want backendlimit.Limit) {
	record, _ := table.Lookup(key, 1)
	require.Equal(t, want, record.Limit)
}

// TestAnswersInAnyOrder ends a limit by an answer whose request was sent after it was heard of, and by
// no other.
func TestAnswersInAnyOrder(t *testing.T) {
	table := backendlimit.NewTable()
	require.Equal(t, backendlimit.NoChange, table.Observe(at(10), unlimited(0)))
	require.Equal(t, backendlimit.MajorChange, table.Observe(at(100), limited(3.2, 20)))
	require.Equal(t, backendlimit.NoChange, table.Observe(at(110), unlimited(90)), "it was under way before")
	requireLimit(t, table, backendlimit.Limit{Limited: true, PerSecond: 3.2})
	require.Equal(t, backendlimit.NoChange, table.Observe(at(120), limited(3.2, 105)))
	require.Equal(t, backendlimit.MinorChange, table.Observe(at(130), limited(3.3, 125)))
	require.Equal(t, backendlimit.MajorChange, table.Observe(at(140), limited(1, 135)))
	requireLimit(t, table, backendlimit.Limit{Limited: true, PerSecond: 1})
	failed := unlimited(150)
	failed.Failed = true
	require.Equal(t, backendlimit.NoChange, table.Observe(at(160), failed), "a failure says nothing")
	require.Equal(t, backendlimit.MajorChange, table.Observe(at(170), unlimited(150)))
	require.Zero(t, table.LimitedCount())
}

// TestProbesThatDoNotName keeps a limit that was named with answers to requests only, and ends one that
// probes have named before.
func TestProbesThatDoNotName(t *testing.T) {
	probe := func(answer backendlimit.Response) backendlimit.Response {
		answer.Probe = true
		return answer
	}
	table := backendlimit.NewTable()
	table.Observe(at(10), limited(3.2, 0))
	require.Equal(t, backendlimit.NoChange, table.Observe(at(30), probe(unlimited(20))))
	table.Observe(at(50), probe(limited(3.2, 40)))
	require.Equal(t, backendlimit.MajorChange, table.Observe(at(70), probe(unlimited(60))))
}

// TestRestartedBackendHasSaidNothing drops the word of an earlier run, and does not take it in again.
func TestRestartedBackendHasSaidNothing(t *testing.T) {
	table := backendlimit.NewTable()
	table.Observe(at(10), limited(3.2, 0))
	earlier, _ := table.Lookup(key, 0)
	_, known := table.Lookup(key, 2)
	require.False(t, known)
	again := limited(5, 20)
	again.Started = 2
	table.Observe(at(30), again)
	require.Equal(t, backendlimit.NoChange, table.Observe(at(40), limited(3.2, 35)), "the earlier run")
	earlier.At = at(1000)
	require.False(t, table.Merge(at(50), earlier))
	record, _ := table.Lookup(key, 2)
	require.InDelta(t, 5.0, record.PerSecond, 0)
	require.Equal(t, 1, table.LimitedCount())
}

// TestWordsOfOthers takes the newest word, whatever the order in which words come, also when the
// clocks of daemons differ by seconds.
func TestWordsOfOthers(t *testing.T) {
	here, there := backendlimit.NewTable(), backendlimit.NewTable()
	here.Observe(at(2000), limited(3.2, 1990)) // its clock is 2 s ahead
	named, _ := here.Lookup(key, 1)
	require.True(t, there.Merge(at(10), named))
	require.False(t, there.Merge(at(20), named), "known")
	require.Equal(t, backendlimit.MajorChange, there.Observe(at(50), unlimited(40)))
	ended, known := there.Lookup(key, 1)
	require.True(t, known)
	require.True(t, here.Merge(at(2060), ended), "it is newer, whatever the clocks say")
	require.False(t, here.Merge(at(2070), named), "an older record does not bring it back")
	require.Zero(t, here.LimitedCount())
}

// TestForget drops what is not needed any more.
func TestForget(t *testing.T) {
	table := backendlimit.NewTable()
	table.Observe(at(0), limited(3.2, 0))
	all := func(backend.Key) bool { return true }
	none := func(backend.Key) bool { return false }
	table.Forget(at(3600_000), all)
	require.Equal(t, 1, table.LimitedCount(), "for as long as it says so")
	table.Observe(at(3600_010), unlimited(3600_005))
	table.Forget(at(3600_020), all)
	_, known := table.Lookup(key, 1)
	require.True(t, known, "others may still tell of the limit")
	table.Forget(at(3700_000), all)
	_, known = table.Lookup(key, 1)
	require.False(t, known)
	table.Observe(at(3700_010), limited(1, 3700_005))
	table.Forget(at(3700_020), none)
	require.Equal(t, 1, table.LimitedCount(), "a daemon that starts does not know the back ends yet")
	table.Forget(at(3720_000), none)
	require.Zero(t, table.LimitedCount())
}

// TestTablesAgree lets daemons hear answers in any order, tell each other, and hear of what others told
// late and twice: once every word has reached all, all know the same, and the count fits.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 3
		var tables [daemons]*backendlimit.Table
		for index := range tables {
			tables[index] = backendlimit.NewTable()
		}
		var told []backendlimit.Record
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := at(step * 100)
			table := tables[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if len(told) > 0 && rapid.Bool().Draw(t, "told") {
				table.Merge(now, told[rapid.IntRange(0, len(told)-1).Draw(t, "record")])
				continue
			}
			answer := unlimited(step*100 - 50)
			if rapid.Bool().Draw(t, "limited") {
				answer = limited(float64(rapid.IntRange(0, 5).Draw(t, "limit")), step*100-50)
			}
			if table.Observe(now, answer) == backendlimit.MajorChange {
				record, _ := table.Lookup(key, 1)
				told = append(told, record)
			}
		}
		for _, table := range tables {
			for range 2 {
				for _, record := range told {
					table.Merge(at(10_000), record)
				}
			}
		}
		first, _ := tables[0].Lookup(key, 1)
		for _, table := range tables {
			record, _ := table.Lookup(key, 1)
			require.Equal(t, first.Limit, record.Limit)
			count := 0
			if record.Limited {
				count = 1
			}
			require.Equal(t, count, table.LimitedCount())
		}
	})
}

// A limit that changed by little with each answer was never told, as each change was small against the one
// before: a daemon that gives out places went on with 3.2 a second where 1 was taken. Now the change
// counts from what was told last.
func TestLimitThatCreepsIsTold(t *testing.T) {
	here, there := backendlimit.NewTable(), backendlimit.NewTable()
	limit := 3.2
	for step := range 40 {
		now := step * 100
		limit *= 0.97
		if here.Observe(at(now), limited(limit, now-50)) == backendlimit.MajorChange {
			record, _ := here.Lookup(key, 1)
			there.Merge(at(now), record)
		}
		told, _ := there.Lookup(key, 1)
		require.InDelta(t, limit, told.PerSecond, 0.12*limit, "step %d", step)
	}
}
