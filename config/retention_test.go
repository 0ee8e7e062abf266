package config_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/objectstore"
)

// directoryAt returns a directory with count back ends at a version.
func directoryAt(version objectstore.Version, count int) config.Directory {
	directory := config.Directory{Revision: version}
	for number := range count {
		directory.Entries = append(directory.Entries, config.DirectoryEntry{
			Backend: config.Backend{ID: fmt.Sprintf("b-%05d", number), Slots: 3}, Service: "s", Revision: objectstore.NewVersion(version.Era(), 7),
		})
	}
	return directory
}

// TestRetentionIgnoresUnchangedEntries checks that nothing is retained if the restored directory is the same,
// however many back ends it has, if the era is the same, or if nothing was known before.
func TestRetentionIgnoresUnchangedEntries(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	known := config.Document{Directory: directoryAt(objectstore.NewVersion(0, 50), 1000)}
	restored := config.Document{Directory: directoryAt(objectstore.NewVersion(1, 40), 1000)}
	var retention config.Retention
	require.True(t, retention.Observe(now, known, restored))
	backends, _, _ := retention.Counts()
	require.Zero(t, backends)
	require.True(t, retention.NextExpiry(now).IsZero())
	require.Equal(t, restored, retention.Apply(now, restored))
	require.False(t, retention.Observe(now, config.Document{}, restored))
	require.False(t, retention.Observe(now, restored, config.Document{Directory: directoryAt(objectstore.NewVersion(1, 41), 3)}))
}

// TestRetentionUntilRewritten checks, across a store rollback, one back end that has joined and one that is
// draining: how long each is retained, and that an entry that is written again takes precedence.
func TestRetentionUntilRewritten(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	restored := directoryAt(objectstore.NewVersion(1, 40), 2)
	known := directoryAt(objectstore.NewVersion(0, 50), 3)
	known.Entries[1].Drained, known.Entries[1].Revision = true, 49
	inForce := func(retention *config.Retention, at time.Time, stored config.Directory) (count int, drained bool) {
		applied := retention.Apply(at, config.Document{Directory: stored}).Directory.Entries
		return len(applied), applied[1].Drained
	}
	var retention config.Retention
	require.True(t, retention.Observe(now, config.Document{Directory: known}, config.Document{Directory: restored}))
	for _, expected := range []struct {
		after   time.Duration
		count   int
		drained bool
	}{{0, 3, true}, {2900 * time.Millisecond, 3, true}, {3 * time.Second, 2, true}, {9900 * time.Millisecond, 2, true}, {10 * time.Second, 2, false}} {
		count, drained := inForce(&retention, now.Add(expected.after), restored)
		require.Equal(t, expected.count, count, expected.after)
		require.Equal(t, expected.drained, drained, expected.after)
	}
	rewritten := directoryAt(objectstore.NewVersion(1, 42), 3)
	rewritten.Entries[1].Revision = objectstore.NewVersion(1, 42)
	count, drained := inForce(&retention, now.Add(time.Second), rewritten)
	require.Equal(t, 3, count)
	require.False(t, drained, "a rewritten entry takes precedence over the retained one")
}

// TestIncludesWithoutHistory checks that documents are still used after a change that is too large for the history.
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
