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
	Revision objectstore.Version `json:"revision"`
	Listed   []Listed            `json:"listed,omitempty"`   // in the order of ids
	Departed []Departed          `json:"departed,omitempty"` // oldest first
	// Since is the revision after which every departure is remembered.
	Since objectstore.Version `json:"since,omitempty"`
}

// Listed is a back end on the platform's list.
type Listed struct {
	Backend
	Service  string              `json:"service"`
	Revision objectstore.Version `json:"revision"` // of its last change
}

// Departed is a back end that was taken from the list.
type Departed struct {
	ID       string              `json:"id"`
	Revision objectstore.Version `json:"revision"`          // at which it was known to be gone
	Started  int64               `json:"started,omitempty"` // of the run that is gone, in Unix milliseconds; 0: not told
}

// StartOf returns when the listed run of a back end started, in Unix milliseconds; 0: it is not known.
func (d Directory) StartOf(id string) int64 {
	index, found := slices.BinarySearchFunc(d.Listed, id, func(one Listed, id string) int { return cmp.Compare(one.ID, id) })
	if !found {
		return 0
	}
	return d.Listed[index].Started
}

// MaxDeparted bounds the departures that are remembered. The oldest go first.
const MaxDeparted = 500

// DirectoryChange is what changed in a directory after a revision.
type DirectoryChange struct {
	After    objectstore.Version `json:"after"`
	Revision objectstore.Version `json:"revision"`
	Listed   []Listed            `json:"listed,omitempty"`   // new ones and changed ones
	Departed []Departed          `json:"departed,omitempty"` // oldest first
}

// ChangesAfter returns what changed after a revision, and false when departures
// since then may be forgotten.
func (d Directory) ChangesAfter(revision objectstore.Version) (DirectoryChange, bool) {
	if revision == 0 || revision < d.Since {
		return DirectoryChange{}, false
	}
	change := DirectoryChange{After: revision, Revision: d.Revision}
	for _, one := range d.Listed {
		if one.Revision > revision {
			change.Listed = append(change.Listed, one)
		}
	}
	for _, one := range d.Departed {
		if one.Revision > revision {
			change.Departed = append(change.Departed, one)
		}
	}
	return change, true
}

// Follow returns the directory after a change, and says whether any back end came,
// went or changed. A change that ends no later than the directory is passed over. It
// fails when changes before this one are missing.
func (d Directory) Follow(change DirectoryChange) (next Directory, changed bool, err error) {
	if change.After > d.Revision {
		return Directory{}, false, errors.NotFoundf("what changed in the directory after revision %d", d.Revision)
	}
	if change.Revision <= d.Revision {
		return d, false, nil
	}
	gone := make(map[string]bool, len(change.Departed))
	for _, one := range change.Departed {
		gone[one.ID] = true
	}
	back := make(map[string]bool, len(change.Listed))
	for _, one := range change.Listed {
		back[one.ID] = true
	}
	next = Directory{Revision: change.Revision, Since: d.Since}
	next.Listed, changed = merged(d.Listed, sortedByID(change.Listed), gone)
	next.remember(d.Departed, func(id string) bool { return !gone[id] && !back[id] })
	next.remember(change.Departed, func(id string) bool { return !back[id] })
	return next, changed, nil
}

// merged returns back ends in the order of their ids with some of them changed, added, or gone, and
// says whether that changed any. Those that are listed anew count also if they are among the gone.
// It is one pass over both lists: with a map of all, a change cost a daemon 356 bytes of
// garbage for each back end there is.
func merged(present, news []Listed, gone map[string]bool) (next []Listed, changed bool) {
	next = make([]Listed, 0, len(present)+len(news))
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
func sortedByID(listed []Listed) []Listed {
	last := make(map[string]Listed, len(listed))
	for _, one := range listed {
		last[one.ID] = one
	}
	sorted := make([]Listed, 0, len(last))
	for _, one := range last {
		sorted = append(sorted, one)
	}
	slices.SortFunc(sorted, func(a, b Listed) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// remember adds departures, and forgets the oldest beyond the bound.
func (d *Directory) remember(departed []Departed, keep func(id string) bool) {
	for _, one := range departed {
		if keep(one.ID) {
			d.Departed = append(d.Departed, one)
		}
	}
	if excess := len(d.Departed) - MaxDeparted; excess > 0 {
		d.Since = max(d.Since, d.Departed[excess-1].Revision)
		d.Departed = d.Departed[excess:]
	}
}

// servicesChanged returns the services of which a back end differs from an earlier directory, came,
// or went. It is one pass over both lists.
func (d Directory) servicesChanged(before Directory) map[string]bool {
	changed := make(map[string]bool)
	old := before.Listed
	for _, one := range d.Listed {
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

// Newest returns the newer of each part of two documents, and says whether
// either part came from the other one.
func (d Document) Newest(other Document) (Document, bool) {
	newer := d.Position().Behind(other.Position())
	newest := d
	if d.Position().BehindInConfiguration(other.Position()) {
		newest = newest.changed(other.Revision, other.Content, other.History)
		newest.Stored = other.Stored
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
