package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/drain"
)

var (
	start  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	key    = backend.Key{Service: "board", Backend: "i-1"}
	signal = drain.SignalKey{Key: key, Source: drain.FromBackend}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// says is what the run of a back end that started at a time says with an answer to a request of a time.
func says(draining bool, started int64, sent float64) drain.Signal {
	return drain.Signal{SignalKey: signal, Draining: draining, Started: started, Sent: at(sent)}
}

// told is the same as another daemon tells it.
func told(draining bool, started int64, when float64) drain.Record {
	return drain.Record{SignalKey: signal, Draining: draining, Started: started, At: at(when)}
}

func leaves(table *drain.Table, started int64) bool {
	_, leaving := table.Leaving(key, started)
	return leaving
}

// TestOwnWordIsOverruledByNothingOlder guards against a back end that said it leaves getting requests again by
// what was said before, or of another run.
func TestOwnWordIsOverruledByNothingOlder(t *testing.T) {
	for name, later := range map[string]func(table *drain.Table){
		"an answer to a request sent before":            func(table *drain.Table) { table.Observe(at(11), says(false, 1, 9)) },
		"an answer of the earlier run":                  func(table *drain.Table) { table.Observe(at(11), says(false, -1, 10.5)) },
		"another daemon's older signal":                 func(table *drain.Table) { table.Merge(at(11), told(false, 1, 9)) },
		"another daemon's signal on an earlier run":     func(table *drain.Table) { table.Merge(at(11), told(false, -1, 11)) },
		"the machine list, which does not say so":       func(table *drain.Table) { hearList(table, false) },
		"the machine list, which said so, and does not": func(table *drain.Table) { hearList(table, true); hearList(table, false) },
		"a directory without it, for a while": func(table *drain.Table) {
			table.Prune(at(12), func(backend.Key) bool { return false })
		},
		"a directory without it, and with it, for long": func(table *drain.Table) {
			for second := 12; second < 7200; second += 5 {
				lapsed := second%600 < 300
				table.Prune(at(float64(second)), func(backend.Key) bool { return !lapsed })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := drain.NewTable()
			require.True(t, table.Observe(at(10), says(true, 1, 9.9)))
			require.False(t, table.Observe(at(10.1), says(true, 1, 10)), "it is known")
			later(table)
			require.True(t, leaves(table, 1))
		})
	}
}

func hearList(table *drain.Table, draining bool) {
	list := drain.SignalKey{Key: key, Source: drain.FromMachineList}
	table.Observe(at(11), drain.Signal{SignalKey: list, Draining: draining, Started: 1, Sent: at(11)})
}

// TestRunsAreToldApart lets a run that started later take requests, and keeps the earlier one's signal from it.
func TestRunsAreToldApart(t *testing.T) {
	table := drain.NewTable()
	table.Observe(at(10), says(true, 1, 9))
	require.True(t, leaves(table, 1))
	require.False(t, leaves(table, 2))
	require.False(t, table.Observe(at(11), says(false, 2, 10.5)), "nothing was known of it")
	require.False(t, leaves(table, 2))
	require.True(t, table.Observe(at(12), says(true, 2, 11)))
	require.True(t, leaves(table, 2))
	require.False(t, table.Merge(at(13), told(false, 1, 13)), "an earlier run's")
	require.True(t, leaves(table, 2))
	require.True(t, leaves(table, 0), "a run that is not told apart")
}

// TestBackAgain lets a back end take requests that says it is back, to whom it told that it leaves and to others.
func TestBackAgain(t *testing.T) {
	table, other := drain.NewTable(), drain.NewTable()
	table.Observe(at(10), says(true, 1, 9))
	record, _ := table.Record(signal)
	require.True(t, other.Merge(at(10), record))
	require.True(t, leaves(other, 1))
	require.True(t, table.Observe(at(5), says(false, 1, 10.5)), "the wall clock went back")
	record, _ = table.Record(signal)
	require.True(t, other.Merge(at(10.6), record))
	require.False(t, leaves(table, 1))
	require.False(t, leaves(other, 1))
	require.False(t, other.Merge(at(11), told(true, 1, 9)), "older news still on its way")
	require.Zero(t, other.DrainingCount())
}

// TestForgets drops signals on back ends that are gone for good, and nothing sooner.
func TestForgets(t *testing.T) {
	table := drain.NewTable()
	table.Observe(at(10), says(true, 1, 9))
	none := func(backend.Key) bool { return false }
	table.Prune(at(600), none)
	require.Equal(t, 1, table.DrainingCount())
	table.Prune(at(620), none)
	require.Zero(t, table.DrainingCount())
	require.Empty(t, table.Records(10))
}

// TestTablesAgree lets daemons with clocks that differ hear and tell signals in any order, and expects that all know
// the same in the end.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		tables, skew := make([]*drain.Table, daemons), make([]float64, daemons)
		for number := range tables {
			tables[number] = drain.NewTable()
			skew[number] = rapid.Float64Range(-5, 5).Draw(t, "skew")
		}
		var news []drain.Record
		now := 10.0
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			now += rapid.Float64Range(0.01, 2).Draw(t, "pause")
			number := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			local := at(now + skew[number])
			if len(news) > 0 && rapid.Bool().Draw(t, "tells") {
				tables[number].Merge(local, news[rapid.IntRange(0, len(news)-1).Draw(t, "news")])
				continue
			}
			started := rapid.Int64Range(1, 2).Draw(t, "run")
			if tables[number].Observe(local, drain.Signal{SignalKey: signal, Draining: true, Started: started, Sent: local}) {
				record, _ := tables[number].Record(signal)
				news = append(news, record)
			}
		}
		for _, table := range tables {
			for _, record := range news {
				table.Merge(at(now), record)
			}
		}
		for _, table := range tables[1:] {
			for started := range int64(3) {
				require.Equal(t, leaves(tables[0], started), leaves(table, started))
			}
		}
	})
}
