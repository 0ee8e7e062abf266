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

// newSignal returns a signal of the run that started at the given time, in the response to a request of the given time.
func newSignal(draining bool, started int64, sent float64) drain.Signal {
	return drain.Signal{SignalKey: signal, Draining: draining, Started: started, Sent: at(sent)}
}

// newRecord returns the record of a signal as a peer sends it.
func newRecord(draining bool, started int64, when float64) drain.Record {
	return drain.Record{SignalKey: signal, Draining: draining, Started: started, At: at(when)}
}

func isDraining(table *drain.Table, started int64) bool {
	_, draining := table.Draining(key, started)
	return draining
}

// TestOnlyNewerSignalOfSameSourceEndsDraining guards against a draining back end getting requests again because of an
// older signal, a signal of another run or source, or its absence from a directory.
func TestOnlyNewerSignalOfSameSourceEndsDraining(t *testing.T) {
	for name, later := range map[string]func(table *drain.Table){
		"response to an earlier request":        func(table *drain.Table) { table.Observe(at(11), newSignal(false, 1, 9)) },
		"response of an earlier run":            func(table *drain.Table) { table.Observe(at(11), newSignal(false, -1, 10.5)) },
		"older record of a peer":                func(table *drain.Table) { table.Merge(at(11), newRecord(false, 1, 9)) },
		"record of a peer about an earlier run": func(table *drain.Table) { table.Merge(at(11), newRecord(false, -1, 11)) },
		"machine list without the signal":       func(table *drain.Table) { observeMachineList(table, false) },
		"machine list withdraws its signal":     func(table *drain.Table) { observeMachineList(table, true); observeMachineList(table, false) },
		"undeclared for a short time": func(table *drain.Table) {
			table.Prune(at(12), func(backend.Key) bool { return false })
		},
		"repeatedly undeclared": func(table *drain.Table) {
			for second := 12; second < 7200; second += 5 {
				undeclared := second%600 < 300
				table.Prune(at(float64(second)), func(backend.Key) bool { return !undeclared })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := drain.NewTable()
			require.True(t, table.Observe(at(10), newSignal(true, 1, 9.9)))
			require.False(t, table.Observe(at(10.1), newSignal(true, 1, 10)), "the signal is already known")
			later(table)
			require.True(t, isDraining(table, 1))
		})
	}
}

func observeMachineList(table *drain.Table, draining bool) {
	list := drain.SignalKey{Key: key, Source: drain.FromMachineList}
	table.Observe(at(11), drain.Signal{SignalKey: list, Draining: draining, Started: 1, Sent: at(11)})
}

// TestDrainSignalAppliesToOneRun guards against a restarted back end being affected by the drain signal of its earlier
// run.
func TestDrainSignalAppliesToOneRun(t *testing.T) {
	table := drain.NewTable()
	table.Observe(at(10), newSignal(true, 1, 9))
	require.True(t, isDraining(table, 1))
	require.False(t, isDraining(table, 2))
	require.False(t, table.Observe(at(11), newSignal(false, 2, 10.5)), "there is no signal to withdraw")
	require.False(t, isDraining(table, 2))
	require.True(t, table.Observe(at(12), newSignal(true, 2, 11)))
	require.True(t, isDraining(table, 2))
	require.False(t, table.Merge(at(13), newRecord(false, 1, 13)), "a record of an earlier run")
	require.True(t, isDraining(table, 2))
	require.True(t, isDraining(table, 0), "any run")
}

// TestWithdrawnSignalEndsDraining guards against a back end staying excluded after it has withdrawn its signal, at the
// daemon that observed the signal and at its peers, also if the wall clock is set back.
func TestWithdrawnSignalEndsDraining(t *testing.T) {
	table, other := drain.NewTable(), drain.NewTable()
	table.Observe(at(10), newSignal(true, 1, 9))
	record, _ := table.Record(signal)
	require.True(t, other.Merge(at(10), record))
	require.True(t, isDraining(other, 1))
	require.True(t, table.Observe(at(5), newSignal(false, 1, 10.5)), "the wall clock was set back")
	record, _ = table.Record(signal)
	require.True(t, other.Merge(at(10.6), record))
	require.False(t, isDraining(table, 1))
	require.False(t, isDraining(other, 1))
	require.False(t, other.Merge(at(11), newRecord(true, 1, 9)), "an older record that arrives late")
	require.Zero(t, other.DrainingCount())
}

// TestPruneRemovesUndeclaredBackends guards against records accumulating for back ends that no longer exist, and
// against removing them while the back ends may reappear in the directory.
func TestPruneRemovesUndeclaredBackends(t *testing.T) {
	table := drain.NewTable()
	table.Observe(at(10), newSignal(true, 1, 9))
	none := func(backend.Key) bool { return false }
	table.Prune(at(600), none)
	require.Equal(t, 1, table.DrainingCount())
	table.Prune(at(620), none)
	require.Zero(t, table.DrainingCount())
	require.Empty(t, table.Records(10))
}

// TestTablesConverge guards against daemons disagreeing permanently: daemons with different clocks observe and exchange
// signals in random order, and all reach the same state in the end.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		tables, skew := make([]*drain.Table, daemons), make([]float64, daemons)
		for number := range tables {
			tables[number] = drain.NewTable()
			skew[number] = rapid.Float64Range(-5, 5).Draw(t, "skew")
		}
		var changes []drain.Record
		now := 10.0
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			now += rapid.Float64Range(0.01, 2).Draw(t, "pause")
			number := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			local := at(now + skew[number])
			if len(changes) > 0 && rapid.Bool().Draw(t, "tells") {
				tables[number].Merge(local, changes[rapid.IntRange(0, len(changes)-1).Draw(t, "news")])
				continue
			}
			started := rapid.Int64Range(1, 2).Draw(t, "run")
			if tables[number].Observe(local, drain.Signal{SignalKey: signal, Draining: true, Started: started, Sent: local}) {
				record, _ := tables[number].Record(signal)
				changes = append(changes, record)
			}
		}
		for _, table := range tables {
			for _, record := range changes {
				table.Merge(at(now), record)
			}
		}
		for _, table := range tables[1:] {
			for started := range int64(3) {
				require.Equal(t, isDraining(tables[0], started), isDraining(table, started))
			}
		}
	})
}
