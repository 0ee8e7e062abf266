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

// at returns the time a number of milliseconds after start.
func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// limited returns a response with a limit, to a request sent a number of milliseconds after start.
func limited(perSecond float64, sent int) backendlimit.Response {
	return backendlimit.Response{Key: key, Limit: backendlimit.Limit{Limited: true, PerSecond: perSecond}, Started: 1, Sent: at(sent)}
}

// unlimited returns a response without a limit, to a request sent a number of milliseconds after start.
func unlimited(sent int) backendlimit.Response {
	return backendlimit.Response{Key: key, Started: 1, Sent: at(sent)}
}

func requireLimit(t require.TestingT, table *backendlimit.Table, want backendlimit.Limit) {
	record, _ := table.Lookup(key, 1)
	require.Equal(t, want, record.Limit)
}

// TestEarlierRequestDoesNotEndLimit verifies that only a response whose request was sent after the limit was received
// ends the limit.
func TestEarlierRequestDoesNotEndLimit(t *testing.T) {
	table := backendlimit.NewTable()
	require.Equal(t, backendlimit.NoChange, table.Observe(at(10), unlimited(0)))
	require.Equal(t, backendlimit.MajorChange, table.Observe(at(100), limited(3.2, 20)))
	require.Equal(t, backendlimit.NoChange, table.Observe(at(110), unlimited(90)), "the request was sent before the limit was received")
	requireLimit(t, table, backendlimit.Limit{Limited: true, PerSecond: 3.2})
	require.Equal(t, backendlimit.NoChange, table.Observe(at(120), limited(3.2, 105)))
	require.Equal(t, backendlimit.MinorChange, table.Observe(at(130), limited(3.3, 125)))
	require.Equal(t, backendlimit.MajorChange, table.Observe(at(140), limited(1, 135)))
	requireLimit(t, table, backendlimit.Limit{Limited: true, PerSecond: 1})
	failed := unlimited(150)
	failed.Failed = true
	require.Equal(t, backendlimit.NoChange, table.Observe(at(160), failed), "an error response without a limit does not end the limit")
	require.Equal(t, backendlimit.MajorChange, table.Observe(at(170), unlimited(150)))
	require.Zero(t, table.LimitedCount())
}

// TestProbeEndsOnlyLimitsNamedByProbes verifies that a probe response without a limit ends a limit that an earlier
// probe response has named, but not one that only responses to requests have named.
func TestProbeEndsOnlyLimitsNamedByProbes(t *testing.T) {
	probe := func(response backendlimit.Response) backendlimit.Response {
		response.Probe = true
		return response
	}
	table := backendlimit.NewTable()
	table.Observe(at(10), limited(3.2, 0))
	require.Equal(t, backendlimit.NoChange, table.Observe(at(30), probe(unlimited(20))))
	table.Observe(at(50), probe(limited(3.2, 40)))
	require.Equal(t, backendlimit.MajorChange, table.Observe(at(70), probe(unlimited(60))))
}

// TestRestartEndsLimit verifies that the record of an earlier run of a back end is dropped, and that neither a
// response nor a peer restores it.
func TestRestartEndsLimit(t *testing.T) {
	table := backendlimit.NewTable()
	table.Observe(at(10), limited(3.2, 0))
	earlier, _ := table.Lookup(key, 0)
	_, known := table.Lookup(key, 2)
	require.False(t, known)
	restarted := limited(5, 20)
	restarted.Started = 2
	table.Observe(at(30), restarted)
	require.Equal(t, backendlimit.NoChange, table.Observe(at(40), limited(3.2, 35)), "the response is of the earlier run")
	earlier.At = at(1000)
	require.False(t, table.Merge(at(50), earlier))
	record, _ := table.Lookup(key, 2)
	require.InDelta(t, 5.0, record.PerSecond, 0)
	require.Equal(t, 1, table.LimitedCount())
}

