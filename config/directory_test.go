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

// listEvent is one change of a platform's list; a slot count of 0 takes the back
// end off it.
type listEvent struct {
	id    string
	slots int
}

// listHistory is a platform's list with all that ever changed; the event at index
// i brought revision i+1.
type listHistory []listEvent

// at returns the slots of each back end on the list at a revision.
func (h listHistory) at(revision objectstore.Version) map[string]int {
	slots := make(map[string]int)
	for _, one := range h[:revision] {
		if one.slots == 0 {
			delete(slots, one.id)
			continue
		}
		slots[one.id] = one.slots
	}
	return slots
}

// read returns the list as a daemon that lists it now sees it.
func (h listHistory) read() config.Directory {
	revision := objectstore.Version(len(h))
	change := config.DirectoryChange{Revision: revision}
	last := make(map[string]objectstore.Version)
	for index, one := range h {
		last[one.id] = objectstore.Version(index + 1)
	}
	for id, slots := range h.at(revision) {
		change.Entries = append(change.Entries, listedBackend(id, slots, last[id]))
	}
	next, _, err := config.Directory{Since: revision}.ApplyChange(change)
	if err != nil {
		panic(err) // it follows from nothing
	}
	return next
}

// since returns the events after a revision, as a daemon that watches gets them.
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
	for _, one := range directory.Entries {
		slots[one.ID] = one.Slots
	}
	return slots
}

// TestDirectoryFollows lets daemons list, watch, tell each other and start anew in
// any order, some answers late: each always holds exactly what the list was at its
// revision, and no revision ever goes down.
func TestDirectoryFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history listHistory
		held := make([]config.Directory, 4)
		daemon := rapid.IntRange(0, len(held)-1)
		// late are answers that are still on their way.
		type answer struct {
			to     int
			change config.DirectoryChange
		}
		var late []answer
		offer := func(to int, next config.Directory) {
			newest, _ := config.Document{Directory: held[to]}.MergeNewest(config.Document{Directory: next})
			require.GreaterOrEqual(t, newest.Directory.Revision, held[to].Revision)
			held[to] = newest.Directory
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
				next, changed, err := held[watcher].ApplyChange(history.since(held[watcher].Revision))
				require.NoError(t, err)
				require.Equal(t, !maps.Equal(slotsOf(held[watcher]), slotsOf(next)), changed)
				offer(watcher, next)
			},
			"ask": func(t *rapid.T) {
				to, from := daemon.Draw(t, "asks"), daemon.Draw(t, "answers")
				if change, known := held[from].ChangesAfter(held[to].Revision); known {
					late = append(late, answer{to: to, change: change})
					return
				}
				offer(to, held[from])
			},
			"an answer comes": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip("none is on its way")
				}
				index := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				one := late[index]
				late = append(late[:index], late[index+1:]...)
				next, _, err := held[one.to].ApplyChange(one.change)
				require.NoError(t, err)
				offer(one.to, next)
			},
			"start anew": func(t *rapid.T) {
				held[daemon.Draw(t, "daemon")] = config.Directory{}
				late = nil
			},
			"": func(t *rapid.T) {
				for number, directory := range held {
					require.Equal(t, history.at(directory.Revision), slotsOf(directory), "daemon %d", number)
				}
			},
		})
	})
}

// TestDirectoryForgetsDepartures gives the whole directory to a daemon that may have
// missed a departure that is forgotten.
func TestDirectoryForgetsDepartures(t *testing.T) {
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

// TestDirectoryGap does not follow a change that begins later than the directory.
func TestDirectoryGap(t *testing.T) {
	_, _, err := config.Directory{Revision: 3}.ApplyChange(config.DirectoryChange{After: 4, Revision: 5})
	require.ErrorContains(t, err, "after revision 3")
}

// TestDirectoryThereAndBack tells a daemon that saw a back end change of its change
// back, also when the teller saw neither.
func TestDirectoryThereAndBack(t *testing.T) {
	history := listHistory{{id: "b1", slots: 1}}
	teller := history.read()
	history = append(history, listEvent{id: "b1", slots: 2})
	asker := history.read()
	history = append(history, listEvent{id: "b1", slots: 1})
	teller, changed, err := teller.ApplyChange(history.since(teller.Revision))
	require.NoError(t, err)
	require.False(t, changed)
	change, known := teller.ChangesAfter(asker.Revision)
	require.True(t, known)
	asker, _, err = asker.ApplyChange(change)
	require.NoError(t, err)
	require.Equal(t, history.at(3), slotsOf(asker))
}
