package config_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/objectstore"
)

// directoryAt returns a directory of so many back ends, at a version.
func directoryAt(version objectstore.Version, count int) config.Directory {
	directory := config.Directory{Revision: version}
	for number := range count {
		directory.Entries = append(directory.Entries, config.DirectoryEntry{
			Backend: config.Backend{ID: fmt.Sprintf("b-%05d", number), Slots: 3}, Service: "s", Revision: objectstore.NewVersion(version.Era(), 7),
		})
	}
	return directory
}

// TestNothingIsKeptThatIsNotLost keeps nothing where the copy says the same, however many back ends there are, nor where the era is the same
// or nothing was known before.
func TestNothingIsKeptThatIsNotLost(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	known := config.Document{Directory: directoryAt(objectstore.NewVersion(0, 50), 1000)}
	copied := config.Document{Directory: directoryAt(objectstore.NewVersion(1, 40), 1000)}
	var retention config.Retention
	require.True(t, retention.Observe(now, known, copied))
	backends, _, _ := retention.Counts()
	require.Zero(t, backends)
	require.True(t, retention.NextExpiry(now).IsZero())
	require.Equal(t, copied, retention.Apply(now, copied))
	require.False(t, retention.Observe(now, config.Document{}, copied))
	require.False(t, retention.Observe(now, copied, config.Document{Directory: directoryAt(objectstore.NewVersion(1, 41), 3)}))
}

// TestKeptUntilWrittenAgain follows one back end that has joined and one that leaves through a return of the store.
func TestKeptUntilWrittenAgain(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	copied := directoryAt(objectstore.NewVersion(1, 40), 2)
	known := directoryAt(objectstore.NewVersion(0, 50), 3)
	known.Entries[1].Drained, known.Entries[1].Revision = true, 49
	inForce := func(retention *config.Retention, at time.Time, told config.Directory) (count int, drained bool) {
		applied := retention.Apply(at, config.Document{Directory: told}).Directory.Entries
		return len(applied), applied[1].Drained
	}
	var retention config.Retention
	require.True(t, retention.Observe(now, config.Document{Directory: known}, config.Document{Directory: copied}))
	for _, one := range []struct {
		after   time.Duration
		count   int
		drained bool
	}{{0, 3, true}, {2900 * time.Millisecond, 3, true}, {3 * time.Second, 2, true}, {9900 * time.Millisecond, 2, true}, {10 * time.Second, 2, false}} {
		count, drained := inForce(&retention, now.Add(one.after), copied)
		require.Equal(t, one.count, count, one.after)
		require.Equal(t, one.drained, drained, one.after)
	}
	written := directoryAt(objectstore.NewVersion(1, 42), 3)
	written.Entries[1].Revision = objectstore.NewVersion(1, 42)
	count, drained := inForce(&retention, now.Add(time.Second), written)
	require.Equal(t, 3, count)
	require.False(t, drained, "written again as ready: that counts")
}

// TestIncludesWithoutHistory: a change too large for the history does not keep later documents from being used.
func TestIncludesWithoutHistory(t *testing.T) {
	change := func(id string, revision config.Revision) config.Change {
		return config.Change{ID: id, Revision: revision}
	}
	inForce := config.Document{Revision: 5, History: []config.Change{change("a", 4), change("b", 5)}}
	require.True(t, config.Document{Revision: 6}.Includes(inForce))
	require.False(t, config.Document{}.Includes(inForce))
	require.False(t, config.Document{Revision: 4, History: []config.Change{change("a", 4)}}.Includes(inForce))
	require.False(t, config.Document{Revision: 6, History: []config.Change{change("a", 4), change("c", 5), change("d", 6)}}.Includes(inForce))
	require.True(t, config.Document{Revision: 9, History: []config.Change{change("x", 8), change("y", 9)}}.Includes(inForce))
	require.True(t, inForce.Includes(config.Document{Revision: 7}))
}