// TestMergeKeepsNewestRecord verifies that the newest record wins regardless of the order of arrival, even if the
// clocks of the daemons differ by seconds.
func TestMergeKeepsNewestRecord(t *testing.T) {
	fastClock, slowClock := backendlimit.NewTable(), backendlimit.NewTable()
	fastClock.Observe(at(2000), limited(3.2, 1990)) // the clock of this daemon is 2 s ahead
	limitRecord, _ := fastClock.Lookup(key, 1)
	require.True(t, slowClock.Merge(at(10), limitRecord))
	require.False(t, slowClock.Merge(at(20), limitRecord), "the record is already known")
	require.Equal(t, backendlimit.MajorChange, slowClock.Observe(at(50), unlimited(40)))
	endRecord, known := slowClock.Lookup(key, 1)
	require.True(t, known)
	require.True(t, fastClock.Merge(at(2060), endRecord), "the record is newer, regardless of the clocks")
	require.False(t, fastClock.Merge(at(2070), limitRecord), "an older record does not restore the limit")
	require.Zero(t, fastClock.LimitedCount())
}

// TestForgetDropsOnlyUnneededRecords verifies that Forget drops limits that ended long ago and records of back ends
// that are not declared, and nothing else.
func TestForgetDropsOnlyUnneededRecords(t *testing.T) {
	table := backendlimit.NewTable()
	table.Observe(at(0), limited(3.2, 0))
	all := func(backend.Key) bool { return true }
	none := func(backend.Key) bool { return false }
	table.Forget(at(3600_000), all)
	require.Equal(t, 1, table.LimitedCount(), "a limit in force is kept")
	table.Observe(at(3600_010), unlimited(3600_005))
	table.Forget(at(3600_020), all)
	_, known := table.Lookup(key, 1)
	require.True(t, known, "peers may still send the older record")
	table.Forget(at(3700_000), all)
	_, known = table.Lookup(key, 1)
	require.False(t, known)
	table.Observe(at(3700_010), limited(1, 3700_005))
	table.Forget(at(3700_020), none)
	require.Equal(t, 1, table.LimitedCount(), "a daemon that has just started does not know the back ends yet")
	table.Forget(at(3720_000), none)
	require.Zero(t, table.LimitedCount())
}

// TestTablesConverge simulates daemons that observe responses in any order and exchange records late and repeatedly.
// Once every record has reached all daemons, their tables and counts must agree.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 3
		var tables [daemons]*backendlimit.Table
		for index := range tables {
			tables[index] = backendlimit.NewTable()
		}
		var records []backendlimit.Record
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := at(step * 100)
			table := tables[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if len(records) > 0 && rapid.Bool().Draw(t, "merge") {
				table.Merge(now, records[rapid.IntRange(0, len(records)-1).Draw(t, "record")])
				continue
			}
			response := unlimited(step*100 - 50)
			if rapid.Bool().Draw(t, "limited") {
				response = limited(float64(rapid.IntRange(0, 5).Draw(t, "limit")), step*100-50)
			}
			if table.Observe(now, response) == backendlimit.MajorChange {
				record, _ := table.Lookup(key, 1)
				records = append(records, record)
			}
		}
		for _, table := range tables {
			for range 2 {
				for _, record := range records {
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

// TestGradualChangeIsBroadcast guards against comparing a limit with the previous one instead of the last one that was
// broadcast. A limit that changed little with each response was then never broadcast: a daemon that grants permits
// still used 3.2 requests a second when the back end accepted 1.
func TestGradualChangeIsBroadcast(t *testing.T) {
	sender, receiver := backendlimit.NewTable(), backendlimit.NewTable()
	limit := 3.2
	for step := range 40 {
		now := step * 100
		limit *= 0.97
		if sender.Observe(at(now), limited(limit, now-50)) == backendlimit.MajorChange {
			record, _ := sender.Lookup(key, 1)
			receiver.Merge(at(now), record)
		}
		merged, _ := receiver.Lookup(key, 1)
		require.InDelta(t, limit, merged.PerSecond, 0.12*limit, "step %d", step)
	}
}
