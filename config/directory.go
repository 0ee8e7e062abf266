package config

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/objectstore"
)

// Directory holds the back ends that a platform itself keeps a list of, beside
// the placements that operators declare. It has a revision of its own, since it
// changes with the back ends and not by an operator's hand. It is immutable.
//
// Each entry has the revision of its last change, and departures are remembered
// for a while, so that any daemon can tell another what changed after the
// revision that the other one has.
type Directory struct {
	Revision   objectstore.Version `json:"revision"`
	Entries    []DirectoryEntry    `json:"listed,omitempty"`   // in the order of ids
	Tombstones []Tombstone         `json:"departed,omitempty"` // oldest first
	// Since is the revision after which every departure is remembered.
	Since objectstore.Version `json:"since,omitempty"`
}

// DirectoryEntry is a back end on the platform's list.
type DirectoryEntry struct {
	Backend
	Service  string              `json:"service"`
	Revision objectstore.Version `json:"revision"` // of its last change
}

// Tombstone is a back end that was taken from the list.
type Tombstone struct {
	ID       string              `json:"id"`
	Revision objectstore.Version `json:"revision"`          // at which it was known to be gone
	Started  int64               `json:"started,omitempty"` // of the run that is gone, in Unix milliseconds; 0: not told
}

// StartedAt returns when the listed run of a back end started, in Unix milliseconds; 0: it is not known.
func (d Directory) StartedAt(id string) int64 {
	index, found := slices.BinarySearchFunc(d.Entries, id, func(one DirectoryEntry, id string) int { return cmp.Compare(one.ID, id) })
	if !found {
		return 0
	}
	return d.Entries[index].Started
}

// MaxTombstones bounds the departures that are remembered. The oldest go first.
const MaxTombstones = 500

// DirectoryChange is what changed in a directory after a revision.
type DirectoryChange struct {
	After      objectstore.Version `json:"after"`
	Revision   objectstore.Version `json:"revision"`
	Entries    []DirectoryEntry    `json:"listed,omitempty"`   // new ones and changed ones
	Tombstones []Tombstone         `json:"departed,omitempty"` // oldest first
}

// ChangesAfter returns what changed after a revision, and false when departures
// since then may be forgotten.
func (d Directory) ChangesAfter(revision objectstore.Version) (DirectoryChange, bool) {
	if revision == 0 || revision < d.Since {
		return DirectoryChange{}, false
	}
	change := DirectoryChange{After: revision, Revision: d.Revision}
	for _, one := range d.Entries {
		if one.Revision > revision {
			change.Entries = append(change.Entries, one)
		}
	}
	for _, one := range d.Tombstones {
		if one.Revision > revision {
			change.Tombstones = append(change.Tombstones, one)
		}
	}
	return change, true
}

// ApplyChange returns the directory after a change, and says whether any back end came,
// went or changed. A change that ends no later than the directory is passed over. It
// fails when changes before this one are missing.
func (d Directory) ApplyChange(change DirectoryChange) (next Directory, changed bool, err error) {
	if change.After > d.Revision {
		return Directory{}, false, errors.NotFoundf("what changed in the directory after revision %d", d.Revision)
	}
	if change.Revision <= d.Revision {
		return d, false, nil
	}
	gone := make(map[string]bool, len(change.Tombstones))
	for _, one := range change.Tombstones {
		gone[one.ID] = true
	}
	back := make(map[string]bool, len(change.Entries))
	for _, one := range change.Entries {
		back[one.ID] = true
	}
	next = Directory{Revision: change.Revision, Since: d.Since}
	next.Entries, changed = merged(d.Entries, sortedByID(change.Entries), gone)
	next.remember(d.Tombstones, func(id string) bool { return !gone[id] && !back[id] })
	next.remember(change.Tombstones, func(id string) bool { return !back[id] })
	return next, changed, nil
}

// merged returns back ends in the order of their ids with some of them changed, added, or gone, and
// says whether that changed any. Those that are listed anew count also if they are among the gone.
// It is one pass over both lists: with a map of all, a change cost a daemon 356 bytes of
// garbage for each back end there is.
func merged(present, news []DirectoryEntry, gone map[string]bool) (next []DirectoryEntry, changed bool) {
	next = make([]DirectoryEntry, 0, len(present)+len(news))
	for _, one := range present {
		for len(news) > 0 && news[0].ID < one.ID {
			next, news, changed = append(next, news[0]), news[1:], true
		}
		switch {
		case len(news) > 0 && news[0].ID == one.ID:
			changed = changed || gone[one.ID] || news[0].Backend != one.Backend || news[0].Service != one.Service
			// The revision is kept also where the entry says the same as before: another
			// daemon may have seen it say something else in between.
			next, news = append(next, news[0]), news[1:]
		case gone[one.ID]:
			changed = true
		default:
			next = append(next, one)
		}
	}
	return append(next, news...), changed || len(news) > 0
}

// sortedByID returns the last entry of each back end, in the order of ids.
func sortedByID(listed []DirectoryEntry) []DirectoryEntry {
	last := make(map[string]DirectoryEntry, len(listed))
	for _, one := range listed {
		last[one.ID] = one
	}
	sorted := make([]DirectoryEntry, 0, len(last))
	for _, one := range last {
		sorted = append(sorted, one)
	}
	slices.SortFunc(sorted, func(a, b DirectoryEntry) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// remember adds departures, and forgets the oldest beyond the bound.
func (d *Directory) remember(departed []Tombstone, keep func(id string) bool) {
	for _, one := range departed {
		if keep(one.ID) {
			d.Tombstones = append(d.Tombstones, one)
		}
	}
	if excess := len(d.Tombstones) - MaxTombstones; excess > 0 {
		d.Since = max(d.Since, d.Tombstones[excess-1].Revision)
		d.Tombstones = d.Tombstones[excess:]
	}
}

// servicesChanged returns the services of which a back end differs from an earlier directory, came,
// or went. It is one pass over both lists.
func (d Directory) servicesChanged(before Directory) map[string]bool {
	changed := make(map[string]bool)
	old := before.Entries
	for _, one := range d.Entries {
		for len(old) > 0 && old[0].ID < one.ID {
			changed[old[0].Service] = true
			old = old[1:]
		}
		if len(old) == 0 || old[0].ID != one.ID {
			changed[one.Service] = true
			continue
		}
		if old[0].Backend != one.Backend || old[0].Service != one.Service {
			changed[old[0].Service], changed[one.Service] = true, true
		}
		old = old[1:]
	}
	for _, one := range old {
		changed[one.Service] = true
	}
	return changed
}

// MergeNewest returns the newer of each part of two documents, and says whether
// either part came from the other one.
func (d Document) MergeNewest(other Document) (Document, bool) {
	newer := d.Position().Behind(other.Position())
	newest := d
	if d.Position().BehindInConfiguration(other.Position()) {
		newest = newest.changed(other.Revision, other.Content, other.History)
		newest.StoreVersion = other.StoreVersion
	}
	if other.Directory.Revision > d.Directory.Revision {
		newest.Directory = other.Directory
	}
	if other.Evacuations.Revision > d.Evacuations.Revision {
		newest.Evacuations = other.Evacuations
	}
	if other.Rollouts.Revision > d.Rollouts.Revision {
		newest.Rollouts = other.Rollouts
	}
	return newest, newer
}
