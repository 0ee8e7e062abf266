package config_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tuliphall/tuliphall/config"
	_ "github.com/tuliphall/tuliphall/internal/testseed"
	"github.com/tuliphall/tuliphall/objectstore"
)

// listEvent is one change of the platform's list of back ends; a slot count of 0 removes
// the back end.
type listEvent struct {
	id    string
	slots int
}

// listHistory holds all changes of the platform's list; the event at index i led to
// revision i+1.
type listHistory []listEvent

// at returns the slots of each back end on the list at a revision.
func (h listHistory) at(revision objectstore.Version) map[string]int {
	slots := make(map[string]int)
	for _, event := range h[:revision] {
		if event.slots == 0 {
			delete(slots, event.id)
			continue
		}
		slots[event.id] = event.slots
	}
	return slots
}

// read returns the current list as a daemon reads it.
func (h listHistory) read() config.Directory {
	revision := objectstore.Version(len(h))
	change := config.DirectoryChange{Revision: revision}
	last := make(map[string]objectstore.Version)
	for index, event := range h {
		last[event.id] = objectstore.Version(index + 1)
	}
	for id, slots := range h.at(revision) {
		change.Entries = append(change.Entries, listedBackend(id, slots, last[id]))
	}
	next, _, err := config.Directory{Since: revision}.ApplyChange(change)
	if err != nil {
		panic(err) // cannot happen: the change starts at revision 0
	}
	return next
}

// since returns the changes after a revision, as a watching daemon receives them.
func (h listHistory) since(revision objectstore.Version) config.DirectoryChange {
	change := config.DirectoryChange{After: revision, Revision: objectstore.Version(len(h))}
	last := make(map[string]int)
	for index := int(revision); index < len(h); index++ {
		last[h[index].id] = index
	}
	for id, index := range last {
		at := objectstore.Version(index + 1)
		if h[index].slots == 0 {
			change.Tombstones = append(change.Tombstones, config.Tombstone{ID: id, Revision: change.Revision})
			continue
		}
		change.Entries = append(change.Entries, listedBackend(id, h[index].slots, at))
	}
	return change
}

func listedBackend(id string, slots int, revision objectstore.Version) config.DirectoryEntry {
	return config.DirectoryEntry{Service: "prices", Revision: revision, Backend: config.Backend{ID: id, Slots: slots}}
}

func slotsOf(directory config.Directory) map[string]int {
	slots := make(map[string]int)
	for _, entry := range directory.Entries {
		slots[entry.ID] = entry.Slots
	}
	return slots
}

// TestDirectoryMatchesListAtItsRevision checks a random sequence of daemons listing, watching, sending each other
// changes and restarting, with some responses delayed: each directory always equals the list at its
// revision, and no revision ever decreases.
func TestDirectoryMatchesListAtItsRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history listHistory
		directories := make([]config.Directory, 4)
		daemon := rapid.IntRange(0, len(directories)-1)
		// delayed holds responses in transit.
		type response struct {
			to     int
			change config.DirectoryChange
		}
		var delayed []response
		offer := func(to int, next config.Directory) {
			newest, _ := config.Document{Directory: directories[to]}.MergeNewest(config.Document{Directory: next})
			require.GreaterOrEqual(t, newest.Directory.Revision, directories[to].Revision)
			directories[to] = newest.Directory
		}
		t.Repeat(map[string]func(*rapid.T){
			"the list changes": func(t *rapid.T) {
				history = append(history, listEvent{
					id:    fmt.Sprintf("b%d", rapid.IntRange(0, 2).Draw(t, "back end")),
					slots: rapid.IntRange(0, 2).Draw(t, "slots"),
				})
			},
			"list": func(t *rapid.T) {
				offer(daemon.Draw(t, "daemon"), history.read())
			},
			"watch": func(t *rapid.T) {
				watcher := daemon.Draw(t, "daemon")
				next, changed, err := directories[watcher].ApplyChange(history.since(directories[watcher].Revision))
				require.NoError(t, err)
				require.Equal(t, !maps.Equal(slotsOf(directories[watcher]), slotsOf(next)), changed)
				offer(watcher, next)
			},
			"ask": func(t *rapid.T) {
				to, from := daemon.Draw(t, "asks"), daemon.Draw(t, "answers")
				if change, known := directories[from].ChangesAfter(directories[to].Revision); known {
					delayed = append(delayed, response{to: to, change: change})
					return
				}
				offer(to, directories[from])
			},
			"an answer comes": func(t *rapid.T) {
				if len(delayed) == 0 {
					t.Skip("no response in transit")
				}
				index := rapid.IntRange(0, len(delayed)-1).Draw(t, "which")
				arrived := delayed[index]
				delayed = append(delayed[:index], delayed[index+1:]...)
				next, _, err := directories[arrived.to].ApplyChange(arrived.change)
				require.NoError(t, err)
				offer(arrived.to, next)
			},
			"start anew": func(t *rapid.T) {
				directories[daemon.Draw(t, "daemon")] = config.Directory{}
				delayed = nil
			},
			"": func(t *rapid.T) {
				for number, directory := range directories {
					require.Equal(t, history.at(directory.Revision), slotsOf(directory), "daemon %d", number)
				}
			},
		})
	})
}

// TestDiscardedTombstonesRequireWholeDirectory checks that a daemon that may have missed a discarded tombstone is
// not given changes, so that it must get the whole directory.
func TestDiscardedTombstonesRequireWholeDirectory(t *testing.T) {
	directory := config.Directory{Revision: 1, Since: 1}
	for number := range config.MaxTombstones + 10 {
		next, _, err := directory.ApplyChange(config.DirectoryChange{
			After: directory.Revision, Revision: directory.Revision + 1,
			Tombstones: []config.Tombstone{{ID: fmt.Sprint(number), Revision: directory.Revision + 1}},
		})
		require.NoError(t, err)
		directory = next
	}
	require.Len(t, directory.Tombstones, config.MaxTombstones)
	_, known := directory.ChangesAfter(5)
	require.False(t, known)
	change, known := directory.ChangesAfter(11)
	require.True(t, known)
	require.Len(t, change.Tombstones, config.MaxTombstones)
}

// TestChangeAfterGapIsRejected checks that a change that starts after the directory's revision is an error.
func TestChangeAfterGapIsRejected(t *testing.T) {
	_, _, err := config.Directory{Revision: 3}.ApplyChange(config.DirectoryChange{After: 4, Revision: 5})
	require.ErrorContains(t, err, "after revision 3")
}

// TestRevertedChangeReachesOtherDaemons checks that a daemon that has seen a back end change learns that it was
// changed back, even from a daemon that has seen neither change.
func TestRevertedChangeReachesOtherDaemons(t *testing.T) {
	history := listHistory{{id: "b1", slots: 1}}
	sender := history.read()
	history = append(history, listEvent{id: "b1", slots: 2})
	receiver := history.read()
	history = append(history, listEvent{id: "b1", slots: 1})
	sender, changed, err := sender.ApplyChange(history.since(sender.Revision))
	require.NoError(t, err)
	require.False(t, changed)
	change, known := sender.ChangesAfter(receiver.Revision)
	require.True(t, known)
	receiver, _, err = receiver.ApplyChange(change)
	require.NoError(t, err)
	require.Equal(t, history.at(3), slotsOf(receiver))
}
